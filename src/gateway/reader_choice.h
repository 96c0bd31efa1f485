#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/base_types.h"

namespace monsoonshelf::gateway {

// One entry host of a zone reads the store for the others, since each waiting read of each host is
// a paid call. The choice needs no message: all hosts rank the hosts of the zone alike.

struct ReaderCandidate {
  HostName name_;
  std::string address_;  // Where its records are read.
  bool reaches_store_ = false;
  int capacity_ = 0;
};

// Rank of a host as a reader; the highest of the zone reads. Strong hosts go first, since the
// reader sends each change to all others.
std::pair<int, std::uint64_t> ReaderRank(const HostName& host, int capacity);

// Where to read: the address of another host, or empty for the store itself. Of `self` it counts
// whether the last call of this host to the store succeeded.
std::string ChooseSource(const ReaderCandidate& self, const std::vector<ReaderCandidate>& peers);

// Whether the reader that is followed has lost the store: its content was confirmed `age` ago. A
// reader that was chosen `following` ago first gets the time to reach the store itself.
bool IsReaderLost(Duration age, Duration following);

// Bounds of the time between two confirmations of a sound reader: its watch of the configuration
// returns after this wait, and the next one starts after this pause.
inline constexpr Duration kConfirmationWait = std::chrono::milliseconds(700);
inline constexpr Duration kConfirmationPause = std::chrono::milliseconds(200);

}  // namespace monsoonshelf::gateway
