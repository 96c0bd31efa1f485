// Part of Router: targets, limits, assignments and load of the shards.
#include <algorithm>
#include <utility>

#include "entry/internal/call_headers.h"
#include "entry/internal/router.h"

namespace monsoonshelf::entry {

namespace {

// Assumed network delay to another zone: the zones of a region are 4 ms apart.
constexpr Duration kDefaultZoneDelay = std::chrono::milliseconds(4);

dispatch::RemoteShardLoad ToRemoteShard(const coordination::ShardLoad& load) {
  dispatch::RemoteShardLoad remote{load.zone_, load.free_slots_, load.queued_, load.ready_targets_,
                                   kDefaultZoneDelay};
  remote.queued_interactive_ = load.queued_interactive_;
  return remote;
}

bool SameTargets(const std::vector<dispatch::TargetSpec>& a,
                 const std::vector<dispatch::TargetSpec>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const auto& x, const auto& y) {
    return x.name_ == y.name_ && x.accepts_work_ == y.accepts_work_;
  });
}

bool SameLimits(const records::Service& a, const records::Service& b) {
  return a.slots_ == b.slots_ && a.cold_limit_ == b.cold_limit_ &&
         a.max_connections_ == b.max_connections_ && a.probes_per_second_ == b.probes_per_second_;
}

}  // namespace

const configuration::ServiceView* Router::FindService(const std::string& name) const {
  if (view_->snapshot_ == nullptr) return nullptr;
  const auto found = view_->snapshot_->services_.find(name);
  return found == view_->snapshot_->services_.end() ? nullptr : &found->second;
}

const coordination::MemberUpdate* Router::FindMember(const HostName& name) const {
  const auto found = std::find_if(view_->members_.begin(), view_->members_.end(),
                                  [&](const auto& member) { return member.name_ == name; });
  return found == view_->members_.end() ? nullptr : &*found;
}

int Router::ConnectionShare(const std::string& service) const {
  const auto* found = FindService(service);
  return found == nullptr ? 1
                          : std::max(1, found->service_.max_connections_ / settings_.max_hosts_);
}

bool Router::IsLocalShard(const ShardKey& key) const {
  const auto placement = view_->placements_.find(key);
  return placement != view_->placements_.end() && placement->second.dispatcher_ &&
         placement->second.dispatcher_->name_ == settings_.name_;
}

Router::Shard& Router::GetOrCreateShard(const ShardKey& key, Time now) {
  const auto [entry, created] = shards_.try_emplace(key);
  Shard& shard = entry->second;
  if (!created) return shard;
  shard.settings_.service_ = key.first;
  shard.settings_.zone_ = key.second;
  shard.settings_.max_queue_ = settings_.max_queue_;
  if (const auto* service = FindService(key.first)) shard.settings_.limits_ = service->service_;
  shard.settings_.limits_.slots_ =
      std::min(shard.settings_.limits_.slots_, ConnectionShare(key.first));
  shard.dispatcher_ = dispatch::MakeDispatcher(shard.settings_, now);
  UpdateShard(key, shard, now);
  if (const auto load = remote_shards_.find(key); load != remote_shards_.end()) {
    dispatch::OnTargetSnapshots(*shard.dispatcher_, load->second.targets_, now);
  }
  for (const auto& [other, load] : remote_shards_) {
    if (other.first != key.first || other.second == key.second) continue;
    dispatch::OnRemoteShardLoad(*shard.dispatcher_, ToRemoteShard(load), now);
  }
  return shard;
}

void Router::OnView(EntryViewPtr view, Time now) {
  const auto before = std::move(view_);
  view_ = std::move(view);
  for (const auto& [key, placement] : view_->placements_) {
    if (IsLocalShard(key) && FindService(key.first) != nullptr) GetOrCreateShard(key, now);
  }
  std::vector<ShardKey> keys;
  for (const auto& [key, shard] : shards_) keys.push_back(key);
  for (const auto& key : keys) UpdateShard(key, GetOrCreateShard(key, now), now);
}

void Router::UpdateShard(const ShardKey& key, Shard& shard, Time now) {
  ApplyAssignment(key, shard, now);
  std::vector<dispatch::TargetSpec> targets;
  std::map<std::string, std::string> addresses;
  auto settings = shard.settings_;
  if (const auto* service = FindService(key.first)) {
    settings.limits_ = service->service_;
    settings.limits_.slots_ = std::min(settings.limits_.slots_, ConnectionShare(key.first));
    for (const auto& target : service->targets_) {
      if (target.zone_ != key.second) continue;
      targets.push_back({target.name_, target.accepts_work_});
      addresses[target.name_] = target.address_;
    }
  }
  for (const auto& [name, address] : shard.addresses_) {
    const auto found = addresses.find(name);
    if (found == addresses.end() || found->second != address) delegate_.RemoveAddress(address);
  }
  shard.addresses_ = std::move(addresses);
  if (!SameLimits(settings.limits_, shard.settings_.limits_)) {
    shard.settings_ = settings;
    RunActions(key, dispatch::OnSettingsChanged(*shard.dispatcher_, settings, now, random_), now);
  }
  if (!SameTargets(targets, shard.targets_)) {
    shard.targets_ = targets;
    RunActions(key, dispatch::OnTargetsChanged(*shard.dispatcher_, targets, now, random_), now);
  }
  ScheduleTick(shard, now);
}

void Router::ApplyAssignment(const ShardKey& key, Shard& shard, Time now) {
  const auto held = view_->assignments_.find(key);
  if (held == view_->assignments_.end() || held->second.held_until_ <= now) {
    dispatch::SetAssignment(*shard.dispatcher_, std::nullopt, Time{}, now);
  } else {
    dispatch::SetAssignment(*shard.dispatcher_, held->second.held_until_,
                            held->second.predecessor_end_, now);
  }
}

void Router::ScheduleTick(Shard& shard, Time now) {
  shard.next_tick_ = dispatch::NextTick(*shard.dispatcher_, now);
}

void Router::OnRemoteShards(const std::vector<coordination::ShardLoad>& shards, Time now) {
  for (const auto& load : shards) {
    const ShardKey key{load.service_, load.zone_};
    auto& known = remote_shards_[key];
    auto targets = std::move(known.targets_);
    known = load;
    // Peers send the target phases only after a change; otherwise keep the known ones.
    if (known.targets_.empty()) known.targets_ = std::move(targets);
    for (auto& [local, shard] : shards_) {
      if (local == key && !load.targets_.empty()) {
        dispatch::OnTargetSnapshots(*shard.dispatcher_, load.targets_, now);
      } else if (local.first == key.first && local.second != key.second) {
        dispatch::OnRemoteShardLoad(*shard.dispatcher_, ToRemoteShard(load), now);
      }
      ScheduleTick(shard, now);
    }
  }
}

std::vector<coordination::ShardLoad> Router::LocalShards(Time now) const {
  std::vector<coordination::ShardLoad> loads;
  for (const auto& [key, shard] : shards_) {
    if (!IsLocalShard(key)) continue;
    const auto summary = dispatch::Summarize(*shard.dispatcher_, now);
    coordination::ShardLoad load{
        key.first, key.second, summary.free_slots_, summary.queued_, summary.ready_targets_, {}};
    load.queued_interactive_ = summary.queued_interactive_;
    for (const auto& target : summary.targets_) {
      load.targets_.push_back({target.name_, target.phase_, target.epoch_});
    }
    loads.push_back(std::move(load));
  }
  return loads;
}

void Router::UpdateRemoteLoad(const RoutedCall& call, const std::string& load, Time now) {
  auto remote = ParseShardLoad(load);
  if (!remote) return;
  remote->zone_ = call.spill_zone_;
  remote->one_way_delay_ = kDefaultZoneDelay;
  dispatch::OnRemoteShardLoad(*GetOrCreateShard(call.shard_, now).dispatcher_, *remote, now);
}

void Router::ExchangeLocalShards(Time now) {
  for (const auto& load : LocalShards(now)) {
    for (auto& [key, shard] : shards_) {
      if (key.first != load.service_ || key.second == load.zone_) continue;
      dispatch::OnRemoteShardLoad(*shard.dispatcher_, ToRemoteShard(load), now);
      ScheduleTick(shard, now);
    }
  }
}

void Router::OnProbeEnd(const ShardKey& shard, const std::string& target,
                        const std::optional<dispatch::LoadReport>& report, Time now) {
  RunActions(shard,
             dispatch::OnProbeFinished(*GetOrCreateShard(shard, now).dispatcher_, target, report,
                                       now, random_),
             now);
}

}  // namespace monsoonshelf::entry
