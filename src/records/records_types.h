#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/base_types.h"
#include "base/enum_names.h"

namespace monsoonshelf::records {

enum class Kind { kService, kTarget, kZone, kRule };

inline constexpr EnumNames<Kind, 4> kKindNames = {{
    {Kind::kService, "service"},
    {Kind::kTarget, "target"},
    {Kind::kZone, "zone"},
    {Kind::kRule, "rule"},
}};

// Priority classes of calls. Batch calls may wait, but are always answered or rejected.
enum class CallClass { kInteractive, kTransactional, kBulk, kBatch };

inline constexpr EnumNames<CallClass, 4> kCallClassNames = {{
    {CallClass::kInteractive, "interactive"},
    {CallClass::kTransactional, "transactional"},
    {CallClass::kBulk, "bulk"},
    {CallClass::kBatch, "batch"},
}};

enum class TargetState { kActive, kLeaving };

inline constexpr EnumNames<TargetState, 2> kTargetStateNames = {{
    {TargetState::kActive, "active"},
    {TargetState::kLeaving, "leaving"},
}};

enum class ZoneState { kIn, kOut };

inline constexpr EnumNames<ZoneState, 2> kZoneStateNames = {{
    {ZoneState::kIn, "in"},
    {ZoneState::kOut, "out"},
}};

// Whether calls may be sent to targets in other availability zones.
enum class ZonePreference { kOwnFirst, kOwnOnly, kAny };

inline constexpr EnumNames<ZonePreference, 3> kZonePreferenceNames = {{
    {ZonePreference::kOwnFirst, "own_first"},
    {ZonePreference::kOwnOnly, "own_only"},
    {ZonePreference::kAny, "any"},
}};

// The limits apply to one target, in total over all entry hosts.
struct Service {
  std::string default_rule_;      // Name of the rule for calls that match no rule.
  int slots_ = 2;                 // Maximum concurrent calls of a ready target.
  int cold_limit_ = 1;            // Maximum concurrent calls of a cold target.
  int max_connections_ = 220;     // Maximum open connections of a target.
  double probes_per_second_ = 2;  // Load requests sent to a target per second.
};

struct Target {
  std::string service_;
  std::string zone_;
  std::string address_;  // IP address and port.
  TargetState state_ = TargetState::kActive;
};

struct Zone {
  std::string region_;
  ZoneState state_ = ZoneState::kIn;
};

struct Rule {
  std::string service_;
  std::string method_;       // Empty matches every method.
  std::string path_prefix_;  // The longest matching prefix wins.
  CallClass class_ = CallClass::kInteractive;
  Duration deadline_ = std::chrono::seconds(2);  // Default and upper bound of a call.
  bool idempotent_ = false;
  int max_attempts_ = 2;  // Maximum sends of a call to targets, including the first.
  ZonePreference zone_preference_ = ZonePreference::kOwnFirst;
  int priority_ = 0;                         // Higher priorities go first within a class.
  std::int64_t max_request_body_ = 1 << 20;  // Bytes.
  int shards_per_zone_ = 1;                  // Schema 2.
  double hedge_percent_ = 0;                 // Schema 2. Share of idempotent calls to hedge.
};

using Spec = std::variant<Service, Target, Zone, Rule>;

// A validated record. `text_` is the JSON text from which the record was parsed, including unknown
// fields; empty if the record was not parsed.
struct Record {
  Kind kind_ = Kind::kService;
  int schema_ = 1;
  std::string name_;
  Spec spec_;
  std::string text_;
};

}  // namespace monsoonshelf::records
