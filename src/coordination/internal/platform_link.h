#pragma once

#include <string>

#include "coordination/internal/node_state.h"

namespace monsoonshelf::coordination::internal {

// Adds a request to the output and returns its number.
std::uint64_t SendRequest(Step& step, Purpose purpose, PlatformRequest request,
                          const std::string& nonce);

// The request that a reply belongs to; nothing for one that was answered or given up.
std::optional<WaitingRequest> TakeRequest(Step& step, const PlatformReply& reply);

// Requests whose reply never came. Replies with kPlatformTimeout stand in for them.
std::vector<PlatformReply> OverdueReplies(const Node& node, Time now);
Time NextOverdue(const Node& node);

// Asks for the platform's list of hosts when it is due, and takes its addresses as contacts.
void ContinueHosts(Step& step);
void OnHostsReply(Step& step, const PlatformReply& reply);

}  // namespace monsoonshelf::coordination::internal
