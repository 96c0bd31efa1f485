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
  // Raised by the member itself so that an update overrides earlier ones, for example a suspicion.
  std::uint32_t state_version_ = 0;
  MemberState state_ = MemberState::kAlive;
  std::string zone_;
  std::string peer_address_;  // IP address and port for peer messages.
  std::string call_address_;  // IP address and port for calls.
};

// Summary by which two hosts compare their configurations. All zeros: the host has none yet.
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
  // Sent only when a phase changes, periodically as a refresh, and to a new member.
  std::vector<dispatch::TargetSnapshot> targets_;
  int queued_interactive_ = -1;  // Number of queued interactive calls; -1 if unknown.
};

// Peer messages. An ack answers the ping with the same sequence number. An ack with sequence number
// 0 answers no ping and only carries updates.
struct Ping {
  std::uint64_t sequence_number_ = 0;
  ConfigurationDigest configuration_;
  std::vector<MemberUpdate> updates_;
  HostName requester_;  // Indirect ping: the host that requested it. Empty for a direct ping.
};
struct Ack {
  std::uint64_t sequence_number_ = 0;
  ConfigurationDigest configuration_;
  std::vector<MemberUpdate> updates_;
  HostName pinged_member_;  // Ack forwarded by a relay: the member that answered. Else empty.
};
// Asks the receiver to ping a member that did not answer the sender.
struct PingRequest {
  std::uint64_t sequence_number_ = 0;
  HostName member_;
};
// Records that the receiver may lack.
struct ConfigPush {
  std::vector<configuration::RecordVersion> records_;
};
// Requests the changes after a version. The answer is a ConfigDelta.
struct ConfigPull {
  Version after_version_ = 0;
};
struct ConfigDelta {
  std::vector<configuration::RecordVersion> records_;
  bool more_ = false;  // Further changes follow the last record.
  ConfigurationDigest configuration_;
};
struct ShardState {
  std::vector<ShardLoad> shards_;
};
// The sender begins its graceful stop.
struct Leave {};

using PeerBody =
    std::variant<Ping, Ack, PingRequest, ConfigPush, ConfigPull, ConfigDelta, ShardState, Leave>;

// A verified message. The codec checks signature, size and version and rejects replayed messages
// before a message is passed to a node.
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
  // kPut, kDelete: the version that must be the present one; 0 if the object must not exist.
  // kWatch: the platform returns the changes after this version.
  Version version_ = 0;
  std::string body_;
  // kWatch: how long the platform may hold the call until there are changes.
  Duration timeout_ = std::chrono::seconds(1);
};

// A kPut returns the written object. After kPlatformTimeout, a kPut may or may not have been
// applied.
struct PlatformReply {
  std::uint64_t id_ = 0;
  PlatformOperation operation_ = PlatformOperation::kGet;
  ResultCode code_ = ResultCode::kOk;
  std::vector<PlatformObject> objects_;  // kPlatformConflict: the existing object.
  Version version_ = 0;                  // kList, kWatch: version for the next kWatch.
  struct Host {
    HostName name_;
    std::string peer_address_;
    bool leaving_ = false;
  };
  std::vector<Host> hosts_;  // kHosts only.
};

// What the owner of a node must do after a call of the node.
struct NodeOutput {
  std::vector<OutgoingPeerMessage> peer_sends_;
  std::vector<PlatformRequest> platform_requests_;
  std::vector<KeyValues> events_;         // Events to log.
  std::vector<ShardLoad> remote_shards_;  // Newly received load of shards of other hosts.
  bool configuration_changed_ = false;
  bool members_changed_ = false;
  bool assignments_changed_ = false;
};

}  // namespace monsoonshelf::coordination
