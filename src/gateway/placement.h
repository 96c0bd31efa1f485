#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/base_types.h"
#include "gateway/concurrency.h"
#include "gateway/gateway_types.h"

namespace monsoonshelf::gateway {

// State of a target at the time of a placement decision.
struct Candidate {
  std::size_t index_ = 0;      // Set by the calling code and returned as the result of a choice.
  bool same_zone_ = true;      // In the zone of this host.
  bool preferred_ = true;      // One of the targets to which this host keeps connections.
  bool ejected_ = false;       // Ejected after recent failures.
  bool unresponsive_ = false;  // Did not answer a recent probe.
  bool reports_unhealthy_ = false;  // Its last health check response was negative.
  int local_in_flight_ = 0;         // Requests in flight from this entry host.
  int slots_ = 1;                   // Concurrent requests, as registered.
  bool cold_ = false;               // Is warming up.
  std::optional<TargetLoad> load_;  // From a probe for this request; empty if not reported.
  bool just_freed_ = false;         // This host has just received a response from it.
};

struct PlacementInputs {
  Duration service_time_{};         // Mean time of a request of the service on an idle target.
  bool service_time_known_ = true;  // False while there are too few samples.
  Duration cross_zone_delay_{};     // Added by a round trip to another zone.
  bool large_response_ = false;     // Its transfer between zones is expensive.
  double busy_factor_ = kDefaultBusyFactor;    // See BusyFactor.
  Duration objective_left_ = Duration::max();  // Until the latency objective of the request.
  // The request may not take the last slot below the efficient load; see TakesLastSlot.
  bool leaves_last_slot_ = false;
};

// Returns whether one more request would make a target with many slots answer fewer requests per
// second; see EfficientConcurrency.
bool IsAboveEfficientLoad(const Candidate& candidate, const PlacementInputs& inputs);

// Returns the expected time from sending one more request to the target until its response.
Duration ExpectedResponseTime(const Candidate& candidate, const PlacementInputs& inputs);

// Returns the index_ of the candidate with the shortest expected response time. Healthy candidates
// precede all others, then those that are expected to meet the objective below their efficient
// load, and other zones are weighted with a cost factor. Returns std::nullopt if `candidates` is
// empty.
std::optional<std::size_t> ChooseTarget(const std::vector<Candidate>& candidates,
                                        const PlacementInputs& inputs);

// Returns whether probing more targets, also in other zones, is likely to find a clearly better
// target than `best`.
bool ShouldWidenSearch(const Candidate& best, const PlacementInputs& inputs);

// Selects up to `count` candidates to probe for their load and returns their index_ values. The
// order is random, but healthy, idle and preferred candidates come first.
std::vector<std::size_t> SelectProbeTargets(std::vector<Candidate> candidates, std::size_t count,
                                            Random& random);

}  // namespace monsoonshelf::gateway
