#pragma once

#include "coordination/internal/node_state.h"

namespace monsoonshelf::coordination::internal {

// Sends pings that are due and follows up those without an answer.
void ContinuePings(Step& step);
Time NextPingTime(const Node& node);

void OnPing(Step& step, const PeerMessage& message, const Ping& ping);
void OnAck(Step& step, const PeerMessage& message, const Ack& ack);
void OnPingRequest(Step& step, const PeerMessage& message, const PingRequest& request);

// After a pause of this process: answers may wait unread, so nothing is concluded from silence.
void ForgetPings(Step& step);

bool KnowsPeers(const Node& node);

}  // namespace monsoonshelf::coordination::internal
