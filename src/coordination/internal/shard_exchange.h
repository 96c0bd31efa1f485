#pragma once

#include "coordination/internal/node_state.h"

namespace monsoonshelf::coordination::internal {

void StoreLocalShards(Node& node, std::vector<ShardLoad> shards);

// Sends loads that changed to the dispatchers of the same service in the region and target phases
// that changed to the hosts of the zone, within the byte budget.
void ContinueShardExchange(Step& step);
Time NextShardExchangeTime(const Node& node);

}  // namespace monsoonshelf::coordination::internal
