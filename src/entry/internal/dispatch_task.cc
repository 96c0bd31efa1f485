#include "entry/internal/dispatch_task.h"

#include <functional>
#include <random>
#include <utility>

#include "base/clock.h"
#include "entry/internal/data_task.h"

namespace monsoonshelf::entry {

namespace {

// Short because spill-over needs the current load of the other shards. The coordination node limits
// the traffic to peers.
constexpr Duration kLoadExchangeInterval = std::chrono::milliseconds(100);
// Minimum delay of the tick timer, for the case that the next tick is already due.
constexpr Duration kMinTickDelay = std::chrono::milliseconds(1);
constexpr std::int64_t kMicrosecondsPerMinute = 60'000'000;

}  // namespace

DispatchTask::DispatchTask(const EntrySettings& settings, const EntryCallbacks& callbacks)
    : settings_(settings), callbacks_(callbacks), task_("dispatch") {
  const std::uint64_t seed =
      settings.random_seed_ != 0 ? settings.random_seed_ : std::random_device()();
  router_ = std::make_unique<Router>(settings, static_cast<IRouterDelegate&>(*this), seed);
}

DispatchTask::~DispatchTask() { Stop(); }

void DispatchTask::Start() {
  tick_timer_ = std::make_unique<Timer>(task_.Context(), [this] { OnTick(); });
  load_exchange_timer_ = std::make_unique<Timer>(task_.Context(), [this] { ExchangeLoad(); });
  task_.Start();
  task_.Post([this] { ExchangeLoad(); });
}

void DispatchTask::Stop() {
  if (!task_.IsRunning()) return;
  task_.PostAndWait([this] {
    tick_timer_.reset();
    load_exchange_timer_.reset();
  });
  task_.Stop();
}

void DispatchTask::SetView(EntryViewPtr view) {
  task_.Post([this, view = std::move(view)] {
    router_->OnView(view, Now());
    ArmTickTimer();
  });
}

void DispatchTask::SetRemoteShards(std::vector<coordination::ShardLoad> shards) {
  task_.Post([this, shards = std::move(shards)] {
    router_->OnRemoteShards(shards, Now());
    ArmTickTimer();
  });
}

void DispatchTask::RouteCall(CallArrival arrival) {
  auto shared = std::make_shared<CallArrival>(std::move(arrival));
  task_.Post([this, shared] {
    router_->OnCall(std::move(*shared), WallMicroseconds() / kMicrosecondsPerMinute, Now());
    ArmTickTimer();
  });
}

void DispatchTask::CancelCall(CallHandle call) {
  task_.Post([this, call] {
    router_->CancelCall(call, Now());
    ArmTickTimer();
  });
}

void DispatchTask::CutCalls() {
  task_.PostAndWait([this] {
    router_->CutCalls(Now());
    ArmTickTimer();
  });
}

void DispatchTask::ReportSend(SendReport report) {
  auto shared = std::make_shared<SendReport>(std::move(report));
  task_.Post([this, shared] {
    router_->OnSendEnd(std::move(*shared), Now());
    ArmTickTimer();
  });
}

void DispatchTask::ReportProbe(const ShardKey& shard, const std::string& target,
                               const std::optional<dispatch::LoadReport>& report) {
  task_.Post([this, shard, target, report] {
    router_->OnProbeEnd(shard, target, report, Now());
    ArmTickTimer();
  });
}

DataTask& DispatchTask::SendingTask(const std::string& address) {
  return *data_tasks_[std::hash<std::string>()(address) % data_tasks_.size()];
}

void DispatchTask::StartSend(SendCommand command) {
  DataTask& sender = SendingTask(command.request_.address_);
  sender.StartSend(std::move(command));
}

void DispatchTask::CancelSend(const std::string& address, SendId send) {
  SendingTask(address).CancelSend(send);
}

void DispatchTask::StartProbe(const ShardKey& shard, const std::string& target,
                              const std::string& address, int max_connections) {
  SendingTask(address).StartProbe(shard, target, address, max_connections);
}

void DispatchTask::DeliverResponse(CallHandle call, BufferedResponse response) {
  data_tasks_[AcceptingTaskIndex(call)]->DeliverResponse(call, std::move(response));
}

void DispatchTask::DeliverError(CallHandle call, ErrorResponse error) {
  data_tasks_[AcceptingTaskIndex(call)]->DeliverError(call, std::move(error));
}

void DispatchTask::RemoveAddress(const std::string& address) {
  SendingTask(address).RemoveAddress(address);
}

void DispatchTask::ReportEvent(KeyValues event) {
  if (callbacks_.event_) callbacks_.event_(event);
}

void DispatchTask::ArmTickTimer() {
  if (tick_timer_ == nullptr) return;
  const Time now = Now();
  const Time next = router_->NextTick(now);
  if (next == Time::max()) {
    tick_timer_->Clear();
  } else if (!tick_timer_->IsActive() || tick_timer_->Deadline() != next) {
    tick_timer_->Set(std::max(next, now + kMinTickDelay));
  }
}

void DispatchTask::OnTick() {
  router_->OnTick(Now());
  ArmTickTimer();
}

void DispatchTask::ExchangeLoad() {
  const Time now = Now();
  router_->ExchangeLocalShards(now);
  if (callbacks_.local_shards_) callbacks_.local_shards_(router_->LocalShards(now));
  load_exchange_timer_->Set(now + kLoadExchangeInterval);
  ArmTickTimer();
}

}  // namespace monsoonshelf::entry
