#include "tests/scenario/host.h"

#include <algorithm>

#include "tests/scenario/world.h"

namespace monsoonshelf::scenario {

using coordination::NodeOutput;

namespace {

// Time for which a host that stops gracefully still accepts calls, so that callers with a cached
// host list can move to other hosts. Includes a margin.
constexpr Duration kKeepTime = std::chrono::seconds(3);
constexpr Duration kStopTimeout = std::chrono::seconds(10);
constexpr Duration kShardReportInterval = std::chrono::milliseconds(500);

}  // namespace

Host::Host(World& world, coordination::NodeSettings settings)
    : world_(world), settings_(std::move(settings)) {}

void Host::Start() {
  auto& simulation = world_.Sim();
  ++generation_;
  ++settings_.incarnation_;
  process_alive_ = true;
  paused_ = draining_ = false;
  random_.seed(simulation.RandomSource()());
  node_ = coordination::MakeNode(settings_, simulation.Now());
  outcomes_ = outcomes::MakeOutcomeTable(Name(), settings_.incarnation_, {});
  snapshot_ = std::make_shared<configuration::Snapshot>();
  dispatchers_.clear();
  known_targets_.clear();
  connection_epochs_.clear();
  calls_.clear();
  waiting_retries_.clear();
  in_effect_.clear();
  deferred_events_.clear();
  timer_deadline_ = Time::max();
  simulation.Log(Name(),
                 {{"event", "started"}, {"incarnation", std::to_string(settings_.incarnation_)}});
  Apply(coordination::OnStart(*node_, simulation.Now(), random_));
}

void Host::Crash() {
  if (!process_alive_) return;
  world_.Sim().Log(Name(), {{"event", "ended"}});
  ++generation_;
  process_alive_ = paused_ = false;
  // The kernel closes the connections of a process that ends.
  const auto calls = std::move(calls_);
  calls_.clear();
  for (const auto& [handle, call] : calls)
    call.reply_({true, false, CallOutcome::kUnknown, {}, ""});
  const auto retries = std::move(waiting_retries_);
  waiting_retries_.clear();
  for (const auto& [id, replies] : retries) {
    for (const auto& reply : replies) reply({true, false, CallOutcome::kUnknown, {}, ""});
  }
}

void Host::Pause() {
  if (!process_alive_) return;
  paused_ = true;
  world_.Sim().Log(Name(), {{"event", "pause"}});
}

void Host::Resume() {
  if (!paused_) return;
  paused_ = false;
  world_.Sim().Log(Name(), {{"event", "resume"}});
  const auto backlog = std::move(deferred_events_);
  deferred_events_.clear();
  for (const auto& event : backlog) event();
}

void Host::StopGracefully() {
  if (!IsRunning()) return;
  Apply(coordination::OnLeave(*node_, world_.Sim().Now(), random_));
  const auto generation = generation_;
  world_.Sim().ScheduleAfter(
      kKeepTime, [=, this] { RunInGeneration(generation, [this] { draining_ = true; }); });
  world_.Sim().ScheduleAfter(kStopTimeout, [=, this] {
    if (generation != generation_) return;
    if (!paused_ && !calls_.empty()) {
      world_.GetChecks().ReportViolation(
          8, Name() + " stopped with " + std::to_string(calls_.size()) + " calls in flight");
    }
    Crash();
  });
}

void Host::RunOrDefer(Simulation::Event event) {
  if (!process_alive_) return;
  if (paused_) {
    deferred_events_.push_back(std::move(event));
  } else {
    event();
  }
}

void Host::RunInGeneration(std::uint64_t generation, const Simulation::Event& event) {
  if (generation != generation_) return;
  RunOrDefer([=, this] {
    if (generation == generation_) event();
  });
}

void Host::OnPeerMessage(const coordination::PeerMessage& message) {
  Apply(coordination::OnPeerMessage(*node_, message, world_.Sim().Now(), random_));
}

std::pair<Version, Time> Host::VersionInEffect(const configuration::RecordKey& key) const {
  const auto found = in_effect_.find(key);
  return found == in_effect_.end() ? std::pair(Version{0}, Time{}) : found->second;
}

void Host::Apply(const NodeOutput& output) {
  for (const auto& event : output.events_) world_.Sim().Log(Name(), event);
  for (const auto& send : output.peer_sends_) world_.SendPeerMessage(*this, send);
  for (const auto& request : output.platform_requests_) SendPlatformRequest(request);
  if (output.configuration_changed_) ApplyConfiguration();
  if (output.configuration_changed_ || output.members_changed_ || output.assignments_changed_) {
    UpdateAssignments();
  }
  ApplyRemoteShardLoads(output.remote_shards_);
  SetTimer();
}

void Host::SendPlatformRequest(const coordination::PlatformRequest& request) {
  const auto generation = generation_;
  world_.SendPlatformRequest(*this, request, [=, this](const coordination::PlatformReply& reply) {
    RunInGeneration(generation, [=, this] {
      Apply(coordination::OnPlatformReply(*node_, reply, world_.Sim().Now(), random_));
    });
  });
}

void Host::ApplyConfiguration() {
  const auto& configuration = coordination::ConfigurationOf(*node_);
  for (const auto& [key, entry] : configuration.entries_) {
    auto& known = in_effect_[key];
    if (entry.version_ < known.first) {
      world_.GetChecks().ReportViolation(9, Name() + " reverts " + key.second + " from version " +
                                                std::to_string(known.first) + " to " +
                                                std::to_string(entry.version_));
    }
    if (entry.version_ != known.first) known = {entry.version_, world_.Sim().Now()};
  }
  snapshot_ = configuration::BuildSnapshot(configuration);
  for (auto& [shard, dispatcher] : dispatchers_) {
    const auto service = snapshot_->services_.find(shard.first);
    if (service != snapshot_->services_.end()) {
      ExecuteActions(shard, dispatch::OnSettingsChanged(
                                *dispatcher, {shard.first, shard.second, service->second.service_},
                                world_.Sim().Now(), random_));
    }
    ExecuteActions(shard, dispatch::OnTargetsChanged(*dispatcher, TargetsOf(shard),
                                                     world_.Sim().Now(), random_));
  }
}

void Host::ApplyRemoteShardLoads(const std::vector<coordination::ShardLoad>& loads) {
  const Time now = world_.Sim().Now();
  for (const auto& load : loads) {
    const ShardKey key{load.service_, load.zone_};
    if (!load.targets_.empty()) {
      auto& known = known_targets_[key];
      for (const auto& target : load.targets_) {
        std::erase_if(known, [&](const auto& item) { return item.name_ == target.name_; });
        known.push_back(target);
      }
      if (const auto own = dispatchers_.find(key); own != dispatchers_.end()) {
        dispatch::OnTargetSnapshots(*own->second, load.targets_, now);
      }
      continue;
    }
    for (auto& [shard, dispatcher] : dispatchers_) {
      if (shard.first != load.service_ || shard.second == load.zone_) continue;
      dispatch::OnRemoteShardLoad(*dispatcher,
                                  {load.zone_, load.free_slots_, load.queued_, load.ready_targets_,
                                   std::chrono::milliseconds(4), load.queued_interactive_},
                                  now);
    }
  }
}

void Host::UpdateAssignments() {
  const Time now = world_.Sim().Now();
  std::map<ShardKey, coordination::AssignmentView> held;
  for (auto& view : coordination::HeldAssignments(*node_, now)) {
    held[{view.service_, view.zone_}] = view;
  }
  for (const auto& [shard, view] : held) DispatcherFor(shard);
  for (auto& [shard, dispatcher] : dispatchers_) {
    const auto view = held.find(shard);
    if (view == held.end()) {
      dispatch::SetAssignment(*dispatcher, std::nullopt, now, now);
    } else {
      dispatch::SetAssignment(*dispatcher, view->second.held_until_, view->second.predecessor_end_,
                              now);
    }
    ExecuteActions(shard, dispatch::OnTick(*dispatcher, now, random_));
  }
}

void Host::ReportShards() {
  const Time now = world_.Sim().Now();
  std::vector<coordination::ShardLoad> loads;
  for (const auto& [shard, dispatcher] : dispatchers_) {
    const auto owner = coordination::DispatcherOf(*node_, shard.first, shard.second);
    if (!owner || owner->name_ != Name()) continue;
    const auto summary = dispatch::Summarize(*dispatcher, now);
    coordination::ShardLoad load{shard.first,
                                 shard.second,
                                 summary.free_slots_,
                                 summary.queued_,
                                 summary.ready_targets_,
                                 {},
                                 summary.queued_interactive_};
    for (const auto& target : summary.targets_) {
      load.targets_.push_back({target.name_, target.phase_, target.epoch_});
    }
    loads.push_back(std::move(load));
  }
  coordination::SetLocalShards(*node_, std::move(loads), now);
}

void Host::OnTimer() {
  const Time now = world_.Sim().Now();
  if (now >= next_report_) {
    next_report_ = now + kShardReportInterval;
    ReportShards();
  }
  for (auto& [shard, dispatcher] : dispatchers_) {
    if (dispatch::NextTick(*dispatcher, now) <= now) {
      ExecuteActions(shard, dispatch::OnTick(*dispatcher, now, random_));
    }
  }
  Apply(coordination::OnTick(*node_, now, random_));
}

void Host::SetTimer() {
  const Time now = world_.Sim().Now();
  Time next = std::min(coordination::NextTick(*node_, now), std::max(next_report_, now));
  for (const auto& [shard, dispatcher] : dispatchers_) {
    next = std::min(next, dispatch::NextTick(*dispatcher, now));
  }
  next = std::max(next, now + std::chrono::milliseconds(1));
  if (timer_deadline_ > now && next >= timer_deadline_) return;
  timer_deadline_ = next;
  const auto number = ++timer_number_;
  const auto generation = generation_;
  world_.Sim().ScheduleAt(next, [=, this] {
    if (number != timer_number_) return;
    RunInGeneration(generation, [this] { OnTimer(); });
  });
}

}  // namespace monsoonshelf::scenario
