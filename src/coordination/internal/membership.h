#pragma once

#include <string>
#include <vector>

#include "coordination/internal/node_state.h"

namespace monsoonshelf::coordination::internal {

// Limit of updates in one ping or ack, which keeps its size independent of the number of hosts.
inline constexpr std::size_t kMaxUpdatesPerMessage = 6;

// Validates the seeds and schedules the first pings.
void StartMembership(Step& step);

// Checks the sender of a message and records the time of the message. Returns false if the message
// must be dropped.
bool AcceptSender(Step& step, const PeerMessage& message);

// Applies member updates from a peer; outdated and conflicting ones are ignored.
void ApplyUpdates(Step& step, const std::vector<MemberUpdate>& updates);

// Returns the updates to include in a message to a member: recent changes, and a suspicion of the
// receiver, which it can then refute.
std::vector<MemberUpdate> SelectUpdates(Step& step, const HostName& receiver);

// Sets the state of this host and schedules the update for dissemination.
void SetOwnState(Step& step, MemberState state);

// Marks a member as suspected that answered neither direct nor indirect pings.
void MarkSuspected(Step& step, const HostName& name);

// Marks members as gone whose suspicion was not refuted in time, and evicts members that have been
// gone for a long time.
void ExpireMembers(Step& step);
// Returns when the next suspicion times out, or kNever.
Time NextSuspicionExpiry(const Node& node);

// Pushes the member changes of this step to a few random members.
void PushChangedMembers(Step& step);

// Returns at most `count` random members that are alive or leaving, without `except`.
std::vector<const Member*> RandomMembers(Step& step, std::size_t count, const HostName& except);

}  // namespace monsoonshelf::coordination::internal
