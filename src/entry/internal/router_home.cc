// Part of Router: at-most-once rules of the home host and the end of calls.
#include <algorithm>
#include <utility>

#include "entry/internal/call_headers.h"
#include "entry/internal/router.h"

namespace monsoonshelf::entry {

using dispatch::SendResult;
using outcomes::BeginResult;

namespace {

ErrorResponse ErrorResponseFor(BeginResult result) {
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

outcomes::FinishedCall ToFinishedCall(const ErrorResponse& error) {
  return {error.outcome_, error.code_, error.status_, "text/plain", error.reason_, true};
}

}  // namespace

ErrorResponse ErrorResponseFor(SendResult result, bool sent) {
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

bool Router::RegisterCall(RoutedCall& call, std::int64_t now_minute, Time now) {
  const CallHead& head = *call.arrival_.head_;
  const auto answer = outcomes::BeginAttempt(*outcomes_, *head.parsed_call_id_, now_minute);
  switch (answer.result_) {
    case BeginResult::kNew:
      call.registered_ = true;
      return true;
    case BeginResult::kRunning:
      call.phase_ = Phase::kWaitingForOutcome;
      waiting_duplicates_[head.call_id_].push_back(call.arrival_.handle_);
      return false;
    case BeginResult::kFinished: {
      const CallHandle handle = call.arrival_.handle_;
      calls_.erase(handle);
      AnswerDuplicate(handle, answer.finished_);
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
  FinishWithError(call, ErrorResponseFor(answer.result_), now);
  return false;
}

void Router::ForwardHome(RoutedCall& call, Time now) {
  const auto& id = *call.arrival_.head_->parsed_call_id_;
  const auto* home = FindMember(id.home_);
  if (home == nullptr || home->state_ == coordination::MemberState::kGone) {
    FinishWithError(call, ErrorResponseFor(BeginResult::kOtherHome), now);
    return;
  }
  ForwardCall(call, *home, SendPurpose::kHome, settings_.zone_, call.retry_budget_, now);
}

void Router::AnswerDuplicate(CallHandle handle, const outcomes::FinishedCall& finished) {
  if (!finished.body_kept_) {
    delegate_.DeliverError(handle, {504, CallOutcome::kUnknown, ResultCode::kMemoryLimit,
                                    "the call has run, but its response was too large to keep"});
    return;
  }
  BufferedResponse response;
  response.head_.status_ = finished.status_;
  response.head_.outcome_ = finished.outcome_;
  response.head_.code_ = finished.code_;
  response.head_.body_length_ = static_cast<std::int64_t>(finished.body_.size());
  if (!finished.content_type_.empty()) {
    response.head_.headers_.emplace_back("Content-Type", finished.content_type_);
  }
  response.body_ = finished.body_;
  delegate_.DeliverResponse(handle, std::move(response));
}

void Router::RecordOutcome(const RoutedCall& call, const outcomes::FinishedCall& finished) {
  const CallHead& head = *call.arrival_.head_;
  outcomes::FinishAttempt(*outcomes_, *head.parsed_call_id_, finished);
  const auto waiting = waiting_duplicates_.find(head.call_id_);
  if (waiting == waiting_duplicates_.end()) return;
  const auto handles = std::move(waiting->second);
  waiting_duplicates_.erase(waiting);
  for (const CallHandle handle : handles) {
    calls_.erase(handle);
    AnswerDuplicate(handle, finished);
  }
}

void Router::OnSendEnd(SendReport report, Time now) {
  const auto found = calls_.find(report.call_);
  if (found == calls_.end() || found->second.send_ != report.send_) return;
  RoutedCall& call = found->second;
  if (report.sent_ && call.arrival_.body_.pipe_ != nullptr) {
    call.body_consumed_ = true;
    call.arrival_.body_.pipe_.reset();
  }
  if (call.purpose_ == SendPurpose::kTarget) {
    OnTargetSendEnd(call, report, now);
  } else {
    OnForwardEnd(call, report, now);
  }
}

void Router::OnTargetSendEnd(RoutedCall& call, SendReport& report, Time now) {
  const ShardKey key = call.spill_shard_.value_or(call.shard_);
  const bool ran = report.sent_ && report.result_ != SendResult::kRefused;
  // Set before RunActions(), in which the dispatcher may refuse the call.
  const bool earlier_may_have_run = call.may_have_run_;
  call.may_have_run_ = earlier_may_have_run || ran;
  call.phase_ = Phase::kQueued;
  bool finished = false;
  if (report.returned_retry_budget_) {
    dispatch::OnRetryBudgetReturned(*GetOrCreateShard(key, now).dispatcher_, report.call_,
                                    *report.returned_retry_budget_);
  }
  const auto actions =
      dispatch::OnSendFinished(*GetOrCreateShard(key, now).dispatcher_, report.call_, call.target_,
                               report.result_, report.load_report_, now, random_, &finished);
  if (finished || report.delivered_) {
    call.may_have_run_ = earlier_may_have_run;
    FinishWithSendReport(call, report, now);
  }
  RunActions(key, actions, now);
}

void Router::OnForwardEnd(RoutedCall& call, SendReport& report, Time now) {
  if (call.purpose_ == SendPurpose::kSpill) UpdateRemoteLoad(call, report.shard_load_, now);
  const bool refused =
      report.result_ == SendResult::kRefused || report.result_ == SendResult::kUnreachable;
  if (refused && !report.delivered_) {
    OnHopRefused(call, report, now);
    return;
  }
  const CallHead& head = *call.arrival_.head_;
  if (report.result_ == SendResult::kLost && call.purpose_ == SendPurpose::kDispatch &&
      head.idempotent_ && call.retry_budget_ > 0 && !call.body_consumed_ && !report.delivered_) {
    call.may_have_run_ = true;
    --call.retry_budget_;
    PlaceLocally(call, {head.service_, head.shard_zone_}, false, now);
    return;
  }
  FinishWithSendReport(call, report, now);
}

void Router::OnHopRefused(RoutedCall& call, SendReport& report, Time now) {
  const CallHead& head = *call.arrival_.head_;
  const bool unreachable = report.result_ == SendResult::kUnreachable;
  switch (call.purpose_) {
    case SendPurpose::kHome:
      if (unreachable) {
        FinishWithError(call, ErrorResponseFor(BeginResult::kOtherHome), now);
        return;
      }
      break;
    case SendPurpose::kDispatch: {
      const ResultCode code = report.response_.head_.code_;
      if (!call.body_consumed_ &&
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
      RunActions(key,
                 dispatch::OnForwardRefused(*GetOrCreateShard(key, now).dispatcher_, report.call_,
                                            call.spill_zone_, now, random_),
                 now);
      return;
    }
  }
  FinishWithSendReport(call, report, now);
}

void Router::FinishWithSendReport(RoutedCall& call, SendReport& report, Time now) {
  const bool whole = report.response_.head_.status_ != 0;
  const bool forwarded = call.purpose_ != SendPurpose::kTarget;
  const bool passes = whole && (forwarded || report.result_ == SendResult::kAnswered ||
                                report.result_ == SendResult::kFailed);
  const bool not_run = report.response_.head_.outcome_ == CallOutcome::kNotRun;
  if (!report.delivered_ && (!passes || (not_run && call.may_have_run_))) {
    FinishWithError(call, ErrorResponseFor(report.result_, report.sent_), now);
    return;
  }
  if (call.registered_) {
    RecordOutcome(call, report.recorded_outcome_.value_or(
                            ToFinishedCall(ErrorResponseFor(report.result_, true))));
  }
  const CallHandle handle = report.call_;
  if (!report.delivered_) delegate_.DeliverResponse(handle, std::move(report.response_));
  EraseCall(handle, now);
}

void Router::FinishWithError(RoutedCall& call, ErrorResponse error, Time now) {
  if (call.may_have_run_ && error.outcome_ == CallOutcome::kNotRun) {
    // An earlier send may have been executed, so "not run" would be wrong.
    error.outcome_ = CallOutcome::kUnknown;
    error.status_ = 504;
  }
  if (call.registered_) RecordOutcome(call, ToFinishedCall(error));
  const auto shard = shards_.find(call.shard_);
  if (CameFromOtherZone(*call.arrival_.head_) && shard != shards_.end()) {
    error.shard_load_ = FormatShardLoad(dispatch::Summarize(*shard->second.dispatcher_, now));
  }
  const CallHandle handle = call.arrival_.handle_;
  delegate_.DeliverError(handle, std::move(error));
  EraseCall(handle, now);
}

void Router::EraseCall(CallHandle handle, Time now) {
  const auto found = calls_.find(handle);
  if (found == calls_.end()) return;
  const RoutedCall call = std::move(found->second);
  calls_.erase(found);
  const bool was_forwarded = call.spill_shard_.has_value() || call.purpose_ == SendPurpose::kSpill;
  if (!call.known_to_dispatcher_ || !was_forwarded) return;
  // The first dispatcher counts the call as forwarded until it ends.
  RunActions(call.shard_,
             dispatch::OnForwardFinished(*GetOrCreateShard(call.shard_, now).dispatcher_, handle,
                                         call.spill_zone_, now, random_),
             now);
}

}  // namespace monsoonshelf::entry
