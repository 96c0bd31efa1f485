#include "gateway/reader_choice.h"

#include <xxhash.h>

namespace monsoonshelf::gateway {

std::pair<int, std::uint64_t> ReaderRank(const HostName& host, int capacity) {
  // Another seed than that of other choices, so that one host doesn't carry all duties.
  constexpr XXH64_hash_t kSeed = 1;
  return {capacity, XXH3_64bits_withSeed(host.data(), host.size(), kSeed)};
}

namespace {

// One confirmation and what a slow store adds to it. A change must be in effect two seconds after
// it was acknowledged, also if the reader was cut off right before: this age, one poll of the
// follower and one list by the next reader fit into that.
constexpr Duration kMaxReaderAge = std::chrono::milliseconds(1300);
constexpr Duration kReaderTrial = std::chrono::milliseconds(1000);

std::pair<int, std::uint64_t> RankOf(const ReaderCandidate& candidate) {
  return ReaderRank(candidate.name_, candidate.capacity_);
}

}  // namespace

bool IsReaderLost(Duration age, Duration following) {
  return age > kMaxReaderAge && following > kReaderTrial;
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
