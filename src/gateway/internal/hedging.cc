#include "gateway/hedging.h"

#include <algorithm>
#include <cmath>

namespace monsoonshelf::gateway {

namespace {

// Each bucket ends at this factor of the one before; the first one ends at kFirstBucketEnd times
// the expected time, so that the last one begins at more than ten times it.
constexpr double kBucketRatio = 1.2;
constexpr double kFirstBucketEnd = 0.25;
// Samples keep about this weight in all. A host of a large fleet sees a few responses a second.
constexpr double kHistoryWeight = 200;
// Assumed distribution: log-normal with the spread of requests on an undisturbed target, with the
// weight of this many samples.
constexpr double kAssumedWeight = 20;
constexpr double kAssumedSpread = 0.3;
// Tokens that are left for repeats after failures.
constexpr double kRetryReserve = 0.5;
// Rejections of the last second at one host above which extra work would cost others their place.
constexpr double kMaxRefusedPerSecond = 0.5;
// An allowance of more than one second request at a time would let hosts hedge in bursts.
constexpr double kMaxTokens = 1;
// A second request within this factor of the expected time would nearly always be needless.
constexpr double kMinDelayFactor = 1.3;

double BucketEnd(std::size_t bucket) {
  return kFirstBucketEnd * std::pow(kBucketRatio, static_cast<double>(bucket));
}

// Returns the share of the assumed distribution below `factor` times the expected time.
double AssumedShareBelow(double factor) {
  return 0.5 * std::erfc(-std::log(factor) / (kAssumedSpread * std::sqrt(2.0)));
}

}  // namespace

void RecordResponseTime(ResponseTimes& times, Duration duration, Duration expected) {
  if (expected.count() <= 0) return;
  const double factor =
      static_cast<double>(duration.count()) / static_cast<double>(expected.count());
  std::size_t bucket = 0;
  while (bucket + 1 < ResponseTimes::kBuckets && factor > BucketEnd(bucket)) ++bucket;
  for (double& count : times.counts_) count *= 1 - 1 / kHistoryWeight;
  times.counts_[bucket] += 1;
}

double ResponseTimeQuantile(const ResponseTimes& times, double quantile) {
  double total = kAssumedWeight;
  for (const double count : times.counts_) total += count;
  double below = 0;
  double assumed_below = 0;
  for (std::size_t bucket = 0; bucket < ResponseTimes::kBuckets; ++bucket) {
    const double assumed = AssumedShareBelow(BucketEnd(bucket));
    below += times.counts_[bucket] + kAssumedWeight * (assumed - assumed_below);
    assumed_below = assumed;
    if (below >= quantile * total) return BucketEnd(bucket);
  }
  return BucketEnd(ResponseTimes::kBuckets - 1);
}

void EarnHedge(HedgeBudget& budget, double max_share) {
  budget.tokens_ = std::min(kMaxTokens, budget.tokens_ + max_share);
}

HedgeDecision DecideHedge(const HedgeInputs& inputs, const HedgeBudget& budget) {
  if (!inputs.max_share_) return HedgeDecision::kSend;
  if (inputs.time_left_ < inputs.service_time_) return HedgeDecision::kNoTimeLeft;
  if (inputs.refused_per_second_ > kMaxRefusedPerSecond) return HedgeDecision::kOverload;
  if (inputs.retry_tokens_ < 1 + kRetryReserve) return HedgeDecision::kRetryReserve;
  if (budget.tokens_ < 1) return HedgeDecision::kOverLimit;
  return HedgeDecision::kSend;
}

void ConsumeHedge(HedgeBudget& budget) { budget.tokens_ = std::max(0.0, budget.tokens_ - 1); }

Duration LimitedHedgeDelay(const ResponseTimes& times, double max_share, Duration expected,
                           Duration default_delay) {
  const double factor = std::max(kMinDelayFactor, ResponseTimeQuantile(times, 1 - max_share));
  return std::min(default_delay, std::chrono::duration_cast<Duration>(expected * factor));
}

}  // namespace monsoonshelf::gateway
