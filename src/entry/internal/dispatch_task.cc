#include "entry/internal/dispatch_task.h"

#include <functional>
#include <random>
#include <utility>

#include "base/clock.h"
#include "entry/internal/data_task.h"

namespace monsoonshelf::entry {

namespace {

// Spill-over needs fresh load of the other shards; the node limits how much goes to peers.
constexpr Duration kSummaryInterval = std::chrono::milliseconds(100);
// A dispatcher may name a time that has just passed; the next turn is soon enough.
constexpr Duration kMinTick = std::chrono::milliseconds(1);
constexpr std::int64_t kMicrosecondsPerMinute = 60'000'000;

}  // namespace

DispatchTask::DispatchTask(const EntrySettings& settings, const EntryCallbacks& callbacks)
    : settings_(settings), callbacks_(callbacks), task_("dispatch") {
  const std::uint64_t seed =
      settings.random_seed_ != 0 ? settings.random_seed_ : std::random_device()();
  router_ = std::make_unique<Router>(settings, static_cast<IRouterPort&>(*this), seed);
}

DispatchTask::~DispatchTask() { Stop(); }

void DispatchTask::Start() {
  tick_ = std::make_unique<Timer>(task_.Context(), [this] { OnTick(); });
  summary_ = std::make_unique<Timer>(task_.Context(), [this] { OnSummary(); });
  task_.Start();
  task_.Post([this] { OnSummary(); });
}

void DispatchTask::Stop() {
  if (!task_.IsRunning()) return;
  task_.PostAndWait([this] {
    tick_.reset();
    summary_.reset();
  });
  task_.Stop();
}

void DispatchTask::SetView(EntryViewPtr view) {
  task_.Post([this, view = std::move(view)] {
    router_->OnView(view, Now());
    ArmTick();
  });
}

void DispatchTask::RemoteShards(std::vector<coordination::ShardLoad> shards) {
  task_.Post([this, shards = std::move(shards)] {
    router_->OnRemoteShards(shards, Now());
    ArmTick();
  });
}

void DispatchTask::Call(CallArrival arrival) {
  auto shared = std::make_shared<CallArrival>(std::move(arrival));
  task_.Post([this, shared] {
    router_->OnCall(std::move(*shared), WallMicroseconds() / kMicrosecondsPerMinute, Now());
    ArmTick();
  });
}

void DispatchTask::CallerGone(CallHandle call) {
  task_.Post([this, call] {
    router_->OnCallerGone(call, Now());
    ArmTick();
  });
}

void DispatchTask::SendEnd(SendReport report) {
  auto shared = std::make_shared<SendReport>(std::move(report));
  task_.Post([this, shared] {
    router_->OnSendEnd(std::move(*shared), Now());
    ArmTick();
  });
}

void DispatchTask::ProbeEnd(const ShardKey& shard, const std::string& target,
                            const std::optional<dispatch::LoadReport>& report) {
  task_.Post([this, shard, target, report] {
    router_->OnProbeEnd(shard, target, report, Now());
    ArmTick();
  });
}

DataTask& DispatchTask::SenderFor(const std::string& address) {
  return *data_tasks_[std::hash<std::string>()(address) % data_tasks_.size()];
}

void DispatchTask::Send(SendOrder order) {
  DataTask& sender = SenderFor(order.request_.address_);
  sender.StartSend(std::move(order));
}

void DispatchTask::CancelSend(const std::string& address, SendId send) {
  SenderFor(address).CancelSend(send);
}

void DispatchTask::Probe(const ShardKey& shard, const std::string& target,
                         const std::string& address, int max_connections) {
  SenderFor(address).Probe(shard, target, address, max_connections);
}

void DispatchTask::Respond(CallHandle call, WholeResponse response) {
  data_tasks_[TaskOf(call)]->Respond(call, std::move(response));
}

void DispatchTask::Refuse(CallHandle call, Refusal refusal) {
  data_tasks_[TaskOf(call)]->Refuse(call, std::move(refusal));
}

void DispatchTask::Forget(const std::string& address) { SenderFor(address).Forget(address); }

void DispatchTask::Event(KeyValues event) {
  if (callbacks_.event_) callbacks_.event_(event);
}

void DispatchTask::ArmTick() {
  if (tick_ == nullptr) return;
  const Time now = Now();
  const Time next = router_->NextTick(now);
  if (next == Time::max()) {
    tick_->Clear();
  } else if (!tick_->IsActive() || tick_->Deadline() != next) {
    tick_->Set(std::max(next, now + kMinTick));
  }
}

void DispatchTask::OnTick() {
  router_->OnTick(Now());
  ArmTick();
}

void DispatchTask::OnSummary() {
  const Time now = Now();
  router_->ExchangeLocalShards(now);
  if (callbacks_.local_shards_) callbacks_.local_shards_(router_->LocalShards(now));
  summary_->Set(now + kSummaryInterval);
  ArmTick();
}

}  // namespace monsoonshelf::entry
