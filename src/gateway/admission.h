#pragma once

#include "base/base_types.h"
#include "gateway/placement.h"

namespace monsoonshelf::gateway {

struct AdmissionDecision {
  bool admitted_ = true;
  Duration retry_after_{};  // If rejected: estimated time until the target has capacity again.
};

// Decides whether to send a request to `best`, the target that was chosen for it and that is
// expected to respond after `expected`. Rejects the request if its remaining time is shorter, or if
// it would miss its latency objective in the target's queue. Under overload, a long queue makes
// every request late, while a short queue serves as many requests in time as the targets can
// handle.
AdmissionDecision DecideAdmission(const Candidate& best, const PlacementInputs& inputs,
                                  Duration expected, Duration time_left, Duration objective_left);

// Returns the time after which a hedged request is sent to a second target. It is short enough for
// the second target to meet the latency objective, but long enough for most requests to be answered
// by the first one.
Duration HedgeDelay(Duration service_time, Duration expected, Duration objective_left);

// Requests of one service, as exponentially decayed counts that cover about the last second.
struct RecentRequests {
  double answered_ = 0;
  double refused_ = 0;
  Time updated_{};
};

void RecordAnswered(RecentRequests& recent, Time now);
void RecordRefused(RecentRequests& recent, Time now);

// Returns the Retry-After time for a rejected caller: `min_delay` plus a random part. The random
// part is at most `min_delay` plus the time, within a limit, that the targets need for all recently
// rejected requests.
Duration JitterRetryDelay(Duration min_delay, const RecentRequests& recent, Random& random);
// Returns the Retry-After time if no target is known or none responds.
Duration NoTargetRetryDelay(Random& random);
// Retry-After time while the entry host starts.
inline constexpr Duration kNotReadyRetryDelay = std::chrono::milliseconds(500);

}  // namespace monsoonshelf::gateway
