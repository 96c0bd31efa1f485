#include "entry/internal/data_task.h"

#include <utility>

#include "base/clock.h"
#include "entry/internal/call_headers.h"
#include "entry/internal/dispatch_task.h"

namespace monsoonshelf::entry {

namespace {

// Deadlines and callers that went away are noticed with this delay while there are calls.
constexpr Duration kSweepInterval = std::chrono::milliseconds(10);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(500);
// Probe identifiers are apart from those of the router.
constexpr SendId kProbeBit = SendId{1} << 63;

}  // namespace

// Runs the requests to load endpoints over the connections of the task.
class DataTask::ProbeObserver : public ITargetObserver {
 public:
  ProbeObserver(SendRelay& relay, SoupTargetClient*& client, DispatchTask& dispatch)
      : relay_(relay), client_(client), dispatch_(dispatch) {}

  void Start(const ShardKey& shard, const std::string& target, const std::string& address,
             int max_connections) {
    const SendId id = kProbeBit | next_++;
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
    if ((id & kProbeBit) == 0) {
      relay_.OnHead(id, std::move(head));
      return;
    }
    client_->Read(id);
  }

  void OnChunk(SendId id, std::string bytes) override {
    if ((id & kProbeBit) == 0) {
      relay_.OnChunk(id, std::move(bytes));
      return;
    }
    auto& body = probes_.at(id).body_;
    body += bytes;
    if (body.size() > kSmallBodyBytes) {
      client_->Cancel(id);
    } else {
      client_->Read(id);
    }
  }

  void OnEnd(SendId id, const SendEnd& end) override {
    if ((id & kProbeBit) == 0) {
      relay_.OnEnd(id, end);
      return;
    }
    const auto found = probes_.find(id);
    if (found == probes_.end()) return;
    auto probe = std::move(found->second);
    probes_.erase(found);
    std::optional<dispatch::LoadReport> report;
    if (end.result_ == dispatch::SendResult::kAnswered) {
      report = end.report_;
      while (!probe.body_.empty() && probe.body_.back() <= ' ') probe.body_.pop_back();
      if (!report) report = ParseLoad(probe.body_);
    }
    dispatch_.ProbeEnd(probe.shard_, probe.target_, report);
  }

 private:
  struct RunningProbe {
    ShardKey shard_;
    std::string target_;
    std::optional<dispatch::LoadReport> report_;
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

void DataTask::Connect(std::vector<DataTask*> data_tasks, DispatchTask* dispatch) {
  data_tasks_ = std::move(data_tasks);
  dispatch_ = dispatch;
}

void DataTask::Start() {
  task_.Start();
  task_.PostAndWait([this] {
    callers_ = std::make_unique<CallerSide>(settings_, index_, static_cast<ICallerPort&>(*this),
                                            callbacks_);
    relay_ = std::make_unique<SendRelay>(static_cast<IRelayPort&>(*this));
    probes_ = std::make_unique<ProbeObserver>(*relay_, client_pointer_, *dispatch_);
    client_ = std::make_unique<SoupTargetClient>(*probes_);
    client_pointer_ = client_.get();
    relay_->SetClient(*client_);
    sweep_ = std::make_unique<Timer>(task_.Context(), [this] { OnSweep(); });
  });
}

void DataTask::Stop() {
  if (!task_.IsRunning()) return;
  task_.PostAndWait([this] {
    sweep_.reset();
    callers_.reset();
    client_.reset();
    probes_.reset();
    relay_.reset();
    // Lets libsoup finish the operations that were cancelled.
    while (g_main_context_iteration(task_.Context(), FALSE)) {
    }
  });
  task_.Stop();
}

void DataTask::SetView(EntryViewPtr view) {
  task_.Post([this, view = std::move(view)] { callers_->SetView(view); });
}

void DataTask::SetMode(ServingMode mode) {
  task_.Post([this, mode] { callers_->SetMode(mode); });
}

void DataTask::Accept(std::shared_ptr<GSocketConnection> connection) {
  task_.Post([this, connection = std::move(connection)] { callers_->Accept(connection.get()); });
}

void DataTask::StartSend(SendOrder order) {
  auto shared = std::make_shared<SendOrder>(std::move(order));
  task_.Post([this, shared] {
    relay_->Start(std::move(*shared));
    ArmSweep();
  });
}

void DataTask::CancelSend(SendId send) {
  task_.Post([this, send] { relay_->Cancel(send); });
}

void DataTask::ReadSend(SendId send) {
  task_.Run([this, send] { relay_->Read(send); });
}

void DataTask::Probe(const ShardKey& shard, const std::string& target, const std::string& address,
                     int max_connections) {
  task_.Post([this, shard, target, address, max_connections] {
    probes_->Start(shard, target, address, max_connections);
    ArmSweep();
  });
}

void DataTask::Forget(const std::string& address) {
  task_.Post([this, address] { client_->Forget(address); });
}

void DataTask::Respond(CallHandle call, WholeResponse response) {
  if (task_.IsCurrent()) {
    callers_->Whole(call, std::move(response));
    return;
  }
  auto shared = std::make_shared<WholeResponse>(std::move(response));
  task_.Post([this, call, shared] { callers_->Whole(call, std::move(*shared)); });
}

void DataTask::Refuse(CallHandle call, Refusal refusal) {
  task_.Post([this, call, refusal = std::move(refusal)] { callers_->Refuse(call, refusal); });
}

void DataTask::DeliverHead(CallHandle call, std::size_t sender, SendId send, ResponseHead head) {
  task_.Run([this, call, sender, send, head = std::move(head)] {
    callers_->Head(call, sender, send, head);
  });
}

void DataTask::DeliverChunk(CallHandle call, std::string bytes) {
  task_.Run([this, call, bytes = std::move(bytes)] { callers_->Chunk(call, bytes); });
}

void DataTask::DeliverEnd(CallHandle call, bool complete) {
  task_.Run([this, call, complete] { callers_->End(call, complete); });
}

std::size_t DataTask::CountCalls(bool close_idle) {
  std::size_t count = 0;
  task_.PostAndWait([&] {
    if (close_idle) callers_->CloseIdle();
    count = callers_->CallCount();
  });
  return count;
}

void DataTask::Route(CallArrival arrival) {
  ArmSweep();
  dispatch_->Call(std::move(arrival));
}

void DataTask::CallerGone(CallHandle call) { dispatch_->CallerGone(call); }

void DataTask::ReadMore(std::size_t sender, SendId send) { data_tasks_[sender]->ReadSend(send); }

void DataTask::Whole(CallHandle call, WholeResponse response) {
  TaskFor(call).Respond(call, std::move(response));
}

void DataTask::Head(CallHandle call, SendId send, ResponseHead head) {
  TaskFor(call).DeliverHead(call, index_, send, std::move(head));
}

void DataTask::Chunk(CallHandle call, std::string bytes) {
  TaskFor(call).DeliverChunk(call, std::move(bytes));
}

void DataTask::End(CallHandle call, bool complete) { TaskFor(call).DeliverEnd(call, complete); }

void DataTask::Report(SendReport report) { dispatch_->SendEnd(std::move(report)); }

void DataTask::ArmSweep() {
  if (!sweep_->IsActive()) sweep_->Set(Now() + kSweepInterval);
}

void DataTask::OnSweep() {
  const Time now = Now();
  client_->CheckDeadlines(now);
  callers_->Check(now);
  if (client_->SendCount() > 0 || callers_->CallCount() > 0) sweep_->Set(now + kSweepInterval);
}

}  // namespace monsoonshelf::entry
