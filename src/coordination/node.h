#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/base_types.h"
#include "configuration/configuration.h"
#include "coordination/coordination_types.h"

namespace monsoonshelf::coordination {

struct NodeSettings {
  HostName name_;
  Incarnation incarnation_ = 0;
  std::string zone_;
  std::string region_;
  std::string peer_address_;
  std::string call_address_;
  std::vector<std::string> seeds_;  // Peer addresses to join through.
  Duration ping_interval_ = std::chrono::seconds(1);
  Duration ping_timeout_ = std::chrono::milliseconds(300);
  Duration suspicion_timeout_ = std::chrono::milliseconds(1500);
  Duration isolation_timeout_ = std::chrono::milliseconds(2500);
  Duration session_renewal_interval_ = std::chrono::seconds(2);
  Duration session_duration_ = std::chrono::seconds(6);
  Duration watch_timeout_ = std::chrono::seconds(30);
  Duration host_list_interval_ = std::chrono::seconds(10);
  Duration status_interval_ = std::chrono::seconds(5);
  Duration max_call_deadline_ = std::chrono::seconds(30);
};

// The coordination state of one entry host. Only the functions below change it.
struct Node;
struct NodeDeleter {
  void operator()(Node* node) const;
};
using NodePtr = std::unique_ptr<Node, NodeDeleter>;

NodePtr MakeNode(NodeSettings settings, Time now);

NodeOutput OnStart(Node& node, Time now, Random& random);
NodeOutput OnPeerMessage(Node& node, const PeerMessage& message, Time now, Random& random);
NodeOutput OnPlatformReply(Node& node, const PlatformReply& reply, Time now, Random& random);
// Call at NextTick() or later.
NodeOutput OnTick(Node& node, Time now, Random& random);
Time NextTick(const Node& node, Time now);
// The host begins its graceful stop: it is not named to callers and gives up its assignments.
NodeOutput OnLeave(Node& node, Time now, Random& random);
// Load of the shards that this host dispatches; the node decides when and to whom to send it.
void SetLocalShards(Node& node, std::vector<ShardLoad> shards, Time now);

const configuration::Configuration& ConfigurationOf(const Node& node);
std::vector<MemberUpdate> Members(const Node& node);
std::optional<MemberUpdate> FindMember(const Node& node, const HostName& name);

// True while the host has heard neither a peer nor the platform for the isolation time, although
// it knows peers. It must refuse new calls then.
bool IsIsolated(const Node& node, Time now);

// True once a configuration was received from the platform or a peer.
bool HasConfiguration(const Node& node);

// The dispatcher of a shard by rendezvous hash over the members of the zone that are alive; hosts
// of other zones of the region where the zone has none.
std::optional<MemberUpdate> DispatcherOf(const Node& node, const std::string& service,
                                         const std::string& zone);

// Entry hosts to name to a caller, best first.
std::vector<MemberUpdate> EntryHostsFor(const Node& node, const std::string& service,
                                        const std::string& zone, std::size_t max_hosts);

// Assignment of a shard's strict limits (cold targets, probes) to this host.
struct AssignmentView {
  std::string service_;
  std::string zone_;
  Time held_until_{};       // End of the lease; checked at each use.
  Time predecessor_end_{};  // Until then, work of an earlier holder may still run.
};
std::vector<AssignmentView> HeldAssignments(const Node& node, Time now);

}  // namespace monsoonshelf::coordination
