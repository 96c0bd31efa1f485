#pragma once

#include <string>

#include "coordination/internal/node_state.h"

namespace monsoonshelf::coordination::internal {

// Body of the platform object sessions/<host>.
struct SessionBody {
  HostName host_;
  Incarnation incarnation_ = 0;
  std::string session_;  // Empty for a fence.
  std::string fenced_;   // The session that this object ended.
  std::string nonce_;
};
std::string FormatSession(const SessionBody& body);
// Nothing for a body that is not a session.
std::optional<SessionBody> ParseSession(const std::string& text);

// Time that a holder of assignments keeps its right after its session was last seen to change, with
// a margin for clocks that differ in rate and for reading late.
Duration LeaseSpan(const NodeSettings& settings);

void StartSession(Step& step);
// Renews the session when it is due. Deletes it once a leaving host holds nothing any more.
void ContinueSession(Step& step);
Time NextSessionTime(const Node& node);
void OnSessionReply(Step& step, const WaitingRequest& request, const PlatformReply& reply);

// True while the lease runs.
bool HasLease(const Node& node, Time now);

}  // namespace monsoonshelf::coordination::internal
