#pragma once

#include <bitset>
#include <cstdint>
#include <map>

#include "base/base_types.h"
#include "base/result_codes.h"

namespace monsoonshelf::peer::detail {

// Sequences more than this below the highest one count as replayed. Messages of one sender to one
// receiver are reordered only around a reconnection.
inline constexpr std::size_t kReplayWindow = 1024;
// Bound of the memory for senders; the fleet has at most 64 entry hosts.
inline constexpr std::size_t kMaxSenders = 512;
// A receiver that restarted has no window; the sent time bounds what can be replayed to it. Clocks
// of entry hosts may differ by this much.
inline constexpr Duration kMaxAge = std::chrono::minutes(5);

struct SenderWindow {
  Incarnation incarnation_ = 0;
  std::uint64_t highest_ = 0;
  std::bitset<kReplayWindow> seen_;  // By sequence modulo the window.
  Time last_heard_{};
};

struct ReplayGuard {
  std::map<HostName, SenderWindow> senders_;
};

// Returns true and marks the sequence if the message was not received before. Messages of an
// earlier incarnation are replays.
bool Accept(ReplayGuard& guard, const HostName& sender, Incarnation incarnation,
            std::uint64_t sequence, Time now);

}  // namespace monsoonshelf::peer::detail
