#pragma once

#include "base/base_types.h"
#include "gateway/placement.h"

namespace monsoonshelf::gateway {

enum class AdmissionAction {
  kSend,
  kQueue,   // Wait at this host, then look for a target again.
  kReject,  // Respond 503.
};

struct AdmissionDecision {
  AdmissionAction action_ = AdmissionAction::kSend;
  Duration retry_after_{};  // If rejected: estimated time until the target has capacity again.
};

// Requests of one service at this entry host.
struct ServiceLoad {
  int queued_ = 0;  // Requests that wait for a target below its efficient load.
  double answered_per_second_ = 0;
  bool yields_ = false;  // The request leaves the queues of targets to more urgent ones.
};

// Decides whether to send a request to `best`, the target that was chosen for it and that is
// expected to respond after `expected`. Rejects the request if its remaining time is shorter, or if
// it would miss its latency objective in the target's queue. Under overload, a long queue makes
// every request late, while a short queue serves as many requests in time as the targets can
// handle. If `best` is above its efficient load, the request waits, or is rejected at once if the
// ones that wait already use up its time.
AdmissionDecision DecideAdmission(const Candidate& best, const PlacementInputs& inputs,
                                  Duration expected, Duration time_left, Duration objective_left,
                                  const ServiceLoad& service = {});

// Returns the number of requests of a service that may wait at this host, so that the last one
// still meets its objective.
int MaxQueuedRequests(const ServiceLoad& service, Duration service_time, Duration objective_left);

// Time after which a waiting request looks for a target again.
inline constexpr Duration kQueuePollInterval = std::chrono::milliseconds(20);

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

// Returns whether a request may take the last slot of a target below its efficient load. Load
// pattern: many entry hosts see the same free slot at once, and a target that all of them take is
// overloaded. Under overload, a new request takes it with the probability with which the requests
// of the service were answered, and one that waits leaves it to the host that freed it.
bool TakesLastSlot(const RecentRequests& recent, bool waits, Time now, Random& random);

// Return the rates of the last second.
double AnsweredPerSecond(const RecentRequests& recent, Time now);
double RefusedPerSecond(const RecentRequests& recent, Time now);

// Returns the Retry-After time for a rejected caller: `min_delay` plus a random part. The random
// part is at most `min_delay` plus the time, within a limit, that the targets need for all recently
// rejected requests.
Duration JitterRetryDelay(Duration min_delay, const RecentRequests& recent, Random& random);
// Returns the Retry-After time if no target is known or none responds.
Duration NoTargetRetryDelay(Random& random);
// Retry-After time while the entry host starts.
inline constexpr Duration kNotReadyRetryDelay = std::chrono::milliseconds(500);

}  // namespace monsoonshelf::gateway
