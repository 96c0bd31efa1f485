#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "dispatch/dispatch_types.h"

namespace monsoonshelf::dispatch::internal {

// A call that is queued or in flight, with the history of its attempts.
struct PendingCall {
  Call call_;
  Time arrival_time_{};
  std::string failed_target_;               // Target of the last attempt; a retry prefers others.
  bool may_have_run_ = false;               // If true, the outcome of a refusal is kUnknown.
  std::vector<std::string> refused_zones_;  // Zones that refused the call.
  Time next_spill_time_{};                  // Earliest time at which forwarding is considered.
};

// Service order: class, then higher priority, then earlier deadline, then earlier arrival.
using QueueKey = std::tuple<int, int, Time, std::uint64_t>;

// Calls that wait for a slot, in the order in which they are served.
struct CallQueue {
  std::map<QueueKey, PendingCall> calls_;
  std::map<CallHandle, QueueKey> keys_by_handle_;
  std::uint64_t next_sequence_ = 0;
};

void PushCall(CallQueue& queue, PendingCall pending);
// Removes and returns the call, or returns std::nullopt if it is not queued.
std::optional<PendingCall> RemoveCall(CallQueue& queue, CallHandle call);
// Returns the number of queued calls that are served before `call`, which need not be queued.
// Counts `call` itself if it is queued.
int CountAhead(const CallQueue& queue, const Call& call);
int CountClass(const CallQueue& queue, records::CallClass call_class);
bool HasClass(const CallQueue& queue, records::CallClass call_class);
// Removes and returns the calls whose deadline has passed.
std::vector<PendingCall> RemoveExpired(CallQueue& queue, Time now);
// Returns the call that is served last, or nullptr if the queue is empty.
const PendingCall* LastCall(const CallQueue& queue);
std::optional<Time> EarliestDeadline(const CallQueue& queue);

}  // namespace monsoonshelf::dispatch::internal
