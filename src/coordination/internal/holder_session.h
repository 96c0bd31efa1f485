#pragma once

#include "coordination/internal/node_state.h"

namespace monsoonshelf::coordination::internal {

enum class HolderStatus {
  kMayBeActive,  // The session may still be active.
  // Fenced by this host after the session was unchanged for the maximum lease duration. No work of
  // the holder can be running.
  kFenced,
  // Ended in another way. Work of the holder may run for up to another maximum lease duration.
  kEnded,
};

// Returns whether the session that holds an entry has ended. Issues the reads that observe the
// session and writes the fence when required. `assignments_version` is the version of the
// assignment object that contains the entry.
HolderStatus CheckHolderSession(Step& step, const AssignmentEntry& entry,
                                Version assignments_version);

void OnHolderSessionReply(Step& step, const PendingRequest& request, const PlatformReply& reply);

// Deletes the fences of this host after other hosts had time to read them.
void RemoveOldFences(Step& step);

}  // namespace monsoonshelf::coordination::internal
