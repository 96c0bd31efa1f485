#pragma once

#include <string>
#include <vector>

#include "coordination/internal/node_state.h"

namespace monsoonshelf::coordination::internal {

// Limit of updates in one message, so that its size does not grow with the fleet.
inline constexpr std::size_t kMaxUpdates = 6;

void StartMembership(Step& step);

// Checks the sender of a message and records that it was heard. False: drop the message.
bool AcceptSender(Step& step, const PeerMessage& message);

void ApplyUpdates(Step& step, const std::vector<MemberUpdate>& updates);

// The updates for a message to a member: fresh ones, and what the member should know about itself.
std::vector<MemberUpdate> UpdatesFor(Step& step, const HostName& receiver);

// Changes the state of this host and spreads it.
void ChangeSelf(Step& step, MemberState state);

// Suspicion of a member that answered neither directly nor through others.
void Suspect(Step& step, const HostName& name);

// Suspicions that were not refuted become departures; old departures are forgotten.
void ExpireMembers(Step& step);
Time NextExpiry(const Node& node);

// Pushes changes of this step to a few random members.
void PushFreshUpdates(Step& step);

// Random alive members, at most `count`, without `except`.
std::vector<const Member*> RandomMembers(Step& step, std::size_t count, const HostName& except);

}  // namespace monsoonshelf::coordination::internal
