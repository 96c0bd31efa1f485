#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/base_types.h"
#include "base/enum_names.h"
#include "base/key_value.h"
#include "base/result_codes.h"
#include "configuration/configuration.h"
#include "dispatch/dispatch_types.h"

namespace monsoonshelf::coordination {

// State of a member as one entry host sees it. Transitions: src/coordination/member.chart.toml.
enum class MemberState { kAlive, kSuspected, kLeaving, kGone };

inline constexpr EnumNames<MemberState, 4> kMemberStateNames = {{
    {MemberState::kAlive, "alive"},
    {MemberState::kSuspected, "suspected"},
    {MemberState::kLeaving, "leaving"},
    {MemberState::kGone, "gone"},
}};

struct MemberUpdate {
  HostName name_;
  Incarnation incarnation_ = 0;
  std::uint32_t state_version_ = 0;  // A member refutes a suspicion with a higher counter.
  MemberState state_ = MemberState::kAlive;
  std::string zone_;
  std::string peer_address_;  // IP address and port for peer messages.
  std::string call_address_;  // IP address and port for calls.
};

struct ConfigurationDigest {
  Version highest_version_ = 0;
  std::uint64_t digest_ = 0;
};

struct ShardLoad {
  std::string service_;
  std::string zone_;
  int free_slots_ = 0;
  int queued_ = 0;
  int ready_targets_ = 0;
  // Sent when a phase changes and to a member that is new, not with every message.
  std::vector<dispatch::TargetSnapshot> targets_;
  int queued_interactive_ = -1;  // Interactive calls among those queued; -1: not known.
};

// Peer messages. An ack answers a ping with the same number; an ack with number 0 answers none and
// only carries updates.
struct Ping {
  std::uint64_t sequence_number_ = 0;
  ConfigurationDigest configuration_;
  std::vector<MemberUpdate> updates_;
  HostName requester_;  // Not empty: an indirect ping on behalf of that host.
};
struct Ack {
  std::uint64_t sequence_number_ = 0;
  ConfigurationDigest configuration_;
  std::vector<MemberUpdate> updates_;
  HostName pinged_member_;  // Indirect ping: the member that answered.
};
struct PingRequest {
  std::uint64_t sequence_number_ = 0;
  HostName member_;
};
struct ConfigPush {
  std::vector<configuration::RecordVersion> records_;
};
struct ConfigPull {
  Version after_version_ = 0;
};
struct ConfigDelta {
  std::vector<configuration::RecordVersion> records_;
  bool more_ = false;
  ConfigurationDigest configuration_;
};
struct ShardState {
  std::vector<ShardLoad> shards_;
};
struct Leave {};

using PeerBody =
    std::variant<Ping, Ack, PingRequest, ConfigPush, ConfigPull, ConfigDelta, ShardState, Leave>;

// A verified message. The codec checks signature, size, version and replay before a node sees it.
struct PeerMessage {
  HostName sender_;
  Incarnation incarnation_ = 0;
  std::string sender_address_;
  PeerBody body_;
};

struct OutgoingPeerMessage {
  std::string address_;
  PeerBody body_;
};

struct PlatformObject {
  std::string kind_;
  std::string name_;
  Version version_ = 0;
  bool deleted_ = false;
  std::string body_;
};

enum class PlatformOperation { kGet, kPut, kDelete, kList, kWatch, kHosts };

inline constexpr EnumNames<PlatformOperation, 6> kPlatformOperationNames = {{
    {PlatformOperation::kGet, "get"},
    {PlatformOperation::kPut, "put"},
    {PlatformOperation::kDelete, "delete"},
    {PlatformOperation::kList, "list"},
    {PlatformOperation::kWatch, "watch"},
    {PlatformOperation::kHosts, "hosts"},
}};

struct PlatformRequest {
  std::uint64_t id_ = 0;
  PlatformOperation operation_ = PlatformOperation::kGet;
  std::vector<std::string> kinds_;  // One kind, except for kList and kWatch.
  std::string name_;
  // kPut, kDelete: the version to replace; 0 means that the object must not exist.
  // kWatch: return changes above this version.
  Version version_ = 0;
  std::string body_;
  Duration timeout_ = std::chrono::seconds(1);  // kWatch: how long the platform holds the call.
};

// kPut returns the written object. kPlatformTimeout of a kPut means: may have been applied.
struct PlatformReply {
  std::uint64_t id_ = 0;
  PlatformOperation operation_ = PlatformOperation::kGet;
  ResultCode code_ = ResultCode::kOk;
  std::vector<PlatformObject> objects_;  // kPlatformConflict: the object that is there.
  Version version_ = 0;                  // kList, kWatch: continue to watch from here.
  struct Host {
    HostName name_;
    std::string peer_address_;
    bool leaving_ = false;
  };
  std::vector<Host> hosts_;  // kHosts.
};

// What the owner of a node must do next.
struct NodeOutput {
  std::vector<OutgoingPeerMessage> peer_sends_;
  std::vector<PlatformRequest> platform_requests_;
  std::vector<KeyValues> events_;         // For the log.
  std::vector<ShardLoad> remote_shards_;  // Fresh load of shards of other hosts.
  bool configuration_changed_ = false;
  bool members_changed_ = false;
  bool assignments_changed_ = false;
};

}  // namespace monsoonshelf::coordination
