#pragma once

#include "coordination/internal/node_state.h"

namespace monsoonshelf::coordination::internal {

// Claims and releases the strict limits of shards, according to who dispatches them.
void ContinueAssignments(Step& step);
Time NextAssignmentTime(const Node& node, Time now);

void OnAssignmentReply(Step& step, const WaitingRequest& request, const PlatformReply& reply);

}  // namespace monsoonshelf::coordination::internal
