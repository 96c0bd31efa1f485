#include "gateway/reader_choice.h"

#include <xxhash.h>

#include <algorithm>

namespace monsoonshelf::gateway {

namespace {

// Followers of a reader: a number that the smallest host serves, and one more for each of these
// thousandths of a core.
constexpr std::size_t kMinFollowers = 16;
constexpr int kCapacityPerFollower = 5;
// A follower replaces the readers if it has at least this many times their capacity.
constexpr int kReplacingCapacityRatio = 2;
std::pair<int, std::uint64_t> RankOf(const Reader& reader) {
  return ReaderRank(reader.name_, reader.capacity_);
}

// Returns the highest-ranked readers that together serve all hosts of the zone.
std::vector<Reader> SufficientReaders(std::vector<Reader> readers, std::size_t hosts) {
  std::sort(readers.begin(), readers.end(),
            [](const Reader& left, const Reader& right) { return RankOf(left) > RankOf(right); });
  std::size_t served = 0;
  std::size_t count = 0;
  while (count < readers.size() && served < hosts) {
    served += MaxFollowers(readers[count++].capacity_);
  }
  readers.resize(count);
  return readers;
}

}  // namespace

std::pair<int, std::uint64_t> ReaderRank(const HostName& host, int capacity) {
  // Differs from the seeds of other rankings, so that one host does not get all roles.
  constexpr XXH64_hash_t kSeed = 1;
  return {capacity, XXH3_64bits_withSeed(host.data(), host.size(), kSeed)};
}

std::uint64_t PairHash(const HostName& from, const HostName& to) {
  const std::string key = from + ' ' + to;
  return XXH3_64bits(key.data(), key.size());
}

std::size_t MaxFollowers(int capacity) {
  return kMinFollowers + static_cast<std::size_t>(std::max(capacity, 0) / kCapacityPerFollower);
}

std::string ChooseSource(const Reader& self, bool is_reader, const std::string& source,
                         const ZoneReaders& zone) {
  std::vector<Reader> readers = zone.readers_;
  if (is_reader) readers.push_back(self);
  readers = SufficientReaders(std::move(readers), zone.hosts_);
  // Followers choose among these by their own order, which spreads them evenly.
  const Reader* best = nullptr;
  for (const Reader& reader : readers) {
    if (reader.name_ == self.name_) return {};
    if (reader.address_ == source) return source;
    if (best == nullptr || PairHash(self.name_, reader.name_) > PairHash(self.name_, best->name_)) {
      best = &reader;
    }
  }
  return best == nullptr ? std::string() : best->address_;
}

bool ShouldReplaceReaders(const Reader& self, const std::vector<Reader>& readers) {
  return !readers.empty() && std::all_of(readers.begin(), readers.end(), [&](const Reader& reader) {
    return self.capacity_ >= std::max(reader.capacity_, 1) * kReplacingCapacityRatio;
  });
}

}  // namespace monsoonshelf::gateway
