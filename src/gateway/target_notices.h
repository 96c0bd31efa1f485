#pragma once

#include <optional>
#include <string>

#include "base/base_types.h"

namespace monsoonshelf::gateway {

// What a target says about further requests of this host, in its response to a request or a probe.
struct TargetNotice {
  bool leaving_ = false;           // It stops soon.
  std::optional<Duration> pause_;  // It wants no requests for this time.
  std::string problem_;            // Why a header of the notice is ignored; empty if none is.
};

// The notices of one incarnation of a target that are in effect on this host.
struct TargetNotices {
  bool leaving_ = false;  // Until the target starts again.
  Time paused_until_{};   // Zero if it has not asked for a pause.
};

struct NoticeChange {
  bool leaving_ = false;  // The target is leaving, which was not known before.
  bool paused_ = false;   // A pause begins or is extended.
};

// Longest pause that a target can ask for. It bounds the effect of a faulty header.
inline constexpr Duration kMaxTargetPause = std::chrono::minutes(10);

// Applies a notice that was received at `now`. A pause never ends earlier than another notice said.
// Up to a quarter of its time, within a limit, is added at random, so that the hosts do not return
// together.
NoticeChange ApplyNotice(TargetNotices& notices, const TargetNotice& notice, Random& random,
                         Time now);
// Returns whether the target wants requests from this host.
bool WantsRequests(const TargetNotices& notices, Time now);

}  // namespace monsoonshelf::gateway
