#include "gateway/placement.h"

#include <algorithm>
#include <tuple>

namespace monsoonshelf::gateway {

namespace {

// Slowdown of nearly full targets in the expected response time.
constexpr double kBusyFactor = kDefaultBusyFactor;
// A cold target takes about twice as long to respond.
constexpr double kColdFactor = 2.0;
// A target in another zone must be faster by this factor, so that small differences cause no
// cross-zone traffic.
constexpr double kCrossZoneFactor = 1.25;
// Large responses stay in the zone unless its targets are slower by this factor.
constexpr double kLargeBodyFactor = 4.0;
// More targets are probed if the best one is slower than an idle target by more than this factor.
constexpr double kWideningFactor = 1.45;

int SlotsOf(const Candidate& candidate) {
  return std::max(1, candidate.load_ ? candidate.load_->slots_ : candidate.slots_);
}

// Returns the number of running and waiting requests.
int PresentRequests(const Candidate& candidate) {
  return candidate.load_ ? candidate.load_->running_ + candidate.load_->waiting_
                         : candidate.local_in_flight_;
}

// Returns the expected response time relative to the service time on an idle target.
double SlowdownFactor(const Candidate& candidate) {
  const int slots = SlotsOf(candidate);
  const int occupied = PresentRequests(candidate) + 1;
  double factor = 1;
  if (IsNearlyFull(occupied, slots)) factor = kBusyFactor;
  if (occupied > slots) factor *= 1 + static_cast<double>(occupied - slots) / slots;
  if (candidate.load_) factor *= std::max(1, candidate.load_->slowness_percent_) / 100.0;
  if (candidate.cold_) factor *= kColdFactor;
  return factor;
}

// Returns a penalty that precedes the expected response time in the order of candidates; 0 is
// healthy.
int HealthPenalty(const Candidate& candidate) {
  return (candidate.ejected_ ? 2 : 0) + (candidate.unresponsive_ ? 2 : 0) +
         (candidate.reports_unhealthy_ ? 1 : 0);
}

// Returns the expected response time, weighted for cross-zone traffic.
double Cost(const Candidate& candidate, const PlacementInputs& inputs) {
  auto cost = static_cast<double>(ExpectedResponseTime(candidate, inputs).count());
  if (!candidate.same_zone_) cost *= inputs.large_response_ ? kLargeBodyFactor : kCrossZoneFactor;
  return cost;
}

}  // namespace

bool IsAboveEfficientLoad(const Candidate& candidate, const PlacementInputs& inputs) {
  const int slots = SlotsOf(candidate);
  const int limit = EfficientConcurrency(slots, inputs.busy_factor_);
  const int left_free = inputs.leaves_last_slot_ && !candidate.just_freed_ ? 1 : 0;
  return limit < slots && PresentRequests(candidate) >= std::max(1, limit - left_free);
}

Duration ExpectedResponseTime(const Candidate& candidate, const PlacementInputs& inputs) {
  const auto time =
      std::chrono::duration_cast<Duration>(inputs.service_time_ * SlowdownFactor(candidate));
  return candidate.same_zone_ ? time : time + inputs.cross_zone_delay_;
}

std::optional<std::size_t> ChooseTarget(const std::vector<Candidate>& candidates,
                                        const PlacementInputs& inputs) {
  const Candidate* best = nullptr;
  const auto key = [&inputs](const Candidate& candidate) {
    const bool is_second_choice = IsAboveEfficientLoad(candidate, inputs) ||
                                  ExpectedResponseTime(candidate, inputs) > inputs.objective_left_;
    return std::tuple(HealthPenalty(candidate), is_second_choice, Cost(candidate, inputs));
  };
  for (const Candidate& candidate : candidates) {
    if (best == nullptr || key(candidate) < key(*best)) best = &candidate;
  }
  if (best == nullptr) return std::nullopt;
  return best->index_;
}

bool ShouldWidenSearch(const Candidate& best, const PlacementInputs& inputs) {
  const double factor = inputs.large_response_ ? kLargeBodyFactor : kWideningFactor;
  return HealthPenalty(best) > 0 || SlowdownFactor(best) > factor;
}

std::vector<std::size_t> SelectProbeTargets(std::vector<Candidate> candidates, std::size_t count,
                                            Random& random) {
  std::shuffle(candidates.begin(), candidates.end(), random);
  std::stable_sort(
      candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
        const auto key = [](const Candidate& candidate) {
          return std::tuple(HealthPenalty(candidate),
                            candidate.local_in_flight_ >= candidate.slots_, !candidate.preferred_);
        };
        return key(left) < key(right);
      });
  std::vector<std::size_t> selected;
  for (const Candidate& candidate : candidates) {
    if (selected.size() == count) break;
    selected.push_back(candidate.index_);
  }
  return selected;
}

}  // namespace monsoonshelf::gateway
