#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/base_types.h"

namespace monsoonshelf::gateway {

// Choice of the readers: the entry hosts that read the store for all entry hosts of their
// availability zone (their followers), because each watch call of each host is billed. A host
// announces to its peers that it is a reader, and followers read from announced readers only, so
// that records take at most one hop, or two for a moment after a reader has become a follower.

struct Reader {
  HostName name_;
  std::string address_;  // Where other hosts read its records.
  int capacity_ = 0;     // In thousandths of a core.
  Time confirmed_at_{};  // When the store last confirmed its content.
};

// What a host knows of the readers of its zone.
struct ZoneReaders {
  std::vector<Reader> readers_;  // Without the host itself.
  std::size_t hosts_ = 1;        // Hosts of the zone, itself included.
  std::size_t higher_ranked_ =
      0;  // Hosts that rank higher than itself and are not known to be gone.
};

// Rank of a host as a reader. Hosts with more capacity rank higher, because a reader sends each
// change to its followers.
std::pair<int, std::uint64_t> ReaderRank(const HostName& host, int capacity);

// Gives each host its own pseudo-random order of the other ones.
std::uint64_t PairHash(const HostName& from, const HostName& to);

// Returns the number of followers that a reader serves.
std::size_t MaxFollowers(int capacity);

// Returns the address of the reader to read records from. Empty if `self` remains a reader, or if
// there is no other one. `source` is the present one; it is kept unless readers that rank higher
// suffice for the zone.
std::string ChooseSource(const Reader& self, bool is_reader, const std::string& source,
                         const ZoneReaders& zone);

// Returns whether a follower should become a reader because it has far more capacity than all
// readers.
bool ShouldReplaceReaders(const Reader& self, const std::vector<Reader>& readers);

// Content that the store confirmed longer ago than this may lack a change that must soon be in
// effect, so the host needs another source. The age counts from the confirmation, however many
// sources were tried since then. Covers one confirmation interval and the delay of a slow store.
// The rest of the two seconds in which a change must take effect is for the turn at the store, a
// probe, its repetition if it gets no response, and a read; see StoreGate.
inline constexpr Duration kMaxContentAge = std::chrono::milliseconds(1100);

// Bound the time between two confirmations of a healthy reader: its watch of the configuration
// returns after kConfirmationWait at the latest, and the next watch starts after
// kConfirmationPause. A watch without a response is given up after kConfirmationMargin, and a list
// confirms the content instead, before it becomes too old.
inline constexpr Duration kConfirmationWait = std::chrono::milliseconds(600);
inline constexpr Duration kConfirmationPause = std::chrono::milliseconds(150);
inline constexpr Duration kConfirmationMargin = std::chrono::milliseconds(200);

}  // namespace monsoonshelf::gateway
