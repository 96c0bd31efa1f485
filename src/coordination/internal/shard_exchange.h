#pragma once

#include "coordination/internal/node_state.h"

namespace monsoonshelf::coordination::internal {

// Replaces the loads of the shards that this host dispatches.
void StoreLocalShards(Node& node, std::vector<ShardLoad> shards);

// Sends changed loads to the dispatchers of the same service in the other zones of the region, and
// changed target phases to the other hosts of the zone, within the byte budget.
void SendDueShardStates(Step& step);
Time NextShardExchangeTime(const Node& node);

}  // namespace monsoonshelf::coordination::internal
