#include "dispatch/internal/admission.h"

#include <algorithm>

#include "dispatch/internal/health.h"
#include "dispatch/internal/phases.h"

namespace monsoonshelf::dispatch::internal {

namespace {

// Estimates from fewer calls are no evidence.
constexpr int kMinServiceSamples = 10;

// Calls that may wait per slot that responds. More would wait longer than they are served for
// under lasting overload, and then most of them in vain.
constexpr int kWaitingPerSlot = 8;
constexpr int kMinWaiting = 8;

double Remaining(const Call& call, Time now) {
  return static_cast<double>((call.deadline_ - now).count());
}

const ServiceTime& TimesOf(const Dispatcher& dispatcher, const Call& call) {
  return dispatcher.service_times_[static_cast<std::size_t>(call.class_)];
}

}  // namespace

Capacity CurrentCapacity(const Dispatcher& dispatcher, Time now) {
  Capacity capacity;
  capacity.typical_us_ = TypicalService(dispatcher);
  for (const TargetState& target : dispatcher.targets_) {
    const int limit = SlotLimit(dispatcher, target, now);
    if (limit == 0 || target.health_.ejected_) continue;
    capacity.limit_ += limit;
    const double expected = ExpectedService(dispatcher, target, capacity.typical_us_, now);
    if (expected > 0) {
      capacity.calls_per_us_ += limit / expected;
      if (!IsSlow(expected, capacity.typical_us_)) capacity.fast_per_us_ += limit / expected;
    }
    capacity.free_ += std::max(0, limit - UsedSlots(target, now));
  }
  return capacity;
}

double ExpectedWait(const Capacity& capacity, int ahead) {
  if (ahead < capacity.free_ || capacity.calls_per_us_ <= 0) return 0;
  return (ahead - capacity.free_ + 1) / capacity.calls_per_us_;
}

ResultCode Admit(const Dispatcher& dispatcher, const Capacity& capacity, const Call& call,
                 Time now) {
  // A batch call may wait until its deadline.
  if (call.class_ == records::CallClass::kBatch) return ResultCode::kOk;
  const int ahead = CountAhead(dispatcher.queue_, call) - 1;
  if (capacity.limit_ > 0 && ahead >= std::max(kMinWaiting, kWaitingPerSlot * capacity.limit_)) {
    return ResultCode::kOverloaded;
  }
  const ServiceTime& times = TimesOf(dispatcher, call);
  if (times.samples_ < kMinServiceSamples) return ResultCode::kOk;
  const double wait = ExpectedWait(capacity, ahead);
  if (wait > 0 && wait + times.mean_us_ > Remaining(call, now)) {
    return ResultCode::kDeadlineTooShort;
  }
  return ResultCode::kOk;
}

bool TooLateToSend(const Dispatcher& dispatcher, const Call& call, Time now) {
  const ServiceTime& times = TimesOf(dispatcher, call);
  return times.samples_ >= kMinServiceSamples && times.low_us_ > Remaining(call, now);
}

bool AnyTargetMayRecover(const Dispatcher& dispatcher) {
  return std::any_of(dispatcher.targets_.begin(), dispatcher.targets_.end(), MayRecover);
}

}  // namespace monsoonshelf::dispatch::internal
