#include "entry/entry_host.h"

#include <csignal>
#include <utility>

#include "base/clock.h"
#include "entry/internal/data_task.h"
#include "entry/internal/dispatch_task.h"
#include "entry/internal/listener.h"
#include "lifecycle/lifecycle.h"

namespace monsoonshelf::entry {

using lifecycle::kLifecycleEventNames;
using lifecycle::kLifecycleStateNames;
using lifecycle::LifecycleEvent;
using lifecycle::LifecycleMachine;
using lifecycle::LifecycleState;
using lifecycle::LoadLifecycle;

namespace {

constexpr Duration kDrainPollInterval = std::chrono::milliseconds(20);
// Time for callers to receive the responses of a forced stop.
constexpr Duration kForcedClosingTime = std::chrono::seconds(1);
// A caller that refreshes its list of entry hosts at the end of the keep time still calls this host
// until the response has arrived.
constexpr Duration kLeaveMargin = std::chrono::seconds(1);

ServingMode ModeOf(LifecycleState state) {
  switch (state) {
    case LifecycleState::kStarting:
      return ServingMode::kStarting;
    case LifecycleState::kServing:
      return ServingMode::kServing;
    case LifecycleState::kLeaving:
      return ServingMode::kLeaving;
    default:
      return ServingMode::kDraining;
  }
}

}  // namespace

// Has its own task, which runs the life cycle and accepts connections.
class EntryHost::Impl {
 public:
  Impl(EntrySettings settings, EntryCallbacks callbacks)
      : settings_(std::move(settings)),
        callbacks_(std::move(callbacks)),
        dispatch_(settings_, callbacks_),
        task_("entry") {}

  ~Impl() { Stop(); }

  Result<std::string> Start() {
    BOOST_LEAF_ASSIGN(machine_, LoadLifecycle());
    BOOST_LEAF_ASSIGN(listener_, Listener::Open(settings_.listen_address_));
    // A write to a pipe without a reader must fail with EPIPE instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
    state_ = machine_.Initial();
    std::vector<DataTask*> tasks;
    for (int i = 0; i < settings_.data_tasks_; ++i) {
      data_tasks_.push_back(
          std::make_unique<DataTask>(settings_, static_cast<std::size_t>(i), callbacks_));
      tasks.push_back(data_tasks_.back().get());
    }
    dispatch_.SetTasks(tasks);
    for (auto* task : tasks) task->SetTasks(tasks, &dispatch_);
    timer_ = std::make_unique<Timer>(task_.Context(), [this] { OnTimer(); });
    for (auto* task : tasks) task->Start();
    dispatch_.Start();
    task_.Start();
    task_.PostAndWait([this] {
      listener_->Start(task_.Context(), [this](std::shared_ptr<GSocketConnection> connection) {
        data_tasks_[next_data_task_++ % data_tasks_.size()]->AcceptConnection(
            std::move(connection));
      });
    });
    return listener_->Address();
  }

  void SetView(const EntryViewPtr& view) {
    // The dispatch task must have the view before the data tasks accept calls with it.
    dispatch_.SetView(view);
    for (auto& task : data_tasks_) task->SetView(view);
    if (!view->has_configuration_) return;
    task_.Post([this] { ApplyEvent(LifecycleEvent::kConfigured); });
  }

  void SetRemoteShards(std::vector<coordination::ShardLoad> shards) {
    dispatch_.SetRemoteShards(std::move(shards));
  }

  void BeginStop(std::function<void(const StopResult&)> done) {
    task_.Post([this, done = std::move(done)] {
      if (done_) return;
      done_ = done;
      stop_end_ = Now() + settings_.stop_time_;
      ApplyEvent(LifecycleEvent::kStop);
    });
  }

  void ForceStop() {
    task_.Post([this] {
      if (state_ == LifecycleState::kClosing) {
        ForceClosing();
      } else {
        ApplyEvent(LifecycleEvent::kForced);
      }
    });
  }

  void Stop() {
    if (!task_.IsRunning()) return;
    task_.PostAndWait([this] {
      listener_.reset();
      timer_.reset();
    });
    task_.Stop();
    // Data tasks stop first: they post to the dispatch task, which must still be running.
    for (auto& task : data_tasks_) task->Stop();
    dispatch_.Stop();
  }

 private:
  void ApplyEvent(LifecycleEvent event) {
    const LifecycleState next = machine_.Next(state_, event);
    if (next == state_) return;
    if (callbacks_.event_) {
      callbacks_.event_({{"event", "entry_state"},
                         {"from", std::string(NameOf(kLifecycleStateNames, state_))},
                         {"to", std::string(NameOf(kLifecycleStateNames, next))},
                         {"cause", std::string(NameOf(kLifecycleEventNames, event))}});
    }
    state_ = next;
    for (auto& task : data_tasks_) task->SetMode(ModeOf(state_));
    switch (state_) {
      case LifecycleState::kLeaving:
        leave_end_ = Now() + settings_.keep_time_ + kLeaveMargin;
        timer_->Set(std::min(leave_end_, stop_end_));
        break;
      case LifecycleState::kDraining:
        timer_->Set(Now() + kDrainPollInterval);
        break;
      case LifecycleState::kClosing:
        BeginClosing(event == LifecycleEvent::kForced);
        break;
      case LifecycleState::kStopped:
        Finish();
        break;
      default:
        break;
    }
  }

  void OnTimer() {
    const Time now = Now();
    if (state_ == LifecycleState::kClosing) {
      CheckClosed(now);
    } else if (now >= stop_end_) {
      ApplyEvent(LifecycleEvent::kForced);
    } else if (state_ == LifecycleState::kLeaving && now >= leave_end_) {
      ApplyEvent(LifecycleEvent::kKeepTimeEnded);
    } else if (state_ == LifecycleState::kDraining) {
      CheckDrained(now);
    }
  }

  // Ends draining when two consecutive checks find neither a call nor a new connection nor a partly
  // read request. A single check could miss a request that has just arrived.
  void CheckDrained(Time now) {
    const std::size_t accepted = listener_->AcceptAll();
    const OpenWork work = CloseConnections(false);
    const bool idle = accepted == 0 && work.calls_ == 0 && work.expected_requests_ == 0;
    idle_checks_ = idle ? idle_checks_ + 1 : 0;
    if (idle_checks_ >= 2) {
      ApplyEvent(LifecycleEvent::kDrained);
    } else {
      timer_->Set(now + kDrainPollInterval);
    }
  }

  // Stops listening, and waits until the callers have received their responses and closed their
  // connections. A forced close first ends the calls in flight with a response.
  void BeginClosing(bool forced) {
    // Requests of connections that are still in the listen queue are rejected.
    listener_->AcceptAll();
    listener_.reset();
    closing_end_ = stop_end_;
    if (forced) ForceClosing();
    CheckClosed(Now());
  }

  void ForceClosing() {
    if (result_.forced_) return;
    result_ = {true, CountCalls()};
    closing_end_ = Now() + kForcedClosingTime;
    if (!callbacks_.event_) return;
    callbacks_.event_({{"event", "stop_forced"},
                       {"level", "error"},
                       {"code", std::string(ResultCodeName(ResultCode::kStopCutCalls))},
                       {"interrupted_calls", std::to_string(result_.interrupted_calls_)}});
  }

  void CheckClosed(Time now) {
    OpenWork work = CloseConnections(result_.forced_);
    if (now >= stop_end_ && work.calls_ > 0) ForceClosing();
    if (result_.forced_ && work.calls_ > 0) {
      dispatch_.CutCalls();
      work = CloseConnections(true);
    }
    if (now < closing_end_ && work.calls_ + work.expected_requests_ + work.receiving_ > 0) {
      timer_->Set(now + kDrainPollInterval);
    } else {
      ApplyEvent(LifecycleEvent::kClosed);
    }
  }

  std::size_t CountCalls() {
    std::size_t count = 0;
    for (auto& task : data_tasks_) count += task->CountCalls();
    return count;
  }

  OpenWork CloseConnections(bool cut_partial_requests) {
    OpenWork work;
    for (auto& task : data_tasks_) work += task->CloseConnections(cut_partial_requests);
    return work;
  }

  void Finish() {
    timer_->Clear();
    if (done_) done_(result_);
  }

  const EntrySettings settings_;
  const EntryCallbacks callbacks_;
  LifecycleMachine machine_;
  LifecycleState state_ = LifecycleState::kStarting;
  std::unique_ptr<Listener> listener_;
  std::vector<std::unique_ptr<DataTask>> data_tasks_;
  DispatchTask dispatch_;
  Task task_;
  std::unique_ptr<Timer> timer_;
  std::function<void(const StopResult&)> done_;
  Time stop_end_ = Time::max();
  Time leave_end_ = Time::max();
  Time closing_end_ = Time::max();
  int idle_checks_ = 0;
  StopResult result_;
  std::size_t next_data_task_ = 0;
};

EntryHost::EntryHost(EntrySettings settings, EntryCallbacks callbacks)
    : impl_(std::make_unique<Impl>(std::move(settings), std::move(callbacks))) {}

EntryHost::~EntryHost() = default;

Result<void> EntryHost::Start() {
  BOOST_LEAF_ASSIGN(address_, impl_->Start());
  return {};
}

void EntryHost::SetView(const EntryViewPtr& view) { impl_->SetView(view); }

void EntryHost::SetRemoteShards(std::vector<coordination::ShardLoad> shards) {
  impl_->SetRemoteShards(std::move(shards));
}

void EntryHost::BeginStop(std::function<void(const StopResult&)> done) {
  impl_->BeginStop(std::move(done));
}

void EntryHost::ForceStop() { impl_->ForceStop(); }

}  // namespace monsoonshelf::entry
