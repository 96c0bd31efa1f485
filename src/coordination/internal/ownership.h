#pragma once

#include <string>
#include <vector>

#include "coordination/internal/node_state.h"

namespace monsoonshelf::coordination::internal {

// The region of a zone; empty if it is not known.
std::string RegionOf(const Node& node, const std::string& zone);

// Sorts members by falling rendezvous hash for a shard.
void SortForShard(std::vector<MemberUpdate>& members, const std::string& service,
                  const std::string& zone);

// The members that may dispatch the shards of a zone: those of the zone that are alive, or those of
// the other zones of its region where the zone has none.
std::vector<MemberUpdate> DispatchersOfZone(const Node& node, const std::string& zone);

// The shards that have targets and that this host dispatches.
std::vector<ShardKey> DispatchedShards(const Node& node);

}  // namespace monsoonshelf::coordination::internal
