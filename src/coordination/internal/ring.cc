#include "coordination/internal/ring.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace monsoonshelf::coordination::internal {

void SortForShard(std::vector<MemberUpdate>& members, const std::string& service,
                  const std::string& zone) {
  const std::string key = service + '\n' + zone;
  const std::uint64_t seed = XXH64(key.data(), key.size(), 0);
  const auto score = [seed](const MemberUpdate& member) {
    return XXH64(member.name_.data(), member.name_.size(), seed);
  };
  std::sort(members.begin(), members.end(), [&](const auto& left, const auto& right) {
    return std::pair(score(left), left.name_) > std::pair(score(right), right.name_);
  });
}

}  // namespace monsoonshelf::coordination::internal
