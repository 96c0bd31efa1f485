#pragma once

#include "coordination/internal/node_state.h"

namespace monsoonshelf::coordination::internal {

// Returns the digest that this host sends to its peers. All zeros until it has a complete
// configuration.
ConfigurationDigest DigestOf(const Node& node);

// Requests a list or a watch of the records if none is in flight and the back-off has ended.
// Retries or abandons a pull that the peer did not answer in time.
void RunConfigurationExchange(Step& step);
Time NextConfigurationExchangeTime(const Node& node);

// Processes the reply to a list or a watch.
void OnConfigurationReply(Step& step, const PlatformReply& reply);

// Starts a pull from the sender if its configuration differs from that of this host.
void CompareDigest(Step& step, const PeerMessage& message, const ConfigurationDigest& digest);

void OnConfigPush(Step& step, const ConfigPush& push);
void OnConfigPull(Step& step, const PeerMessage& message, const ConfigPull& pull);
void OnConfigDelta(Step& step, const PeerMessage& message, const ConfigDelta& delta);

// Pushes the new record versions of this step, accepted or rejected, to a few random members.
void PushReceivedRecords(Step& step);

}  // namespace monsoonshelf::coordination::internal
