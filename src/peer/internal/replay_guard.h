#pragma once

#include <bitset>
#include <cstdint>
#include <map>

#include "base/base_types.h"
#include "base/result_codes.h"

namespace monsoonshelf::peer::detail {

// Size of the anti-replay window. Sequence numbers that are this much or more below the highest one
// are rejected as replayed. Messages from a sender to a receiver are reordered only around a
// reconnection.
inline constexpr std::size_t kReplayWindow = 1024;
// Limits the memory for senders. A fleet has at most 64 entry hosts.
inline constexpr std::size_t kMaxSenders = 512;
// Maximum difference between the sent time of a message and the receiver's clock. A restarted
// receiver has no window yet, so only this limits what can be replayed to it. The clocks of entry
// hosts may differ by this much.
inline constexpr Duration kMaxMessageAge = std::chrono::minutes(5);

// Anti-replay window of one sender.
struct SenderWindow {
  Incarnation incarnation_ = 0;
  std::uint64_t highest_sequence_ = 0;
  std::bitset<kReplayWindow> received_sequences_;  // Index: sequence number % kReplayWindow.
  Time last_received_{};
};

// Windows of at most kMaxSenders senders. The sender whose latest message is oldest is evicted
// first.
struct ReplayGuard {
  std::map<HostName, SenderWindow> senders_;
};

// Records the sequence number and returns true if the message is new. Returns false if it was
// received before, is below the window, has sequence number 0 or is from an earlier incarnation of
// the sender.
bool RecordIfNew(ReplayGuard& guard, const HostName& sender, Incarnation incarnation,
                 std::uint64_t sequence, Time now);

}  // namespace monsoonshelf::peer::detail
