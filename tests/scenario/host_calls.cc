#include <algorithm>

#include "tests/scenario/host.h"
#include "tests/scenario/world.h"

namespace monsoonshelf::scenario {

using dispatch::ActionKind;
using dispatch::CallHandle;
using dispatch::SendResult;
using outcomes::BeginResult;

namespace {

constexpr CallResponse RefusedResponse(ResultCode code) {
  return {true, true, CallOutcome::kNotRun, code, {}};
}

CallResponse UnknownResponse(ResultCode code) {
  return {true, true, CallOutcome::kUnknown, code, {}};
}

CallResponse ToResponse(SendResult result, const std::string& body) {
  switch (result) {
    case SendResult::kAnswered:
    case SendResult::kFailed:
      return {true, true, CallOutcome::kAnswered, ResultCode::kOk, body};
    case SendResult::kRefused:
      return RefusedResponse(ResultCode::kTargetRefused);
    case SendResult::kUnreachable:
      return RefusedResponse(ResultCode::kTargetUnreachable);
    default:
      return UnknownResponse(ResultCode::kTargetConnectionLost);
  }
}

}  // namespace

bool Host::MustRefuseCalls(ResultCode* code) {
  *code = ResultCode::kOk;
  if (!coordination::HasConfiguration(*node_)) *code = ResultCode::kNotReady;
  if (coordination::IsIsolated(*node_, world_.Sim().Now())) *code = ResultCode::kHostIsolated;
  if (draining_) *code = ResultCode::kHostStopping;
  return *code != ResultCode::kOk;
}

void Host::OnCall(const CallRequest& request, const ResponseCallback& reply) {
  ResultCode refusal = ResultCode::kOk;
  const bool refusing = MustRefuseCalls(&refusal);
  if (request.idempotent_ || request.forwarded_to_dispatcher_ || request.spilled_) {
    if (refusing) return reply(RefusedResponse(refusal));
    return RouteCall(request, reply);
  }
  const auto id = Recover([&] { return outcomes::ParseCallId(request.id_); },
                          [](const Error&) { return outcomes::CallId(); });
  if (id.home_ != Name()) {
    // Only the home host knows whether an earlier attempt was executed.
    if (refusing || request.forwarded_to_home_)
      return reply(UnknownResponse(ResultCode::kHomeHostUnreachable));
    CallRequest forwarded = request;
    forwarded.forwarded_to_home_ = true;
    return ForwardCall(id.home_, forwarded, [=](const CallResponse& response) {
      const bool lost = !response.connected_ || !response.complete_;
      reply(lost ? UnknownResponse(ResultCode::kHomeHostUnreachable) : response);
    });
  }
  const auto begin = outcomes::BeginAttempt(*outcomes_, id, world_.Minute());
  switch (begin.result_) {
    case BeginResult::kNew: {
      const auto recording = MakeRecordingCallback(id, reply);
      if (refusing) return recording(RefusedResponse(refusal));
      return RouteCall(request, recording);
    }
    case BeginResult::kRunning:
      waiting_retries_[request.id_].push_back(reply);
      return;
    case BeginResult::kFinished:
      return reply(
          {true, true, begin.finished_.outcome_, begin.finished_.code_, begin.finished_.body_});
    case BeginResult::kFull:
    case BeginResult::kFuture:
      return reply(RefusedResponse(ResultCode::kOutcomeTableFull));
    default:
      return reply(UnknownResponse(ResultCode::kCallIdExpired));
  }
}

// Returns a callback that stores the result of a non-idempotent call in the outcome table and also
// answers the retries that arrived while the call was running.
ResponseCallback Host::MakeRecordingCallback(const outcomes::CallId& id,
                                             const ResponseCallback& reply) {
  return [=, this](const CallResponse& response) {
    CallResponse result = response;
    if (!result.connected_ || !result.complete_)
      result = UnknownResponse(ResultCode::kForwardFailed);
    outcomes::FinishedCall finished;
    finished.outcome_ = result.outcome_;
    finished.code_ = result.code_;
    finished.body_ = result.body_;
    outcomes::FinishAttempt(*outcomes_, id, finished);
    reply(result);
    const auto waiting = waiting_retries_.extract(outcomes::FormatCallId(id));
    if (waiting.empty()) return;
    for (const auto& retry : waiting.mapped()) retry(result);
  };
}

void Host::RouteCall(const CallRequest& request, const ResponseCallback& reply) {
  const auto dispatcher = coordination::DispatcherOf(*node_, request.service_, request.zone_);
  const bool here = !dispatcher || dispatcher->name_ == Name();
  if (here || request.forwarded_to_dispatcher_ || request.spilled_)
    return DispatchLocally(request, reply);
  CallRequest forwarded = request;
  forwarded.forwarded_to_dispatcher_ = true;
  ForwardCall(dispatcher->name_, forwarded, [=, this](const CallResponse& response) {
    if (response.connected_) return reply(response);
    // No byte of the call left this host, so it can be dispatched here.
    DispatchLocally(request, reply);
  });
}

void Host::ForwardCall(const HostName& to, const CallRequest& request,
                       const ResponseCallback& reply) {
  const auto generation = generation_;
  world_.SendCallToHost(
      Zone(), to, request,
      [=, this](const CallResponse& response) {
        RunInGeneration(generation, [=] { reply(response); });
      },
      Name());
}

void Host::DispatchLocally(const CallRequest& request, const ResponseCallback& reply) {
  const ShardKey shard{request.service_, request.zone_};
  const CallHandle handle = next_handle_++;
  calls_[handle] = {request, reply, shard};
  dispatch::Call call;
  call.handle_ = handle;
  call.class_ = request.class_;
  call.idempotent_ = request.idempotent_;
  call.attempts_left_ = 2;
  call.retry_budget_ = request.retry_budget_;
  call.deadline_ = request.deadline_;
  call.forwarded_ = request.spilled_;
  ExecuteActions(shard,
                 dispatch::OnCallArrived(DispatcherFor(shard), call, world_.Sim().Now(), random_));
  SetTimer();
}

dispatch::Dispatcher& Host::DispatcherFor(const ShardKey& shard) {
  auto& dispatcher = dispatchers_[shard];
  if (dispatcher) return *dispatcher;
  const Time now = world_.Sim().Now();
  const auto service = snapshot_->services_.find(shard.first);
  const auto limits =
      service == snapshot_->services_.end() ? records::Service() : service->second.service_;
  dispatcher = dispatch::MakeDispatcher({shard.first, shard.second, limits}, now);
  dispatch::OnTargetSnapshots(*dispatcher, known_targets_[shard], now);
  ExecuteActions(shard, dispatch::OnTargetsChanged(*dispatcher, TargetsOf(shard), now, random_));
  return *dispatcher;
}

std::vector<dispatch::TargetSpec> Host::TargetsOf(const ShardKey& shard) const {
  std::vector<dispatch::TargetSpec> targets;
  const auto service = snapshot_->services_.find(shard.first);
  if (service == snapshot_->services_.end()) return targets;
  for (const auto& target : service->second.targets_) {
    if (target.zone_ == shard.second) targets.push_back({target.name_, target.accepts_work_});
  }
  return targets;
}

void Host::ExecuteActions(const ShardKey& shard, const dispatch::Actions& actions) {
  for (const auto& action : actions) {
    switch (action.kind_) {
      case ActionKind::kSend:
        SendToTarget(shard, action);
        break;
      case ActionKind::kForward:
        SpillCall(shard, action);
        break;
      case ActionKind::kRefuse:
        RespondToCall(action.call_, {true, true, action.outcome_, action.code_, ""});
        break;
      case ActionKind::kProbe:
        ProbeTarget(shard, action.target_);
        break;
    }
  }
}

void Host::SendToTarget(const ShardKey& shard, const dispatch::Action& action) {
  const auto call = calls_.find(action.call_);
  if (call == calls_.end()) return;
  const auto generation = generation_;
  const std::uint64_t connection = connection_epochs_[action.target_];
  const auto answer = [=, this](const TargetAnswer& result) {
    RunInGeneration(generation, [=, this] {
      OnTargetAnswer(shard, action.call_, action.target_, result.result_, result.report_,
                     result.body_);
    });
  };
  world_.SendToTarget(*this, action.target_, call->second.request_.id_, action.deadline_,
                      connection, answer);
}

void Host::OnTargetAnswer(const ShardKey& shard, CallHandle call, const std::string& target,
                          SendResult result, const std::optional<dispatch::LoadReport>& report,
                          const std::string& body) {
  connection_epochs_[target] = report ? report->epoch_ : 0;
  const bool not_run = result == SendResult::kRefused || result == SendResult::kUnreachable;
  if (const auto pending = calls_.find(call); pending != calls_.end() && !not_run) {
    pending->second.may_have_run_ = true;
  }
  bool finished = false;
  const auto actions = dispatch::OnSendFinished(DispatcherFor(shard), call, target, result, report,
                                                world_.Sim().Now(), random_, &finished);
  if (finished) RespondToCall(call, ToResponse(result, body));
  ExecuteActions(shard, actions);
  SetTimer();
}

void Host::ProbeTarget(const ShardKey& shard, const std::string& target) {
  const auto generation = generation_;
  world_.ProbeTarget(*this, target, [=, this](const TargetAnswer& answer) {
    RunInGeneration(generation, [=, this] {
      // Probes and calls use the same connection to a target.
      if (answer.report_) connection_epochs_[target] = answer.report_->epoch_;
      ExecuteActions(shard, dispatch::OnProbeFinished(DispatcherFor(shard), target, answer.report_,
                                                      world_.Sim().Now(), random_));
      SetTimer();
    });
  });
}

void Host::SpillCall(const ShardKey& shard, const dispatch::Action& action) {
  const auto call = calls_.find(action.call_);
  if (call == calls_.end()) return;
  CallRequest request = call->second.request_;
  request.zone_ = action.zone_;
  request.spilled_ = true;
  request.retry_budget_ = action.retry_budget_;
  const auto finish = [=, this](const CallResponse& response) {
    const Time now = world_.Sim().Now();
    auto& dispatcher = DispatcherFor(shard);
    const bool refused =
        !response.connected_ || (response.complete_ && response.outcome_ == CallOutcome::kNotRun);
    if (refused) {
      ExecuteActions(
          shard, dispatch::OnForwardRefused(dispatcher, action.call_, action.zone_, now, random_));
    } else {
      const auto actions =
          dispatch::OnForwardFinished(dispatcher, action.call_, action.zone_, now, random_);
      RespondToCall(action.call_, response);
      ExecuteActions(shard, actions);
    }
    SetTimer();
  };
  const auto dispatcher = coordination::DispatcherOf(*node_, shard.first, action.zone_);
  if (dispatcher && dispatcher->name_ != Name()) {
    ForwardCall(dispatcher->name_, request, finish);
    return;
  }
  // This host also dispatches the shard of the other zone. The call is scheduled because the
  // response must not arrive before this function returns.
  const auto generation = generation_;
  world_.Sim().ScheduleAfter(Duration(1), [=, this] {
    RunInGeneration(generation, [=, this] { DispatchLocally(request, finish); });
  });
}

void Host::RespondToCall(CallHandle call, const CallResponse& response) {
  const auto pending = calls_.extract(call);
  if (pending.empty()) return;
  const bool not_run = response.complete_ && response.outcome_ == CallOutcome::kNotRun;
  // A refused retry does not tell whether the earlier send was executed.
  const bool outcome_unknown = not_run && pending.mapped().may_have_run_;
  pending.mapped().reply_(outcome_unknown ? UnknownResponse(response.code_) : response);
}

}  // namespace monsoonshelf::scenario
