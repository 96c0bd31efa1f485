#pragma once

#include <string>
#include <vector>

#include "coordination/coordination_types.h"

namespace monsoonshelf::coordination::internal {

// Sorts members by falling rendezvous hash for a shard.
void SortForShard(std::vector<MemberUpdate>& members, const std::string& service,
                  const std::string& zone);

}  // namespace monsoonshelf::coordination::internal
