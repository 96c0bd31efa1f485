#include "dispatch/internal/admission.h"

#include <algorithm>

#include "dispatch/internal/health.h"
#include "dispatch/internal/phases.h"

namespace monsoonshelf::dispatch::internal {

namespace {

// Service times based on fewer samples are not used.
constexpr int kMinServiceSamples = 10;

// Maximum number of queued calls per available slot. Under sustained overload, calls in a longer
// queue would wait longer than their service takes, and most of them would then miss their
// deadline.
constexpr int kMaxQueuedPerSlot = 8;
constexpr int kMinQueueLimit = 8;

double RemainingUs(const Call& call, Time now) {
  return static_cast<double>((call.deadline_ - now).count());
}

const ServiceTime& ServiceTimesOf(const Dispatcher& dispatcher, const Call& call) {
  return dispatcher.service_times_[static_cast<std::size_t>(call.class_)];
}

}  // namespace

Capacity CurrentCapacity(const Dispatcher& dispatcher, Time now) {
  Capacity capacity;
  capacity.typical_service_us_ = TypicalServiceTimeUs(dispatcher);
  for (const TargetState& target : dispatcher.targets_) {
    const int limit = SlotLimit(dispatcher, target, now);
    if (limit == 0 || target.health_.ejected_) continue;
    capacity.slot_limit_ += limit;
    const double expected_us =
        ExpectedServiceTimeUs(dispatcher, target, capacity.typical_service_us_, now);
    if (expected_us > 0) {
      capacity.calls_per_us_ += limit / expected_us;
      if (!IsSlow(expected_us, capacity.typical_service_us_))
        capacity.fast_calls_per_us_ += limit / expected_us;
    }
    capacity.free_slots_ += std::max(0, limit - UsedSlots(target, now));
  }
  return capacity;
}

double ExpectedWaitUs(const Capacity& capacity, int ahead) {
  if (ahead < capacity.free_slots_ || capacity.calls_per_us_ <= 0) return 0;
  return (ahead - capacity.free_slots_ + 1) / capacity.calls_per_us_;
}

ResultCode CheckAdmission(const Dispatcher& dispatcher, const Capacity& capacity, const Call& call,
                          Time now) {
  // Batch calls may stay queued until their deadline.
  if (call.class_ == records::CallClass::kBatch) return ResultCode::kOk;
  const int ahead = CountAhead(dispatcher.queue_, call) - 1;
  if (capacity.slot_limit_ > 0 &&
      ahead >= std::max(kMinQueueLimit, kMaxQueuedPerSlot * capacity.slot_limit_)) {
    return ResultCode::kOverloaded;
  }
  const ServiceTime& times = ServiceTimesOf(dispatcher, call);
  if (times.samples_ < kMinServiceSamples) return ResultCode::kOk;
  const double wait_us = ExpectedWaitUs(capacity, ahead);
  if (wait_us > 0 && wait_us + times.mean_us_ > RemainingUs(call, now)) {
    return ResultCode::kDeadlineTooShort;
  }
  return ResultCode::kOk;
}

bool WouldMissDeadline(const Dispatcher& dispatcher, const Call& call, Time now) {
  const ServiceTime& times = ServiceTimesOf(dispatcher, call);
  return times.samples_ >= kMinServiceSamples && times.p10_us_ > RemainingUs(call, now);
}

bool AnyTargetMayAcceptWork(const Dispatcher& dispatcher) {
  return std::any_of(dispatcher.targets_.begin(), dispatcher.targets_.end(), MayAcceptWork);
}

}  // namespace monsoonshelf::dispatch::internal
