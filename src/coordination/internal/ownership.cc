#include "coordination/internal/ownership.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace monsoonshelf::coordination::internal {

namespace {

std::uint64_t ShardSeed(const std::string& service, const std::string& zone) {
  const std::string key = service + '\n' + zone;
  return XXH64(key.data(), key.size(), 0);
}

// Rendezvous hash of a member; the name breaks ties.
std::pair<std::uint64_t, HostName> Score(const MemberUpdate& member, std::uint64_t seed) {
  return {XXH64(member.name_.data(), member.name_.size(), seed), member.name_};
}

template <typename Condition>
std::vector<MemberUpdate> AliveWhere(const Node& node, const Condition& condition) {
  const auto& membership = node.membership_;
  std::vector<MemberUpdate> found;
  const auto add = [&](const MemberUpdate& member) {
    if (member.state_ == MemberState::kAlive && condition(member)) found.push_back(member);
  };
  add(membership.self_);
  for (const auto& [name, member] : membership.members_) add(member.update_);
  return found;
}

std::set<ShardKey> ShardsWithTargets(const Node& node) {
  std::set<ShardKey> shards;
  const auto& entries = node.configuration_.entries_;
  for (auto entry = entries.lower_bound({records::Kind::kTarget, ""});
       entry != entries.end() && entry->first.first == records::Kind::kTarget; ++entry) {
    if (entry->second.record_ == nullptr) continue;
    const auto& target = std::get<records::Target>(entry->second.record_->spec_);
    shards.emplace(target.service_, target.zone_);
  }
  return shards;
}

}  // namespace

std::string RegionOf(const Node& node, const std::string& zone) {
  const auto found = node.configuration_.entries_.find({records::Kind::kZone, zone});
  if (found != node.configuration_.entries_.end() && found->second.record_ != nullptr) {
    return std::get<records::Zone>(found->second.record_->spec_).region_;
  }
  return zone == node.settings_.zone_ ? node.settings_.region_ : "";
}

void SortForShard(std::vector<MemberUpdate>& members, const std::string& service,
                  const std::string& zone) {
  const std::uint64_t seed = ShardSeed(service, zone);
  std::sort(members.begin(), members.end(), [seed](const auto& left, const auto& right) {
    return Score(left, seed) > Score(right, seed);
  });
}

std::vector<MemberUpdate> DispatchersOfZone(const Node& node, const std::string& zone) {
  auto members = AliveWhere(node, [&](const MemberUpdate& member) { return member.zone_ == zone; });
  if (!members.empty()) return members;
  const std::string region = RegionOf(node, zone);
  if (region.empty()) return members;
  return AliveWhere(
      node, [&](const MemberUpdate& member) { return RegionOf(node, member.zone_) == region; });
}

std::vector<ShardKey> DispatchedShards(const Node& node) {
  const HostName& own = node.settings_.name_;
  std::map<std::string, std::vector<MemberUpdate>> dispatchers;
  std::vector<ShardKey> shards;
  for (const auto& shard : ShardsWithTargets(node)) {
    auto [entry, inserted] = dispatchers.try_emplace(shard.second);
    if (inserted) entry->second = DispatchersOfZone(node, shard.second);
    const auto& members = entry->second;
    const std::uint64_t seed = ShardSeed(shard.first, shard.second);
    const auto best =
        std::max_element(members.begin(), members.end(), [&](const auto& left, const auto& right) {
          return Score(left, seed) < Score(right, seed);
        });
    if (best != members.end() && best->name_ == own) shards.push_back(shard);
  }
  return shards;
}

}  // namespace monsoonshelf::coordination::internal
