#include "entry/internal/data_task.h"

#include <utility>

#include "base/clock.h"
#include "entry/internal/call_headers.h"
#include "entry/internal/dispatch_task.h"

namespace monsoonshelf::entry {

namespace {

// Interval of the check for passed deadlines and disconnected callers while there are calls.
constexpr Duration kSweepInterval = std::chrono::milliseconds(10);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(500);
// Set in the send identifiers of probes, so they cannot equal those of the router.
constexpr SendId kProbeIdBit = SendId{1} << 63;

}  // namespace

// Sends probes to the load endpoints of targets over the connections of the task. Passes the events
// of all other sends to the relay.
class DataTask::ProbeRunner : public ITargetObserver {
 public:
  ProbeRunner(SendRelay& relay, SoupTargetClient*& client, DispatchTask& dispatch)
      : relay_(relay), client_(client), dispatch_(dispatch) {}

  void Start(const ShardKey& shard, const std::string& target, const std::string& address,
             int max_connections) {
    const SendId id = kProbeIdBit | next_++;
    probes_[id] = {shard, target, std::nullopt, {}};
    TargetRequest request;
    request.id_ = id;
    request.address_ = address;
    request.max_connections_ = max_connections;
    request.method_ = "GET";
    request.path_ = "/monsoonshelf/load";
    request.deadline_ = Now() + kProbeTimeout;
    request.body_.bytes_ = std::make_shared<const std::string>();
    client_->Start(std::move(request));
  }

  void OnHead(SendId id, ResponseHead head) override {
    if ((id & kProbeIdBit) == 0) {
      relay_.OnHead(id, std::move(head));
      return;
    }
    client_->ReadChunk(id);
  }

  void OnChunk(SendId id, std::string bytes) override {
    if ((id & kProbeIdBit) == 0) {
      relay_.OnChunk(id, std::move(bytes));
      return;
    }
    auto& body = probes_.at(id).body_;
    body += bytes;
    if (body.size() > kSmallBodyBytes) {
      client_->Cancel(id);
    } else {
      client_->ReadChunk(id);
    }
  }

  void OnEnd(SendId id, const SendEnd& end) override {
    if ((id & kProbeIdBit) == 0) {
      relay_.OnEnd(id, end);
      return;
    }
    const auto found = probes_.find(id);
    if (found == probes_.end()) return;
    auto probe = std::move(found->second);
    probes_.erase(found);
    std::optional<dispatch::LoadReport> report;
    if (end.result_ == dispatch::SendResult::kAnswered) {
      report = end.load_report_;
      while (!probe.body_.empty() && probe.body_.back() <= ' ') probe.body_.pop_back();
      if (!report) report = ParseLoadReport(probe.body_);
    }
    dispatch_.ReportProbe(probe.shard_, probe.target_, report);
  }

 private:
  struct RunningProbe {
    ShardKey shard_;
    std::string target_;
    std::optional<dispatch::LoadReport> load_report_;
    std::string body_;
  };

  SendRelay& relay_;
  SoupTargetClient*& client_;
  DispatchTask& dispatch_;
  std::unordered_map<SendId, RunningProbe> probes_;
  SendId next_ = 1;
};

DataTask::DataTask(const EntrySettings& settings, std::size_t index,
                   const EntryCallbacks& callbacks)
    : settings_(settings),
      index_(index),
      callbacks_(callbacks),
      task_("data" + std::to_string(index)) {}

DataTask::~DataTask() { Stop(); }

void DataTask::SetTasks(std::vector<DataTask*> data_tasks, DispatchTask* dispatch) {
  data_tasks_ = std::move(data_tasks);
  dispatch_ = dispatch;
}

void DataTask::Start() {
  task_.Start();
  task_.PostAndWait([this] {
    caller_server_ = std::make_unique<CallerServer>(
        settings_, index_, static_cast<ICallerServerDelegate&>(*this), callbacks_);
    relay_ = std::make_unique<SendRelay>(static_cast<ISendRelayDelegate&>(*this));
    probe_runner_ = std::make_unique<ProbeRunner>(*relay_, client_pointer_, *dispatch_);
    client_ = std::make_unique<SoupTargetClient>(*probe_runner_);
    client_pointer_ = client_.get();
    relay_->SetClient(*client_);
    sweep_timer_ = std::make_unique<Timer>(task_.Context(), [this] { OnSweep(); });
  });
}

void DataTask::Stop() {
  if (!task_.IsRunning()) return;
  task_.PostAndWait([this] {
    sweep_timer_.reset();
    caller_server_.reset();
    client_.reset();
    probe_runner_.reset();
    relay_.reset();
    // Run the callbacks of the libsoup operations that were cancelled.
    while (g_main_context_iteration(task_.Context(), FALSE)) {
    }
  });
  task_.Stop();
}

template <typename Function>
void DataTask::PostIfOpen(Function function) {
  task_.Post([this, function = std::move(function)]() mutable {
    if (caller_server_ != nullptr) function();
  });
}

template <typename Function>
void DataTask::RunOrPostIfOpen(Function function) {
  task_.RunOrPost([this, function = std::move(function)]() mutable {
    if (caller_server_ != nullptr) function();
  });
}

void DataTask::SetView(EntryViewPtr view) {
  PostIfOpen([this, view = std::move(view)] { caller_server_->SetView(view); });
}

void DataTask::SetMode(ServingMode mode) {
  PostIfOpen([this, mode] { caller_server_->SetMode(mode); });
}

void DataTask::AcceptConnection(std::shared_ptr<GSocketConnection> connection) {
  PostIfOpen([this, connection = std::move(connection)] {
    caller_server_->AcceptConnection(connection.get());
  });
}

void DataTask::StartSend(SendCommand command) {
  auto shared = std::make_shared<SendCommand>(std::move(command));
  PostIfOpen([this, shared] {
    relay_->Start(std::move(*shared));
    ArmSweepTimer();
  });
}

void DataTask::CancelSend(SendId send) {
  PostIfOpen([this, send] { relay_->Cancel(send); });
}

void DataTask::ReadChunk(SendId send) {
  // Never run at once: libsoup writes chunks until there is none, so that a target that is fast
  // enough would keep the main loop from all other events.
  PostIfOpen([this, send] { relay_->ReadChunk(send); });
}

void DataTask::StartProbe(const ShardKey& shard, const std::string& target,
                          const std::string& address, int max_connections) {
  PostIfOpen([this, shard, target, address, max_connections] {
    probe_runner_->Start(shard, target, address, max_connections);
    ArmSweepTimer();
  });
}

void DataTask::RemoveAddress(const std::string& address) {
  PostIfOpen([this, address] { client_->RemoveAddress(address); });
}

void DataTask::DeliverResponse(CallHandle call, BufferedResponse response) {
  if (task_.IsCurrent() && caller_server_ != nullptr) {
    caller_server_->DeliverResponse(call, std::move(response));
    return;
  }
  auto shared = std::make_shared<BufferedResponse>(std::move(response));
  PostIfOpen([this, call, shared] { caller_server_->DeliverResponse(call, std::move(*shared)); });
}

void DataTask::DeliverError(CallHandle call, ErrorResponse error) {
  PostIfOpen([this, call, error = std::move(error)] { caller_server_->DeliverError(call, error); });
}

void DataTask::DeliverHead(CallHandle call, std::size_t sending_task, SendId send,
                           ResponseHead head) {
  RunOrPostIfOpen([this, call, sending_task, send, head = std::move(head)] {
    caller_server_->DeliverHead(call, sending_task, send, head);
  });
}

void DataTask::DeliverChunk(CallHandle call, std::string bytes) {
  RunOrPostIfOpen(
      [this, call, bytes = std::move(bytes)] { caller_server_->DeliverChunk(call, bytes); });
}

void DataTask::DeliverEnd(CallHandle call, bool complete) {
  RunOrPostIfOpen([this, call, complete] { caller_server_->DeliverEnd(call, complete); });
}

std::size_t DataTask::CountCalls() {
  std::size_t count = 0;
  task_.PostAndWait([&] { count = caller_server_->CallCount(); });
  return count;
}

OpenWork DataTask::CloseConnections(bool cut_partial_requests) {
  OpenWork work;
  task_.PostAndWait([&] {
    const Time now = Now();
    if (cut_partial_requests) caller_server_->CutPartialRequests(now);
    work = caller_server_->CloseIdleConnections(now);
  });
  return work;
}

void DataTask::RouteCall(CallArrival arrival) {
  ArmSweepTimer();
  dispatch_->RouteCall(std::move(arrival));
}

void DataTask::CancelCall(CallHandle call) { dispatch_->CancelCall(call); }

void DataTask::RequestChunk(std::size_t sending_task, SendId send) {
  data_tasks_[sending_task]->ReadChunk(send);
}

void DataTask::RelayResponse(CallHandle call, BufferedResponse response) {
  AcceptingTask(call).DeliverResponse(call, std::move(response));
}

void DataTask::RelayHead(CallHandle call, SendId send, ResponseHead head) {
  AcceptingTask(call).DeliverHead(call, index_, send, std::move(head));
}

void DataTask::RelayChunk(CallHandle call, std::string bytes) {
  AcceptingTask(call).DeliverChunk(call, std::move(bytes));
}

void DataTask::RelayEnd(CallHandle call, bool complete) {
  AcceptingTask(call).DeliverEnd(call, complete);
}

void DataTask::ReportSend(SendReport report) { dispatch_->ReportSend(std::move(report)); }

void DataTask::ArmSweepTimer() {
  if (!sweep_timer_->IsActive()) sweep_timer_->Set(Now() + kSweepInterval);
}

void DataTask::OnSweep() {
  const Time now = Now();
  client_->CheckDeadlines(now);
  caller_server_->CancelAbandonedCalls(now);
  caller_server_->SweepConnections(now);
  if (client_->SendCount() > 0 || caller_server_->CallCount() > 0 ||
      caller_server_->LingeringCount() > 0) {
    sweep_timer_->Set(now + kSweepInterval);
  }
}

}  // namespace monsoonshelf::entry
