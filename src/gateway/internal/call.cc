#include "gateway/internal/call.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "base/clock.h"
#include "gateway/admission.h"
#include "logging/logging.h"

namespace monsoonshelf::gateway {

namespace {

// Targets that are probed at once. Three out of a few targets nearly always include an idle one,
// and each probe costs the host about a tenth of a request.
constexpr std::size_t kProbesPerRound = 3;
// A target answers a probe in 1 to 6 ms. A target that takes longer than these times is considered
// too busy.
constexpr Duration kLocalZoneRoundTimeout = std::chrono::milliseconds(30);
constexpr Duration kCrossZoneRoundTimeout = std::chrono::milliseconds(60);
// Time that the other targets of a round have after the first probe response.
constexpr Duration kLocalZoneProbeGrace = std::chrono::milliseconds(4);
constexpr Duration kCrossZoneProbeGrace = std::chrono::milliseconds(20);
constexpr Duration kCrossZoneDelay = std::chrono::milliseconds(8);
// Probe rounds without a response after which a request is rejected.
constexpr int kMaxProbeRounds = 4;
// Response bodies up to this size are forwarded when they are complete, so that the request can be
// retried if the response breaks off. Larger ones are streamed.
constexpr std::size_t kMaxBodyBuffer = std::size_t{1} << 20;
// Maximum size of the response with an error status that is kept in case all attempts fail, in
// bytes, and of other responses that may be forwarded only when they are complete (3xx, 4xx).
constexpr std::uint64_t kMaxCompleteResponseBytes = kMaxBodyBuffer;
// Maximum size of a response that cannot be forwarded, in bytes. It is read to its end so that the
// connection can be reused.
constexpr std::uint64_t kMaxUnusableResponseBytes = std::uint64_t{128} * 1024;
// Time that the rest of such a response has after its head. A target sends its short responses at
// once.
constexpr Duration kUnusableResponseGrace = std::chrono::milliseconds(50);
// Responses after which the service time is considered known.
constexpr int kMinServiceTimeSamples = 5;
// Status with which a target responds when the deadline of the request has passed.
constexpr int kGatewayTimeoutStatus = 504;
// Unsent bytes of a streamed response above which reading from the target is paused.
constexpr std::size_t kMaxUnsentBytes = std::size_t{512} * 1024;

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

// Formats the load for the log as `running/slots+waiting@slowness%`.
std::string FormatLoad(const std::optional<TargetLoad>& load) {
  if (!load) return "unknown";
  return std::to_string(load->running_) + "/" + std::to_string(load->slots_) + "+" +
         std::to_string(load->waiting_) + "@" + std::to_string(load->slowness_percent_) + "%";
}

bool Contains(const std::vector<TargetId>& ids, const TargetId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

// One request to one target.
class Call::Attempt : public http::IExchangeHandler {
 public:
  Attempt(Call& call, TargetPtr target, http::ClientConnectionPtr connection, Time sent,
          double slowness, bool nearly_full)
      : call_(call),
        target_(std::move(target)),
        connection_(std::move(connection)),
        sent_at_(sent),
        slowness_(slowness),
        nearly_full_(nearly_full) {}

  void Send(Duration time_left) {
    const http::RequestHead& head = call_.request_.head_;
    connection_->SendRequest(call_.state_.format_.FormatTargetRequest(
                                 head, call_.request_.body_, target_->record_.id_, time_left),
                             head.method_ == "HEAD", *this);
  }

  bool OnHead(http::ResponseHead& head) override {
    TargetResponseInfo response = call_.state_.format_.ReadTargetResponse(head);
    // A late response to a probe has no identifier.
    if (response.call_id_ != call_.info_.id_) {
      logging::LogEvent(logging::LogLevel::kWarning, "extra_answer",
                        {{"call", call_.info_.id_},
                         {"target", target_->record_.id_},
                         {"status", std::to_string(head.status_)},
                         {"belongs_to", response.call_id_.value_or("")}});
      return false;
    }
    if (!response.misdirected_) {
      ApplyTargetNotice(call_.state_, *target_, response.notice_, "response", Now());
    }
    response_ = std::move(response);
    head_ = head;
    if (!IsForwardable()) {
      connection_->LimitResponse(IsUsable() ? kMaxCompleteResponseBytes
                                            : kMaxUnusableResponseBytes);
    }
    if (!IsUsable() && (IsIdempotent(call_.route_->kind_) || !IsNotExecuted())) {
      give_up_at_ = Now() + kUnusableResponseGrace;
      call_.SetTimer();
    }
    return true;
  }

  void OnBody(std::string& body) override {
    received_bytes_ += body.size();
    if (call_.exchange_ == nullptr) {
      // The caller has left, and the request goes on only because it is not idempotent.
      body_ = {};
      return body.clear();
    }
    if (streamed_) {
      call_.exchange_->WriteChunk(body);
      body.clear();
      if (call_.exchange_->UnsentBytes() > kMaxUnsentBytes) PauseReading(true);
      return;
    }
    if (IsUsable()) body_.append(body);
    body.clear();
    if (body_.size() <= kMaxBodyBuffer || !IsForwardable()) return;
    call_.BeginStreaming(*this);
  }

  void OnDone() override {
    const auto self = call_.shared_from_this();
    complete_ = true;
    call_.OnAttemptResponse(*this);
  }

  void OnFailed(http::Failure failure, bool sent) override {
    const auto self = call_.shared_from_this();
    if (!sent) --call_.possibly_executed_sends_;
    call_.OnAttemptFailed(*this, sent ? NameOf(http::kFailureNames, failure) : "not_sent");
  }

  void PauseReading(bool paused) {
    paused_ = paused;
    connection_->PauseReading(paused);
  }

  // Returns whether the response is a success that may be forwarded unchanged.
  bool IsForwardable() const {
    return head_.status_ >= 200 && head_.status_ < 300 && response_.is_signed_ &&
           !response_.is_encoded_ && !response_.not_run_;
  }
  // Returns whether the target states that it did not execute the request.
  bool IsNotExecuted() const { return response_.not_run_ || response_.misdirected_; }
  // Returns whether the response may be forwarded when it is complete, at least if all other
  // attempts fail.
  bool IsUsable() const {
    if (!response_.is_signed_ || IsNotExecuted()) return false;
    return !response_.is_encoded_ || (head_.status_ >= 300 && head_.status_ < 500);
  }

  Call& call_;
  TargetPtr target_;
  http::ClientConnectionPtr connection_;
  Time sent_at_;
  double slowness_;
  bool nearly_full_;  // The target, with this request.
  http::ResponseHead head_;
  TargetResponseInfo response_;
  std::string body_;
  std::uint64_t received_bytes_ = 0;  // Of the body.
  // When the attempt fails although its response is not complete, because it is not usable.
  Time give_up_at_ = Time::max();
  bool complete_ = false;
  bool streamed_ = false;
  bool paused_ = false;  // Reading waits for the caller, or for the turn of the response.
};

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
  if (configuration_ == nullptr || !state_.has_target_list_) {
    return RespondWithError(503, EndReason::kNotReady, kNotReadyRetryDelay, now);
  }
  if (state_.stopping_) return RespondWithError(503, EndReason::kStopping, Duration(0), now);
  const std::string* host = http::FindHeader(request_.head_.headers_, "Host");
  route_ = FindRoute(configuration_->configuration_, configuration_->routes_,
                     host != nullptr ? *host : "", request_.head_.target_);
  if (route_ == nullptr) return RespondWithError(404, EndReason::kNoRoute, Duration(0), now);
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
  StartSelection(SendPurpose::kFirst, now);
}

Candidate Call::MakeCandidate(const TargetState& target, std::size_t index, Time now) const {
  Candidate candidate;
  candidate.index_ = index;
  candidate.same_zone_ = target.record_.zone_ == state_.settings_.zone_;
  candidate.ejected_ = IsEjected(target.health_, now);
  candidate.unresponsive_ = IsUnresponsive(target.health_, now);
  candidate.reports_unhealthy_ = target.health_.reports_unhealthy_;
  candidate.local_in_flight_ = target.in_flight_;
  candidate.slots_ = target.record_.slots_;
  candidate.cold_ = IsCold(target.cold_, now);
  return candidate;
}

PlacementInputs Call::MakePlacementInputs(Time now) const {
  PlacementInputs inputs;
  const ServiceTimeEstimate& service_time =
      state_.services_.at(service_).service_times_[static_cast<std::size_t>(route_->kind_)];
  inputs.service_time_ = service_time.mean_;
  inputs.service_time_known_ = service_time.samples_ >= kMinServiceTimeSamples;
  inputs.cross_zone_delay_ = kCrossZoneDelay;
  inputs.large_response_ = route_->kind_ == RequestKind::kDownload;
  inputs.busy_factor_ = BusyFactor(service_time.busy_slowdown_);
  inputs.objective_left_ = ObjectiveLeft(now);
  return inputs;
}

ServiceLoad Call::CurrentServiceLoad(Time now) {
  return {static_cast<int>(Service().queued_requests_.size()) - (queued_ ? 1 : 0),
          AnsweredPerSecond(Service().recent_requests_, now)};
}

void Call::StartSelection(SendPurpose purpose, Time now) {
  selecting_ = true;
  purpose_ = purpose;
  searches_ = 0;
  // The requests that wait have found no target. A new one waits behind them, and is rejected
  // without a search if they already use up its time.
  const ServiceLoad load = CurrentServiceLoad(now);
  if (purpose == SendPurpose::kFirst && load.queued_ > 0) {
    const PlacementInputs inputs = MakePlacementInputs(now);
    if (load.queued_ < MaxQueuedRequests(load, inputs.service_time_, inputs.objective_left_)) {
      return WaitForTarget(now);
    }
    return EndOverloaded({AdmissionAction::kReject, inputs.service_time_}, now);
  }
  StartSearch(now);
}

void Call::StartSearch(Time now) {
  ++searches_;
  round_ = 0;
  probed_targets_.clear();
  StartProbeRound(now);
}

void Call::WaitForTarget(Time now) {
  if (!queued_) Service().queued_requests_.push_back(this);
  queued_ = true;
  waiting_ = true;
  freed_target_.clear();
  ReleaseProbes();
  round_end_ = now + kQueuePollInterval;
  SetTimer();
}

void Call::SearchSoon(const TargetPtr& freed, Time now) {
  if (!waiting_) return;
  if (freed != nullptr) freed_target_ = freed->record_.id_;
  // The timer ends the wait, so that the calls do not nest.
  round_end_ = now;
  SetTimer();
}

void Call::OnWaitEnded(Time now) {
  if (Service().queued_requests_.front() == this) {
    waiting_ = false;
    return StartSearch(now);
  }
  const PlacementInputs inputs = MakePlacementInputs(now);
  if (inputs.objective_left_ < inputs.service_time_) {
    return EndOverloaded({AdmissionAction::kReject, inputs.service_time_}, now);
  }
  round_end_ = now + kQueuePollInterval;
  SetTimer();
}

// A request that waits looks for targets in other zones less often than in its own.
bool Call::MayWidenSearch() const {
  constexpr int kSearchesPerWideOne = 3;
  return searches_ % kSearchesPerWideOne == 1;
}

void Call::StartProbeRound(Time now) {
  std::vector<TargetPtr> eligible;
  std::vector<Candidate> local;
  std::vector<Candidate> remote;
  std::vector<std::uint64_t> affinities;
  for (const auto& [id, target] : Service().targets_) {
    if (!CanSendNow(state_, *target, now)) continue;
    const bool same_zone = target->record_.zone_ == state_.settings_.zone_;
    if (same_zone) affinities.push_back(target->affinity_);
    if (Contains(probed_targets_, id) || Contains(attempted_targets_, id)) continue;
    (same_zone ? local : remote).push_back(MakeCandidate(*target, eligible.size(), now));
    eligible.push_back(target);
  }
  const std::uint64_t preferred = MaxPreferredAffinity(std::move(affinities));
  for (std::vector<Candidate>* candidates : {&local, &remote}) {
    for (Candidate& candidate : *candidates) {
      candidate.preferred_ = eligible[candidate.index_]->affinity_ <= preferred;
    }
  }
  std::vector<std::size_t> selected = SelectProbeTargets(local, kProbesPerRound, state_.random_);
  const auto freed = std::find_if(eligible.begin(), eligible.end(), [this](const auto& target) {
    return target->record_.id_ == freed_target_;
  });
  if (freed != eligible.end()) {
    const auto index = static_cast<std::size_t>(freed - eligible.begin());
    if (std::find(selected.begin(), selected.end(), index) == selected.end()) {
      if (selected.size() == kProbesPerRound) selected.pop_back();
      selected.push_back(index);
    }
  }
  const bool widen = round_ > 0 || selected.empty();
  if (widen) {
    const auto more = SelectProbeTargets(remote, kProbesPerRound, state_.random_);
    selected.insert(selected.end(), more.begin(), more.end());
  }
  ++round_;
  const std::weak_ptr<Call> weak_call = weak_from_this();
  bool started = false;
  for (const std::size_t index : selected) {
    probed_targets_.push_back(eligible[index]->record_.id_);
    auto probe = std::make_shared<Probe>(state_, eligible[index], [weak_call](Probe&) {
      if (const CallPtr call = weak_call.lock()) call->OnProbeFinished(Now());
    });
    if (!probe->Start(now)) continue;
    probes_.push_back(std::move(probe));
    started = true;
  }
  if (!started) return EvaluateRound(now);
  round_end_ = now + (widen ? kCrossZoneRoundTimeout : kLocalZoneRoundTimeout);
  SetTimer();
}

void Call::OnProbeFinished(Time now) {
  if (is_finished_ || !selecting_ || waiting_) return;
  const bool running = std::any_of(probes_.begin(), probes_.end(),
                                   [](const ProbePtr& probe) { return probe->IsRunning(); });
  if (!running) return EvaluateRound(now);
  const bool answered = std::any_of(probes_.begin(), probes_.end(),
                                    [](const ProbePtr& probe) { return probe->IsAnswered(); });
  if (!answered) return;
  // Targets that have not answered yet are unlikely to be the best choice.
  round_end_ =
      std::min(round_end_, now + (round_ > 1 ? kCrossZoneProbeGrace : kLocalZoneProbeGrace));
  SetTimer();
}

std::vector<Candidate> Call::MakeAnsweredCandidates(Time now) const {
  std::vector<Candidate> candidates;
  for (std::size_t i = 0; i < probes_.size(); ++i) {
    if (!probes_[i]->IsAnswered() || probes_[i]->IsRunning()) continue;
    if (!CanSendNow(state_, *probes_[i]->Target(), now)) continue;
    Candidate candidate = MakeCandidate(*probes_[i]->Target(), i, now);
    candidate.load_ = probes_[i]->Load();
    candidate.just_freed_ = probes_[i]->Target()->record_.id_ == freed_target_;
    candidates.push_back(candidate);
  }
  return candidates;
}

void Call::EvaluateRound(Time now) {
  std::vector<Candidate> candidates = MakeAnsweredCandidates(now);
  PlacementInputs inputs = MakePlacementInputs(now);
  inputs.leaves_last_slot_ =
      !TakesLastSlot(Service().recent_requests_, queued_, now, state_.random_);
  while (true) {
    const auto chosen = ChooseTarget(candidates, inputs);
    const auto best = std::find_if(candidates.begin(), candidates.end(), [&](const auto& item) {
      return chosen && item.index_ == *chosen;
    });
    const bool found = best != candidates.end();
    const bool widen =
        !found || (round_ == 1 && ShouldWidenSearch(*best, inputs) && MayWidenSearch());
    if (widen && round_ < kMaxProbeRounds && probed_targets_.size() < Service().targets_.size()) {
      return StartProbeRound(now);
    }
    if (!found) return EndWithoutTarget(now);
    chosen_target_load_ = FormatLoad(best->load_);
    expected_response_time_ = ExpectedResponseTime(*best, inputs);
    const AdmissionDecision decision =
        DecideAdmission(*best, inputs, expected_response_time_, deadline_ - now, ObjectiveLeft(now),
                        CurrentServiceLoad(now));
    if (decision.action_ == AdmissionAction::kQueue && attempts_.empty()) return WaitForTarget(now);
    if (decision.action_ != AdmissionAction::kSend) return EndOverloaded(decision, now);
    // A hedged request is sent only if the target is likely to respond quickly.
    if (!attempts_.empty() && ShouldWidenSearch(*best, inputs)) {
      EndSelection();
      return SetTimer();
    }
    if (SendToTarget(*probes_[best->index_], expected_response_time_, now)) return;
    candidates.erase(best);
  }
}

void Call::EndWithoutTarget(Time now) {
  EndSelection();
  if (!attempts_.empty()) return SetTimer();
  // Earlier attempts may have failed during this search. A 503 would promise the caller that the
  // request was not executed.
  if (purpose_ != SendPurpose::kFirst) return RetryOrFail(now);
  RespondWithError(
      503, EndReason::kNoTarget,
      std::max(NoTargetRetryDelay(state_.random_), TimeUntilPauseEnds(state_, Service(), now)),
      now);
}

void Call::EndOverloaded(const AdmissionDecision& decision, Time now) {
  EndSelection();
  if (!attempts_.empty()) return SetTimer();
  if (purpose_ != SendPurpose::kFirst) return RetryOrFail(now);
  RespondWithError(
      503, EndReason::kOverloaded,
      JitterRetryDelay(decision.retry_after_, Service().recent_requests_, state_.random_), now);
}

void Call::EndSelection() {
  selecting_ = false;
  waiting_ = false;
  if (std::exchange(queued_, false)) {
    IQueuedRequest* const self = this;
    std::erase(Service().queued_requests_, self);
    WakeQueuedRequest(Service(), nullptr, Now());
  }
  ReleaseProbes();
}

void Call::ReleaseProbes() {
  for (const ProbePtr& probe : probes_) {
    if (probe->IsRunning()) {
      probe->Detach();
      owner_.AdoptProbe(probe);
    } else {
      probe->ReleaseConnection();
    }
  }
  probes_.clear();
}

bool Call::SendToTarget(Probe& probe, Duration expected, Time now) {
  const TargetPtr target = probe.Target();
  http::ClientConnectionPtr connection = probe.TakeConnection();
  if (connection != nullptr && !connection->IsUsable()) {
    state_.pool_.Release(connection);
    connection = nullptr;
  }
  if (connection == nullptr) {
    connection = state_.pool_.Acquire(target->address_, MaxConnectionsToTarget(state_, *target));
    if (connection == nullptr) return false;
  }
  if (send_count_ > 0) {
    if (!ConsumeRetryToken(Service().retry_budget_, state_.settings_.bounds_, state_.fleet_size_,
                           now)) {
      state_.pool_.Release(connection);
      return false;
    }
    state_.metrics_.CountRetry(service_, purpose_ == SendPurpose::kHedge ? "hedge" : "failure");
    logging::LogEvent(logging::LogLevel::kInfo, "request_repeated",
                      {{"call", info_.id_},
                       {"target", target->record_.id_},
                       {"why", purpose_ == SendPurpose::kHedge ? "slow" : last_result_},
                       {"sends", std::to_string(send_count_ + 1)}});
  }
  const auto& load = probe.Load();
  const double slowness = load ? load->slowness_percent_ / 100.0 : 1.0;
  const bool nearly_full = load && IsNearlyFull(load->running_ + load->waiting_ + 1, load->slots_);
  ++send_count_;
  ++possibly_executed_sends_;
  attempted_targets_.push_back(target->record_.id_);
  if (first_sent_at_ == Time{}) first_sent_at_ = now;
  if (IsCold(target->cold_, now)) state_.metrics_.CountColdSend(service_);
  RecordSend(state_, *target, now);
  EndSelection();
  auto attempt =
      std::make_shared<Attempt>(*this, target, std::move(connection), now, slowness, nearly_full);
  attempts_.push_back(attempt);
  hedge_at_ = Time::max();
  if (IsIdempotent(route_->kind_) && send_count_ < route_->max_attempts_ && attempts_.size() == 1) {
    hedge_at_ =
        now + HedgeDelay(MakePlacementInputs(now).service_time_, expected, ObjectiveLeft(now));
  }
  attempt->Send(deadline_ - now);
  SetTimer();
  return true;
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
    hedge_at_ = Time::max();
    if (!selecting_ && !streaming_ && attempts_.size() == 1 && CanRetry(now)) {
      StartSelection(SendPurpose::kHedge, now);
    }
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
  const auto position = std::make_pair(attempt.received_bytes_, exchange_->UnsentBytes());
  if (position != last_stream_position_) {
    last_stream_position_ = position;
    deadline_ = now + state_.settings_.stream_stall_timeout_;
    return SetTimer();
  }
  const bool reads_target = has_turn ? exchange_->UnsentBytes() == 0 : !attempt.paused_;
  if (reads_target) {
    attempt.connection_->Cancel();
    return OnAttemptFailed(attempt, "stalled");
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
    state_.metrics_.CountSend(service_, "answered");
    RemoveAttempt(attempt);
    CancelAttempts();
    if (exchange_ == nullptr) return Finish(status, EndReason::kCallerGone, now);
    exchange_->EndChunkedResponse();
    return Finish(status, EndReason::kAnswered, now);
  }
  if (attempt.IsForwardable()) {
    RecordSuccess(attempt.target_->health_, now);
    RecordInTime(state_.route_timeout_stats_[route_->name_]);
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
  if (status >= 300 && status < 500 && attempt.response_.is_signed_) return RelayResponse(attempt);
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

void Call::CancelAttempts(const Attempt* kept) {
  // Closing the connection cancels the request at the target.
  std::erase_if(attempts_, [this, kept](const std::shared_ptr<Attempt>& attempt) {
    if (attempt.get() == kept) return false;
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
  attempt.body_ = {};
  if (exchange_->UnsentBytes() > kMaxUnsentBytes) attempt.PauseReading(true);
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
  if (status == 503) headers.emplace_back("Retry-After", FormatSeconds(retry_after));
  retry_after_ = retry_after;
  exchange_->Respond(status, headers, NameOf(kEndReasonNames, reason));
  Finish(status, reason, now);
}

void Call::Finish(int status, EndReason reason, Time now) {
  if (is_finished_) return;
  is_finished_ = true;
  timer_.Clear();
  if (selecting_) EndSelection();
  const Duration total = now - request_.received_;
  const Duration waiting = (first_sent_at_ == Time{} ? now : first_sent_at_) - request_.received_;
  const std::string_view outcome = status == 0 ? "none" : status < 400 ? "served" : "failed";
  state_.metrics_.CountRequest(service_, outcome, NameOf(kEndReasonNames, reason));
  state_.metrics_.ObserveDurations(service_, total, waiting, time_at_target_);
  if (reason == EndReason::kAnswered) RecordAnswered(Service().recent_requests_, now);
  if (reason == EndReason::kOverloaded) RecordRefused(Service().recent_requests_, now);
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
      {"config", configuration_ ? std::to_string(configuration_->configuration_.version_) : ""},
      {"target", attempted_targets_.empty() ? "" : attempted_targets_.back()},
      {"sends", std::to_string(send_count_)},
      {"load", chosen_target_load_},
      {"expected_ms", FormatMilliseconds(expected_response_time_)},
      {"probes", std::to_string(probed_targets_.size())},
      {"wait_ms", FormatMilliseconds(waiting)},
      {"total_ms", FormatMilliseconds(total)},
      {"retry_after_ms", status == 503 ? FormatMilliseconds(retry_after_) : ""},
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
