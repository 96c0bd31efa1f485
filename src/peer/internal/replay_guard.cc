#include "peer/internal/replay_guard.h"

#include <algorithm>

namespace monsoonshelf::peer::detail {

namespace {

void EvictLeastRecentSender(ReplayGuard& guard) {
  if (guard.senders_.size() < kMaxSenders) return;
  guard.senders_.erase(std::min_element(guard.senders_.begin(), guard.senders_.end(),
                                        [](const auto& a, const auto& b) {
                                          return a.second.last_received_ < b.second.last_received_;
                                        }));
}

void AdvanceWindow(SenderWindow& window, std::uint64_t sequence) {
  if (sequence - window.highest_sequence_ >= kReplayWindow) {
    window.received_sequences_.reset();
  } else {
    for (std::uint64_t skipped = window.highest_sequence_ + 1; skipped < sequence; skipped++) {
      window.received_sequences_.reset(skipped % kReplayWindow);
    }
  }
  window.highest_sequence_ = sequence;
  window.received_sequences_.set(sequence % kReplayWindow);
}

}  // namespace

bool RecordIfNew(ReplayGuard& guard, const HostName& sender, Incarnation incarnation,
                 std::uint64_t sequence, Time now) {
  auto found = guard.senders_.find(sender);
  if (found == guard.senders_.end()) {
    EvictLeastRecentSender(guard);
    found = guard.senders_.emplace(sender, SenderWindow{}).first;
  }
  auto& window = found->second;
  if (incarnation < window.incarnation_) return false;
  if (incarnation > window.incarnation_ || window.highest_sequence_ == 0) {
    window = {};
    window.incarnation_ = incarnation;
  }
  if (sequence == 0) return false;
  if (sequence > window.highest_sequence_) {
    AdvanceWindow(window, sequence);
  } else {
    if (window.highest_sequence_ - sequence >= kReplayWindow) return false;
    if (window.received_sequences_.test(sequence % kReplayWindow)) return false;
    window.received_sequences_.set(sequence % kReplayWindow);
  }
  window.last_received_ = now;
  return true;
}

}  // namespace monsoonshelf::peer::detail
