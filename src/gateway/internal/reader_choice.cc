#include "gateway/reader_choice.h"

#include <xxhash.h>

namespace monsoonshelf::gateway {

std::uint64_t ReaderRank(const HostName& host) {
  // Another seed than that of other choices, so that one host doesn't carry all duties.
  constexpr XXH64_hash_t kSeed = 1;
  return XXH3_64bits_withSeed(host.data(), host.size(), kSeed);
}

std::string ChooseSource(const HostName& self, bool own_reaches_store,
                         const std::vector<ReaderCandidate>& peers) {
  const ReaderCandidate* best = nullptr;
  for (const ReaderCandidate& peer : peers) {
    if (!peer.reaches_store_) continue;
    if (best == nullptr || ReaderRank(peer.name_) > ReaderRank(best->name_)) best = &peer;
  }
  if (best == nullptr) return {};
  if (own_reaches_store && ReaderRank(self) > ReaderRank(best->name_)) return {};
  return best->address_;
}

}  // namespace monsoonshelf::gateway
