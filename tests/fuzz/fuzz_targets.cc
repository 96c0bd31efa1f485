#include "tests/fuzz/fuzz_targets.h"

#include <sstream>
#include <stdexcept>

#include "base/key_value.h"
#include "base/result.h"
#include "outcomes/outcome_table.h"
#include "records/record_file.h"
#include "records/records.h"
#include "settings/settings.h"
#include "statechart/chart.h"
#include "timeline/timeline.h"

namespace monsoonshelf::fuzz {

namespace {

void Require(bool condition, const char* promise) {
  if (!condition) throw std::logic_error(promise);
}

// An error has a code of its module and a message that fits into a report of several lines.
void RequireError(const Error& error, int low, int high) {
  const int code = static_cast<int>(error.code_);
  Require(code >= low && code <= high, "result code of the module");
  Require(!error.message_.empty() && error.message_.size() < 65'536, "message of a proper length");
}

std::string Printable(std::string_view text) {
  std::string out;
  for (const char c : text) out += static_cast<unsigned char>(c) < ' ' && c != '\n' ? ' ' : c;
  return out;
}

}  // namespace

void FuzzRecord(std::string_view input) {
  const auto parsed =
      Capture<std::vector<records::Record>>([&] { return records::ParseRecordFile(input); });
  if (!parsed.value_) return RequireError(parsed.error_, 200, 299);
  for (const records::Record& record : *parsed.value_) {
    const std::string text = records::FormatRecord(record);
    const auto again = Capture<records::Record>([&] { return records::ParseRecord(text); });
    Require(again.value_ && records::FormatRecord(*again.value_) == text,
            "a written record is read as the same record");
  }
}

void FuzzSettings(std::string_view input) {
  const auto parsed = Capture<settings::Settings>(
      [&] { return settings::ParseSettings(input, "settings.toml", 1); });
  if (!parsed.value_) {
    RequireError(parsed.error_, 100, 199);
    Require(parsed.error_.message_.starts_with("settings.toml"), "the message names the file");
    return;
  }
  Require(!parsed.value_->name_.empty() && !parsed.value_->peer_keys_.empty() &&
              !parsed.value_->advertise_calls_.empty(),
          "accepted settings are complete");
}

void FuzzCallId(std::string_view input) {
  const auto parsed = Capture<outcomes::CallId>([&] { return outcomes::ParseCallId(input); });
  if (!parsed.value_) return RequireError(parsed.error_, 401, 401);
  Require(outcomes::FormatCallId(*parsed.value_) == input, "an identifier has one spelling");
}

void FuzzKeyValues(std::string_view input) {
  const auto parsed = ParseKeyValues(input);
  if (!parsed) return;
  const auto again = ParseKeyValues(FormatKeyValues(*parsed));
  Require(again.has_value() && again->size() == parsed->size(), "formatted fields can be parsed");
  for (std::size_t i = 0; i < parsed->size(); ++i) {
    Require((*again)[i].first == (*parsed)[i].first, "a key survives");
    Require((*again)[i].second == Printable((*parsed)[i].second), "a value survives");
  }
}

void FuzzChart(std::string_view input) {
  const auto parsed = Capture<statechart::Chart>([&] { return statechart::ParseChart(input); });
  if (!parsed.value_) return RequireError(parsed.error_, 300, 349);
  const statechart::Chart& chart = *parsed.value_;
  for (std::size_t state = 0; state < chart.states_.size(); ++state) {
    for (std::size_t event = 0; event < chart.events_.size(); ++event) {
      const auto next = statechart::NextState(chart, state, event);
      Require(!next || *next < chart.states_.size(), "a transition leads to a state");
    }
  }
}

void FuzzLog(std::string_view input) {
  timeline::Timeline timeline;
  std::istringstream log{std::string(input)};
  timeline::ReadLog(log, "source", timeline);
  Require(timeline.events_.size() + timeline.malformed_line_count_ == timeline.line_count_,
          "each line is an event or counted as malformed");
  timeline::FinishTimeline(timeline);
  std::ostringstream page;
  timeline::WriteHtml(timeline, page);
  Require(page.str().find("<script") == std::string::npos, "values are escaped");
}

}  // namespace monsoonshelf::fuzz
