#include <algorithm>
#include <array>
#include <ctime>
#include <istream>
#include <map>
#include <optional>
#include <string_view>

#include "timeline/timeline.h"

namespace monsoonshelf::timeline {

namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
// A host that is alive logs at least its membership and configuration within this time.
constexpr std::int64_t kSilence = 5 * kMicrosecondsPerSecond;

// Reads `2026-01-31T12:00:00.000000Z`; the fraction has 0 to 6 digits.
std::optional<std::int64_t> ParseTime(const std::string& text) {
  std::tm parts{};
  const char* rest = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
  if (rest == nullptr) return std::nullopt;
  std::int64_t fraction = 0;
  if (*rest == '.') {
    std::int64_t unit = kMicrosecondsPerSecond / 10;
    for (++rest; *rest >= '0' && *rest <= '9'; ++rest, unit /= 10) fraction += (*rest - '0') * unit;
  }
  if (std::string_view(rest) != "Z") return std::nullopt;
  return static_cast<std::int64_t>(timegm(&parts)) * kMicrosecondsPerSecond + fraction;
}

struct KindRule {
  std::string_view prefix_;
  EventKind kind_;
};

// The first rule that fits decides.
constexpr auto kKindRules = std::to_array<KindRule>({
    {"call", EventKind::kCall},
    {"wrong_answer", EventKind::kCall},
    {"zone", EventKind::kZone},
    {"listening", EventKind::kStart},
    {"stop", EventKind::kStop},
    {"kill", EventKind::kKill},
    {"log_ends", EventKind::kKill},
    {"member", EventKind::kMember},
    {"suspicion", EventKind::kMember},
    {"duplicate", EventKind::kMember},
    {"seed", EventKind::kMember},
    {"paused", EventKind::kLease},
    {"lease", EventKind::kLease},
    {"session", EventKind::kLease},
    {"assignment", EventKind::kLease},
    {"record", EventKind::kRecord},
    {"configuration", EventKind::kRecord},
});

EventKind KindOf(std::string_view name) {
  for (const KindRule& rule : kKindRules) {
    if (name.starts_with(rule.prefix_)) return rule.kind_;
  }
  return EventKind::kOther;
}

// A change of a zone record is a change of the zone.
bool IsZoneRecord(const Event& event) {
  return event.kind_ == EventKind::kRecord &&
         std::find(event.fields_.begin(), event.fields_.end(),
                   std::pair<std::string, std::string>("kind", "zone")) != event.fields_.end();
}

std::optional<Event> ParseEvent(const std::string& line, const std::string& source) {
  auto fields = ParseKeyValues(line);
  if (!fields) return std::nullopt;
  Event event;
  event.host_ = source;
  std::optional<std::int64_t> time;
  for (auto& [key, value] : *fields) {
    if (key == "time" && !time) {
      time = ParseTime(value);
    } else if (key == "host") {
      event.host_ = value;
    } else if (key == "event" && event.name_.empty()) {
      event.name_ = value;
    } else {
      event.fields_.emplace_back(std::move(key), std::move(value));
    }
  }
  if (!time || event.name_.empty()) return std::nullopt;
  event.time_ = *time;
  event.kind_ = KindOf(event.name_);
  if (IsZoneRecord(event)) event.kind_ = EventKind::kZone;
  return event;
}

struct HostLife {
  bool started_ = false;  // And not stopped since.
  std::int64_t last_ = 0;
};

Event LogEnds(const std::string& host, std::int64_t time) {
  return {time, host, "log_ends", EventKind::kKill, {{"reason", "no stopped event"}}};
}

}  // namespace

void ReadLog(std::istream& log, const std::string& source, Timeline& timeline) {
  std::string line;
  while (std::getline(log, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    if (line.empty()) continue;
    ++timeline.line_count_;
    if (auto event = ParseEvent(line, source)) {
      timeline.events_.push_back(std::move(*event));
    } else {
      ++timeline.malformed_line_count_;
    }
  }
}

void FinishTimeline(Timeline& timeline) {
  const auto earlier = [](const Event& a, const Event& b) { return a.time_ < b.time_; };
  std::stable_sort(timeline.events_.begin(), timeline.events_.end(), earlier);
  std::map<std::string, HostLife> hosts;
  std::vector<Event> ends;
  for (const Event& event : timeline.events_) {
    HostLife& host = hosts[event.host_];
    if (event.kind_ == EventKind::kStart) {
      if (host.started_) ends.push_back(LogEnds(event.host_, host.last_));
      host.started_ = true;
    }
    if (event.name_ == "stopped") host.started_ = false;
    host.last_ = event.time_;
  }
  for (const auto& [name, host] : hosts) {
    if (host.started_ && host.last_ + kSilence < timeline.events_.back().time_) {
      ends.push_back(LogEnds(name, host.last_));
    }
  }
  timeline.events_.insert(timeline.events_.end(), ends.begin(), ends.end());
  std::stable_sort(timeline.events_.begin(), timeline.events_.end(), earlier);
}

Timeline FollowCall(const Timeline& timeline, const std::string& call_id) {
  Timeline followed{{}, timeline.line_count_, timeline.malformed_line_count_};
  std::copy_if(timeline.events_.begin(), timeline.events_.end(),
               std::back_inserter(followed.events_), [&call_id](const Event& event) {
                 return std::any_of(event.fields_.begin(), event.fields_.end(),
                                    [&call_id](const auto& field) {
                                      return (field.first == "call" || field.first == "call_id") &&
                                             field.second == call_id;
                                    });
               });
  return followed;
}

}  // namespace monsoonshelf::timeline
