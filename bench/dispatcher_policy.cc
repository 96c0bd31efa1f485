#include <algorithm>
#include <unordered_map>
#include <utility>

#include "bench/ipolicy.h"
#include "bench/world.h"
#include "dispatch/dispatcher.h"

namespace monsoonshelf::bench {

namespace {

using dispatch::Action;
using dispatch::ActionKind;
using dispatch::Actions;
using dispatch::CallHandle;
using dispatch::SendResult;
using std::chrono::milliseconds;

// Share of the calls that reach the dispatcher of their shard directly: nine of ten. The others
// reach another host of the zone, which forwards them with the delay below in each direction.
constexpr double kDirectShare = 0.9;
constexpr Duration kForwardDelay{250};

// Interval of the shard_state messages that the dispatchers of a service send to each other.
constexpr Duration kShardStateInterval = milliseconds(250);

struct Shard {
  int service_ = 0;
  int zone_ = 0;
  dispatch::DispatcherPtr dispatcher_;
  Random random_;
  Time next_tick_ = Time::max();
};

struct OpenCall {
  BenchCall call_;
  CallCallback done_;
  Shard* home_shard_ = nullptr;     // Shard of the zone in which the call arrived.
  Shard* current_shard_ = nullptr;  // Shard that currently queues or sends the call.
};

// Runs the production dispatcher: one per shard, or one per entry host with kDispatcherPerHost.
class DispatcherPolicy : public IPolicy {
 public:
  DispatcherPolicy(World& world, PolicyKind kind)
      : world_(world), kind_(kind), random_(world.Settings().seed_ + 99) {
    const int hosts = kind == PolicyKind::kDispatcherPerHost
                          ? world.Settings().shape_.host_count_ / kZoneCount
                          : 1;
    const auto services = static_cast<int>(world.Settings().shape_.targets_per_service_.size());
    for (int service = 0; service < services; ++service) {
      for (int zone = 0; zone < kZoneCount; ++zone) {
        for (int host = 0; host < hosts; ++host) AddShard(service, zone);
      }
    }
    dispatchers_per_zone_ = static_cast<std::size_t>(hosts);
    if (kind != PolicyKind::kDispatcherPerHost) BroadcastShardStates();
  }

  void PlaceCall(const BenchCall& call, CallCallback done) override {
    const bool through_other_host =
        kind_ == PolicyKind::kForwardAlways ||
        (kind_ == PolicyKind::kDispatcher &&
         std::uniform_real_distribution<double>(0, 1)(random_) >= kDirectShare);
    if (!through_other_host) {
      PlaceCallAtDispatcher(call, std::move(done));
      return;
    }
    world_.ScheduleAfter(kForwardDelay, [this, call, done = std::move(done)] {
      PlaceCallAtDispatcher(call, [this, done](CallResult call_result, int target_zone) {
        world_.ScheduleAfter(kForwardDelay,
                             [done, call_result, target_zone] { done(call_result, target_zone); });
      });
    });
  }

  void OnZonesChanged() override {
    for (auto& shard : shards_) {
      RunActions(*shard, OnTargetsChanged(*shard->dispatcher_, TargetSpecsOf(*shard), world_.Now(),
                                          shard->random_));
    }
  }

 private:
  std::vector<dispatch::TargetSpec> TargetSpecsOf(const Shard& shard) const {
    std::vector<dispatch::TargetSpec> specs;
    if (kind_ == PolicyKind::kDispatcherPerHost) {
      for (const int index : world_.CandidateTargets(shard.service_, shard.zone_)) {
        specs.push_back({TargetAt(index).name_, true});
      }
      return specs;
    }
    for (const FakeTarget& target : world_.Targets()) {
      if (target.service_ != shard.service_ || target.zone_ != shard.zone_) continue;
      specs.push_back({target.name_, world_.IsZoneInService(target.zone_)});
    }
    return specs;
  }

  FakeTarget& TargetAt(int index) const {
    return world_.Targets()[static_cast<std::size_t>(index)];
  }

  // Target names are "t" and the index.
  int TargetIndexOf(const std::string& name) const { return std::stoi(name.substr(1)); }

  void AddShard(int service, int zone) {
    dispatch::ShardSettings settings;
    settings.service_ = "s" + std::to_string(service);
    settings.zone_ = std::to_string(zone);
    settings.limits_.slots_ = kSlotsPerTarget;
    settings.limits_.cold_limit_ = kColdLimit;
    auto shard = std::make_unique<Shard>();
    shard->service_ = service;
    shard->zone_ = zone;
    shard->dispatcher_ = MakeDispatcher(settings, world_.Now());
    shard->random_.seed(world_.Settings().seed_ * 1000 + shards_.size());
    SetAssignment(*shard->dispatcher_, world_.Now() + std::chrono::hours(1), Time{}, world_.Now());
    std::vector<dispatch::TargetSnapshot> snapshots;
    for (const FakeTarget& target : world_.Targets()) {
      if (target.service_ != service) continue;
      snapshots.push_back({target.name_, dispatch::TargetPhase::kReady, target.epoch_});
    }
    OnTargetSnapshots(*shard->dispatcher_, snapshots, world_.Now());
    OnTargetsChanged(*shard->dispatcher_, TargetSpecsOf(*shard), world_.Now(), shard->random_);
    shards_.push_back(std::move(shard));
  }

  Shard& ShardOf(int service, int zone, int host) {
    const auto first =
        static_cast<std::size_t>(service * kZoneCount + zone) * dispatchers_per_zone_;
    return *shards_[first + static_cast<std::size_t>(host) % dispatchers_per_zone_];
  }

  void PlaceCallAtDispatcher(const BenchCall& call, CallCallback done) {
    Shard& shard = ShardOf(call.service_, call.zone_, call.host_);
    const CallHandle handle = next_handle_++;
    open_calls_[handle] = {call, std::move(done), &shard, &shard};
    OfferCall(shard, handle, false);
  }

  void OfferCall(Shard& shard, CallHandle handle, bool forwarded) {
    const BenchCall& call = open_calls_.at(handle).call_;
    dispatch::Call offered;
    offered.handle_ = handle;
    offered.class_ = call.class_;
    offered.idempotent_ = call.idempotent_;
    offered.attempts_left_ = 2;
    offered.retry_budget_ = call.tree_ ? call.tree_->retry_budget_ : 1;
    offered.deadline_ = call.deadline_;
    offered.forwarded_ = forwarded;
    RunActions(shard, OnCallArrived(*shard.dispatcher_, offered, world_.Now(), shard.random_));
  }

  void RunActions(Shard& shard, const Actions& actions) {
    for (const Action& action : actions) {
      switch (action.kind_) {
        case ActionKind::kSend:
          SendCall(shard, action);
          break;
        case ActionKind::kForward:
          ForwardCall(action);
          break;
        case ActionKind::kRefuse:
          OnCallRefused(shard, action);
          break;
        case ActionKind::kProbe:
          SendProbe(shard, action);
          break;
      }
    }
    ScheduleNextTick(shard);
  }

  void ScheduleNextTick(Shard& shard) {
    const Time next = NextTick(*shard.dispatcher_, world_.Now());
    if (next >= shard.next_tick_) return;
    shard.next_tick_ = next;
    world_.ScheduleAt(next, [this, &shard, next] {
      if (shard.next_tick_ != next) return;
      shard.next_tick_ = Time::max();
      RunActions(shard, OnTick(*shard.dispatcher_, world_.Now(), shard.random_));
    });
  }

  void SendCall(Shard& shard, const Action& action) {
    const OpenCall& open = open_calls_.at(action.call_);
    if (open.call_.tree_) open.call_.tree_->retry_budget_ = action.retry_budget_;
    const CallHandle handle = action.call_;
    world_.SendCall(TargetIndexOf(action.target_), open.call_, action.deadline_, shard.zone_,
                    [this, &shard, handle, target = action.target_](const SendOutcome& sent) {
                      OnSendEnded(shard, handle, target, sent);
                    });
  }

  void OnSendEnded(Shard& shard, CallHandle handle, const std::string& target,
                   const SendOutcome& sent) {
    const SendResult result = sent.result_;
    const OpenCall& open = open_calls_.at(handle);
    // A target whose own execution fails returns no retry budget.
    if (open.call_.tree_ && (result == SendResult::kAnswered || sent.nested_call_failed_)) {
      OnRetryBudgetReturned(*shard.dispatcher_, handle, open.call_.tree_->retry_budget_);
    }
    std::optional<dispatch::LoadReport> header;
    if (result != SendResult::kLost && result != SendResult::kTimedOut) header = sent.report_;
    bool finished = false;
    const Actions actions = OnSendFinished(*shard.dispatcher_, handle, target, result, header,
                                           world_.Now(), shard.random_, &finished);
    if (finished) {
      CallResult call_result = CallResult::kFailed;
      if (result == SendResult::kAnswered) call_result = CallResult::kAnswered;
      if (result == SendResult::kRefused) call_result = CallResult::kRefused;
      FinishCall(handle, call_result, TargetAt(TargetIndexOf(target)).zone_);
    }
    RunActions(shard, actions);
  }

  void FinishCall(CallHandle handle, CallResult call_result, int target_zone) {
    auto node = open_calls_.extract(handle);
    OpenCall& open = node.mapped();
    // A failed call leaves no retry budget, so no level above it retries the whole subtree.
    if (open.call_.tree_ && call_result != CallResult::kAnswered)
      open.call_.tree_->retry_budget_ = 0;
    if (open.current_shard_ == open.home_shard_) {
      open.done_(call_result, target_zone);
      return;
    }
    // The response of the remote dispatcher carries the load of its shard.
    const dispatch::RemoteShardLoad state = LoadOf(*open.current_shard_);
    world_.ScheduleAfter(
        kCrossZoneDelay, [this, open = std::move(open), handle, call_result, target_zone, state] {
          Shard& home = *open.home_shard_;
          OnRemoteShardLoad(*home.dispatcher_, state, world_.Now());
          RunActions(home, OnForwardFinished(*home.dispatcher_, handle, state.zone_, world_.Now(),
                                             home.random_));
          open.done_(call_result, target_zone);
        });
  }

  void ForwardCall(const Action& action) {
    OpenCall& open = open_calls_.at(action.call_);
    Shard& remote_shard = ShardOf(open.call_.service_, std::stoi(action.zone_), 0);
    open.current_shard_ = &remote_shard;
    world_.ScheduleAfter(kCrossZoneDelay, [this, &remote_shard, handle = action.call_] {
      OfferCall(remote_shard, handle, true);
    });
  }

  void OnCallRefused(Shard& shard, const Action& action) {
    const bool not_run = action.outcome_ == CallOutcome::kNotRun;
    if (open_calls_.at(action.call_).home_shard_ == &shard || !not_run) {
      FinishCall(action.call_, not_run ? CallResult::kRefused : CallResult::kFailed, shard.zone_);
      return;
    }
    const dispatch::RemoteShardLoad state = LoadOf(shard);
    world_.ScheduleAfter(kCrossZoneDelay, [this, handle = action.call_, state] {
      OpenCall& open = open_calls_.at(handle);
      Shard& home = *open.home_shard_;
      open.current_shard_ = &home;
      OnRemoteShardLoad(*home.dispatcher_, state, world_.Now());
      RunActions(home, OnForwardRefused(*home.dispatcher_, handle, state.zone_, world_.Now(),
                                        home.random_));
    });
  }

  void SendProbe(Shard& shard, const Action& action) {
    world_.SendProbe(TargetIndexOf(action.target_), shard.zone_,
                     [this, &shard, target = action.target_](const dispatch::LoadReport& report) {
                       RunActions(shard, OnProbeFinished(*shard.dispatcher_, target, report,
                                                         world_.Now(), shard.random_));
                     });
  }

  dispatch::RemoteShardLoad LoadOf(const Shard& shard) const {
    const auto summary = Summarize(*shard.dispatcher_, world_.Now());
    return {std::to_string(shard.zone_), summary.free_slots_, summary.queued_,
            summary.ready_targets_,      kCrossZoneDelay,     summary.queued_interactive_};
  }

  void BroadcastShardStates() {
    for (const auto& from : shards_) {
      const dispatch::RemoteShardLoad state = LoadOf(*from);
      for (const auto& to : shards_) {
        if (to->service_ != from->service_ || to == from) continue;
        world_.ScheduleAfter(kCrossZoneDelay, [this, &to = *to, state] {
          OnRemoteShardLoad(*to.dispatcher_, state, world_.Now());
        });
      }
    }
    world_.ScheduleAfter(kShardStateInterval, [this] { BroadcastShardStates(); });
  }

  World& world_;
  PolicyKind kind_;
  Random random_;
  std::size_t dispatchers_per_zone_ = 1;
  std::vector<std::unique_ptr<Shard>> shards_;
  std::unordered_map<CallHandle, OpenCall> open_calls_;
  CallHandle next_handle_ = 1;
};

}  // namespace

std::unique_ptr<IPolicy> MakeDispatcherPolicy(World& world, PolicyKind kind) {
  return std::make_unique<DispatcherPolicy>(world, kind);
}

}  // namespace monsoonshelf::bench
