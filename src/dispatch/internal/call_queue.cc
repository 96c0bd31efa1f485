#include "dispatch/internal/call_queue.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace monsoonshelf::dispatch::internal {

namespace {

QueueKey MakeKey(const Call& call, std::uint64_t sequence) {
  return {static_cast<int>(call.class_), -call.priority_, call.deadline_, sequence};
}

}  // namespace

void PushCall(CallQueue& queue, PendingCall pending) {
  const CallHandle handle = pending.call_.handle_;
  const QueueKey key = MakeKey(pending.call_, queue.next_sequence_++);
  queue.keys_by_handle_[handle] = key;
  queue.calls_.emplace(key, std::move(pending));
}

std::optional<PendingCall> RemoveCall(CallQueue& queue, CallHandle call) {
  const auto key = queue.keys_by_handle_.find(call);
  if (key == queue.keys_by_handle_.end()) return std::nullopt;
  auto node = queue.calls_.extract(key->second);
  queue.keys_by_handle_.erase(key);
  return std::move(node.mapped());
}

int CountAhead(const CallQueue& queue, const Call& call) {
  const auto end = queue.calls_.lower_bound(MakeKey(call, queue.next_sequence_));
  return static_cast<int>(std::distance(queue.calls_.begin(), end));
}

int CountClass(const CallQueue& queue, records::CallClass call_class) {
  return static_cast<int>(std::count_if(
      queue.calls_.begin(), queue.calls_.end(),
      [call_class](const auto& entry) { return entry.second.call_.class_ == call_class; }));
}

bool HasClass(const CallQueue& queue, records::CallClass call_class) {
  const int rank = static_cast<int>(call_class);
  const auto first =
      queue.calls_.lower_bound({rank, std::numeric_limits<int>::min(), Time::min(), 0});
  return first != queue.calls_.end() && std::get<0>(first->first) == rank;
}

std::vector<PendingCall> RemoveExpired(CallQueue& queue, Time now) {
  std::vector<PendingCall> expired;
  for (auto entry = queue.calls_.begin(); entry != queue.calls_.end();) {
    if (entry->second.call_.deadline_ > now) {
      ++entry;
      continue;
    }
    queue.keys_by_handle_.erase(entry->second.call_.handle_);
    expired.push_back(std::move(entry->second));
    entry = queue.calls_.erase(entry);
  }
  return expired;
}

const PendingCall* LastCall(const CallQueue& queue) {
  return queue.calls_.empty() ? nullptr : &queue.calls_.rbegin()->second;
}

std::optional<Time> EarliestDeadline(const CallQueue& queue) {
  std::optional<Time> earliest;
  for (const auto& [key, pending] : queue.calls_) {
    if (!earliest || pending.call_.deadline_ < *earliest) earliest = pending.call_.deadline_;
  }
  return earliest;
}

}  // namespace monsoonshelf::dispatch::internal
