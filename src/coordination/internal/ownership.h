#pragma once

#include <string>
#include <vector>

#include "coordination/internal/node_state.h"

namespace monsoonshelf::coordination::internal {

// Returns the region of a zone; empty if it is unknown.
std::string RegionOf(const Node& node, const std::string& zone);

// Sorts members by descending rendezvous hash for a shard.
void SortForShard(std::vector<MemberUpdate>& members, const std::string& service,
                  const std::string& zone);

// Returns the members that may dispatch the shards of a zone: the alive members of the zone or, if
// it has none, the alive members of the other zones of its region.
std::vector<MemberUpdate> DispatchersOfZone(const Node& node, const std::string& zone);

// Returns the shards that have targets and are dispatched by this host.
std::vector<ShardKey> DispatchedShards(const Node& node);

}  // namespace monsoonshelf::coordination::internal
