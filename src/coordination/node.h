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
  std::string peer_address_;        // IP address and port for peer messages.
  std::string call_address_;        // IP address and port for calls.
  std::vector<std::string> seeds_;  // Peer addresses through which the host joins.
  Duration ping_interval_ = std::chrono::seconds(1);
  // Time until indirect pings are requested. These have twice the time.
  Duration ping_timeout_ = std::chrono::milliseconds(300);
  // Time in which a suspected member must refute the suspicion, or else it is considered gone.
  Duration suspicion_timeout_ = std::chrono::milliseconds(1500);
  Duration isolation_timeout_ = std::chrono::milliseconds(2500);  // See IsIsolated().
  Duration session_renewal_interval_ = std::chrono::seconds(2);
  Duration session_duration_ = std::chrono::seconds(6);  // Duration of the lease.
  Duration watch_timeout_ = std::chrono::seconds(30);
  Duration host_list_interval_ = std::chrono::seconds(10);  // Increases with the number of members.
  Duration status_interval_ = std::chrono::seconds(5);
  Duration max_call_deadline_ = std::chrono::seconds(30);
};

// The coordination state of one entry host. Only the functions below change it. A node performs no
// input or output: each call returns a NodeOutput, and its owner sends the messages and requests.
struct Node;
struct NodeDeleter {
  void operator()(Node* node) const;
};
using NodePtr = std::unique_ptr<Node, NodeDeleter>;

// Returns a node that has not started. Silence of peers and of the platform is measured from `now`.
NodePtr MakeNode(NodeSettings settings, Time now);

// Call once, before the other On* functions.
NodeOutput OnStart(Node& node, Time now, Random& random);
NodeOutput OnPeerMessage(Node& node, const PeerMessage& message, Time now, Random& random);
NodeOutput OnPlatformReply(Node& node, const PlatformReply& reply, Time now, Random& random);
// Performs work that is due. Call at the time returned by NextTick(), or later.
NodeOutput OnTick(Node& node, Time now, Random& random);
// Returns the time of the next due work, which is always after `now`.
Time NextTick(const Node& node, Time now);
// Begins the graceful stop of the host: callers are no longer sent to the host, and it releases its
// assignments.
NodeOutput OnLeave(Node& node, Time now, Random& random);
// Sets the load of the shards that this host dispatches. The node decides when it is sent and to
// which hosts.
void SetLocalShards(Node& node, std::vector<ShardLoad> shards, Time now);

const configuration::Configuration& ConfigurationOf(const Node& node);
// Returns all known members, this host first.
std::vector<MemberUpdate> Members(const Node& node);
// Returns std::nullopt if the member is not known. Also finds this host.
std::optional<MemberUpdate> FindMember(const Node& node, const HostName& name);

// Returns true if the host knows peers but has received no message from a peer or the platform for
// the isolation timeout. An isolated host must refuse new calls.
bool IsIsolated(const Node& node, Time now);

// Returns true after a complete configuration was received from the platform or a peer.
bool HasConfiguration(const Node& node);

// Returns the dispatcher of a shard, which is selected by rendezvous hashing over the alive members
// of the zone. If the zone has none, the alive members of its region are used. Returns std::nullopt
// if there is no such member.
std::optional<MemberUpdate> DispatcherOf(const Node& node, const std::string& service,
                                         const std::string& zone);

// Returns at most `max_hosts` alive entry hosts that a caller can use, best first.
std::vector<MemberUpdate> EntryHostsFor(const Node& node, const std::string& service,
                                        const std::string& zone, std::size_t max_hosts);

// Assignment of the strict limits of a shard (cold targets, probes) to this host.
struct AssignmentView {
  std::string service_;
  std::string zone_;
  Time held_until_{};       // End of the lease. Must be compared with the clock at each use.
  Time predecessor_end_{};  // Work of an earlier holder may still run until this time.
};
// Returns the assignments that this host holds, or none if its lease has ended.
std::vector<AssignmentView> HeldAssignments(const Node& node, Time now);

}  // namespace monsoonshelf::coordination
