#include "coordination/internal/shard_exchange.h"

#include <algorithm>
#include <utility>

#include "coordination/internal/ownership.h"

namespace monsoonshelf::coordination::internal {

namespace {

constexpr Duration kFlushInterval = std::chrono::milliseconds(500);
// Unchanged data is sent again at these intervals because messages may be lost.
constexpr Duration kLoadRefreshInterval = std::chrono::seconds(20);
constexpr Duration kPhaseRefreshInterval = std::chrono::seconds(60);

// Estimates of encoded sizes in bytes, envelope and signature included.
constexpr std::size_t kEnvelopeBytes = 150;
constexpr std::size_t kLoadBytes = 12;
constexpr std::size_t kPhaseBytes = 12;

// Returns true if the load may lead to another spill-over decision than the load last sent.
bool DiffersSignificantly(const ShardLoad& now, const ShardLoad& sent) {
  const auto crosses_zero = [](int left, int right) { return (left == 0) != (right == 0); };
  const auto changed = [](int left, int right) {
    return std::abs(left - right) > 2 + std::max(left, right) / 3;
  };
  return crosses_zero(now.free_slots_, sent.free_slots_) ||
         crosses_zero(now.queued_, sent.queued_) ||
         crosses_zero(now.queued_interactive_, sent.queued_interactive_) ||
         now.ready_targets_ != sent.ready_targets_ || changed(now.free_slots_, sent.free_slots_) ||
         changed(now.queued_, sent.queued_);
}

bool HasSamePhase(const dispatch::TargetSnapshot& left, const dispatch::TargetSnapshot& right) {
  return left.name_ == right.name_ && left.phase_ == right.phase_ && left.epoch_ == right.epoch_;
}

std::vector<dispatch::TargetSnapshot> ChangedPhases(const ShardLoad& now, const ShardLoad& sent) {
  std::vector<dispatch::TargetSnapshot> changed;
  for (const auto& target : now.targets_) {
    const bool same = std::any_of(sent.targets_.begin(), sent.targets_.end(),
                                  [&](const auto& other) { return HasSamePhase(target, other); });
    if (!same) changed.push_back(target);
  }
  return changed;
}

// Messages of one flush and their estimated size.
struct Outbox {
  std::map<std::string, ShardState> messages_;  // By peer address.
  std::size_t bytes_ = 0;

  // Adds a load to the message for an address. Without `phases`, the target phases are left out.
  void Add(const std::string& address, const ShardLoad& load, bool phases) {
    auto [message, inserted] = messages_.try_emplace(address);
    if (inserted) bytes_ += kEnvelopeBytes;
    message->second.shards_.push_back(load);
    bytes_ += kLoadBytes + load.service_.size() + load.zone_.size();
    if (!phases) {
      message->second.shards_.back().targets_.clear();
      return;
    }
    for (const auto& target : load.targets_) bytes_ += kPhaseBytes + target.name_.size();
  }
};

// Returns the other members that may dispatch the shards of the zone later.
std::vector<MemberUpdate> ZoneMembers(const Node& node, const std::string& zone) {
  auto members = DispatchersOfZone(node, zone);
  std::erase_if(members, [&](const auto& member) { return member.name_ == node.settings_.name_; });
  return members;
}

// Returns an empty string if the shard has no dispatcher or this host is the dispatcher.
std::string DispatcherAddress(const Node& node, const std::string& service,
                              const std::string& zone) {
  auto members = DispatchersOfZone(node, zone);
  if (members.empty()) return {};
  SortForShard(members, service, zone);
  return members.front().name_ == node.settings_.name_ ? "" : members.front().peer_address_;
}

// Returns the addresses of the dispatchers of the same service in the other zones of the region.
std::vector<std::string> LoadReceivers(const Node& node, const ShardKey& shard) {
  const std::string region = RegionOf(node, shard.second);
  std::vector<std::string> receivers;
  const auto& entries = node.configuration_.entries_;
  for (auto entry = entries.lower_bound({records::Kind::kZone, ""});
       entry != entries.end() && entry->first.first == records::Kind::kZone; ++entry) {
    if (entry->second.record_ == nullptr || entry->first.second == shard.second) continue;
    if (RegionOf(node, entry->first.second) != region) continue;
    const std::string address = DispatcherAddress(node, shard.first, entry->first.second);
    if (!address.empty()) receivers.push_back(address);
  }
  return receivers;
}

void AddPhases(Step& step, const ShardKey& key, LocalShard& shard, Outbox& outbox) {
  const auto changed = ChangedPhases(shard.load_, shard.last_sent_load_);
  const bool refresh = step.now_ >= shard.phases_sent_at_ + kPhaseRefreshInterval;
  if (changed.empty() && !refresh) return;
  ShardLoad load = shard.load_;
  if (!refresh) load.targets_ = changed;
  for (const auto& member : ZoneMembers(step.node_, key.second)) {
    outbox.Add(member.peer_address_, load, true);
  }
  shard.last_sent_load_.targets_ = shard.load_.targets_;
  if (refresh) shard.phases_sent_at_ = step.now_;
}

void AddLoad(Step& step, const ShardKey& key, LocalShard& shard, Outbox& outbox) {
  const bool refresh = step.now_ >= shard.load_sent_at_ + kLoadRefreshInterval;
  if (!DiffersSignificantly(shard.load_, shard.last_sent_load_) && !refresh) return;
  for (const auto& address : LoadReceivers(step.node_, key)) {
    outbox.Add(address, shard.load_, false);
  }
  auto targets = std::move(shard.last_sent_load_.targets_);
  shard.last_sent_load_ = shard.load_;
  shard.last_sent_load_.targets_ = std::move(targets);
  shard.load_sent_at_ = step.now_;
}

// Sends hosts that are new in the zone all target phases of the shards that this host dispatches in
// the zone.
void SendAllPhasesToNewMembers(Step& step, Outbox& outbox) {
  auto& exchange = step.node_.shard_exchange_;
  std::set<HostName> present;
  for (const auto& member : ZoneMembers(step.node_, step.node_.settings_.zone_)) {
    present.insert(member.name_);
    if (exchange.informed_zone_members_.contains(member.name_)) continue;
    for (const auto& [key, shard] : exchange.local_shards_) {
      if (key.second == member.zone_) outbox.Add(member.peer_address_, shard.load_, true);
    }
  }
  if (!exchange.local_shards_.empty()) exchange.informed_zone_members_ = std::move(present);
}

}  // namespace

void StoreLocalShards(Node& node, std::vector<ShardLoad> shards) {
  auto& known = node.shard_exchange_.local_shards_;
  std::map<ShardKey, LocalShard> stored;
  for (auto& load : shards) {
    const ShardKey key{load.service_, load.zone_};
    const auto found = known.find(key);
    if (found != known.end()) stored[key] = std::move(found->second);
    stored[key].load_ = std::move(load);
  }
  known = std::move(stored);
}

void SendDueShardStates(Step& step) {
  auto& exchange = step.node_.shard_exchange_;
  if (step.now_ < exchange.next_flush_) return;
  exchange.next_flush_ = step.now_ + kFlushInterval;
  if (!exchange.budget_.HasBudget(step.now_)) return;
  Outbox outbox;
  SendAllPhasesToNewMembers(step, outbox);
  // Shards whose load was sent least recently come first. Those beyond the limit wait for the next
  // flush.
  std::vector<std::pair<const ShardKey, LocalShard>*> order;
  for (auto& item : exchange.local_shards_) order.push_back(&item);
  std::sort(order.begin(), order.end(), [](const auto* left, const auto* right) {
    return left->second.load_sent_at_ < right->second.load_sent_at_;
  });
  constexpr std::size_t kBytesPerFlush = 1500;
  for (auto* item : order) {
    if (outbox.bytes_ < kBytesPerFlush) AddPhases(step, item->first, item->second, outbox);
  }
  for (auto* item : order) {
    if (outbox.bytes_ < kBytesPerFlush) AddLoad(step, item->first, item->second, outbox);
  }
  exchange.budget_.Consume(outbox.bytes_);
  for (auto& [address, message] : outbox.messages_) {
    step.output_.peer_sends_.push_back({address, std::move(message)});
  }
}

Time NextShardExchangeTime(const Node& node) {
  return node.shard_exchange_.local_shards_.empty() ? kNever : node.shard_exchange_.next_flush_;
}

}  // namespace monsoonshelf::coordination::internal
