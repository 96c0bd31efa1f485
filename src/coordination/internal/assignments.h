#pragma once

#include "coordination/internal/node_state.h"

namespace monsoonshelf::coordination::internal {

// Claims the strict limits of shards that this host dispatches, and releases those of shards that
// it no longer dispatches.
void UpdateDueAssignments(Step& step);
Time NextAssignmentTime(const Node& node, Time now);

// Processes the reply to a request on an assignment object or on the session of a holder.
void OnAssignmentReply(Step& step, const PendingRequest& request, const PlatformReply& reply);

}  // namespace monsoonshelf::coordination::internal
