#include "tests/fuzz/fuzz_targets.h"

#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/key_value.h"
#include "base/result.h"
#include "http/message_parser.h"
#include "outcomes/outcome_table.h"
#include "records/record_file.h"
#include "records/records.h"
#include "settings/settings.h"
#include "statechart/chart.h"
#include "timeline/timeline.h"

namespace monsoonshelf::fuzz {

namespace {

void Require(bool condition, const char* contract) {
  if (!condition) throw std::logic_error(contract);
}

// Requires an error code in the range of the parser's module and a message that is not empty and
// short enough to be reported.
void RequireError(const Error& error, int low, int high) {
  const int code = static_cast<int>(error.code_);
  Require(code >= low && code <= high, "an error has a result code of its module");
  Require(!error.message_.empty() && error.message_.size() < 65'536,
          "an error message has 1 to 65535 bytes");
}

// Replaces control characters other than line feeds by spaces, as FormatKeyValues does.
std::string Printable(std::string_view text) {
  std::string out;
  for (const char c : text) out += static_cast<unsigned char>(c) < ' ' && c != '\n' ? ' ' : c;
  return out;
}

// What a reader of a response finds.
struct ResponseVerdict {
  http::ParseError error_ = http::ParseError::kNone;
  bool is_done_ = false;
  int status_ = 0;
  http::Headers headers_;
  std::string body_;
  bool operator==(const ResponseVerdict&) const = default;
};

// Reads the input in pieces that end at the positions of `splits`, which ascend.
ResponseVerdict ReadResponse(std::string_view input, const std::vector<std::size_t>& splits) {
  http::ResponseParser parser(false);
  std::string buffer;
  std::size_t begin = 0;
  const auto feed = [&](std::size_t end) {
    buffer += input.substr(begin, end - begin);
    begin = end;
    if (parser.Error() == http::ParseError::kNone && !parser.IsDone()) {
      buffer.erase(0, parser.Feed(buffer));
    }
  };
  for (const std::size_t split : splits) feed(split);
  feed(input.size());
  parser.FeedEof();
  ResponseVerdict verdict = {parser.Error(), parser.IsDone(), 0, {}, {}};
  // After an error nothing of the response is used.
  if (verdict.error_ != http::ParseError::kNone || !parser.HasHead()) return verdict;
  verdict.status_ = parser.Head().status_;
  verdict.headers_ = parser.Head().headers_;
  verdict.body_ = parser.Body();
  return verdict;
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
            "a formatted record is parsed as the same record");
  }
}

void FuzzSettings(std::string_view input) {
  const auto parsed = Capture<settings::Settings>(
      [&] { return settings::ParseSettings(input, "settings.toml", 1); });
  if (!parsed.value_) {
    RequireError(parsed.error_, 100, 199);
    Require(parsed.error_.message_.starts_with("settings.toml"),
            "an error message begins with the file name");
    return;
  }
  Require(!parsed.value_->name_.empty() && !parsed.value_->peer_keys_.empty() &&
              !parsed.value_->advertise_calls_.empty(),
          "accepted settings have a name, peer keys and advertised call addresses");
}

void FuzzCallId(std::string_view input) {
  const auto parsed = Capture<outcomes::CallId>([&] { return outcomes::ParseCallId(input); });
  if (!parsed.value_) return RequireError(parsed.error_, 401, 401);
  Require(outcomes::FormatCallId(*parsed.value_) == input,
          "an accepted identifier is formatted as it was read");
}

void FuzzKeyValues(std::string_view input) {
  const auto parsed = ParseKeyValues(input);
  if (!parsed) return;
  const auto again = ParseKeyValues(FormatKeyValues(*parsed));
  Require(again.has_value() && again->size() == parsed->size(), "formatted fields can be parsed");
  for (std::size_t i = 0; i < parsed->size(); ++i) {
    Require((*again)[i].first == (*parsed)[i].first,
            "a key is unchanged after formatting and parsing");
    Require((*again)[i].second == Printable((*parsed)[i].second),
            "a value is unchanged after formatting and parsing");
  }
}

void FuzzChart(std::string_view input) {
  const auto parsed = Capture<statechart::Chart>([&] { return statechart::ParseChart(input); });
  if (!parsed.value_) return RequireError(parsed.error_, 300, 349);
  const statechart::Chart& chart = *parsed.value_;
  for (std::size_t state = 0; state < chart.states_.size(); ++state) {
    for (std::size_t event = 0; event < chart.events_.size(); ++event) {
      const auto next = statechart::NextState(chart, state, event);
      Require(!next || *next < chart.states_.size(), "a transition leads to an existing state");
    }
  }
}

void FuzzLog(std::string_view input) {
  timeline::Timeline timeline;
  std::istringstream log{std::string(input)};
  timeline::ReadLog(log, "source", timeline);
  Require(timeline.events_.size() + timeline.malformed_line_count_ == timeline.line_count_,
          "each line becomes an event or is counted as malformed");
  timeline::FinishTimeline(timeline);
  std::ostringstream page;
  timeline::WriteHtml(timeline, page);
  Require(page.str().find("<script") == std::string::npos, "values are escaped in the HTML page");
}

void FuzzResponse(std::string_view input) {
  constexpr std::size_t kMaxSplits = 40;
  const ResponseVerdict whole = ReadResponse(input, {});
  if (whole.is_done_ && whole.error_ == http::ParseError::kNone) {
    Require(whole.status_ >= 100 && whole.status_ <= 599, "a response has a status of 100 to 599");
    for (const auto& [name, value] : whole.headers_) {
      Require(!name.empty() && name.find_first_of(" \t\r\n:") == std::string::npos,
              "the name of a field is a token");
      Require(value.find_first_of("\r\n") == std::string::npos, "a field has one line");
    }
  }
  const std::size_t step = input.size() / kMaxSplits + 1;
  for (std::size_t first = 0; first <= input.size(); first += step) {
    Require(ReadResponse(input, {first}) == whole, "two reads give the same response");
    const std::size_t second = first + (input.size() - first) / 2;
    Require(ReadResponse(input, {first, second}) == whole, "three reads give the same response");
  }
}

}  // namespace monsoonshelf::fuzz
