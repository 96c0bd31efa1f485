#pragma once

#include "coordination/internal/node_state.h"

namespace monsoonshelf::coordination::internal {

// The digest that this host tells its peers; zeros until it has a whole configuration.
ConfigurationDigest DigestOf(const Node& node);

// Sends the list or the watch of the records if neither is waiting and the back-off is over, and
// repeats or ends a transfer from a peer that got no answer.
void ContinueExchange(Step& step);
Time NextExchangeTime(const Node& node);

void OnExchangeReply(Step& step, const PlatformReply& reply);

// Starts a transfer from the sender if its configuration differs.
void CompareDigest(Step& step, const PeerMessage& message, const ConfigurationDigest& digest);

void OnConfigPush(Step& step, const ConfigPush& push);
void OnConfigPull(Step& step, const PeerMessage& message, const ConfigPull& pull);
void OnConfigDelta(Step& step, const PeerMessage& message, const ConfigDelta& delta);

// Pushes records accepted in this step to a few random members.
void PushAcceptedRecords(Step& step);

}  // namespace monsoonshelf::coordination::internal
