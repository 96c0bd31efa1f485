#pragma once

#include <string>

#include "coordination/internal/node_state.h"

namespace monsoonshelf::coordination::internal {

// Body of the platform object sessions/<host>.
struct SessionBody {
  HostName host_;
  Incarnation incarnation_ = 0;
  std::string session_;         // Empty for a fence.
  std::string fenced_session_;  // Fence: the session that it ended. Otherwise empty.
  std::string nonce_;
};
std::string FormatSession(const SessionBody& body);
// Returns std::nullopt if the text is neither a session nor a fence.
std::optional<SessionBody> ParseSession(const std::string& text);

// Returns how long another host must wait, after it last saw a session change, until the lease of
// that session has certainly ended. Includes a margin of 1/12 for clocks that run at different
// rates and for late reads.
Duration MaxLeaseDuration(const NodeSettings& settings);

// Creates the session id and schedules the first write.
void StartSession(Step& step);
// Renews the session when it is due. Deletes it after a leaving host has released all assignments.
void RenewDueSession(Step& step);
Time NextSessionTime(const Node& node);
void OnSessionReply(Step& step, const PendingRequest& request, const PlatformReply& reply);

// Returns true if the session is confirmed and its lease has not ended.
bool HasLease(const Node& node, Time now);

}  // namespace monsoonshelf::coordination::internal
