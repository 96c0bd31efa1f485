#pragma once

#include "coordination/internal/node_state.h"

namespace monsoonshelf::coordination::internal {

// Sends the pings that are due and processes the timeouts of unanswered ones.
void SendDuePings(Step& step);
Time NextPingTime(const Node& node);

void OnPing(Step& step, const PeerMessage& message, const Ping& ping);
void OnAck(Step& step, const PeerMessage& message, const Ack& ack);
void OnPingRequest(Step& step, const PeerMessage& message, const PingRequest& request);

// Discards unanswered pings and restarts the suspicion timeouts. Called after a pause of this
// process: answers may have arrived that are not yet read, so silence proves nothing.
void DiscardPendingPings(Step& step);

// Returns true if there are members other than those that announced their graceful stop.
bool KnowsPeers(const Node& node);

}  // namespace monsoonshelf::coordination::internal
