#include "coordination/node.h"

#include <algorithm>
#include <type_traits>
#include <utility>

#include "coordination/internal/assignments.h"
#include "coordination/internal/configuration_exchange.h"
#include "coordination/internal/membership.h"
#include "coordination/internal/node_state.h"
#include "coordination/internal/ownership.h"
#include "coordination/internal/pings.h"
#include "coordination/internal/platform_link.h"
#include "coordination/internal/session.h"
#include "coordination/internal/shard_exchange.h"

namespace monsoonshelf::coordination {

namespace {

using internal::Step;

// A call that is later than this shows that the process was paused or starved of processor time.
constexpr Duration kPauseLimit = std::chrono::milliseconds(500);
constexpr Duration kMinTick = std::chrono::milliseconds(1);

Time NextDueTime(const Node& node, Time now) {
  return std::min({internal::NextPingTime(node), internal::NextSuspicionExpiry(node),
                   internal::NextConfigurationExchangeTime(node), internal::NextSessionTime(node),
                   internal::NextAssignmentTime(node, now), internal::NextShardExchangeTime(node),
                   internal::NextRequestDeadline(node), node.platform_link_.next_host_list_});
}

void DetectPause(Step& step) {
  if (step.now_ <= step.node_.next_step_deadline_ + kPauseLimit) return;
  AddEvent(step, "paused",
           {{"ms", std::to_string(ToMilliseconds(step.now_ - step.node_.next_step_deadline_))}});
  internal::DiscardPendingPings(step);
}

void HandlePlatformReply(Step& step, const PlatformReply& reply) {
  const auto request = internal::RemovePendingRequest(step, reply);
  if (!request) return;
  switch (request->purpose_) {
    case internal::RequestPurpose::kExchange:
      internal::OnConfigurationReply(step, reply);
      break;
    case internal::RequestPurpose::kHosts:
      internal::OnHostsReply(step, reply);
      break;
    case internal::RequestPurpose::kSessionPut:
    case internal::RequestPurpose::kSessionRead:
    case internal::RequestPurpose::kSessionDelete:
      internal::OnSessionReply(step, *request, reply);
      break;
    default:
      internal::OnAssignmentReply(step, *request, reply);
  }
}

// Performs all due work and returns the output of the step.
NodeOutput FinishStep(Step& step) {
  Node& node = step.node_;
  for (const auto& reply : internal::MakeTimeoutReplies(node, step.now_))
    HandlePlatformReply(step, reply);
  internal::ExpireMembers(step);
  internal::SendDuePings(step);
  internal::RequestDueHostList(step);
  internal::RunConfigurationExchange(step);
  internal::RenewDueSession(step);
  internal::UpdateDueAssignments(step);
  internal::SendDueShardStates(step);
  internal::PushChangedMembers(step);
  internal::PushReceivedRecords(step);
  node.next_step_deadline_ = NextTick(node, step.now_);
  return std::move(step.output_);
}

void OnLeaveMessage(Step& step, const PeerMessage& message) {
  const auto member = step.node_.membership_.members_.find(message.sender_);
  if (member == step.node_.membership_.members_.end()) return;
  MemberUpdate update = member->second.update_;
  update.state_ = MemberState::kLeaving;
  internal::ApplyUpdates(step, {update});
}

struct BodyVisitor {
  Step& step_;
  const PeerMessage& message_;

  void operator()(const Ping& body) const { internal::OnPing(step_, message_, body); }
  void operator()(const Ack& body) const { internal::OnAck(step_, message_, body); }
  void operator()(const PingRequest& body) const { internal::OnPingRequest(step_, message_, body); }
  void operator()(const ConfigPush& body) const { internal::OnConfigPush(step_, body); }
  void operator()(const ConfigPull& body) const { internal::OnConfigPull(step_, message_, body); }
  void operator()(const ConfigDelta& body) const { internal::OnConfigDelta(step_, message_, body); }
  void operator()(const ShardState& body) const { step_.output_.remote_shards_ = body.shards_; }
  void operator()(const Leave& /*body*/) const { OnLeaveMessage(step_, message_); }
};

}  // namespace

void NodeDeleter::operator()(Node* node) const { delete node; }

NodePtr MakeNode(NodeSettings settings, Time now) {
  NodePtr node(new Node);
  node->settings_ = std::move(settings);
  const auto& own = node->settings_;
  node->started_ = node->next_step_deadline_ = now;
  node->membership_.self_ = {own.name_,         own.incarnation_, 0, MemberState::kAlive, own.zone_,
                             own.peer_address_, own.call_address_};
  // Silence is measured from the start.
  node->membership_.last_peer_heard_ = node->platform_link_.last_heard_ = now;
  node->configuration_exchange_.next_request_ = node->platform_link_.next_host_list_ = now;
  return node;
}

NodeOutput OnStart(Node& node, Time now, Random& random) {
  Step step{node, now, random, {}};
  internal::StartMembership(step);
  internal::StartSession(step);
  return FinishStep(step);
}

NodeOutput OnPeerMessage(Node& node, const PeerMessage& message, Time now, Random& random) {
  Step step{node, now, random, {}};
  DetectPause(step);
  if (internal::AcceptSender(step, message)) {
    std::visit(BodyVisitor{step, message}, message.body_);
  }
  return FinishStep(step);
}

NodeOutput OnPlatformReply(Node& node, const PlatformReply& reply, Time now, Random& random) {
  Step step{node, now, random, {}};
  DetectPause(step);
  HandlePlatformReply(step, reply);
  return FinishStep(step);
}

NodeOutput OnTick(Node& node, Time now, Random& random) {
  Step step{node, now, random, {}};
  DetectPause(step);
  return FinishStep(step);
}

Time NextTick(const Node& node, Time now) {
  return std::max(now + kMinTick, NextDueTime(node, now));
}

NodeOutput OnLeave(Node& node, Time now, Random& random) {
  Step step{node, now, random, {}};
  DetectPause(step);
  if (node.membership_.self_.state_ != MemberState::kLeaving) {
    internal::SetOwnState(step, MemberState::kLeaving);
    // The hosts of the zone take over the shards of this host, so they are told at once.
    for (const auto& [name, member] : node.membership_.members_) {
      const auto& update = member.update_;
      if (update.zone_ != node.settings_.zone_ || update.state_ == MemberState::kGone) continue;
      step.output_.peer_sends_.push_back({update.peer_address_, Leave{}});
    }
  }
  return FinishStep(step);
}

void SetLocalShards(Node& node, std::vector<ShardLoad> shards, Time /*now*/) {
  internal::StoreLocalShards(node, std::move(shards));
}

const configuration::Configuration& ConfigurationOf(const Node& node) {
  return node.configuration_;
}

std::vector<MemberUpdate> Members(const Node& node) {
  std::vector<MemberUpdate> members{node.membership_.self_};
  for (const auto& [name, member] : node.membership_.members_) members.push_back(member.update_);
  return members;
}

std::optional<MemberUpdate> FindMember(const Node& node, const HostName& name) {
  const auto& membership = node.membership_;
  if (name == membership.self_.name_) return membership.self_;
  const auto found = membership.members_.find(name);
  if (found == membership.members_.end()) return std::nullopt;
  return found->second.update_;
}

bool IsIsolated(const Node& node, Time now) {
  const Time heard = std::max(node.membership_.last_peer_heard_, node.platform_link_.last_heard_);
  return internal::KnowsPeers(node) && now >= heard + node.settings_.isolation_timeout_;
}

bool HasConfiguration(const Node& node) { return node.configuration_exchange_.has_configuration_; }

std::optional<MemberUpdate> DispatcherOf(const Node& node, const std::string& service,
                                         const std::string& zone) {
  auto members = internal::DispatchersOfZone(node, zone);
  if (members.empty()) return std::nullopt;
  internal::SortForShard(members, service, zone);
  return members.front();
}

std::vector<MemberUpdate> EntryHostsFor(const Node& node, const std::string& service,
                                        const std::string& zone, std::size_t max_hosts) {
  std::vector<MemberUpdate> members;
  for (const auto& member : Members(node)) {
    if (member.state_ == MemberState::kAlive) members.push_back(member);
  }
  internal::SortForShard(members, service, zone);
  const std::string region = internal::RegionOf(node, zone);
  const auto distance = [&](const MemberUpdate& member) {
    if (member.zone_ == zone) return 0;
    return !region.empty() && internal::RegionOf(node, member.zone_) == region ? 1 : 2;
  };
  std::stable_sort(members.begin(), members.end(), [&](const auto& left, const auto& right) {
    return distance(left) < distance(right);
  });
  if (members.size() > max_hosts) members.resize(max_hosts);
  return members;
}

std::vector<AssignmentView> HeldAssignments(const Node& node, Time now) {
  std::vector<AssignmentView> views;
  if (!internal::HasLease(node, now)) return views;
  for (const auto& [shard, claim] : node.assignments_.held_claims_) {
    if (claim.session_ != node.session_.id_) continue;
    views.push_back({shard.first, shard.second, node.session_.lease_end_, claim.predecessor_end_});
  }
  return views;
}

}  // namespace monsoonshelf::coordination
