#include "peer/internal/replay_guard.h"

#include <algorithm>

namespace monsoonshelf::peer::detail {

namespace {

void MakeRoom(ReplayGuard& guard) {
  if (guard.senders_.size() < kMaxSenders) return;
  guard.senders_.erase(std::min_element(
      guard.senders_.begin(), guard.senders_.end(),
      [](const auto& a, const auto& b) { return a.second.last_heard_ < b.second.last_heard_; }));
}

void Advance(SenderWindow& window, std::uint64_t sequence) {
  if (sequence - window.highest_ >= kReplayWindow) {
    window.seen_.reset();
  } else {
    for (std::uint64_t skipped = window.highest_ + 1; skipped < sequence; skipped++) {
      window.seen_.reset(skipped % kReplayWindow);
    }
  }
  window.highest_ = sequence;
  window.seen_.set(sequence % kReplayWindow);
}

}  // namespace

bool Accept(ReplayGuard& guard, const HostName& sender, Incarnation incarnation,
            std::uint64_t sequence, Time now) {
  auto found = guard.senders_.find(sender);
  if (found == guard.senders_.end()) {
    MakeRoom(guard);
    found = guard.senders_.emplace(sender, SenderWindow{}).first;
  }
  auto& window = found->second;
  if (incarnation < window.incarnation_) return false;
  if (incarnation > window.incarnation_ || window.highest_ == 0) {
    window = {};
    window.incarnation_ = incarnation;
  }
  if (sequence == 0) return false;
  if (sequence > window.highest_) {
    Advance(window, sequence);
  } else {
    if (window.highest_ - sequence >= kReplayWindow) return false;
    if (window.seen_.test(sequence % kReplayWindow)) return false;
    window.seen_.set(sequence % kReplayWindow);
  }
  window.last_heard_ = now;
  return true;
}

}  // namespace monsoonshelf::peer::detail
