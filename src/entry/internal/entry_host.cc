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

constexpr Duration kDrainPoll = std::chrono::milliseconds(20);
// Responses of callers that ask just before the end of the keep time are still on their way.
constexpr Duration kKeepMargin = std::chrono::seconds(1);

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

// Lives on a task of its own, which also accepts connections.
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
    // A write to a pipe whose reader is gone is an error of that call, not of the process.
    std::signal(SIGPIPE, SIG_IGN);
    state_ = machine_.Initial();
    std::vector<DataTask*> tasks;
    for (int i = 0; i < settings_.data_tasks_; ++i) {
      data_tasks_.push_back(
          std::make_unique<DataTask>(settings_, static_cast<std::size_t>(i), callbacks_));
      tasks.push_back(data_tasks_.back().get());
    }
    dispatch_.Connect(tasks);
    for (auto* task : tasks) task->Connect(tasks, &dispatch_);
    timer_ = std::make_unique<Timer>(task_.Context(), [this] { OnTimer(); });
    for (auto* task : tasks) task->Start();
    dispatch_.Start();
    task_.Start();
    task_.PostAndWait([this] {
      listener_->Start(task_.Context(), [this](std::shared_ptr<GSocketConnection> connection) {
        data_tasks_[next_++ % data_tasks_.size()]->Accept(std::move(connection));
      });
    });
    return listener_->Address();
  }

  void SetView(const EntryViewPtr& view) {
    // The order matters: data tasks take calls only when the dispatch task knows the view.
    dispatch_.SetView(view);
    for (auto& task : data_tasks_) task->SetView(view);
    if (!view->has_configuration_) return;
    task_.Post([this] { Handle(LifecycleEvent::kConfigured); });
  }

  void SetRemoteShards(std::vector<coordination::ShardLoad> shards) {
    dispatch_.RemoteShards(std::move(shards));
  }

  void BeginStop(std::function<void(const StopResult&)> done) {
    task_.Post([this, done = std::move(done)] {
      if (done_) return;
      done_ = done;
      stop_end_ = Now() + settings_.stop_time_;
      Handle(LifecycleEvent::kStop);
    });
  }

  void ForceStop() {
    task_.Post([this] { Handle(LifecycleEvent::kForced); });
  }

  void Stop() {
    if (!task_.IsRunning()) return;
    task_.PostAndWait([this] {
      listener_.reset();
      timer_.reset();
    });
    task_.Stop();
    // Data tasks first: they post to the dispatch task, whose thread must still take messages.
    for (auto& task : data_tasks_) task->Stop();
    dispatch_.Stop();
  }

 private:
  void Handle(LifecycleEvent event) {
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
        leave_end_ = Now() + settings_.keep_time_ + kKeepMargin;
        timer_->Set(std::min(leave_end_, stop_end_));
        break;
      case LifecycleState::kDraining:
        timer_->Set(Now() + kDrainPoll);
        break;
      case LifecycleState::kStopped:
        Finish(event == LifecycleEvent::kForced);
        break;
      default:
        break;
    }
  }

  void OnTimer() {
    const Time now = Now();
    if (now >= stop_end_) {
      Handle(LifecycleEvent::kForced);
    } else if (state_ == LifecycleState::kLeaving && now >= leave_end_) {
      Handle(LifecycleEvent::kKeepTimeEnded);
    } else if (state_ == LifecycleState::kDraining) {
      CheckDrained(now);
    }
  }

  // Stops once there is neither a call nor a new connection in two turns one after the other, so
  // that a request which had just arrived is still answered.
  void CheckDrained(Time now) {
    const bool quiet = listener_->AcceptAll() == 0 && CountCalls(true) == 0;
    quiet_turns_ = quiet ? quiet_turns_ + 1 : 0;
    if (quiet_turns_ >= 2) {
      Handle(LifecycleEvent::kDrained);
    } else {
      timer_->Set(now + kDrainPoll);
    }
  }

  std::size_t CountCalls(bool close_idle) {
    std::size_t count = 0;
    for (auto& task : data_tasks_) count += task->CountCalls(close_idle);
    return count;
  }

  void Finish(bool forced) {
    timer_->Clear();
    StopResult result{forced, forced ? CountCalls(false) : 0};
    if (forced && callbacks_.event_) {
      callbacks_.event_({{"event", "stop_forced"},
                         {"level", "error"},
                         {"code", std::string(ResultCodeName(ResultCode::kStopCutCalls))},
                         {"interrupted_calls", std::to_string(result.interrupted_calls_)}});
    }
    listener_.reset();
    if (done_) done_(result);
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
  int quiet_turns_ = 0;
  std::size_t next_ = 0;
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
