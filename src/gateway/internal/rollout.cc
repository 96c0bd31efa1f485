#include "gateway/rollout.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace monsoonshelf::gateway {

namespace {

// Part of the allowed share that is used. Requests that are rejected do not reach the service, but
// are counted by the host that chooses among them.
constexpr double kUsedShare = 0.6;
// A host that has not heard of a deciding host for this time stops to expose requests: the version
// may be condemned. Covers four lost replies.
constexpr Duration kConfirmationTime = std::chrono::milliseconds(2200);
// A target in each zone tells a fault of the version from that of a machine if there are several.
constexpr std::size_t kMinExposedTargets = 3;

constexpr double kFirstBucketMs = 1.0;
constexpr double kBucketFactor = 1.25;
// A response is slow from this many buckets above the median of the old version: 2.4 to 3 times as
// long. A target that is full takes up to 1.8 times as long.
constexpr std::size_t kSlowBuckets = 5;
// Responses of the old version to a route from which its median is known.
constexpr std::uint32_t kMinOldResponses = 50;

// Chance at which a version as good as the old one is condemned by one comparison. A roll-out has
// about a thousand of them.
constexpr double kMaxErrorChance = 1e-7;
// The same for the responses without those of the worst target.
constexpr double kMaxErrorChanceOfRest = 1e-3;
constexpr std::uint32_t kMinBad = 6;
constexpr std::uint32_t kMinBadOfRest = 2;
// With a single target, a fault of its machine cannot be told from one of the version.
constexpr std::uint32_t kMinBadOfOneTarget = 12;
// The old version is taken to be at least this bad, and a good version may be worse by this factor.
constexpr double kMinFailureShare = 0.01;
constexpr double kMinSlowShare = 0.03;
constexpr double kToleratedFactor = 1.7;
constexpr double kMaxExpectedShare = 0.95;

constexpr std::array<Duration, 2> kWindows = {std::chrono::seconds(4), std::chrono::seconds(12)};

// Time before the deadline at which the old version is given up, and its part of a short duration.
constexpr Duration kFinishLead = std::chrono::milliseconds(6500);
constexpr double kMaxFinishPart = 0.3;
// Time from then until the old targets may stop: the notice reaches all hosts, and requests end.
constexpr Duration kFinishTime = std::chrono::milliseconds(1500);
constexpr Duration kMaxFinishTime = std::chrono::milliseconds(3000);
// Requests to the new version that are enough for a verdict.
constexpr std::uint64_t kEnoughRequests = 20;
// Requests to the old version, in the same time, after which the new one should have had enough.
constexpr std::uint64_t kManyRequests = 1000;
constexpr Duration kRankDelay = std::chrono::milliseconds(1000);
constexpr Duration kHeardTime = std::chrono::seconds(2);

// One comparison: requests of the new version, the bad ones among them by target, and the share of
// bad ones that is expected.
struct Comparison {
  double expected_ = 0;  // Number of bad ones.
  std::uint32_t requests_ = 0;
  std::uint32_t bad_ = 0;
  std::map<TargetId, std::pair<std::uint32_t, std::uint32_t>> targets_;  // Requests, bad ones.
};

void Add(ResponseCounts& sum, const ResponseCounts& part) {
  sum.requests_ += part.requests_;
  sum.failures_ += part.failures_;
  for (std::size_t i = 0; i < kDurationBuckets; ++i) sum.durations_[i] += part.durations_[i];
}

std::uint32_t Less(std::uint32_t later, std::uint32_t earlier) {
  return later - std::min(later, earlier);
}

// A restarted host reports lower counts than before.
ResponseCounts Difference(const ResponseCounts& later, const ResponseCounts& earlier) {
  ResponseCounts result;
  result.requests_ = Less(later.requests_, earlier.requests_);
  result.failures_ = Less(later.failures_, earlier.failures_);
  for (std::size_t i = 0; i < kDurationBuckets; ++i) {
    result.durations_[i] = Less(later.durations_[i], earlier.durations_[i]);
  }
  return result;
}

RolloutCounts Difference(const RolloutCounts& later, const RolloutCounts& earlier) {
  RolloutCounts result;
  for (const auto& [route, counts] : later) {
    const auto found = earlier.find(route);
    RouteCounts& left = result[route];
    if (found == earlier.end()) {
      left = counts;
      continue;
    }
    left.old_ = Difference(counts.old_, found->second.old_);
    for (const auto& [target, part] : counts.new_) {
      const auto before = found->second.new_.find(target);
      left.new_[target] =
          before == found->second.new_.end() ? part : Difference(part, before->second);
    }
  }
  return result;
}

RolloutCounts Total(const RolloutTally& tally) {
  RolloutCounts total;
  for (const auto& [name, host] : tally.hosts_) {
    for (const auto& [route, counts] : host.counts_) {
      RouteCounts& sum = total[route];
      Add(sum.old_, counts.old_);
      for (const auto& [target, part] : counts.new_) Add(sum.new_[target], part);
    }
  }
  return total;
}

// Returns the share of bad responses that is expected of a good version, from those of the old one.
// Few responses of the old one give a high share.
double ExpectedShare(std::uint32_t bad, std::uint32_t requests, double min_share) {
  const double doubtful = 1 + std::sqrt(static_cast<double>(bad) + 1);
  const double share = (bad + doubtful) / (static_cast<double>(requests) + 1);
  return std::clamp(kToleratedFactor * share, min_share, kMaxExpectedShare);
}

// Returns the chance that `requests` responses have at least `bad` bad ones.
double TailChance(std::uint32_t requests, std::uint32_t bad, double share) {
  if (bad == 0) return 1;
  double sum = 0;
  for (std::uint32_t i = bad; i <= requests; ++i) {
    const double log_chance = std::lgamma(requests + 1.0) - std::lgamma(i + 1.0) -
                              std::lgamma(requests - i + 1.0) + i * std::log(share) +
                              (requests - i) * std::log1p(-share);
    const double chance = std::exp(log_chance);
    sum += chance;
    if (i > requests * share && chance < sum * 1e-9) break;
  }
  return std::min(1.0, sum);
}

bool IsBad(const Comparison& comparison) {
  if (comparison.requests_ == 0 || comparison.bad_ < kMinBad) return false;
  const double share = std::min(kMaxExpectedShare, comparison.expected_ / comparison.requests_);
  if (TailChance(comparison.requests_, comparison.bad_, share) > kMaxErrorChance) return false;
  if (comparison.targets_.size() < 2) return comparison.bad_ >= kMinBadOfOneTarget;
  const auto worst = std::max_element(
      comparison.targets_.begin(), comparison.targets_.end(),
      [](const auto& left, const auto& right) { return left.second.second < right.second.second; });
  const std::uint32_t requests = comparison.requests_ - worst->second.first;
  const std::uint32_t bad = comparison.bad_ - worst->second.second;
  return bad >= kMinBadOfRest && TailChance(requests, bad, share) <= kMaxErrorChanceOfRest;
}

void Add(Comparison& sum, const Comparison& part) {
  sum.expected_ += part.expected_;
  sum.requests_ += part.requests_;
  sum.bad_ += part.bad_;
  for (const auto& [target, counts] : part.targets_) {
    sum.targets_[target].first += counts.first;
    sum.targets_[target].second += counts.second;
  }
}

Comparison CompareFailures(const RouteCounts& counts) {
  Comparison result;
  for (const auto& [target, part] : counts.new_) {
    if (part.requests_ == 0) continue;
    result.requests_ += part.requests_;
    result.bad_ += part.failures_;
    result.targets_[target] = {part.requests_, part.failures_};
  }
  result.expected_ = result.requests_ *
                     ExpectedShare(counts.old_.failures_, counts.old_.requests_, kMinFailureShare);
  return result;
}

std::uint32_t CountFrom(const ResponseCounts& counts, std::size_t bucket) {
  std::uint32_t sum = 0;
  for (std::size_t i = bucket; i < kDurationBuckets; ++i) sum += counts.durations_[i];
  return sum;
}

Comparison CompareDurations(const RouteCounts& counts) {
  Comparison result;
  const std::uint32_t old_responses = CountFrom(counts.old_, 0);
  if (old_responses < kMinOldResponses) return result;
  std::size_t median = 0;
  while (CountFrom(counts.old_, median + 1) * 2 > old_responses) ++median;
  const std::size_t slow = median + kSlowBuckets;
  for (const auto& [target, part] : counts.new_) {
    const std::uint32_t responses = CountFrom(part, 0);
    if (responses == 0) continue;
    const std::uint32_t bad = CountFrom(part, slow);
    result.requests_ += responses;
    result.bad_ += bad;
    result.targets_[target] = {responses, bad};
  }
  result.expected_ =
      result.requests_ * ExpectedShare(CountFrom(counts.old_, slow), old_responses, kMinSlowShare);
  return result;
}

std::string Describe(const std::string& what, const std::string& route, const Comparison& found) {
  return what + " on " + route + ": " + std::to_string(found.bad_) + " of " +
         std::to_string(found.requests_) + " from " + std::to_string(found.targets_.size()) +
         " targets, expected " + std::to_string(std::lround(found.expected_));
}

std::string CompareVersions(const RolloutCounts& counts) {
  Comparison all_failures;
  Comparison all_slow;
  for (const auto& [route, part] : counts) {
    const Comparison failures = CompareFailures(part);
    if (IsBad(failures)) return Describe("failures", route, failures);
    const Comparison slow = CompareDurations(part);
    if (IsBad(slow)) return Describe("slow responses", route, slow);
    Add(all_failures, failures);
    Add(all_slow, slow);
  }
  if (IsBad(all_failures)) return Describe("failures", "all routes", all_failures);
  if (IsBad(all_slow)) return Describe("slow responses", "all routes", all_slow);
  return {};
}

}  // namespace

RolloutPhase PhaseOf(RolloutState state, RolloutNotice notice) {
  if (state == RolloutState::kSucceeded) return RolloutPhase::kNewOnly;
  if (state == RolloutState::kRolledBack) return RolloutPhase::kOldOnly;
  if (notice == RolloutNotice::kCondemned) return RolloutPhase::kOldOnly;
  return notice == RolloutNotice::kFinish ? RolloutPhase::kNewOnly : RolloutPhase::kExposing;
}

bool MayReceive(RolloutPhase phase, RolloutSide side, bool is_new, bool is_exposed_target) {
  if (phase == RolloutPhase::kNewOnly) return is_new;
  if (phase == RolloutPhase::kOldOnly) return !is_new;
  return is_new ? side == RolloutSide::kNew && is_exposed_target : side == RolloutSide::kOld;
}

double ExposedShare(const FleetBounds& bounds) { return kUsedShare * bounds.exposure_share_; }

bool TakeExposure(double& credit, double share) {
  credit += share;
  if (credit < 1) return false;
  credit -= 1;
  return true;
}

bool MayExpose(Time confirmed_at, Time now) {
  return confirmed_at != Time{} && now - confirmed_at <= kConfirmationTime;
}

std::vector<TargetId> SelectExposedTargets(const std::string& service,
                                           const std::vector<ExposureCandidate>& candidates) {
  std::map<std::string, std::vector<std::pair<std::uint64_t, TargetId>>> by_zone;
  for (const ExposureCandidate& candidate : candidates) {
    const std::string key = service + ' ' + candidate.id_;
    by_zone[candidate.zone_].emplace_back(XXH3_64bits(key.data(), key.size()), candidate.id_);
  }
  std::vector<TargetId> selected;
  if (by_zone.empty()) return selected;
  const std::size_t per_zone = (kMinExposedTargets + by_zone.size() - 1) / by_zone.size();
  for (auto& [zone, targets] : by_zone) {
    std::sort(targets.begin(), targets.end());
    for (std::size_t i = 0; i < std::min(per_zone, targets.size()); ++i) {
      selected.push_back(targets[i].second);
    }
  }
  return selected;
}

void AddResponse(ResponseCounts& counts, bool is_failure, Duration duration) {
  ++counts.requests_;
  if (is_failure) {
    ++counts.failures_;
    return;
  }
  const double ratio = std::max(1.0, ToMilliseconds(duration) / kFirstBucketMs);
  const auto bucket = static_cast<std::size_t>(std::log(ratio) / std::log(kBucketFactor));
  ++counts.durations_[std::min(bucket, kDurationBuckets - 1)];
}

void ApplyReport(RolloutTally& tally, const HostName& host, const RolloutReport& report, Time now) {
  RolloutTally::Host& known = tally.hosts_[host];
  known.heard_at_ = now;
  if (report.epoch_ < known.epoch_) return;
  known.notice_ =
      report.epoch_ > known.epoch_ ? report.notice_ : std::max(known.notice_, report.notice_);
  if (report.epoch_ > known.epoch_) known.counts_.clear();
  known.epoch_ = report.epoch_;
  const auto replace = [](ResponseCounts& present, const ResponseCounts& reported) {
    if (reported.requests_ >= present.requests_) present = reported;
  };
  for (const auto& [route, counts] : report.counts_) {
    RouteCounts& present = known.counts_[route];
    replace(present.old_, counts.old_);
    for (const auto& [target, part] : counts.new_) replace(present.new_[target], part);
  }
}

std::string FindFault(RolloutTally& tally, Time now) {
  const RolloutCounts total = Total(tally);
  std::string fault = CompareVersions(total);
  for (const Duration window : kWindows) {
    if (!fault.empty()) break;
    // The latest snapshot that is older than the window.
    const RolloutCounts* begin = nullptr;
    for (const auto& [at, counts] : tally.snapshots_) {
      if (now - at >= window) begin = &counts;
    }
    if (begin != nullptr) fault = CompareVersions(Difference(total, *begin));
  }
  tally.snapshots_.emplace_back(now, total);
  while (tally.snapshots_.size() > 1 && now - tally.snapshots_[1].first > kWindows.back()) {
    tally.snapshots_.pop_front();
  }
  return fault;
}

std::pair<std::uint64_t, std::uint64_t> CountRequests(const RolloutTally& tally) {
  std::pair<std::uint64_t, std::uint64_t> sums;
  for (const auto& [name, host] : tally.hosts_) {
    for (const auto& [route, counts] : host.counts_) {
      sums.first += counts.old_.requests_;
      for (const auto& [target, part] : counts.new_) sums.second += part.requests_;
    }
  }
  return sums;
}

bool HaveAllFinished(const RolloutTally& tally, Time now) {
  return std::all_of(tally.hosts_.begin(), tally.hosts_.end(), [now](const auto& item) {
    return item.second.notice_ != RolloutNotice::kGoOn || now - item.second.heard_at_ > kHeardTime;
  });
}

RolloutStep NextStep(const RolloutView& view) {
  if (view.state_ == RolloutState::kSucceeded || view.state_ == RolloutState::kRolledBack) {
    return RolloutStep::kNone;
  }
  if (view.notice_ == RolloutNotice::kCondemned) return RolloutStep::kRollBack;
  if (view.state_ == RolloutState::kOrdered) return RolloutStep::kRun;
  if (view.notice_ == RolloutNotice::kFinish) {
    const bool may_stop = view.finishing_for_ >= kFinishTime && view.have_all_finished_;
    return may_stop || view.finishing_for_ >= kMaxFinishTime ? RolloutStep::kSucceed
                                                             : RolloutStep::kNone;
  }
  const Duration lead =
      std::min(kFinishLead, std::chrono::duration_cast<Duration>(view.duration_ * kMaxFinishPart));
  if (view.elapsed_ < view.duration_ - lead) return RolloutStep::kNone;
  // A new version that got next to nothing of many requests answers none of them.
  const bool is_seen = view.new_requests_ >= kEnoughRequests ||
                       (view.new_requests_ > 0 && view.old_requests_ < kManyRequests);
  return is_seen ? RolloutStep::kFinish : RolloutStep::kRollBack;
}

Duration StepDelay(std::size_t rank) { return kRankDelay * static_cast<int>(rank); }

}  // namespace monsoonshelf::gateway
