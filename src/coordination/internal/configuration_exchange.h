#pragma once

#include "coordination/internal/node_state.h"

namespace monsoonshelf::coordination::internal {

// Sends the list or the watch of the records if neither is waiting and the back-off is over.
void ContinueExchange(Node& node, Time now, NodeOutput& output);
// Takes the reply of a list or watch.
void OnExchangeReply(Node& node, const PlatformReply& reply, Time now, Random& random,
                     NodeOutput& output);
// Merges records from the platform or a peer.
void MergeRecords(Node& node, const std::vector<configuration::RecordVersion>& records,
                  NodeOutput& output);

}  // namespace monsoonshelf::coordination::internal
