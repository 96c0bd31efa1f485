#include "coordination/node.h"

#include <algorithm>
#include <type_traits>

#include "coordination/internal/configuration_exchange.h"
#include "coordination/internal/node_state.h"
#include "coordination/internal/ring.h"

namespace monsoonshelf::coordination {

namespace {

std::string RegionOf(const Node& node, const std::string& zone) {
  const auto found = node.configuration_.entries_.find({records::Kind::kZone, zone});
  if (found != node.configuration_.entries_.end() && found->second.record_ != nullptr) {
    return std::get<records::Zone>(found->second.record_->spec_).region_;
  }
  return zone == node.settings_.zone_ ? node.settings_.region_ : "";
}

template <typename Condition>
std::vector<MemberUpdate> AliveWhere(const Node& node, const Condition& condition) {
  std::vector<MemberUpdate> found;
  for (const auto& [name, member] : node.members_) {
    if (member.state_ == MemberState::kAlive && condition(member)) found.push_back(member);
  }
  return found;
}

// Members for a shard by zone, then region, then anywhere; each group by rendezvous hash.
std::vector<MemberUpdate> Candidates(const Node& node, const std::string& service,
                                     const std::string& zone, bool region_only) {
  const std::string region = RegionOf(node, zone);
  const auto distance = [&](const MemberUpdate& member) {
    if (member.zone_ == zone) return 0;
    return !region.empty() && RegionOf(node, member.zone_) == region ? 1 : 2;
  };
  auto members = AliveWhere(node, [&](const MemberUpdate& member) {
    return !region_only || distance(member) < 2;
  });
  internal::SortForShard(members, service, zone);
  std::stable_sort(members.begin(), members.end(), [&](const auto& left, const auto& right) {
    return distance(left) < distance(right);
  });
  return members;
}

void TakeUpdates(Node& node, const std::vector<MemberUpdate>& updates, NodeOutput& output) {
  for (const auto& update : updates) {
    if (update.name_ == node.settings_.name_) continue;
    node.members_[update.name_] = update;
    output.members_changed_ = true;
  }
}

}  // namespace

void NodeDeleter::operator()(Node* node) const { delete node; }

NodePtr MakeNode(NodeSettings settings, Time now) {
  NodePtr node(new Node);
  node->settings_ = std::move(settings);
  node->next_exchange_ = now;
  const auto& own = node->settings_;
  node->members_[own.name_] = {own.name_, own.incarnation_,  0,
                               MemberState::kAlive, own.zone_, own.peer_address_,
                               own.call_address_};
  return node;
}

NodeOutput OnStart(Node& node, Time now, Random& random) { return OnTick(node, now, random); }

NodeOutput OnPeerMessage(Node& node, const PeerMessage& message, Time /*now*/,
                         Random& /*random*/) {
  NodeOutput output;
  std::visit(
      [&](const auto& body) {
        if constexpr (requires { body.updates_; }) TakeUpdates(node, body.updates_, output);
        if constexpr (requires { body.records_; }) {
          internal::MergeRecords(node, body.records_, output);
        }
      },
      message.body_);
  return output;
}

NodeOutput OnPlatformReply(Node& node, const PlatformReply& reply, Time now, Random& random) {
  NodeOutput output;
  if (reply.id_ == node.exchange_request_) {
    internal::OnExchangeReply(node, reply, now, random, output);
  }
  return output;
}

NodeOutput OnTick(Node& node, Time now, Random& /*random*/) {
  NodeOutput output;
  internal::ContinueExchange(node, now, output);
  return output;
}

Time NextTick(const Node& node, Time now) {
  return std::max(now + std::chrono::milliseconds(10), node.next_exchange_);
}

NodeOutput OnLeave(Node& node, Time /*now*/, Random& /*random*/) {
  NodeOutput output;
  node.members_[node.settings_.name_].state_ = MemberState::kLeaving;
  output.members_changed_ = true;
  return output;
}

void SetLocalShards(Node& /*node*/, std::vector<ShardLoad> /*shards*/, Time /*now*/) {}

const configuration::Configuration& ConfigurationOf(const Node& node) {
  return node.configuration_;
}

std::vector<MemberUpdate> Members(const Node& node) {
  std::vector<MemberUpdate> members;
  for (const auto& [name, member] : node.members_) members.push_back(member);
  return members;
}

std::optional<MemberUpdate> FindMember(const Node& node, const HostName& name) {
  const auto found = node.members_.find(name);
  if (found == node.members_.end()) return std::nullopt;
  return found->second;
}

bool IsIsolated(const Node& /*node*/, Time /*now*/) { return false; }

bool HasConfiguration(const Node& node) { return node.has_configuration_; }

std::optional<MemberUpdate> DispatcherOf(const Node& node, const std::string& service,
                                         const std::string& zone) {
  auto members = Candidates(node, service, zone, true);
  if (members.empty()) return std::nullopt;
  return members.front();
}

std::vector<MemberUpdate> EntryHostsFor(const Node& node, const std::string& service,
                                        const std::string& zone, std::size_t max_hosts) {
  auto members = Candidates(node, service, zone, false);
  if (members.size() > max_hosts) members.resize(max_hosts);
  return members;
}

std::vector<AssignmentView> HeldAssignments(const Node& /*node*/, Time /*now*/) { return {}; }

}  // namespace monsoonshelf::coordination
