#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/internal/backoff.h"
#include "coordination/internal/byte_budget.h"
#include "coordination/node.h"

namespace monsoonshelf::coordination::internal {

using ShardKey = std::pair<std::string, std::string>;  // Service and availability zone.

// Due time of work for which no time is set.
inline constexpr Time kNever = Time::max();

struct Member {
  MemberUpdate update_;
  Time state_since_{};            // When the member entered its present state.
  int transmissions_left_ = 0;    // Number of further messages that carry this update.
  Time last_heard_{};             // Last message received from the member itself.
  bool announced_leave_ = false;  // The member announced its graceful stop.
};

struct SentPing {
  HostName member_;  // Empty if the ping went to a contact address.
  std::string address_;
  Time sent_at_{};
  Time deadline_{};
  bool indirect_ = false;  // Indirect pings were requested after the direct one timed out.
};

// A ping sent on behalf of another host.
struct RelayedPing {
  std::string requester_address_;
  std::uint64_t requester_sequence_number_ = 0;
  HostName member_;
  Time deadline_{};
};

struct Membership {
  MemberUpdate self_;
  int self_transmissions_left_ = 0;
  std::map<HostName, Member> members_;  // Without this host.
  std::set<std::string> seeds_;
  // Addresses through which this host can join, with the time of the next attempt.
  std::map<std::string, Time> contacts_;
  std::vector<HostName> ping_order_;                    // Members not yet pinged in this round.
  std::map<std::uint64_t, SentPing> pending_pings_;     // By sequence number.
  std::map<std::uint64_t, RelayedPing> relayed_pings_;  // By sequence number.
  std::uint64_t next_sequence_number_ = 1;
  std::uint64_t ping_count_ = 0;
  std::size_t ack_rotation_ = 0;  // Index of the member last added to an ack in rotation.
  Time next_ping_{};
  Time next_contact_{};
  Time last_peer_heard_{};
  std::set<HostName> changed_members_;        // Changed in this step; pushed at its end.
  std::set<std::string> reported_conflicts_;  // Conflicts that were already logged.
};

// A configuration transfer from one peer, which may take several messages.
struct ConfigurationPull {
  HostName peer_;
  std::string address_;
  Version after_version_ = 0;
  bool full_ = false;  // The transfer began at version 0.
  Time deadline_{};
  int attempts_ = 0;
};

struct ConfigurationExchange {
  bool has_configuration_ = false;
  bool from_platform_ = false;            // A list was received since the start.
  std::uint64_t pending_request_id_ = 0;  // The list or watch request in flight; 0 if none.
  // Version from which the watch continues; std::nullopt if a list must be requested first.
  std::optional<Version> watch_after_version_;
  Time next_request_{};
  Backoff backoff_{std::chrono::milliseconds(200), std::chrono::seconds(5)};
  // Records received in this step, accepted or rejected; pushed to members at its end.
  std::vector<configuration::RecordVersion> received_records_;
  std::optional<ConfigurationPull> pull_;
  Time next_full_pull_{};
  // Highest version at the last time that this configuration equalled that of a peer.
  Version last_matching_version_ = 0;
};

enum class RequestPurpose {
  kExchange,
  kHosts,
  kSessionPut,
  kSessionRead,
  kSessionDelete,
  kHolderRead,
  kFence,
  kFenceRemoval,
  kAssignmentRead,
  kAssignmentPut,
};

struct PendingRequest {
  RequestPurpose purpose_ = RequestPurpose::kExchange;
  PlatformOperation operation_ = PlatformOperation::kGet;
  std::string name_;
  std::string nonce_;  // kSessionPut: nonce of the renewal. kFence: the session that it ends.
  Time sent_at_{};
  Time deadline_{};
};

struct PlatformLink {
  std::uint64_t next_request_id_ = 1;
  std::map<std::uint64_t, PendingRequest> pending_requests_;  // By request id.
  Time last_heard_{};
  Time next_host_list_{};
};

// The session of this host, which is its lease in the platform.
struct Session {
  std::string id_;       // Replaced whenever the session is lost.
  Version version_ = 0;  // Last confirmed version of the session object.
  // Measured from the time at which the last confirmed renewal was sent.
  Time lease_end_{};
  bool confirmed_ = false;  // The platform has confirmed a write with this id.
  bool request_pending_ = false;
  bool lapse_reported_ = true;  // Initially true: there is no lease yet that could lapse.
  bool ended_ = false;          // The host left and has ended its session.
  std::uint64_t next_nonce_ = 1;
  std::uint64_t session_count_ = 0;
  std::map<std::string, Time> unconfirmed_renewals_;  // Time of sending by nonce.
  Time next_renewal_{};
  Backoff backoff_{std::chrono::milliseconds(200), std::chrono::seconds(2)};
};

// Session of another host that holds an assignment which this host wants to claim.
struct HolderSession {
  Version version_ = 0;         // 0: the session object does not exist.
  std::string session_;         // Empty for a fence.
  std::string fenced_session_;  // The session that the fence ended.
  Time unchanged_since_{};
  bool observed_ = false;  // The fields above hold the result of a read or write.
  bool request_pending_ = false;
  Time next_read_{};
  bool fenced_by_this_host_ = false;
  Backoff backoff_{std::chrono::milliseconds(500), std::chrono::seconds(5)};
};

struct AssignmentEntry {
  HostName host_;  // Empty if the assignment was released.
  std::string session_;
  std::uint64_t epoch_ = 0;
};

// An entry that this host has written or is writing.
struct Claim {
  std::string session_;
  std::uint64_t epoch_ = 0;
  Time predecessor_end_{};
};

// Local copy of the assignment object of one availability zone.
struct ZoneAssignments {
  bool loaded_ = false;  // False: the object must be read before the next write.
  bool request_pending_ = false;
  Version version_ = 0;
  std::map<std::string, AssignmentEntry> entries_;  // By service.
  std::map<std::string, Claim> pending_claims_;     // Sent but not yet confirmed, by service.
  Time next_attempt_{};
  Backoff backoff_{std::chrono::milliseconds(300), std::chrono::seconds(5)};
};

struct Assignments {
  bool ownership_dirty_ = true;  // Members or configuration changed since the last evaluation.
  // Shards that this host dispatches, with the time since when.
  std::map<ShardKey, Time> wanted_shards_;
  // Held shards that this host no longer dispatches, with the time since when.
  std::map<ShardKey, Time> shards_to_release_;
  std::map<ShardKey, Claim> held_claims_;
  // Every claim of this host gets a new epoch. Otherwise an earlier claim, missed because of a
  // stale read, could be mistaken for a later one.
  std::map<ShardKey, std::uint64_t> last_epochs_;
  std::map<std::string, ZoneAssignments> zones_;
  std::map<HostName, HolderSession> holder_sessions_;
  // Fences written by this host, by fenced host: version of the object and time of its removal.
  std::map<HostName, std::pair<Version, Time>> own_fences_;
};

struct LocalShard {
  ShardLoad load_;
  ShardLoad last_sent_load_;
  Time load_sent_at_{};
  Time phases_sent_at_{};
  bool ever_sent_ = false;
};

struct ShardExchange {
  std::map<ShardKey, LocalShard> local_shards_;
  std::set<HostName> informed_zone_members_;  // Members of the zone that were sent all phases.
  ByteBudget budget_{200, 3000};
  Time next_flush_{};
};

}  // namespace monsoonshelf::coordination::internal

namespace monsoonshelf::coordination {

struct Node {
  NodeSettings settings_;
  Time started_{};
  Time next_step_deadline_{};  // Latest time at which the owner should make the next call.
  internal::Membership membership_;
  configuration::Configuration configuration_;
  internal::ConfigurationExchange configuration_exchange_;
  internal::PlatformLink platform_link_;
  internal::Session session_;
  internal::Assignments assignments_;
  internal::ShardExchange shard_exchange_;
};

}  // namespace monsoonshelf::coordination

namespace monsoonshelf::coordination::internal {

// Context of one call of a node function by its owner: the node, the time of the call and the
// output that it collects.
struct Step {
  Node& node_;
  Time now_{};
  Random& random_;
  NodeOutput output_;
};

// Adds an event to the log output of the step.
inline void AddEvent(Step& step, std::string event, KeyValues fields) {
  fields.insert(fields.begin(), {"event", std::move(event)});
  step.output_.events_.push_back(std::move(fields));
}

// Adds an event with the numeric code and the name of a result code.
inline void AddErrorEvent(Step& step, std::string event, ResultCode code, KeyValues fields) {
  fields.insert(fields.begin(), {{"code", std::to_string(static_cast<int>(code))},
                                 {"result", std::string(ResultCodeName(code))}});
  AddEvent(step, std::move(event), std::move(fields));
}

// Returns a uniformly distributed random duration in [low, high].
inline Duration Jitter(Random& random, Duration low, Duration high) {
  return Duration(std::uniform_int_distribution<Duration::rep>(low.count(), high.count())(random));
}

}  // namespace monsoonshelf::coordination::internal
