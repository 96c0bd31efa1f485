#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/base_types.h"
#include "gateway/gateway_types.h"

namespace monsoonshelf::gateway {

// What is known of a target at the moment of a choice.
struct Candidate {
  std::size_t index_ = 0;  // Given by the caller, returned with the choice.
  bool own_zone_ = true;
  bool preferred_ = true;      // One of the few that this host keeps connections to.
  bool ejected_ = false;       // Failed recently.
  bool unresponsive_ = false;  // A recent probe got no answer.
  bool reports_ill_ = false;   // Its health answer was negative.
  int own_in_flight_ = 0;      // Requests of this entry host at the target.
  int slots_ = 1;              // As registered.
  bool cold_ = false;
  std::optional<TargetLoad> load_;  // From a probe of this moment; absent if it tells none.
};

struct PlacementInputs {
  Duration work_{};              // Usual time of one request of the service on an idle target.
  bool work_known_ = true;       // Otherwise it is a guess.
  Duration cross_zone_delay_{};  // Added by a round trip to another zone.
  bool large_answer_ = false;    // Costs a lot between zones.
};

// Expected time from the send to the answer if one more request is sent to the target.
Duration ExpectedTime(const Candidate& candidate, const PlacementInputs& inputs);

// The candidate with the shortest expected time, sound ones and those of the own zone first.
// Nothing only if there is no candidate.
std::optional<std::size_t> ChooseTarget(const std::vector<Candidate>& candidates,
                                        const PlacementInputs& inputs);

// Whether a wider search could find a target that is clearly better than this one.
bool IsWorthWidening(const Candidate& best, const PlacementInputs& inputs);

// Whom to ask for their load: up to `count` of the candidates, in random order, those that are
// likely to answer well first. Returns values of index_.
std::vector<std::size_t> PickProbes(std::vector<Candidate> candidates, std::size_t count,
                                    Random& random);

}  // namespace monsoonshelf::gateway
