// At-most-once rules of the home host and the ends of calls.
#include <algorithm>
#include <utility>

#include "entry/internal/call_headers.h"
#include "entry/internal/router.h"

namespace monsoonshelf::entry {

using dispatch::SendResult;
using outcomes::BeginResult;

namespace {

Refusal RefusalOf(BeginResult result) {
  switch (result) {
    case BeginResult::kExpired:
      return {504, CallOutcome::kUnknown, ResultCode::kCallIdExpired,
              "the call identifier is older than the retention of outcomes"};
    case BeginResult::kOtherIncarnation:
      return {504, CallOutcome::kUnknown, ResultCode::kCallIdOtherIncarnation,
              "the home host of the call has restarted"};
    case BeginResult::kFuture:
      return {400, CallOutcome::kNotRun, ResultCode::kCallIdFromFuture,
              "the call identifier has a time in the future"};
    case BeginResult::kFull:
      return {503, CallOutcome::kNotRun, ResultCode::kOutcomeTableFull,
              "the home host has no room for another outcome"};
    default:
      return {504, CallOutcome::kUnknown, ResultCode::kHomeHostUnreachable,
              "the home host of the call cannot be reached"};
  }
}

outcomes::FinishedCall FinishedOf(const Refusal& refusal) {
  return {refusal.outcome_, refusal.code_, refusal.status_, "text/plain", refusal.reason_, true};
}

}  // namespace

Refusal RefusalOf(SendResult result, bool sent) {
  switch (result) {
    case SendResult::kRefused:
      return {503, CallOutcome::kNotRun, ResultCode::kTargetRefused,
              "the target refused the call without running it"};
    case SendResult::kUnreachable:
      return {503, CallOutcome::kNotRun, ResultCode::kTargetUnreachable,
              "no connection to the target could be opened"};
    case SendResult::kTimedOut:
      return {504, CallOutcome::kUnknown, ResultCode::kDeadlinePassed,
              "the deadline passed while the call was running"};
    case SendResult::kInvalid:
      return {504, CallOutcome::kUnknown, ResultCode::kTargetAnswerInvalid,
              "the response of the target was incomplete or not for this call"};
    case SendResult::kCancelled:
      return {504, sent ? CallOutcome::kUnknown : CallOutcome::kNotRun, ResultCode::kCallCancelled,
              "the caller cancelled the call"};
    default:
      return {504, CallOutcome::kUnknown, ResultCode::kTargetConnectionLost,
              "the connection to the target was lost after the call was sent"};
  }
}

bool Router::BeginAtHome(RoutedCall& call, std::int64_t now_minute, Time now) {
  const CallHead& head = *call.arrival_.head_;
  const auto answer = outcomes::BeginAttempt(*outcomes_, *head.parsed_id_, now_minute);
  switch (answer.result_) {
    case BeginResult::kNew:
      call.at_home_ = true;
      return true;
    case BeginResult::kRunning:
      call.phase_ = Phase::kWaiting;
      repeats_[head.call_id_].push_back(call.arrival_.handle_);
      return false;
    case BeginResult::kFinished: {
      const CallHandle handle = call.arrival_.handle_;
      calls_.erase(handle);
      AnswerRepeat(handle, answer.finished_);
      return false;
    }
    case BeginResult::kOtherHome:
      if (head.hops_.empty()) {
        ForwardHome(call, now);
        return false;
      }
      break;
    default:
      break;
  }
  FinishWithRefusal(call, RefusalOf(answer.result_), now);
  return false;
}

void Router::ForwardHome(RoutedCall& call, Time now) {
  const auto& id = *call.arrival_.head_->parsed_id_;
  const auto* home = FindMember(id.home_);
  if (home == nullptr || home->state_ == coordination::MemberState::kGone) {
    FinishWithRefusal(call, RefusalOf(BeginResult::kOtherHome), now);
    return;
  }
  Forward(call, *home, SendPurpose::kHome, settings_.zone_, call.retry_budget_, now);
}

void Router::AnswerRepeat(CallHandle handle, const outcomes::FinishedCall& finished) {
  if (!finished.body_kept_) {
    port_.Refuse(handle, {504, CallOutcome::kUnknown, ResultCode::kMemoryLimit,
                          "the call has run, but its response was too large to keep"});
    return;
  }
  WholeResponse response;
  response.head_.status_ = finished.status_;
  response.head_.outcome_ = finished.outcome_;
  response.head_.code_ = finished.code_;
  response.head_.body_length_ = static_cast<std::int64_t>(finished.body_.size());
  if (!finished.content_type_.empty()) {
    response.head_.headers_.emplace_back("Content-Type", finished.content_type_);
  }
  response.body_ = finished.body_;
  port_.Respond(handle, std::move(response));
}

void Router::FinishAtHome(const RoutedCall& call, const outcomes::FinishedCall& finished) {
  const CallHead& head = *call.arrival_.head_;
  outcomes::FinishAttempt(*outcomes_, *head.parsed_id_, finished);
  const auto waiting = repeats_.find(head.call_id_);
  if (waiting == repeats_.end()) return;
  const auto handles = std::move(waiting->second);
  repeats_.erase(waiting);
  for (const CallHandle handle : handles) {
    calls_.erase(handle);
    AnswerRepeat(handle, finished);
  }
}

void Router::OnSendEnd(SendReport report, Time now) {
  const auto found = calls_.find(report.call_);
  if (found == calls_.end() || found->second.send_ != report.send_) return;
  RoutedCall& call = found->second;
  if (report.sent_ && call.arrival_.body_.pipe_ != nullptr) {
    call.body_used_ = true;
    call.arrival_.body_.pipe_.reset();
  }
  if (call.purpose_ == SendPurpose::kTarget) {
    OnTargetSendEnd(call, report, now);
  } else {
    OnForwardEnd(call, report, now);
  }
}

void Router::OnTargetSendEnd(RoutedCall& call, SendReport& report, Time now) {
  const ShardKey key = call.spill_.value_or(call.shard_);
  const bool ran = report.sent_ && report.result_ != SendResult::kRefused;
  // Set before the dispatcher acts, which may refuse the call at once.
  const bool earlier = call.maybe_ran_;
  call.maybe_ran_ = earlier || ran;
  call.phase_ = Phase::kQueued;
  bool finished = false;
  if (report.returned_budget_) {
    dispatch::OnRetryBudgetReturned(*ShardOf(key, now).dispatcher_, report.call_,
                                    *report.returned_budget_);
  }
  const auto actions =
      dispatch::OnSendFinished(*ShardOf(key, now).dispatcher_, report.call_, call.target_,
                               report.result_, report.report_, now, random_, &finished);
  if (finished || report.delivered_) {
    call.maybe_ran_ = earlier;
    FinishWithReport(call, report, now);
  }
  Run(key, actions, now);
}

void Router::OnForwardEnd(RoutedCall& call, SendReport& report, Time now) {
  if (call.purpose_ == SendPurpose::kSpill) ObserveShardLoad(call, report.shard_load_, now);
  const bool refused =
      report.result_ == SendResult::kRefused || report.result_ == SendResult::kUnreachable;
  if (refused && !report.delivered_) {
    OnHopRefused(call, report, now);
    return;
  }
  const CallHead& head = *call.arrival_.head_;
  if (report.result_ == SendResult::kLost && call.purpose_ == SendPurpose::kDispatch &&
      head.idempotent_ && call.retry_budget_ > 0 && !call.body_used_ && !report.delivered_) {
    call.maybe_ran_ = true;
    --call.retry_budget_;
    PlaceLocally(call, {head.service_, head.shard_zone_}, false, now);
    return;
  }
  FinishWithReport(call, report, now);
}

void Router::OnHopRefused(RoutedCall& call, SendReport& report, Time now) {
  const CallHead& head = *call.arrival_.head_;
  const bool unreachable = report.result_ == SendResult::kUnreachable;
  switch (call.purpose_) {
    case SendPurpose::kHome:
      if (unreachable) {
        FinishWithRefusal(call, RefusalOf(BeginResult::kOtherHome), now);
        return;
      }
      break;
    case SendPurpose::kDispatch: {
      const ResultCode code = report.response_.head_.code_;
      if (!call.body_used_ &&
          (unreachable || code == ResultCode::kHostStopping || code == ResultCode::kNotReady ||
           code == ResultCode::kHostIsolated)) {
        PlaceLocally(call, {head.service_, head.shard_zone_}, false, now);
        return;
      }
      break;
    }
    default: {
      call.phase_ = Phase::kQueued;
      call.purpose_ = SendPurpose::kTarget;
      const ShardKey key = call.shard_;
      Run(key,
          dispatch::OnForwardRefused(*ShardOf(key, now).dispatcher_, report.call_, call.spill_zone_,
                                     now, random_),
          now);
      return;
    }
  }
  FinishWithReport(call, report, now);
}

void Router::FinishWithReport(RoutedCall& call, SendReport& report, Time now) {
  const bool whole = report.response_.head_.status_ != 0;
  const bool forwarded = call.purpose_ != SendPurpose::kTarget;
  const bool passes = whole && (forwarded || report.result_ == SendResult::kAnswered ||
                                report.result_ == SendResult::kFailed);
  const bool not_run = report.response_.head_.outcome_ == CallOutcome::kNotRun;
  if (!report.delivered_ && (!passes || (not_run && call.maybe_ran_))) {
    FinishWithRefusal(call, RefusalOf(report.result_, report.sent_), now);
    return;
  }
  if (call.at_home_) {
    FinishAtHome(call, report.kept_.value_or(FinishedOf(RefusalOf(report.result_, true))));
  }
  const CallHandle handle = report.call_;
  if (!report.delivered_) port_.Respond(handle, std::move(report.response_));
  Erase(handle, now);
}

void Router::FinishWithRefusal(RoutedCall& call, Refusal refusal, Time now) {
  if (call.maybe_ran_ && refusal.outcome_ == CallOutcome::kNotRun) {
    // An earlier send may have run, so that "not run" would be false.
    refusal.outcome_ = CallOutcome::kUnknown;
    refusal.status_ = 504;
  }
  if (call.at_home_) FinishAtHome(call, FinishedOf(refusal));
  const auto shard = shards_.find(call.shard_);
  if (CameFromOtherZone(*call.arrival_.head_) && shard != shards_.end()) {
    refusal.shard_load_ = FormatShardLoad(dispatch::Summarize(*shard->second.dispatcher_, now));
  }
  const CallHandle handle = call.arrival_.handle_;
  port_.Refuse(handle, std::move(refusal));
  Erase(handle, now);
}

void Router::Erase(CallHandle handle, Time now) {
  const auto found = calls_.find(handle);
  if (found == calls_.end()) return;
  const RoutedCall call = std::move(found->second);
  calls_.erase(found);
  const bool away = call.spill_.has_value() || call.purpose_ == SendPurpose::kSpill;
  if (!call.dispatched_ || !away) return;
  // The first dispatcher counts the call as forwarded until here.
  Run(call.shard_,
      dispatch::OnForwardFinished(*ShardOf(call.shard_, now).dispatcher_, handle, call.spill_zone_,
                                  now, random_),
      now);
}

}  // namespace monsoonshelf::entry
