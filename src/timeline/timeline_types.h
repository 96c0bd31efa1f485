#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/enum_names.h"
#include "base/key_value.h"

namespace monsoonshelf::timeline {

// Category of an event. Determines its colour and marker in the chart.
enum class EventKind { kCall, kZone, kStart, kStop, kKill, kMember, kLease, kRecord, kOther };

inline constexpr EnumNames<EventKind, 9> kEventKindNames = {{
    {EventKind::kCall, "call"},
    {EventKind::kZone, "zone"},
    {EventKind::kStart, "start"},
    {EventKind::kStop, "stop"},
    {EventKind::kKill, "kill"},
    {EventKind::kMember, "member"},
    {EventKind::kLease, "lease"},
    {EventKind::kRecord, "record"},
    {EventKind::kOther, "other"},
}};

struct Event {
  std::int64_t time_us_ = 0;  // Microseconds since the Unix epoch, by the clock of the host.
  std::string host_;
  std::string name_;
  EventKind kind_ = EventKind::kOther;
  KeyValues fields_;  // All fields of the line except `time`, `host` and `event`.
};

struct Timeline {
  std::vector<Event> events_;
  std::size_t line_count_ = 0;
  std::size_t malformed_line_count_ = 0;  // Includes truncated lines.
};

}  // namespace monsoonshelf::timeline
