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

// Targets asked at once. Three of a handful find an idle one nearly always, and each answer costs
// the host about as much as a tenth of a request.
constexpr std::size_t kProbesPerRound = 3;
// A target answers its health path in 1 to 6 ms. Beyond these times it counts as too busy.
constexpr Duration kOwnZoneProbeWait = std::chrono::milliseconds(30);
constexpr Duration kCrossZoneProbeWait = std::chrono::milliseconds(60);
// Time that the other targets of a round get after the first answer.
constexpr Duration kOwnZoneLag = std::chrono::milliseconds(4);
constexpr Duration kCrossZoneLag = std::chrono::milliseconds(20);
constexpr Duration kCrossZoneDelay = std::chrono::milliseconds(8);
// Rounds of probes before a request without any responding target is refused.
constexpr int kMaxRounds = 4;
// Answers up to this size are passed on when they are complete, so that a broken one can be
// replaced by another target's. Larger ones are streamed.
constexpr std::size_t kMaxWholeAnswer = std::size_t{1} << 20;
// Answers after which the usual time of a request counts as known.
constexpr int kMinSamples = 5;
// A target's own answer when the time that it was given has passed.
constexpr int kDeadlineStatus = 504;
// Unsent bytes of a streamed answer above which the target is no longer read.
constexpr std::size_t kMaxUnsent = std::size_t{512} * 1024;

std::string Milliseconds(Duration duration) {
  std::array<char, 32> text{};
  const int length = std::snprintf(text.data(), text.size(), "%.1f", ToMilliseconds(duration));
  return {text.data(), static_cast<std::size_t>(length)};
}

std::string Seconds(Duration duration) {
  std::array<char, 32> text{};
  const int length = std::snprintf(text.data(), text.size(), "%.2f",
                                   std::chrono::duration<double>(duration).count());
  return {text.data(), static_cast<std::size_t>(length)};
}

// `running/slots+waiting@slowness%`, as in the log.
std::string FormatLoad(const std::optional<TargetLoad>& load) {
  if (!load) return "unknown";
  return std::to_string(load->running_) + "/" + std::to_string(load->slots_) + "+" +
         std::to_string(load->waiting_) + "@" + std::to_string(load->slowness_percent_) + "%";
}

bool Contains(const std::vector<TargetId>& ids, const TargetId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

// One send to one target.
class Call::Attempt : public http::IExchangeHandler {
 public:
  Attempt(Call& call, TargetPtr target, http::ClientConnectionPtr connection, Time sent,
          double slowness)
      : call_(call),
        target_(std::move(target)),
        connection_(std::move(connection)),
        sent_(sent),
        slowness_(slowness) {}

  void Send(Duration time_left) {
    const http::RequestHead& head = call_.request_.head_;
    connection_->Start(call_.state_.format_.FormatTargetRequest(head, call_.request_.body_,
                                                                target_->record_.id_, time_left),
                       head.method_ == "HEAD", *this);
  }

  bool OnHead(http::ResponseHead& head) override {
    TargetResponseInfo answer = call_.state_.format_.ReadTargetResponse(head);
    if (answer.call_id_ && *answer.call_id_ != call_.info_.id_) {
      logging::LogEvent(logging::LogLevel::kWarning, "extra_answer",
                        {{"call", call_.info_.id_},
                         {"target", target_->record_.id_},
                         {"belongs_to", *answer.call_id_}});
      return false;
    }
    answer_ = std::move(answer);
    head_ = head;
    return true;
  }

  void OnBody(std::string& body) override {
    if (streamed_) {
      call_.connection_->WriteBody(body);
      body.clear();
      if (call_.connection_->Unsent() > kMaxUnsent) connection_->PauseReading(true);
      return;
    }
    body_.append(body);
    body.clear();
    if (body_.size() <= kMaxWholeAnswer || !IsUsable() || call_.connection_ == nullptr) return;
    streamed_ = true;
    call_.streaming_ = true;
    call_.connection_->BeginBody(head_.status_, call_.state_.format_.HeadersForCaller(head_));
    call_.connection_->WriteBody(body_);
    body_.clear();
  }

  void OnDone() override {
    const auto self = call_.shared_from_this();
    complete_ = true;
    call_.OnAttemptAnswered(*this);
  }

  void OnFailed(http::Failure failure, bool sent) override {
    const auto self = call_.shared_from_this();
    if (!sent) --call_.sends_maybe_run_;
    call_.OnAttemptFailed(*this, sent ? NameOf(http::kFailureNames, failure) : "not_sent");
  }

  // A success that may be passed on as it is.
  bool IsUsable() const {
    return head_.status_ >= 200 && head_.status_ < 300 && answer_.is_signed_ &&
           !answer_.is_encoded_ && !answer_.not_run_;
  }

  Call& call_;
  TargetPtr target_;
  http::ClientConnectionPtr connection_;
  Time sent_;
  double slowness_;
  http::ResponseHead head_;
  TargetResponseInfo answer_;
  std::string body_;
  bool complete_ = false;
  bool streamed_ = false;
};

Call::Call(GatewayState& state, ICallOwner& owner, http::ServerConnectionPtr connection,
           http::Request request)
    : state_(state),
      owner_(owner),
      connection_(std::move(connection)),
      request_(std::move(request)),
      timer_(g_main_context_get_thread_default(), [this] { OnTimer(); }) {}

Call::~Call() = default;

void Call::Start(Time now) {
  info_ = state_.format_.ReadCallInfo(request_.head_);
  if (info_.id_.empty() || info_.invalid_) {
    return AnswerFailure(400, EndReason::kInvalid, Duration(0), now);
  }
  configuration_ = state_.configuration_;
  if (configuration_ == nullptr || !state_.has_target_list_) {
    return AnswerFailure(503, EndReason::kNotReady, kNotReadyRetry, now);
  }
  if (state_.stopping_) return AnswerFailure(503, EndReason::kStopping, Duration(0), now);
  const std::string* host = http::FindHeader(request_.head_.headers_, "Host");
  route_ = FindRoute(configuration_->configuration_, configuration_->routes_,
                     host != nullptr ? *host : "", request_.head_.target_);
  if (route_ == nullptr) return AnswerFailure(404, EndReason::kNoRoute, Duration(0), now);
  deadline_ = request_.received_ +
              std::min(route_->timeout_, info_.time_left_.value_or(Duration::max() / 2));
  if (now >= deadline_) return AnswerFailure(503, EndReason::kTooLate, Duration(0), now);
  service_ = DealService(state_.split_, *route_);
  FillRetryBudget(Service().retry_budget_, state_.settings_.bounds_, state_.fleet_size_, now);
  Select(Purpose::kFirst, now);
}

Candidate Call::Describe(const TargetState& target, std::size_t index, Time now) const {
  Candidate candidate;
  candidate.index_ = index;
  candidate.own_zone_ = target.record_.zone_ == state_.settings_.zone_;
  candidate.ejected_ = IsEjected(target.health_, now);
  candidate.unresponsive_ = IsUnresponsive(target.health_, now);
  candidate.reports_ill_ = target.health_.reports_ill_;
  candidate.own_in_flight_ = target.in_flight_;
  candidate.slots_ = target.record_.slots_;
  candidate.cold_ = IsCold(target.cold_, now);
  return candidate;
}

PlacementInputs Call::Inputs() const {
  PlacementInputs inputs;
  const WorkEstimate& work =
      state_.services_.at(service_).work_[static_cast<std::size_t>(route_->kind_)];
  inputs.work_ = work.mean_;
  inputs.work_known_ = work.samples_ >= kMinSamples;
  inputs.cross_zone_delay_ = kCrossZoneDelay;
  inputs.large_answer_ = route_->kind_ == RequestKind::kDownload;
  return inputs;
}

void Call::Select(Purpose purpose, Time now) {
  selecting_ = true;
  purpose_ = purpose;
  round_ = 0;
  asked_.clear();
  NextRound(now);
}

void Call::NextRound(Time now) {
  std::vector<TargetPtr> usable;
  std::vector<Candidate> own;
  std::vector<Candidate> other;
  std::vector<std::uint64_t> affinities;
  for (const auto& [id, target] : Service().targets_) {
    if (!MaySend(state_, *target, now)) continue;
    const bool own_zone = target->record_.zone_ == state_.settings_.zone_;
    if (own_zone) affinities.push_back(target->affinity_);
    if (Contains(asked_, id) || Contains(used_, id)) continue;
    (own_zone ? own : other).push_back(Describe(*target, usable.size(), now));
    usable.push_back(target);
  }
  const std::uint64_t preferred = PreferredAffinity(std::move(affinities));
  for (std::vector<Candidate>* candidates : {&own, &other}) {
    for (Candidate& candidate : *candidates) {
      candidate.preferred_ = usable[candidate.index_]->affinity_ <= preferred;
    }
  }
  std::vector<std::size_t> picked = PickProbes(own, kProbesPerRound, state_.random_);
  const bool widen = round_ > 0 || picked.empty();
  if (widen) {
    const auto more = PickProbes(other, kProbesPerRound, state_.random_);
    picked.insert(picked.end(), more.begin(), more.end());
  }
  ++round_;
  const std::weak_ptr<Call> weak = weak_from_this();
  bool started = false;
  for (const std::size_t index : picked) {
    asked_.push_back(usable[index]->record_.id_);
    auto probe = std::make_shared<Probe>(state_, usable[index], [weak](Probe&) {
      if (const CallPtr call = weak.lock()) call->OnProbeEnd(Now());
    });
    if (!probe->Start(now)) continue;
    probes_.push_back(std::move(probe));
    started = true;
  }
  if (!started) return Decide(now);
  round_end_ = now + (widen ? kCrossZoneProbeWait : kOwnZoneProbeWait);
  SetTimer();
}

void Call::OnProbeEnd(Time now) {
  if (over_ || !selecting_) return;
  const bool running = std::any_of(probes_.begin(), probes_.end(),
                                   [](const ProbePtr& probe) { return probe->IsRunning(); });
  if (!running) return Decide(now);
  const bool answered = std::any_of(probes_.begin(), probes_.end(),
                                    [](const ProbePtr& probe) { return probe->IsAnswered(); });
  if (!answered) return;
  // The others of the round are late already, so that they hardly are the best choice.
  round_end_ = std::min(round_end_, now + (round_ > 1 ? kCrossZoneLag : kOwnZoneLag));
  SetTimer();
}

std::vector<Candidate> Call::AnsweredCandidates(Time now) const {
  std::vector<Candidate> candidates;
  for (std::size_t i = 0; i < probes_.size(); ++i) {
    if (!probes_[i]->IsAnswered() || probes_[i]->IsRunning()) continue;
    if (!MaySend(state_, *probes_[i]->Target(), now)) continue;
    Candidate candidate = Describe(*probes_[i]->Target(), i, now);
    candidate.load_ = probes_[i]->Load();
    candidates.push_back(candidate);
  }
  return candidates;
}

void Call::Decide(Time now) {
  std::vector<Candidate> candidates = AnsweredCandidates(now);
  const PlacementInputs inputs = Inputs();
  while (true) {
    const auto chosen = ChooseTarget(candidates, inputs);
    const auto best = std::find_if(candidates.begin(), candidates.end(), [&](const auto& item) {
      return chosen && item.index_ == *chosen;
    });
    const bool found = best != candidates.end();
    const bool widen = !found || (round_ == 1 && IsWorthWidening(*best, inputs));
    if (widen && round_ < kMaxRounds && asked_.size() < Service().targets_.size()) {
      return NextRound(now);
    }
    if (!found) return EndWithoutTarget(now);
    chosen_load_ = FormatLoad(best->load_);
    expected_ = ExpectedTime(*best, inputs);
    const Admission admission =
        Admit(*best, inputs, expected_, deadline_ - now, ObjectiveLeft(now));
    if (!admission.admitted_) return EndWithoutRoom(admission, now);
    // A second send while the first one works must be worth its place.
    if (!attempts_.empty() && IsWorthWidening(*best, inputs)) {
      EndSelection();
      return SetTimer();
    }
    if (SendTo(*probes_[best->index_], expected_, now)) return;
    candidates.erase(best);
  }
}

void Call::EndWithoutTarget(Time now) {
  EndSelection();
  if (!attempts_.empty()) return SetTimer();
  // The sends may have failed while this search went on, and 503 would promise that nothing ran.
  if (purpose_ != Purpose::kFirst) return AfterFailure(now);
  AnswerFailure(503, EndReason::kNoTarget, RetryAfterNoTarget(state_.random_), now);
}

void Call::EndWithoutRoom(const Admission& admission, Time now) {
  EndSelection();
  if (!attempts_.empty()) return SetTimer();
  if (purpose_ != Purpose::kFirst) return AfterFailure(now);
  AnswerFailure(503, EndReason::kOverloaded,
                SpreadRetry(admission.retry_after_, Service().turnover_, state_.random_), now);
}

void Call::EndSelection() {
  selecting_ = false;
  for (const ProbePtr& probe : probes_) {
    if (probe->IsRunning()) {
      probe->Detach();
      owner_.KeepProbe(probe);
    } else {
      probe->ReleaseConnection();
    }
  }
  probes_.clear();
}

bool Call::SendTo(Probe& probe, Duration expected, Time now) {
  const TargetPtr target = probe.Target();
  http::ClientConnectionPtr connection = probe.TakeConnection();
  if (connection != nullptr && !connection->IsUsable()) {
    state_.pool_.Release(connection);
    connection = nullptr;
  }
  if (connection == nullptr) {
    connection = state_.pool_.Acquire(target->address_, MaxConnections(state_, *target));
    if (connection == nullptr) return false;
  }
  if (sends_ > 0) {
    if (!TakeRetry(Service().retry_budget_, state_.settings_.bounds_, state_.fleet_size_, now)) {
      state_.pool_.Release(connection);
      return false;
    }
    state_.metrics_.CountRepeat(service_, purpose_ == Purpose::kHedge ? "hedge" : "failure");
    logging::LogEvent(logging::LogLevel::kInfo, "request_repeated",
                      {{"call", info_.id_},
                       {"target", target->record_.id_},
                       {"why", purpose_ == Purpose::kHedge ? "slow" : last_result_},
                       {"sends", std::to_string(sends_ + 1)}});
  }
  const double slowness = probe.Load() ? probe.Load()->slowness_percent_ / 100.0 : 1.0;
  ++sends_;
  ++sends_maybe_run_;
  used_.push_back(target->record_.id_);
  if (first_sent_ == Time{}) first_sent_ = now;
  if (IsCold(target->cold_, now)) state_.metrics_.CountColdSend(service_);
  CountSend(state_, *target, now);
  EndSelection();
  auto attempt = std::make_shared<Attempt>(*this, target, std::move(connection), now, slowness);
  attempts_.push_back(attempt);
  hedge_at_ = Time::max();
  if (IsIdempotent(route_->kind_) && sends_ < route_->max_attempts_ && attempts_.size() == 1) {
    hedge_at_ = now + HedgeDelay(Inputs().work_, expected, ObjectiveLeft(now));
  }
  attempt->Send(deadline_ - now);
  SetTimer();
  return true;
}

Duration Call::ObjectiveLeft(Time now) const {
  if (route_->latency_objective_.count() == 0) return deadline_ - now;
  return request_.received_ + route_->latency_objective_ - now;
}

bool Call::MayRepeat(Time now) {
  if (sends_ >= route_->max_attempts_ || now >= deadline_) return false;
  if (!HasRetry(Service().retry_budget_, state_.settings_.bounds_, state_.fleet_size_, now)) {
    return false;
  }
  return IsIdempotent(route_->kind_) || sends_maybe_run_ == 0;
}

void Call::SetTimer() {
  if (over_) return;
  Time next = deadline_;
  if (selecting_) next = std::min(next, round_end_);
  next = std::min(next, hedge_at_);
  timer_.Set(next);
}

void Call::OnTimer() {
  const auto self = shared_from_this();
  if (over_) return;
  const Time now = Now();
  if (now >= deadline_) return OnDeadline(now);
  if (selecting_ && now >= round_end_) {
    Decide(now);
  } else if (now >= hedge_at_) {
    hedge_at_ = Time::max();
    if (!selecting_ && !streaming_ && attempts_.size() == 1 && MayRepeat(now)) {
      Select(Purpose::kHedge, now);
    }
  }
  if (!over_) SetTimer();
}

void Call::OnDeadline(Time now) {
  if (streaming_) {
    // The caller reads a large answer; its end is up to the caller and the target.
    deadline_ = now + std::chrono::seconds(30);
    return SetTimer();
  }
  for (const auto& attempt : attempts_) {
    state_.metrics_.CountSend(service_, "timeout");
    CountTargetTimeout(*attempt->target_, now - attempt->sent_, now);
  }
  const bool maybe_run = sends_maybe_run_ > 0;
  CancelAttempts();
  EndSelection();
  if (error_answer_ != nullptr) return DeliverAnswer(*error_answer_);
  if (maybe_run) return AnswerFailure(504, EndReason::kTimedOut, Duration(0), now);
  AnswerFailure(503, EndReason::kTooLate, Duration(0), now);
}

void Call::CountTargetTimeout(TargetState& target, Duration taken, Time now) {
  // At a deadline that was tight from the start the target isn't to blame.
  if (taken < Inputs().work_ * 3) return;
  if (!IsTimeoutOfTarget(state_.route_records_[route_->name_])) return;
  CountFailure(target.health_, now);
  state_.on_target_failed_(target.record_.id_);
}

void Call::OnAttemptAnswered(Attempt& attempt) {
  const Time now = Now();
  const Duration taken = now - attempt.sent_;
  at_target_ += taken;
  const int status = attempt.head_.status_;
  if (attempt.streamed_) {
    CountSuccess(attempt.target_->health_, now);
    state_.metrics_.CountSend(service_, "answered");
    RemoveAttempt(attempt);
    CancelAttempts();
    connection_->EndBody();
    return Finish(status, EndReason::kAnswered, now);
  }
  if (attempt.IsUsable()) {
    CountSuccess(attempt.target_->health_, now);
    CountInTime(state_.route_records_[route_->name_]);
    LearnWork(Service().work_[static_cast<std::size_t>(route_->kind_)], taken, attempt.slowness_);
    state_.metrics_.CountSend(service_, "answered");
    return DeliverAnswer(attempt);
  }
  if (attempt.answer_.misdirected_) attempt.target_->misdirected_ = true;
  if (attempt.answer_.not_run_ || attempt.answer_.misdirected_) {
    --sends_maybe_run_;
    return OnAttemptFailed(attempt, attempt.answer_.misdirected_ ? "misdirected" : "refused");
  }
  if (status >= 300 && status < 500 && attempt.answer_.is_signed_) return DeliverAnswer(attempt);
  if (status >= 500 && attempt.answer_.is_signed_ && !attempt.answer_.is_encoded_) {
    for (const auto& item : attempts_) {
      if (item.get() == &attempt) error_answer_ = item;
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
                     {"after_ms", Milliseconds(now - attempt.sent_)},
                     {"kind", std::string(NameOf(kRequestKindNames, route_->kind_))}});
  if (attempt.head_.status_ == kDeadlineStatus) {
    CountTargetTimeout(*attempt.target_, now - attempt.sent_, now);
  } else if (result == "not_sent") {
    CountProbeLoss(attempt.target_->health_, now);
  } else if (result != "misdirected") {
    CountFailure(attempt.target_->health_, now);
    state_.on_target_failed_(attempt.target_->record_.id_);
  }
  const bool streamed = attempt.streamed_;
  RemoveAttempt(attempt);
  if (streamed) {
    connection_->Abort();
    CancelAttempts();
    return Finish(0, EndReason::kTargetFailed, now);
  }
  if (connection_ == nullptr) return Finish(0, EndReason::kCallerGone, now);
  if (!attempts_.empty() || selecting_) return;  // Another try is under way.
  AfterFailure(now);
}

void Call::AfterFailure(Time now) {
  // A selection that found nobody must not start over.
  if (repeat_searched_ != sends_ && MayRepeat(now)) {
    repeat_searched_ = sends_;
    return Select(Purpose::kRepeat, now);
  }
  if (error_answer_ != nullptr) return DeliverAnswer(*error_answer_);
  if (sends_maybe_run_ == 0) {
    return AnswerFailure(503, EndReason::kTargetsRefused,
                         SpreadRetry(Inputs().work_, Service().turnover_, state_.random_), now);
  }
  AnswerFailure(502, EndReason::kTargetFailed, Duration(0), now);
}

void Call::RemoveAttempt(Attempt& attempt) {
  const auto found = std::find_if(attempts_.begin(), attempts_.end(),
                                  [&attempt](const auto& item) { return item.get() == &attempt; });
  if (found == attempts_.end()) return;
  --attempt.target_->in_flight_;
  state_.pool_.Release(attempt.connection_);
  finished_.push_back(*found);
  attempts_.erase(found);
}

void Call::CancelAttempts() {
  // Closing the connection tells the target to stop.
  for (const auto& attempt : attempts_) {
    --attempt->target_->in_flight_;
    attempt->connection_->Cancel();
    state_.pool_.Release(attempt->connection_);
    finished_.push_back(attempt);
  }
  attempts_.clear();
}

void Call::DeliverAnswer(Attempt& attempt) {
  const Time now = Now();
  RemoveAttempt(attempt);
  CancelAttempts();
  if (selecting_) EndSelection();
  if (connection_ == nullptr) return Finish(attempt.head_.status_, EndReason::kCallerGone, now);
  connection_->Respond(attempt.head_.status_, state_.format_.HeadersForCaller(attempt.head_),
                       attempt.body_);
  Finish(attempt.head_.status_, EndReason::kAnswered, now);
}

void Call::AnswerFailure(int status, EndReason reason, Duration retry_after, Time now) {
  if (connection_ != nullptr) {
    http::Headers headers = state_.format_.HeadersForLocalResponse(info_.id_);
    headers.emplace_back("Content-Type", "text/plain");
    if (status == 503) headers.emplace_back("Retry-After", Seconds(retry_after));
    retry_after_ = retry_after;
    connection_->Respond(status, headers, NameOf(kEndReasonNames, reason));
  }
  Finish(status, reason, now);
}

void Call::Finish(int status, EndReason reason, Time now) {
  if (over_) return;
  over_ = true;
  timer_.Clear();
  if (selecting_) EndSelection();
  const Duration total = now - request_.received_;
  const Duration waiting = (first_sent_ == Time{} ? now : first_sent_) - request_.received_;
  const std::string_view outcome = status == 0 ? "none" : status < 400 ? "served" : "failed";
  state_.metrics_.CountRequest(service_, outcome, NameOf(kEndReasonNames, reason));
  state_.metrics_.ObserveTimes(service_, total, waiting, at_target_);
  const bool served = reason == EndReason::kAnswered && status < 400;
  if (reason == EndReason::kAnswered) CountAnswered(Service().turnover_, now);
  if (reason == EndReason::kOverloaded) CountRefused(Service().turnover_, now);
  logging::LogEvent(
      served ? logging::LogLevel::kInfo : logging::LogLevel::kWarning, "request_done",
      {{"call", info_.id_},
       {"status", std::to_string(status)},
       {"reason", std::string(NameOf(kEndReasonNames, reason))},
       {"route", route_ != nullptr ? route_->name_ : ""},
       {"service", service_},
       {"config", configuration_ ? std::to_string(configuration_->configuration_.version_) : ""},
       {"target", used_.empty() ? "" : used_.back()},
       {"sends", std::to_string(sends_)},
       {"load", chosen_load_},
       {"expected_ms", Milliseconds(expected_)},
       {"probes", std::to_string(asked_.size())},
       {"wait_ms", Milliseconds(waiting)},
       {"total_ms", Milliseconds(total)},
       {"retry_after_ms", status == 503 ? Milliseconds(retry_after_) : ""},
       {"patience_ms", info_.time_left_ ? Milliseconds(*info_.time_left_) : ""},
       {"objective_ms", route_ != nullptr ? Milliseconds(route_->latency_objective_) : ""},
       {"left_ms", deadline_ == Time::max() ? "" : Milliseconds(deadline_ - now)}});
  owner_.OnCallOver(*this);
}

void Call::OnCallerGone() {
  if (over_) return;
  const Time now = Now();
  if (selecting_) EndSelection();
  hedge_at_ = Time::max();
  connection_.reset();
  if (!attempts_.empty() && !IsIdempotent(route_->kind_)) {
    // Work that must not be repeated is left to finish: a caller that comes back finds it done
    // or not done, not broken off.
    return SetTimer();
  }
  CancelAttempts();
  Finish(0, EndReason::kCallerGone, now);
}

void Call::OnDrained() {
  if (!streaming_) return;
  for (const auto& attempt : attempts_) attempt->connection_->PauseReading(false);
}

}  // namespace monsoonshelf::gateway
