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
// A running host logs at least membership and configuration events within this interval. A host
// whose log ends earlier than this before the end of the timeline is taken as killed.
constexpr std::int64_t kMaxLogIntervalUs = 5 * kMicrosecondsPerSecond;

// Parses a UTC time such as `2026-01-31T12:00:00.000000Z`; the fraction has 0 to 6 digits. Returns
// microseconds since the Unix epoch.
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

struct EventKindRule {
  std::string_view prefix_;
  EventKind kind_;
};

// Maps prefixes of event names to kinds. The first matching rule applies.
constexpr auto kEventKindRules = std::to_array<EventKindRule>({
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

EventKind EventKindOf(std::string_view name) {
  for (const EventKindRule& rule : kEventKindRules) {
    if (name.starts_with(rule.prefix_)) return rule.kind_;
  }
  return EventKind::kOther;
}

// Returns true for events about a zone record, which are shown as zone events.
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
  event.time_us_ = *time;
  event.kind_ = EventKindOf(event.name_);
  if (IsZoneRecord(event)) event.kind_ = EventKind::kZone;
  return event;
}

struct HostLogState {
  bool is_running_ = false;  // Logged a start event and no `stopped` event since.
  std::int64_t last_event_us_ = 0;
};

Event MakeLogEnds(const std::string& host, std::int64_t time) {
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
  const auto earlier = [](const Event& a, const Event& b) { return a.time_us_ < b.time_us_; };
  std::stable_sort(timeline.events_.begin(), timeline.events_.end(), earlier);
  std::map<std::string, HostLogState> hosts;
  std::vector<Event> log_ends;
  for (const Event& event : timeline.events_) {
    HostLogState& host = hosts[event.host_];
    if (event.kind_ == EventKind::kStart) {
      if (host.is_running_) log_ends.push_back(MakeLogEnds(event.host_, host.last_event_us_));
      host.is_running_ = true;
    }
    if (event.name_ == "stopped") host.is_running_ = false;
    host.last_event_us_ = event.time_us_;
  }
  for (const auto& [name, host] : hosts) {
    if (host.is_running_ &&
        host.last_event_us_ + kMaxLogIntervalUs < timeline.events_.back().time_us_) {
      log_ends.push_back(MakeLogEnds(name, host.last_event_us_));
    }
  }
  timeline.events_.insert(timeline.events_.end(), log_ends.begin(), log_ends.end());
  std::stable_sort(timeline.events_.begin(), timeline.events_.end(), earlier);
}

Timeline FilterByCall(const Timeline& timeline, const std::string& call_id) {
  Timeline filtered{{}, timeline.line_count_, timeline.malformed_line_count_};
  std::copy_if(timeline.events_.begin(), timeline.events_.end(),
               std::back_inserter(filtered.events_), [&call_id](const Event& event) {
                 return std::any_of(event.fields_.begin(), event.fields_.end(),
                                    [&call_id](const auto& field) {
                                      return (field.first == "call" || field.first == "call_id") &&
                                             field.second == call_id;
                                    });
               });
  return filtered;
}

}  // namespace monsoonshelf::timeline
