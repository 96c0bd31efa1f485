#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "dispatch/dispatch_types.h"

namespace monsoonshelf::dispatch::internal {

// A call that waits for a slot.
struct WaitingCall {
  Call call_;
  Time arrived_{};
  std::string failed_target_;  // Target of the last attempt, avoided by a retry.
  bool may_have_run_ = false;  // An earlier attempt may have run: a refusal is then "unknown".
  std::vector<std::string> refused_zones_;  // Zones that refused the call.
  Time next_spill_{};                       // Held back by the share of the other zone until then.
};

// Order: class, higher priority, earlier deadline, earlier arrival.
using QueueKey = std::tuple<int, int, Time, std::uint64_t>;

struct CallQueue {
  std::map<QueueKey, WaitingCall> waiting_;
  std::map<CallHandle, QueueKey> keys_;
  std::uint64_t next_sequence_ = 0;
};

void Push(CallQueue& queue, WaitingCall waiting);
// Returns the call with the handle and removes it, or nothing.
std::optional<WaitingCall> Take(CallQueue& queue, CallHandle call);
// Number of calls that would be served before `call`.
int CountAhead(const CallQueue& queue, const Call& call);
int CountClass(const CallQueue& queue, records::CallClass call_class);
bool HasClass(const CallQueue& queue, records::CallClass call_class);
// Removes and returns the calls whose deadline is not after `now`.
std::vector<WaitingCall> TakeExpired(CallQueue& queue, Time now);
// Returns the call that is served last, or null.
const WaitingCall* Last(const CallQueue& queue);
std::optional<Time> EarliestDeadline(const CallQueue& queue);

}  // namespace monsoonshelf::dispatch::internal
