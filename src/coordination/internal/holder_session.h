#pragma once

#include "coordination/internal/node_state.h"

namespace monsoonshelf::coordination::internal {

enum class HolderVerdict {
  kWait,    // The session may still be alive.
  kFenced,  // Fenced by this host after it was unchanged for a lease span: no work is left.
  kOver,    // Ended in another way: work may run for another lease span.
};

// Whether the session that holds an entry has ended. Reads it, watches it and fences it as needed.
// `assignments_version` is the version of the object with the entry.
HolderVerdict CheckHolder(Step& step, const AssignmentEntry& entry, Version assignments_version);

void OnHolderReply(Step& step, const WaitingRequest& request, const PlatformReply& reply);

// Deletes own fences once other hosts had time to see them.
void RemoveOldFences(Step& step);

}  // namespace monsoonshelf::coordination::internal
