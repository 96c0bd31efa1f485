#pragma once

#include <string>

#include "coordination/internal/node_state.h"

namespace monsoonshelf::coordination::internal {

// Adds a request to the output and returns its id.
std::uint64_t AddPlatformRequest(Step& step, RequestPurpose purpose, PlatformRequest request,
                                 const std::string& nonce);

// Removes and returns the pending request that a reply belongs to. Returns std::nullopt if the
// request was already answered or has timed out.
std::optional<PendingRequest> RemovePendingRequest(Step& step, const PlatformReply& reply);

// Returns a reply with kPlatformTimeout for each pending request whose deadline has passed.
std::vector<PlatformReply> MakeTimeoutReplies(const Node& node, Time now);
// Returns the earliest deadline of a pending request, or kNever.
Time NextRequestDeadline(const Node& node);

// Requests the list of hosts from the platform when it is due.
void RequestDueHostList(Step& step);
// Replaces the contacts by the seeds and the addresses in the list.
void OnHostsReply(Step& step, const PlatformReply& reply);

}  // namespace monsoonshelf::coordination::internal
