#include "gateway/concurrency.h"

#include <algorithm>

namespace monsoonshelf::gateway {

namespace {

// Targets become slower when more than this share of the slots is in use.
constexpr double kBusySlotShare = 0.8;
// Requests per second must rise by this factor for a lower concurrency, as the slowdown is only
// estimated.
constexpr double kMinThroughputGain = 1.1;
// With fewer slots, one request less is half of the target.
constexpr int kMinSlotsForLimit = 3;
// Weight of the default, in samples of nearly full targets.
constexpr double kDefaultWeight = 20;
constexpr double kMinBusyFactor = 1;
constexpr double kMaxBusyFactor = 4;
// Samples that the moving averages cover.
constexpr int kWindow = 50;

}  // namespace

bool IsNearlyFull(int occupied, int slots) { return occupied > kBusySlotShare * slots; }

void RecordResponseTime(BusySlowdown& slowdown, Duration duration, bool nearly_full) {
  BusySlowdown::Mean& mean = nearly_full ? slowdown.busy_ : slowdown.calm_;
  mean.samples_ = std::min(mean.samples_ + 1, kWindow);
  mean.milliseconds_ += (ToMilliseconds(duration) - mean.milliseconds_) / mean.samples_;
}

double BusyFactor(const BusySlowdown& slowdown) {
  const int samples = std::min(slowdown.calm_.samples_, slowdown.busy_.samples_);
  if (samples == 0 || slowdown.calm_.milliseconds_ <= 0) return kDefaultBusyFactor;
  const double measured = slowdown.busy_.milliseconds_ / slowdown.calm_.milliseconds_;
  const double factor =
      (kDefaultBusyFactor * kDefaultWeight + measured * samples) / (kDefaultWeight + samples);
  return std::clamp(factor, kMinBusyFactor, kMaxBusyFactor);
}

int EfficientConcurrency(int slots, double busy_factor) {
  if (slots < kMinSlotsForLimit) return std::max(slots, 1);
  const int calm = std::max(1, static_cast<int>(kBusySlotShare * slots));
  return calm >= kMinThroughputGain * slots / busy_factor ? calm : slots;
}

}  // namespace monsoonshelf::gateway
