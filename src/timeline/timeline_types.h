#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/enum_names.h"
#include "base/key_value.h"

namespace monsoonshelf::timeline {

// What an event is about; decides its colour and mark.
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
  std::int64_t time_ = 0;  // Microseconds since 1970 by the clock of its host.
  std::string host_;
  std::string name_;
  EventKind kind_ = EventKind::kOther;
  KeyValues fields_;  // Without time, host and event.
};

struct Timeline {
  std::vector<Event> events_;
  std::size_t line_count_ = 0;
  std::size_t malformed_line_count_ = 0;  // Truncated lines included.
};

}  // namespace monsoonshelf::timeline
