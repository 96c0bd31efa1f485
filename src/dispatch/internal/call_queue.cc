#include "dispatch/internal/call_queue.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace monsoonshelf::dispatch::internal {

namespace {

QueueKey KeyOf(const Call& call, std::uint64_t sequence) {
  return {static_cast<int>(call.class_), -call.priority_, call.deadline_, sequence};
}

}  // namespace

void Push(CallQueue& queue, WaitingCall waiting) {
  const CallHandle handle = waiting.call_.handle_;
  const QueueKey key = KeyOf(waiting.call_, queue.next_sequence_++);
  queue.keys_[handle] = key;
  queue.waiting_.emplace(key, std::move(waiting));
}

std::optional<WaitingCall> Take(CallQueue& queue, CallHandle call) {
  const auto key = queue.keys_.find(call);
  if (key == queue.keys_.end()) return std::nullopt;
  auto node = queue.waiting_.extract(key->second);
  queue.keys_.erase(key);
  return std::move(node.mapped());
}

int CountAhead(const CallQueue& queue, const Call& call) {
  const auto end = queue.waiting_.lower_bound(KeyOf(call, queue.next_sequence_));
  return static_cast<int>(std::distance(queue.waiting_.begin(), end));
}

int CountClass(const CallQueue& queue, records::CallClass call_class) {
  return static_cast<int>(std::count_if(
      queue.waiting_.begin(), queue.waiting_.end(),
      [call_class](const auto& entry) { return entry.second.call_.class_ == call_class; }));
}

bool HasClass(const CallQueue& queue, records::CallClass call_class) {
  const int rank = static_cast<int>(call_class);
  const auto first =
      queue.waiting_.lower_bound({rank, std::numeric_limits<int>::min(), Time::min(), 0});
  return first != queue.waiting_.end() && std::get<0>(first->first) == rank;
}

std::vector<WaitingCall> TakeExpired(CallQueue& queue, Time now) {
  std::vector<WaitingCall> expired;
  for (auto entry = queue.waiting_.begin(); entry != queue.waiting_.end();) {
    if (entry->second.call_.deadline_ > now) {
      ++entry;
      continue;
    }
    queue.keys_.erase(entry->second.call_.handle_);
    expired.push_back(std::move(entry->second));
    entry = queue.waiting_.erase(entry);
  }
  return expired;
}

const WaitingCall* Last(const CallQueue& queue) {
  return queue.waiting_.empty() ? nullptr : &queue.waiting_.rbegin()->second;
}

std::optional<Time> EarliestDeadline(const CallQueue& queue) {
  std::optional<Time> earliest;
  for (const auto& [key, waiting] : queue.waiting_) {
    if (!earliest || waiting.call_.deadline_ < *earliest) earliest = waiting.call_.deadline_;
  }
  return earliest;
}

}  // namespace monsoonshelf::dispatch::internal
