#include "gateway/internal/call.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "base/clock.h"
#include "gateway/admission.h"
#include "gateway/internal/call_attempt.h"
#include "logging/logging.h"

namespace monsoonshelf::gateway {

namespace {

// Status with which a target responds when the deadline of the request has passed.
constexpr int kGatewayTimeoutStatus = 504;
std::string FormatMilliseconds(Duration duration) {
  std::array<char, 32> text{};
  const int length = std::snprintf(text.data(), text.size(), "%.1f", ToMilliseconds(duration));
  return {text.data(), static_cast<std::size_t>(length)};
}

std::string FormatSeconds(Duration duration) {
  std::array<char, 32> text{};
  const int length = std::snprintf(text.data(), text.size(), "%.2f",
                                   std::chrono::duration<double>(duration).count());
  return {text.data(), static_cast<std::size_t>(length)};
}

}  // namespace

Call::Call(GatewayState& state, ICallOwner& owner, http::ServerExchangePtr exchange,
           http::Request request)
    : state_(state),
      owner_(owner),
      exchange_(std::move(exchange)),
      request_(std::move(request)),
      timer_(g_main_context_get_thread_default(), [this] { OnTimer(); }) {}

Call::~Call() = default;

void Call::Start(Time now) {
  info_ = state_.format_.ReadCallInfo(request_.head_);
  if (info_.id_.empty() || info_.invalid_) {
    return RespondWithError(400, EndReason::kInvalid, Duration(0), now);
  }
  configuration_ = state_.configuration_;
  if (configuration_ == nullptr || !state_.has_target_list_ ||
      (state_.rollout_gate_ != nullptr && !state_.rollout_gate_->IsReady(now))) {
    return RespondWithError(503, EndReason::kNotReady, kNotReadyRetryDelay, now);
  }
  if (state_.stopping_) return RespondWithError(503, EndReason::kStopping, Duration(0), now);
  const std::string* host = http::FindHeader(request_.head_.headers_, "Host");
  route_ = FindRoute(configuration_->configuration_, configuration_->routes_,
                     host != nullptr ? *host : "", request_.head_.target_);
  if (route_ == nullptr) return RespondWithError(404, EndReason::kNoRoute, Duration(0), now);
  const KeyAccess access = CheckKey(now);
  if (access.decision_ != AccessDecision::kAllowed) return EndUnauthorized(access.decision_, now);
  priority_ = route_->priority_;
  if (access.team_ != nullptr) {
    team_ = access.team_->name_;
    priority_ = access.team_->priority_.value_or(priority_);
  }
  deadline_ = request_.received_ +
              std::min(route_->timeout_, info_.time_left_.value_or(Duration::max() / 2));
  if (now >= deadline_) return RespondWithError(503, EndReason::kTooLate, Duration(0), now);
  if (deadline_ > state_.calls_end_at_ &&
      (!IsIdempotent(route_->kind_) || now > state_.accepts_long_until_)) {
    return RespondWithError(503, EndReason::kStopping, Duration(0), now);
  }
  if (IsIdempotent(route_->kind_)) exchange_->AllowOverlap();
  service_ = SelectService(state_.traffic_split_, *route_);
  CreditRetryBudget(Service().retry_budget_, state_.settings_.bounds_, state_.fleet_size_, now);
  if (state_.settings_.max_hedge_share_ && IsIdempotent(route_->kind_)) {
    EarnHedge(Service().hedge_budget_, *state_.settings_.max_hedge_share_);
  }
  if (access.team_ == nullptr || state_.quota_gate_ == nullptr) {
    return StartSelection(SendPurpose::kFirst, now);
  }
  const QuotaVerdict verdict = state_.quota_gate_->Admit(*access.team_, *this, now);
  if (verdict.action_ != QuotaAction::kWait) return OnQuotaDecided(verdict, now);
  waits_for_quota_ = true;
  SetTimer();
}

void Call::OnQuotaDecided(const QuotaVerdict& verdict, Time now) {
  const auto self = shared_from_this();
  waits_for_quota_ = false;
  switch (verdict.action_) {
    case QuotaAction::kDeny:
      return RespondWithError(429, EndReason::kOverQuota, verdict.retry_after_, now);
    case QuotaAction::kUnknown:
      return RespondWithError(503, EndReason::kQuotaUnknown, verdict.retry_after_, now);
    case QuotaAction::kWait:
    case QuotaAction::kAdmit:
      break;
  }
  charged_team_ = team_;
  charged_at_ = now;
  StartSelection(SendPurpose::kFirst, now);
}

KeyAccess Call::CheckKey(Time now) const {
  const auto& teams = state_.configuration_->configuration_.teams_;
  if (!teams) return {AccessDecision::kAllowed, nullptr};
  return CheckAccess(*teams, info_.credential_, route_->allows_anonymous_,
                     HasKeyProof(state_, now));
}

TargetCredentials Call::CredentialsForTarget() const {
  const bool has_teams = configuration_->configuration_.teams_.has_value() ||
                         state_.configuration_->configuration_.teams_.has_value();
  return {has_teams, team_};
}

void Call::EndUnauthorized(AccessDecision decision, Time now) {
  if (selecting_) EndSelection();
  if (!attempts_.empty()) return SetTimer();
  if (error_response_ != nullptr) return RelayResponse(*error_response_);
  if (possibly_executed_sends_ > 0) {
    return RespondWithError(502, EndReason::kTargetFailed, Duration(0), now);
  }
  if (decision == AccessDecision::kUnproven) {
    return RespondWithError(503, EndReason::kNoKeyProof, kNotReadyRetryDelay, now);
  }
  RespondWithError(401, EndReason::kUnauthorized, Duration(0), now);
}

Duration Call::ObjectiveLeft(Time now) const {
  if (route_->latency_objective_.count() == 0) return deadline_ - now;
  return request_.received_ + route_->latency_objective_ - now;
}

bool Call::CanRetry(Time now) {
  if (send_count_ >= route_->max_attempts_ || now >= deadline_) return false;
  if (!HasRetryToken(Service().retry_budget_, state_.settings_.bounds_, state_.fleet_size_, now)) {
    return false;
  }
  return IsIdempotent(route_->kind_) || possibly_executed_sends_ == 0;
}

void Call::SetTimer() {
  if (is_finished_) return;
  Time next = deadline_;
  if (selecting_) next = std::min(next, round_end_);
  next = std::min(next, hedge_at_);
  for (const auto& attempt : attempts_) next = std::min(next, attempt->give_up_at_);
  timer_.Set(next);
}

void Call::OnTimer() {
  const auto self = shared_from_this();
  if (is_finished_) return;
  const Time now = Now();
  if (now >= deadline_) return OnDeadline(now);
  EndUnusableResponses(now);
  if (is_finished_) return;
  if (selecting_ && now >= round_end_) {
    if (waiting_) {
      OnWaitEnded(now);
    } else {
      EvaluateRound(now);
    }
  } else if (now >= hedge_at_) {
    OnHedgeDue(now);
  }
  if (!is_finished_) SetTimer();
}

void Call::EndUnusableResponses(Time now) {
  const auto attempts = attempts_;
  for (const auto& attempt : attempts) {
    if (is_finished_ || now < attempt->give_up_at_) continue;
    attempt->connection_->Cancel();
    OnAttemptResponse(*attempt);
  }
}

void Call::OnDeadline(Time now) {
  if (streaming_) return OnStreamDeadline(now);
  for (const auto& attempt : attempts_) {
    state_.metrics_.CountSend(service_, "timeout");
    CountTargetTimeout(*attempt->target_, now - attempt->sent_at_, now);
  }
  const bool possibly_executed = possibly_executed_sends_ > 0;
  CancelAttempts();
  EndSelection();
  if (error_response_ != nullptr) return RelayResponse(*error_response_);
  if (possibly_executed) return RespondWithError(504, EndReason::kTimedOut, Duration(0), now);
  RespondWithError(503, EndReason::kTooLate, Duration(0), now);
}

// A download may take longer than its deadline, and the silence of a target must not end a response
// before the deadline. After it, a response without any progress would keep the request for ever,
// and so would an endless one the responses behind it.
void Call::OnStreamDeadline(Time now) {
  Attempt& attempt = *attempts_.front();
  const bool has_turn = exchange_->IsFirst();
  if (has_turn && exchange_->HasFollowers()) {
    CancelAttempts();
    return BreakOffResponse(EndReason::kTimedOut, now);
  }
  const bool reads_target = has_turn ? exchange_->UnsentBytes() == 0 : !attempt.paused_;
  if (reads_target) {
    const Time stalls_at = attempt.last_progress_at_ + state_.settings_.target_stall_timeout_;
    if (now < stalls_at) {
      deadline_ = stalls_at;
      return SetTimer();
    }
    attempt.connection_->Cancel();
    return OnAttemptFailed(attempt, "stalled");
  }
  const auto position = std::make_pair(attempt.received_bytes_, exchange_->UnsentBytes());
  if (position != last_stream_position_) {
    last_stream_position_ = position;
    deadline_ = now + state_.settings_.stream_stall_timeout_;
    return SetTimer();
  }
  if (!has_turn) {
    // The response waits for the ones before it, not for its target.
    deadline_ = now + state_.settings_.stream_stall_timeout_;
    return SetTimer();
  }
  // The caller does not read.
  CancelAttempts();
  exchange_->CloseConnection();
  Finish(0, EndReason::kTimedOut, now);
}

void Call::BreakOffResponse(EndReason reason, Time now) {
  exchange_->Abort();
  Finish(0, reason, now);
}

void Call::CountTargetTimeout(TargetState& target, Duration duration, Time now) {
  // If the deadline was too short from the start, the timeout is not a failure of the target.
  if (duration < MakePlacementInputs(now).service_time_ * 3) return;
  if (!RecordTimeoutAndCheckTargetFault(state_.route_timeout_stats_[route_->name_])) return;
  RecordFailure(target.health_, now);
  state_.on_target_failed_(target.record_.id_);
}

void Call::OnAttemptResponse(Attempt& attempt) {
  const Time now = Now();
  const Duration duration = now - attempt.sent_at_;
  time_at_target_ += duration;
  const int status = attempt.head_.status_;
  if (attempt.streamed_) {
    RecordSuccess(attempt.target_->health_, now);
    RecordForRollout(attempt, false, now);
    RecordHedgeResult(attempt, now);
    state_.metrics_.CountSend(service_, "answered");
    RemoveAttempt(attempt);
    CancelAttempts();
    if (exchange_ == nullptr) return Finish(status, EndReason::kCallerGone, now);
    exchange_->EndChunkedResponse();
    return Finish(status, EndReason::kAnswered, now);
  }
  if (attempt.IsForwardable()) {
    RecordSuccess(attempt.target_->health_, now);
    RecordForRollout(attempt, false, now);
    RecordInTime(state_.route_timeout_stats_[route_->name_]);
    RecordHedgeResult(attempt, now);
    UpdateServiceTime(Service().service_times_[static_cast<std::size_t>(route_->kind_)], duration,
                      attempt.slowness_, attempt.nearly_full_);
    state_.metrics_.CountSend(service_, "answered");
    return RelayResponse(attempt);
  }
  if (attempt.response_.misdirected_) attempt.target_->misdirected_ = true;
  if (attempt.IsNotExecuted()) {
    --possibly_executed_sends_;
    return OnAttemptFailed(attempt, attempt.response_.misdirected_ ? "misdirected" : "refused");
  }
  if (status >= 300 && status < 500 && attempt.response_.is_signed_) {
    RecordForRollout(attempt, false, now);
    return RelayResponse(attempt);
  }
  if (status >= 500 && attempt.response_.is_signed_ && !attempt.response_.is_encoded_) {
    for (const auto& item : attempts_) {
      if (item.get() == &attempt) error_response_ = item;
    }
  }
  OnAttemptFailed(attempt, status >= 500 ? "error" : "invalid");
}

void Call::OnAttemptFailed(Attempt& attempt, std::string_view result) {
  const Time now = Now();
  state_.metrics_.CountSend(service_, result);
  last_result_ = result;
  if (result != "refused" && result != "misdirected" && result != "not_sent") {
    RecordForRollout(attempt, true, now);
  }
  logging::LogEvent(logging::LogLevel::kWarning, "send_failed",
                    {{"call", info_.id_},
                     {"target", attempt.target_->record_.id_},
                     {"result", std::string(result)},
                     {"status", std::to_string(attempt.head_.status_)},
                     {"after_ms", FormatMilliseconds(now - attempt.sent_at_)},
                     {"kind", std::string(NameOf(kRequestKindNames, route_->kind_))}});
  if (attempt.head_.status_ == kGatewayTimeoutStatus && result == "error") {
    CountTargetTimeout(*attempt.target_, now - attempt.sent_at_, now);
  } else if (result == "not_sent") {
    RecordProbeFailure(attempt.target_->health_, now);
  } else if (result != "misdirected") {
    RecordFailure(attempt.target_->health_, now);
    state_.on_target_failed_(attempt.target_->record_.id_);
  }
  const bool streamed = attempt.streamed_;
  RemoveAttempt(attempt);
  if (exchange_ == nullptr) return Finish(0, EndReason::kCallerGone, now);
  if (streamed) {
    if (!exchange_->Retract()) {
      CancelAttempts();
      return BreakOffResponse(EndReason::kTargetFailed, now);
    }
    streaming_ = false;
  }
  if (!attempts_.empty() || selecting_) return;  // Another attempt is in progress.
  RetryOrFail(now);
}

void Call::RetryOrFail(Time now) {
  // A search that found no target must not be repeated without a new attempt.
  if (sends_at_last_retry_search_ != send_count_ && CanRetry(now)) {
    sends_at_last_retry_search_ = send_count_;
    return StartSelection(SendPurpose::kRetry, now);
  }
  if (error_response_ != nullptr) return RelayResponse(*error_response_);
  if (possibly_executed_sends_ == 0) {
    const Duration delay = JitterRetryDelay(MakePlacementInputs(now).service_time_,
                                            Service().recent_requests_, state_.random_);
    return RespondWithError(503, EndReason::kTargetsRefused,
                            std::max(delay, TimeUntilPauseEnds(state_, Service(), now)), now);
  }
  RespondWithError(502, EndReason::kTargetFailed, Duration(0), now);
}

void Call::RemoveAttempt(Attempt& attempt) {
  const auto found = std::find_if(attempts_.begin(), attempts_.end(),
                                  [&attempt](const auto& item) { return item.get() == &attempt; });
  if (found == attempts_.end()) return;
  const TargetPtr target = attempt.target_;
  --target->in_flight_;
  state_.pool_.Release(attempt.connection_);
  finished_attempts_.push_back(*found);
  attempts_.erase(found);
  WakeQueuedRequest(state_.services_[target->record_.service_], target, Now());
}

void Call::RecordForRollout(const Attempt& attempt, bool is_failure, Time now) {
  // Retries and hedges are left out, because they reach the old version only.
  const bool is_first = send_count_ > 0 && attempt.sent_at_ == first_sent_at_ && !attempt.is_hedge_;
  if (state_.rollout_gate_ == nullptr || !is_first) return;
  // Targets of the new version have started lately, and a cold target is slow with any version.
  if (!is_failure && IsCold(attempt.target_->cold_, attempt.sent_at_)) return;
  // The exposed requests go to few targets, which are full more often.
  const double factor = attempt.nearly_full_ ? MakePlacementInputs(now).busy_factor_ : 1;
  state_.rollout_gate_->Record(
      attempt.target_->record_, route_->name_, is_failure,
      std::chrono::duration_cast<Duration>((now - attempt.sent_at_) / factor));
}

void Call::CancelAttempts(const Attempt* kept) {
  // Closing the connection cancels the request at the target.
  std::erase_if(attempts_, [this, kept](const std::shared_ptr<Attempt>& attempt) {
    if (attempt.get() == kept) return false;
    // A slow response that is not waited for has taken at least this time.
    RecordForRollout(*attempt, false, Now());
    --attempt->target_->in_flight_;
    attempt->connection_->Cancel();
    state_.pool_.Release(attempt->connection_);
    finished_attempts_.push_back(attempt);
    return true;
  });
}

void Call::BeginStreaming(Attempt& attempt) {
  // The caller gets one response only, so no other attempt may continue or start.
  streaming_ = true;
  attempt.streamed_ = true;
  hedge_at_ = Time::max();
  if (selecting_) EndSelection();
  CancelAttempts(&attempt);
  exchange_->BeginChunkedResponse(attempt.head_.status_,
                                  state_.format_.HeadersForCaller(attempt.head_));
  exchange_->WriteChunk(attempt.body_);
  std::string().swap(attempt.body_);
  if (exchange_->UnsentBytes() > detail::kMaxUnsentBytes) attempt.PauseReading(true);
  SetTimer();
}

void Call::RelayResponse(Attempt& attempt) {
  const Time now = Now();
  RemoveAttempt(attempt);
  CancelAttempts();
  if (selecting_) EndSelection();
  if (exchange_ == nullptr) return Finish(attempt.head_.status_, EndReason::kCallerGone, now);
  exchange_->Respond(attempt.head_.status_, state_.format_.HeadersForCaller(attempt.head_),
                     attempt.body_);
  Finish(attempt.head_.status_, EndReason::kAnswered, now);
}

void Call::RespondWithError(int status, EndReason reason, Duration retry_after, Time now) {
  if (exchange_ == nullptr) return Finish(0, EndReason::kCallerGone, now);
  http::Headers headers = state_.format_.HeadersForLocalResponse(info_.id_);
  headers.emplace_back("Content-Type", "text/plain");
  if (status == 503 || status == 429)
    headers.emplace_back("Retry-After", FormatSeconds(retry_after));
  if (status == 401) headers.emplace_back("WWW-Authenticate", "Bearer");
  retry_after_ = retry_after;
  exchange_->Respond(status, headers, NameOf(kEndReasonNames, reason));
  Finish(status, reason, now);
}

void Call::Finish(int status, EndReason reason, Time now) {
  if (is_finished_) return;
  is_finished_ = true;
  timer_.Clear();
  if (waits_for_quota_) state_.quota_gate_->Cancel(*this);
  if (!charged_team_.empty() && possibly_executed_sends_ == 0) {
    state_.quota_gate_->Refund(charged_team_, charged_at_, now);
  }
  // The call itself is destroyed later.
  std::string().swap(request_.body_);
  request_.charge_.reset();
  if (selecting_) EndSelection();
  const Duration total = now - request_.received_;
  const Duration waiting = (first_sent_at_ == Time{} ? now : first_sent_at_) - request_.received_;
  const std::string_view outcome = status == 0 ? "none" : status < 400 ? "served" : "failed";
  state_.metrics_.CountRequest(service_, outcome, NameOf(kEndReasonNames, reason));
  state_.metrics_.ObserveDurations(service_, total, waiting, time_at_target_);
  if (reason == EndReason::kAnswered) RecordAnswered(Service().recent_requests_, now);
  if (reason == EndReason::kOverloaded) {
    RecordRefused(Service().recent_requests_, now);
    RecordRefused(Service().recent_by_priority_[priority_], now);
  }
  LogFinished(status, reason, waiting, total, now);
  owner_.OnCallFinished(*this);
}

void Call::LogFinished(int status, EndReason reason, Duration waiting, Duration total, Time now) {
  const bool served = reason == EndReason::kAnswered && status < 400;
  const logging::LogLevel level = served ? logging::LogLevel::kInfo : logging::LogLevel::kWarning;
  KeyValues fields = {
      {"call", info_.id_},
      {"status", std::to_string(status)},
      {"reason", std::string(NameOf(kEndReasonNames, reason))},
      {"route", route_ != nullptr ? route_->name_ : ""},
      {"service", service_},
      {"team", team_},
      {"config", configuration_ ? std::to_string(configuration_->configuration_.version_) : ""},
      {"target", attempted_targets_.empty() ? "" : attempted_targets_.back()},
      {"sends", std::to_string(send_count_)},
      {"load", chosen_target_load_},
      {"expected_ms", FormatMilliseconds(expected_response_time_)},
      {"probes", std::to_string(probed_targets_.size())},
      {"wait_ms", FormatMilliseconds(waiting)},
      {"total_ms", FormatMilliseconds(total)},
      {"retry_after_ms", status == 503 || status == 429 ? FormatMilliseconds(retry_after_) : ""},
      {"caller_timeout_ms", info_.time_left_ ? FormatMilliseconds(*info_.time_left_) : ""},
      {"objective_ms", route_ != nullptr ? FormatMilliseconds(route_->latency_objective_) : ""},
      {"left_ms", deadline_ == Time::max() ? "" : FormatMilliseconds(deadline_ - now)}};
  if (exchange_ == nullptr) return logging::LogEvent(level, "request_done", fields);
  exchange_->NotifyTurn([level, fields = std::move(fields), &metrics = state_.metrics_,
                         service = service_](std::optional<Duration> waited) mutable {
    if (waited) metrics.ObserveResponseOrderWait(service, *waited);
    fields.emplace_back("turn_wait_ms", waited ? FormatMilliseconds(*waited) : "");
    logging::LogEvent(level, "request_done", fields);
  });
}

void Call::OnCallerDisconnected() {
  if (is_finished_) return;
  const Time now = Now();
  if (selecting_) EndSelection();
  hedge_at_ = Time::max();
  exchange_.reset();
  if (!attempts_.empty() && !IsIdempotent(route_->kind_)) {
    // Nothing is sent again for a caller that has left.
    std::string().swap(request_.body_);
    request_.charge_.reset();
    // A non-idempotent request is not cancelled: a caller that returns finds it either executed or
    // not executed, but never interrupted. Nobody slows down its response any more.
    streaming_ = false;
    for (const auto& attempt : attempts_) attempt->PauseReading(false);
    return SetTimer();
  }
  CancelAttempts();
  Finish(0, EndReason::kCallerGone, now);
}

void Call::OnForcedStop(Time now) {
  if (is_finished_) return;
  const bool possibly_executed = possibly_executed_sends_ > 0;
  CancelAttempts();
  EndSelection();
  if (streaming_ && exchange_ != nullptr && !exchange_->Retract()) {
    return BreakOffResponse(EndReason::kStopping, now);
  }
  if (error_response_ != nullptr) return RelayResponse(*error_response_);
  RespondWithError(possibly_executed ? 504 : 503, EndReason::kStopping, Duration(0), now);
}

void Call::OnResponseFlushed() {
  if (!streaming_) return;
  for (const auto& attempt : attempts_) attempt->PauseReading(false);
}

}  // namespace monsoonshelf::gateway
