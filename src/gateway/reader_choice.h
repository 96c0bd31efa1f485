#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/base_types.h"

namespace monsoonshelf::gateway {

// Choice of the reader: the entry host that reads the store for all entry hosts of its availability
// zone (its followers), because each watch call of each host is billed. The choice needs no
// messages, because all hosts of the zone rank each other in the same way.

struct ReaderCandidate {
  HostName name_;
  std::string address_;         // Where other hosts read its records.
  bool reaches_store_ = false;  // Its last call to the store succeeded.
  int capacity_ = 0;
};

// Rank of a host as a reader; the host with the highest rank in the zone is the reader. Hosts with
// more capacity rank higher, because the reader sends each change to all other hosts.
std::pair<int, std::uint64_t> ReaderRank(const HostName& host, int capacity);

// Returns the address of the host to read records from, or an empty string to read from the store.
// Candidates that do not reach the store are skipped, `self` included; if none reaches it, the
// result is empty.
std::string ChooseSource(const ReaderCandidate& self, const std::vector<ReaderCandidate>& peers);

// Content that the store confirmed longer ago than this may lack a change that must soon be in
// effect, so the host has to read the store itself. The age counts from the confirmation, however
// many sources were tried since then. Covers one confirmation interval and the delay of a slow
// store. The rest of the two seconds in which a change must take effect is for a probe, its
// repetition if it gets no response, and a read.
inline constexpr Duration kMaxContentAge = std::chrono::milliseconds(1200);

// Returns whether a host that the store rejects should try another reader. `followed_for` is the
// time since the present one was chosen: a new reader first gets some time to reach the store.
bool HasReaderLostStore(Duration content_age, Duration followed_for);

// Bound the time between two confirmations of a healthy reader: its watch of the configuration
// returns after kConfirmationWait at the latest, and the next watch starts after
// kConfirmationPause.
inline constexpr Duration kConfirmationWait = std::chrono::milliseconds(700);
inline constexpr Duration kConfirmationPause = std::chrono::milliseconds(200);

}  // namespace monsoonshelf::gateway
