#include "gateway/placement.h"

#include <algorithm>
#include <tuple>

namespace monsoonshelf::gateway {

namespace {

// Targets are slower when nearly all slots are taken. Share of the slots and factor as seen on the
// users' targets.
constexpr double kBusyShare = 0.8;
constexpr double kBusyFactor = 1.7;
// A cold target takes about twice as long.
constexpr double kColdFactor = 2.0;
// Another zone must be better by this factor, so that small differences cause no traffic there.
constexpr double kCrossZoneFactor = 1.25;
// Large answers stay in the zone unless the targets there are this much slower.
constexpr double kLargeAnswerFactor = 4.0;
// Beyond this factor of the usual time a wider search pays.
constexpr double kWideningFactor = 1.45;

double TimeFactor(const Candidate& candidate) {
  const int slots = std::max(1, candidate.load_ ? candidate.load_->slots_ : candidate.slots_);
  const int present = candidate.load_ ? candidate.load_->running_ + candidate.load_->waiting_
                                      : candidate.own_in_flight_;
  const int occupied = present + 1;
  double factor = 1;
  if (occupied > kBusyShare * slots) factor = kBusyFactor;
  if (occupied > slots) factor *= 1 + static_cast<double>(occupied - slots) / slots;
  if (candidate.load_) factor *= std::max(1, candidate.load_->slowness_percent_) / 100.0;
  if (candidate.cold_) factor *= kColdFactor;
  return factor;
}

// Order of preference that no expected time outweighs.
int Rank(const Candidate& candidate) {
  return (candidate.ejected_ ? 2 : 0) + (candidate.unresponsive_ ? 2 : 0) +
         (candidate.reports_ill_ ? 1 : 0);
}

double Cost(const Candidate& candidate, const PlacementInputs& inputs) {
  auto cost = static_cast<double>(ExpectedTime(candidate, inputs).count());
  if (!candidate.own_zone_) cost *= inputs.large_answer_ ? kLargeAnswerFactor : kCrossZoneFactor;
  return cost;
}

}  // namespace

Duration ExpectedTime(const Candidate& candidate, const PlacementInputs& inputs) {
  const auto time = std::chrono::duration_cast<Duration>(inputs.work_ * TimeFactor(candidate));
  return candidate.own_zone_ ? time : time + inputs.cross_zone_delay_;
}

std::optional<std::size_t> ChooseTarget(const std::vector<Candidate>& candidates,
                                        const PlacementInputs& inputs) {
  const Candidate* best = nullptr;
  const auto key = [&inputs](const Candidate& candidate) {
    return std::tuple(Rank(candidate), Cost(candidate, inputs));
  };
  for (const Candidate& candidate : candidates) {
    if (best == nullptr || key(candidate) < key(*best)) best = &candidate;
  }
  if (best == nullptr) return std::nullopt;
  return best->index_;
}

bool IsWorthWidening(const Candidate& best, const PlacementInputs& inputs) {
  const double factor = inputs.large_answer_ ? kLargeAnswerFactor : kWideningFactor;
  return Rank(best) > 0 || TimeFactor(best) > factor;
}

std::vector<std::size_t> PickProbes(std::vector<Candidate> candidates, std::size_t count,
                                    Random& random) {
  std::shuffle(candidates.begin(), candidates.end(), random);
  std::stable_sort(
      candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
        const auto key = [](const Candidate& candidate) {
          return std::tuple(Rank(candidate), candidate.own_in_flight_ >= candidate.slots_,
                            !candidate.preferred_);
        };
        return key(left) < key(right);
      });
  std::vector<std::size_t> picked;
  for (const Candidate& candidate : candidates) {
    if (picked.size() == count) break;
    picked.push_back(candidate.index_);
  }
  return picked;
}

}  // namespace monsoonshelf::gateway
