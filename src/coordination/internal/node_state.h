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

// Ends of waiting that never come by themselves.
inline constexpr Time kNever = Time::max();

struct Member {
  MemberUpdate update_;
  Time since_{};        // Of the present state.
  int sends_left_ = 0;  // Messages that still carry this update.
  Time heard_{};        // Last message from the member itself.
  bool left_ = false;   // It announced its stop.
};

struct SentPing {
  HostName member_;  // Empty for a contact.
  std::string address_;
  Time sent_{};
  Time deadline_{};
  bool indirect_ = false;
};

// A ping sent for another host.
struct RelayedPing {
  std::string address_;  // Of the host that asked.
  std::uint64_t sequence_number_ = 0;
  HostName member_;
  Time deadline_{};
};

struct Membership {
  MemberUpdate self_;
  int self_sends_left_ = 0;
  std::map<HostName, Member> members_;  // Without this host.
  std::set<std::string> seeds_;
  std::map<std::string, Time> contacts_;  // Addresses to join through, with the next attempt.
  std::vector<HostName> ping_order_;      // Members not yet pinged in this round.
  std::map<std::uint64_t, SentPing> pings_;
  std::map<std::uint64_t, RelayedPing> relayed_;
  std::uint64_t next_number_ = 1;
  std::uint64_t ping_count_ = 0;
  std::size_t rotation_ = 0;  // Next member that an ack names besides fresh updates.
  Time next_ping_{};
  Time next_contact_{};
  Time last_peer_heard_{};
  std::set<HostName> fresh_;         // Changed in this step: push at its end.
  std::set<std::string> conflicts_;  // Reported already.
};

// A transfer of changes from one peer, part by part.
struct Pull {
  HostName peer_;
  std::string address_;
  Version after_version_ = 0;
  bool full_ = false;  // Began at version 0.
  Time deadline_{};
  int attempts_ = 0;
};

struct ConfigurationExchange {
  bool has_configuration_ = false;
  bool from_platform_ = false;          // A list was received since the start.
  std::uint64_t request_ = 0;           // The list or watch that is waiting, or 0.
  std::optional<Version> watch_after_;  // Nothing: list first.
  Time next_request_{};
  Backoff backoff_{std::chrono::milliseconds(200), std::chrono::seconds(5)};
  std::vector<configuration::RecordVersion> accepted_;  // In this step: push at its end.
  std::optional<Pull> pull_;
  Time next_full_pull_{};
  // Highest version when this configuration was last known to equal that of a peer.
  Version agreed_version_ = 0;
};

enum class Purpose {
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

struct WaitingRequest {
  Purpose purpose_ = Purpose::kExchange;
  PlatformOperation operation_ = PlatformOperation::kGet;
  std::string name_;
  std::string nonce_;
  Time sent_{};
  Time deadline_{};
};

struct PlatformLink {
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, WaitingRequest> waiting_;
  Time last_heard_{};
  Time next_hosts_{};
};

// The session of this host: its lease in the platform.
struct Session {
  std::string id_;              // Changes whenever the session was lost.
  Version version_ = 0;         // Of the object, as last confirmed.
  Time lease_until_{};          // From the time the last confirmed renewal was sent.
  bool confirmed_ = false;      // The object with this id was written.
  bool waiting_ = false;        // A request is waiting.
  bool lapse_reported_ = true;  // Nothing was held yet.
  bool ended_ = false;          // Deleted after the host left.
  std::uint64_t next_nonce_ = 1;
  std::uint64_t sessions_ = 0;
  std::map<std::string, Time> attempts_;  // Nonce and time of renewals not confirmed.
  Time next_send_{};
  Backoff backoff_{std::chrono::milliseconds(200), std::chrono::seconds(2)};
};

// Session of another host that holds an assignment which this host wants.
struct HolderSession {
  Version version_ = 0;  // 0: there was no object.
  std::string session_;  // Empty for a fence.
  std::string fenced_;   // The session that a fence ended.
  Time unchanged_since_{};
  bool known_ = false;
  bool waiting_ = false;
  Time next_read_{};
  bool fenced_by_us_ = false;
  Backoff backoff_{std::chrono::milliseconds(500), std::chrono::seconds(5)};
};

struct AssignmentEntry {
  HostName host_;  // Empty: released.
  std::string session_;
  std::uint64_t epoch_ = 0;
};

// An entry that this host wrote or is writing.
struct Claim {
  std::string session_;
  std::uint64_t epoch_ = 0;
  Time predecessor_end_{};
};

// The assignment object of one availability zone.
struct ZoneAssignments {
  bool known_ = false;
  bool waiting_ = false;
  Version version_ = 0;
  std::map<std::string, AssignmentEntry> entries_;  // By service.
  std::map<std::string, Claim> claims_;             // Sent and not confirmed.
  Time next_{};
  Backoff backoff_{std::chrono::milliseconds(300), std::chrono::seconds(5)};
};

struct Assignments {
  bool ownership_dirty_ = true;        // Members or configuration changed.
  std::map<ShardKey, Time> wanted_;    // Shards that this host dispatches, with the time of change.
  std::map<ShardKey, Time> unwanted_;  // Held shards that it no longer dispatches.
  std::map<ShardKey, Claim> held_;
  // Each claim of this host has an epoch of its own, so that an earlier claim which a stale read
  // hides is not taken for a later one.
  std::map<ShardKey, std::uint64_t> last_epoch_;
  std::map<std::string, ZoneAssignments> zones_;
  std::map<HostName, HolderSession> holders_;
  std::map<HostName, std::pair<Version, Time>> fences_;  // Own fences, removed after a while.
};

struct LocalShard {
  ShardLoad load_;
  ShardLoad sent_;  // Load when it was last sent.
  Time load_sent_{};
  Time phases_sent_{};
  bool ever_sent_ = false;
};

struct ShardExchange {
  std::map<ShardKey, LocalShard> shards_;
  std::set<HostName> known_zone_members_;  // Got all phases.
  ByteBudget budget_{200, 3000};
  Time next_flush_{};
};

}  // namespace monsoonshelf::coordination::internal

namespace monsoonshelf::coordination {

struct Node {
  NodeSettings settings_;
  Time started_{};
  Time expected_step_{};  // When the owner should have called at the latest.
  internal::Membership membership_;
  configuration::Configuration configuration_;
  internal::ConfigurationExchange exchange_;
  internal::PlatformLink platform_;
  internal::Session session_;
  internal::Assignments assignments_;
  internal::ShardExchange shards_;
};

}  // namespace monsoonshelf::coordination

namespace monsoonshelf::coordination::internal {

// One call of the node by its owner.
struct Step {
  Node& node_;
  Time now_{};
  Random& random_;
  NodeOutput output_;
};

inline void AddEvent(Step& step, std::string event, KeyValues fields) {
  fields.insert(fields.begin(), {"event", std::move(event)});
  step.output_.events_.push_back(std::move(fields));
}

inline void AddErrorEvent(Step& step, std::string event, ResultCode code, KeyValues fields) {
  fields.insert(fields.begin(), {{"code", std::to_string(static_cast<int>(code))},
                                 {"result", std::string(ResultCodeName(code))}});
  AddEvent(step, std::move(event), std::move(fields));
}

inline Duration Jitter(Random& random, Duration low, Duration high) {
  return Duration(std::uniform_int_distribution<Duration::rep>(low.count(), high.count())(random));
}

}  // namespace monsoonshelf::coordination::internal
