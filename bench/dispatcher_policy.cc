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

// Nine of ten callers know the dispatcher of their shard; the others reach another host of the
// zone, which forwards the call. A forward hop takes this time each way.
constexpr double kDirectShare = 0.9;
constexpr Duration kHop{250};

// Interval of the shard_state messages between the dispatchers of a service.
constexpr Duration kShardStateInterval = milliseconds(250);

struct Shard {
  int service_ = 0;
  int zone_ = 0;
  dispatch::DispatcherPtr dispatcher_;
  Random random_;
  Time tick_ = Time::max();
};

struct OpenCall {
  BenchCall call_;
  Done done_;
  Shard* home_ = nullptr;    // Shard of the call's zone.
  Shard* placed_ = nullptr;  // Shard that has the call now.
};

// Runs the dispatcher of the product: one per shard, or one per entry host (independent).
class DispatcherPolicy : public IPolicy {
 public:
  DispatcherPolicy(World& world, Policy kind)
      : world_(world), kind_(kind), random_(world.Settings().seed_ + 99) {
    const int hosts = kind == Policy::kIndependent ? world.Settings().shape_.hosts_ / kZones : 1;
    const auto services = static_cast<int>(world.Settings().shape_.workers_.size());
    for (int service = 0; service < services; ++service) {
      for (int zone = 0; zone < kZones; ++zone) {
        for (int host = 0; host < hosts; ++host) AddShard(service, zone);
      }
    }
    hosts_ = static_cast<std::size_t>(hosts);
    if (kind != Policy::kIndependent) SendShardStates();
  }

  void Arrive(const BenchCall& call, Done done) override {
    const bool hop = kind_ == Policy::kForward ||
                     (kind_ == Policy::kDispatcher &&
                      std::uniform_real_distribution<double>(0, 1)(random_) >= kDirectShare);
    if (!hop) {
      ArriveAtDispatcher(call, std::move(done));
      return;
    }
    world_.After(kHop, [this, call, done = std::move(done)] {
      ArriveAtDispatcher(call, [this, done](CallEnd end, int ran_in) {
        world_.After(kHop, [done, end, ran_in] { done(end, ran_in); });
      });
    });
  }

  void OnZonesChanged() override {
    for (auto& shard : shards_) {
      Run(*shard,
          OnTargetsChanged(*shard->dispatcher_, SpecsOf(*shard), world_.Now(), shard->random_));
    }
  }

 private:
  std::vector<dispatch::TargetSpec> SpecsOf(const Shard& shard) const {
    std::vector<dispatch::TargetSpec> specs;
    if (kind_ == Policy::kIndependent) {
      for (const int index : world_.Candidates(shard.service_, shard.zone_)) {
        specs.push_back({TargetAt(index).name_, true});
      }
      return specs;
    }
    for (const FakeTarget& target : world_.Targets()) {
      if (target.service_ != shard.service_ || target.zone_ != shard.zone_) continue;
      specs.push_back({target.name_, world_.ZoneIn(target.zone_)});
    }
    return specs;
  }

  FakeTarget& TargetAt(int index) const {
    return world_.Targets()[static_cast<std::size_t>(index)];
  }

  int IndexOf(const std::string& name) const { return std::stoi(name.substr(1)); }

  void AddShard(int service, int zone) {
    dispatch::ShardSettings settings;
    settings.service_ = "s" + std::to_string(service);
    settings.zone_ = std::to_string(zone);
    settings.limits_.slots_ = kSlots;
    settings.limits_.cold_limit_ = kColdLimit;
    auto shard = std::make_unique<Shard>();
    shard->service_ = service;
    shard->zone_ = zone;
    shard->dispatcher_ = MakeDispatcher(settings, world_.Now());
    shard->random_.seed(world_.Settings().seed_ * 1000 + shards_.size());
    SetAssignment(*shard->dispatcher_, world_.Now() + std::chrono::hours(1), Time{}, world_.Now());
    std::vector<dispatch::TargetSnapshot> known;
    for (const FakeTarget& target : world_.Targets()) {
      if (target.service_ != service) continue;
      known.push_back({target.name_, dispatch::TargetPhase::kReady, target.epoch_});
    }
    OnTargetSnapshots(*shard->dispatcher_, known, world_.Now());
    OnTargetsChanged(*shard->dispatcher_, SpecsOf(*shard), world_.Now(), shard->random_);
    shards_.push_back(std::move(shard));
  }

  Shard& ShardOf(int service, int zone, int host) {
    const auto first = static_cast<std::size_t>(service * kZones + zone) * hosts_;
    return *shards_[first + static_cast<std::size_t>(host) % hosts_];
  }

  void ArriveAtDispatcher(const BenchCall& call, Done done) {
    Shard& shard = ShardOf(call.service_, call.zone_, call.host_);
    const CallHandle handle = next_handle_++;
    open_[handle] = {call, std::move(done), &shard, &shard};
    Offer(shard, handle, false);
  }

  void Offer(Shard& shard, CallHandle handle, bool forwarded) {
    const BenchCall& call = open_.at(handle).call_;
    dispatch::Call offered;
    offered.handle_ = handle;
    offered.class_ = call.class_;
    offered.idempotent_ = call.idempotent_;
    offered.attempts_left_ = 2;
    offered.retry_budget_ = call.tree_ ? call.tree_->retry_budget_ : 1;
    offered.deadline_ = call.deadline_;
    offered.forwarded_ = forwarded;
    Run(shard, OnCallArrived(*shard.dispatcher_, offered, world_.Now(), shard.random_));
  }

  void Run(Shard& shard, const Actions& actions) {
    for (const Action& action : actions) {
      switch (action.kind_) {
        case ActionKind::kSend:
          Send(shard, action);
          break;
        case ActionKind::kForward:
          Forward(action);
          break;
        case ActionKind::kRefuse:
          Refuse(shard, action);
          break;
        case ActionKind::kProbe:
          Probe(shard, action);
          break;
      }
    }
    ScheduleTick(shard);
  }

  void ScheduleTick(Shard& shard) {
    const Time next = NextTick(*shard.dispatcher_, world_.Now());
    if (next >= shard.tick_) return;
    shard.tick_ = next;
    world_.At(next, [this, &shard, next] {
      if (shard.tick_ != next) return;
      shard.tick_ = Time::max();
      Run(shard, OnTick(*shard.dispatcher_, world_.Now(), shard.random_));
    });
  }

  void Send(Shard& shard, const Action& action) {
    const OpenCall& open = open_.at(action.call_);
    if (open.call_.tree_) open.call_.tree_->retry_budget_ = action.retry_budget_;
    const CallHandle handle = action.call_;
    world_.Send(IndexOf(action.target_), open.call_, action.deadline_, shard.zone_,
                [this, &shard, handle, target = action.target_](const SendEnd& sent) {
                  EndSend(shard, handle, target, sent);
                });
  }

  void EndSend(Shard& shard, CallHandle handle, const std::string& target, const SendEnd& sent) {
    const SendResult result = sent.result_;
    const OpenCall& open = open_.at(handle);
    // A target that fails on its own sends no retry budget.
    if (open.call_.tree_ && (result == SendResult::kAnswered || sent.failed_below_)) {
      OnRetryBudgetReturned(*shard.dispatcher_, handle, open.call_.tree_->retry_budget_);
    }
    std::optional<dispatch::LoadReport> header;
    if (result != SendResult::kLost && result != SendResult::kTimedOut) header = sent.report_;
    bool finished = false;
    const Actions actions = OnSendFinished(*shard.dispatcher_, handle, target, result, header,
                                           world_.Now(), shard.random_, &finished);
    if (finished) {
      CallEnd end = CallEnd::kFailed;
      if (result == SendResult::kAnswered) end = CallEnd::kAnswered;
      if (result == SendResult::kRefused) end = CallEnd::kRefused;
      Finish(handle, end, TargetAt(IndexOf(target)).zone_);
    }
    Run(shard, actions);
  }

  void Finish(CallHandle handle, CallEnd end, int ran_in) {
    auto node = open_.extract(handle);
    OpenCall& open = node.mapped();
    // A failure goes up without retries, so that no level above repeats the whole call.
    if (open.call_.tree_ && end != CallEnd::kAnswered) open.call_.tree_->retry_budget_ = 0;
    if (open.placed_ == open.home_) {
      open.done_(end, ran_in);
      return;
    }
    // The answer of the other dispatcher carries its load.
    const dispatch::RemoteShardLoad state = StateOf(*open.placed_);
    world_.After(kZoneDelay, [this, open = std::move(open), handle, end, ran_in, state] {
      Shard& home = *open.home_;
      OnRemoteShardLoad(*home.dispatcher_, state, world_.Now());
      Run(home,
          OnForwardFinished(*home.dispatcher_, handle, state.zone_, world_.Now(), home.random_));
      open.done_(end, ran_in);
    });
  }

  void Forward(const Action& action) {
    OpenCall& open = open_.at(action.call_);
    Shard& other = ShardOf(open.call_.service_, std::stoi(action.zone_), 0);
    open.placed_ = &other;
    world_.After(kZoneDelay, [this, &other, handle = action.call_] { Offer(other, handle, true); });
  }

  void Refuse(Shard& shard, const Action& action) {
    const bool not_run = action.outcome_ == CallOutcome::kNotRun;
    if (open_.at(action.call_).home_ == &shard || !not_run) {
      Finish(action.call_, not_run ? CallEnd::kRefused : CallEnd::kFailed, shard.zone_);
      return;
    }
    const dispatch::RemoteShardLoad state = StateOf(shard);
    world_.After(kZoneDelay, [this, handle = action.call_, state] {
      OpenCall& open = open_.at(handle);
      Shard& home = *open.home_;
      open.placed_ = &home;
      OnRemoteShardLoad(*home.dispatcher_, state, world_.Now());
      Run(home,
          OnForwardRefused(*home.dispatcher_, handle, state.zone_, world_.Now(), home.random_));
    });
  }

  void Probe(Shard& shard, const Action& action) {
    world_.Probe(IndexOf(action.target_), shard.zone_,
                 [this, &shard, target = action.target_](const dispatch::LoadReport& report) {
                   Run(shard, OnProbeFinished(*shard.dispatcher_, target, report, world_.Now(),
                                              shard.random_));
                 });
  }

  dispatch::RemoteShardLoad StateOf(const Shard& shard) const {
    const auto summary = Summarize(*shard.dispatcher_, world_.Now());
    return {std::to_string(shard.zone_), summary.free_slots_, summary.queued_,
            summary.ready_targets_,      kZoneDelay,          summary.queued_interactive_};
  }

  void SendShardStates() {
    for (const auto& from : shards_) {
      const dispatch::RemoteShardLoad state = StateOf(*from);
      for (const auto& to : shards_) {
        if (to->service_ != from->service_ || to == from) continue;
        world_.After(kZoneDelay, [this, &to = *to, state] {
          OnRemoteShardLoad(*to.dispatcher_, state, world_.Now());
        });
      }
    }
    world_.After(kShardStateInterval, [this] { SendShardStates(); });
  }

  World& world_;
  Policy kind_;
  Random random_;
  std::size_t hosts_ = 1;
  std::vector<std::unique_ptr<Shard>> shards_;
  std::unordered_map<CallHandle, OpenCall> open_;
  CallHandle next_handle_ = 1;
};

}  // namespace

std::unique_ptr<IPolicy> MakeDispatcherPolicy(World& world, Policy kind) {
  return std::make_unique<DispatcherPolicy>(world, kind);
}

}  // namespace monsoonshelf::bench
