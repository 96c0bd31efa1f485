#include "gateway/reader_choice.h"

#include <xxhash.h>

namespace monsoonshelf::gateway {

std::pair<int, std::uint64_t> ReaderRank(const HostName& host, int capacity) {
  // Differs from the seeds of other rankings, so that one host does not get all roles.
  constexpr XXH64_hash_t kSeed = 1;
  return {capacity, XXH3_64bits_withSeed(host.data(), host.size(), kSeed)};
}

namespace {

// Time that a newly chosen reader has to reach the store.
constexpr Duration kReaderGracePeriod = std::chrono::milliseconds(1000);

std::pair<int, std::uint64_t> RankOf(const ReaderCandidate& candidate) {
  return ReaderRank(candidate.name_, candidate.capacity_);
}

}  // namespace

bool HasReaderLostStore(Duration content_age, Duration followed_for) {
  return content_age > kMaxContentAge && followed_for > kReaderGracePeriod;
}

std::string ChooseSource(const ReaderCandidate& self, const std::vector<ReaderCandidate>& peers) {
  const ReaderCandidate* best = nullptr;
  for (const ReaderCandidate& peer : peers) {
    if (!peer.reaches_store_) continue;
    if (best == nullptr || RankOf(peer) > RankOf(*best)) best = &peer;
  }
  if (best == nullptr) return {};
  if (self.reaches_store_ && RankOf(self) > RankOf(*best)) return {};
  return best->address_;
}

}  // namespace monsoonshelf::gateway
