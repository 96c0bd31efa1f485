#include <algorithm>

#include "tests/scenario/host.h"
#include "tests/scenario/world.h"

namespace monsoonshelf::scenario {

using dispatch::ActionKind;
using dispatch::CallHandle;
using dispatch::SendResult;
using outcomes::BeginResult;

namespace {

constexpr CallResponse Refused(ResultCode code) {
  return {true, true, CallOutcome::kNotRun, code, {}};
}

CallResponse Unknown(ResultCode code) { return {true, true, CallOutcome::kUnknown, code, {}}; }

CallResponse ToResponse(SendResult result, const std::string& body) {
  switch (result) {
    case SendResult::kAnswered:
    case SendResult::kFailed:
      return {true, true, CallOutcome::kAnswered, ResultCode::kOk, body};
    case SendResult::kRefused:
      return Refused(ResultCode::kTargetRefused);
    case SendResult::kUnreachable:
      return Refused(ResultCode::kTargetUnreachable);
    default:
      return Unknown(ResultCode::kTargetConnectionLost);
  }
}

}  // namespace

bool Host::IsRefusing(ResultCode* code) {
  *code = ResultCode::kOk;
  if (!coordination::HasConfiguration(*node_)) *code = ResultCode::kNotReady;
  if (coordination::IsIsolated(*node_, world_.Sim().Now())) *code = ResultCode::kHostIsolated;
  if (draining_) *code = ResultCode::kHostStopping;
  return *code != ResultCode::kOk;
}

void Host::OnCall(const CallRequest& request, const CallReply& reply) {
  ResultCode refusal = ResultCode::kOk;
  const bool refusing = IsRefusing(&refusal);
  if (request.idempotent_ || request.dispatch_hop_ || request.spill_hop_) {
    if (refusing) return reply(Refused(refusal));
    return PlaceCall(request, reply);
  }
  const auto id = Recover([&] { return outcomes::ParseCallId(request.id_); },
                          [](const Error&) { return outcomes::CallId(); });
  if (id.home_ != Name()) {
    // Only the home host knows whether an earlier attempt ran.
    if (refusing || request.home_hop_) return reply(Unknown(ResultCode::kHomeHostUnreachable));
    CallRequest forwarded = request;
    forwarded.home_hop_ = true;
    return Forward(id.home_, forwarded, [=](const CallResponse& response) {
      const bool lost = !response.connected_ || !response.complete_;
      reply(lost ? Unknown(ResultCode::kHomeHostUnreachable) : response);
    });
  }
  const auto begin = outcomes::BeginAttempt(*outcomes_, id, world_.Minute());
  switch (begin.result_) {
    case BeginResult::kNew: {
      const auto recording = RecordingReply(id, reply);
      if (refusing) return recording(Refused(refusal));
      return PlaceCall(request, recording);
    }
    case BeginResult::kRunning:
      repeats_[request.id_].push_back(reply);
      return;
    case BeginResult::kFinished:
      return reply(
          {true, true, begin.finished_.outcome_, begin.finished_.code_, begin.finished_.body_});
    case BeginResult::kFull:
    case BeginResult::kFuture:
      return reply(Refused(ResultCode::kOutcomeTableFull));
    default:
      return reply(Unknown(ResultCode::kCallIdExpired));
  }
}

// Keeps the result of a call that is not idempotent, and answers repeats that arrived meanwhile.
CallReply Host::RecordingReply(const outcomes::CallId& id, const CallReply& reply) {
  return [=, this](const CallResponse& response) {
    CallResponse result = response;
    if (!result.connected_ || !result.complete_) result = Unknown(ResultCode::kForwardFailed);
    outcomes::FinishedCall finished;
    finished.outcome_ = result.outcome_;
    finished.code_ = result.code_;
    finished.body_ = result.body_;
    outcomes::FinishAttempt(*outcomes_, id, finished);
    reply(result);
    const auto waiting = repeats_.extract(outcomes::FormatCallId(id));
    if (waiting.empty()) return;
    for (const auto& repeat : waiting.mapped()) repeat(result);
  };
}

void Host::PlaceCall(const CallRequest& request, const CallReply& reply) {
  const auto dispatcher = coordination::DispatcherOf(*node_, request.service_, request.zone_);
  const bool here = !dispatcher || dispatcher->name_ == Name();
  if (here || request.dispatch_hop_ || request.spill_hop_) return DispatchLocally(request, reply);
  CallRequest forwarded = request;
  forwarded.dispatch_hop_ = true;
  Forward(dispatcher->name_, forwarded, [=, this](const CallResponse& response) {
    if (response.connected_) return reply(response);
    // No byte of the call left this host.
    DispatchLocally(request, reply);
  });
}

void Host::Forward(const HostName& to, const CallRequest& request, const CallReply& reply) {
  const auto generation = generation_;
  world_.ConnectHost(
      Zone(), to, request,
      [=, this](const CallResponse& response) { DeliverTo(generation, [=] { reply(response); }); },
      Name());
}

void Host::DispatchLocally(const CallRequest& request, const CallReply& reply) {
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
  call.forwarded_ = request.spill_hop_;
  Run(shard, dispatch::OnCallArrived(DispatcherFor(shard), call, world_.Sim().Now(), random_));
  ScheduleWake();
}

dispatch::Dispatcher& Host::DispatcherFor(const ShardKey& shard) {
  auto& dispatcher = dispatchers_[shard];
  if (dispatcher) return *dispatcher;
  const Time now = world_.Sim().Now();
  const auto service = snapshot_->services_.find(shard.first);
  const auto limits =
      service == snapshot_->services_.end() ? records::Service() : service->second.service_;
  dispatcher = dispatch::MakeDispatcher({shard.first, shard.second, limits}, now);
  dispatch::OnTargetSnapshots(*dispatcher, knowledge_[shard], now);
  Run(shard, dispatch::OnTargetsChanged(*dispatcher, TargetsOf(shard), now, random_));
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

void Host::Run(const ShardKey& shard, const dispatch::Actions& actions) {
  for (const auto& action : actions) {
    switch (action.kind_) {
      case ActionKind::kSend:
        SendToTarget(shard, action);
        break;
      case ActionKind::kForward:
        Spill(shard, action);
        break;
      case ActionKind::kRefuse:
        Respond(action.call_, {true, true, action.outcome_, action.code_, ""});
        break;
      case ActionKind::kProbe:
        Probe(shard, action.target_);
        break;
    }
  }
}

void Host::SendToTarget(const ShardKey& shard, const dispatch::Action& action) {
  const auto call = calls_.find(action.call_);
  if (call == calls_.end()) return;
  const auto generation = generation_;
  const std::uint64_t connection = connections_[action.target_];
  const auto answer = [=, this](const TargetAnswer& result) {
    DeliverTo(generation, [=, this] {
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
  connections_[target] = report ? report->epoch_ : 0;
  const bool not_run = result == SendResult::kRefused || result == SendResult::kUnreachable;
  if (const auto pending = calls_.find(call); pending != calls_.end() && !not_run) {
    pending->second.may_have_run_ = true;
  }
  bool finished = false;
  const auto actions = dispatch::OnSendFinished(DispatcherFor(shard), call, target, result, report,
                                                world_.Sim().Now(), random_, &finished);
  if (finished) Respond(call, ToResponse(result, body));
  Run(shard, actions);
  ScheduleWake();
}

void Host::Probe(const ShardKey& shard, const std::string& target) {
  const auto generation = generation_;
  world_.Probe(*this, target, [=, this](const TargetAnswer& answer) {
    DeliverTo(generation, [=, this] {
      // Probes and calls share the connections of a host.
      if (answer.report_) connections_[target] = answer.report_->epoch_;
      Run(shard, dispatch::OnProbeFinished(DispatcherFor(shard), target, answer.report_,
                                           world_.Sim().Now(), random_));
      ScheduleWake();
    });
  });
}

void Host::Spill(const ShardKey& shard, const dispatch::Action& action) {
  const auto call = calls_.find(action.call_);
  if (call == calls_.end()) return;
  CallRequest request = call->second.request_;
  request.zone_ = action.zone_;
  request.spill_hop_ = true;
  request.retry_budget_ = action.retry_budget_;
  const auto finish = [=, this](const CallResponse& response) {
    const Time now = world_.Sim().Now();
    auto& dispatcher = DispatcherFor(shard);
    const bool refused =
        !response.connected_ || (response.complete_ && response.outcome_ == CallOutcome::kNotRun);
    if (refused) {
      Run(shard, dispatch::OnForwardRefused(dispatcher, action.call_, action.zone_, now, random_));
    } else {
      const auto actions =
          dispatch::OnForwardFinished(dispatcher, action.call_, action.zone_, now, random_);
      Respond(action.call_, response);
      Run(shard, actions);
    }
    ScheduleWake();
  };
  const auto dispatcher = coordination::DispatcherOf(*node_, shard.first, action.zone_);
  if (dispatcher && dispatcher->name_ != Name()) {
    Forward(dispatcher->name_, request, finish);
    return;
  }
  // This host dispatches the other shard too. The reply must not come within this call.
  const auto generation = generation_;
  world_.Sim().After(Duration(1), [=, this] {
    DeliverTo(generation, [=, this] { DispatchLocally(request, finish); });
  });
}

void Host::Respond(CallHandle call, const CallResponse& response) {
  const auto pending = calls_.extract(call);
  if (pending.empty()) return;
  const bool not_run = response.complete_ && response.outcome_ == CallOutcome::kNotRun;
  // A refused retry says nothing about the send before it.
  const bool unsure = not_run && pending.mapped().may_have_run_;
  pending.mapped().reply_(unsure ? Unknown(response.code_) : response);
}

}  // namespace monsoonshelf::scenario
