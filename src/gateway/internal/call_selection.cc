#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "gateway/admission.h"
#include "gateway/internal/call.h"
#include "gateway/internal/call_attempt.h"
#include "logging/logging.h"

// How a request finds its target: probes, the wait for a free one, and the send.

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
// Responses after which the service time is considered known.
constexpr int kMinServiceTimeSamples = 5;

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
  // Only the first send of a request may reach a version under roll-out.
  if (state_.rollout_gate_ != nullptr) {
    rollout_side_ = purpose == SendPurpose::kFirst ? state_.rollout_gate_->ChooseSide(service_, now)
                                                   : RolloutSide::kOld;
  }
  // The requests that wait have found no target. A new one waits behind them, and is rejected
  // without a search if they already use up its time.
  const ServiceLoad load = CurrentServiceLoad(now);
  if (purpose == SendPurpose::kFirst && load.queued_ > 0) {
    const PlacementInputs inputs = MakePlacementInputs(now);
    if (load.queued_ < MaxQueuedRequests(load, inputs.service_time_, inputs.objective_left_)) {
      return WaitForTarget(now);
    }
    if (MakeRoomInQueue(Service(), DescribeWaiting(now), now)) return WaitForTarget(now);
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

WaitingRequest Call::DescribeWaiting(Time now) const {
  const ServiceState& service = state_.services_.at(service_);
  return {OrdersByPriority() ? priority_ : 0, RecentTeamUse(service.team_use_, team_, now),
          request_.received_};
}

void Call::GiveUpPlace(Time now) {
  EndOverloaded({AdmissionAction::kReject, MakePlacementInputs(now).service_time_}, now);
}

void Call::OnWaitEnded(Time now) {
  const IQueuedRequest* const self = this;
  if (NextQueuedRequest(Service(), now) == self) {
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
    if (!MaySendTo(*target, now)) continue;
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
    if (!MaySendTo(*probes_[i]->Target(), now)) continue;
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
  ServiceLoad load = CurrentServiceLoad(now);
  const double refused = OrdersByPriority() ? RefusedMoreUrgent(Service(), priority_, now) : 0;
  if (refused > 0) {
    load.yields_ =
        YieldsToUrgent(refused, std::uniform_real_distribution<double>(0, 1)(state_.random_));
  }
  inputs.leaves_last_slot_ = inputs.leaves_last_slot_ || load.yields_;
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
    if (!found) {
      if (GiveUpExposure(now)) return;
      return EndWithoutTarget(now);
    }
    chosen_target_load_ = FormatLoad(best->load_);
    expected_response_time_ = ExpectedResponseTime(*best, inputs);
    const AdmissionDecision decision = DecideAdmission(*best, inputs, expected_response_time_,
                                                       deadline_ - now, ObjectiveLeft(now), load);
    // A queue at the few exposed targets would count as slowness of the new version.
    const bool has_room =
        !best->load_ || best->load_->running_ + best->load_->waiting_ < best->load_->slots_;
    if ((decision.action_ != AdmissionAction::kSend || !has_room) && GiveUpExposure(now)) return;
    if (decision.action_ == AdmissionAction::kQueue && attempts_.empty()) return WaitForTarget(now);
    if (decision.action_ != AdmissionAction::kSend) return EndOverloaded(decision, now);
    // A hedged request is sent only if the target is likely to respond quickly.
    if (!attempts_.empty() && ShouldWidenSearch(*best, inputs)) {
      EndSelection();
      return SetTimer();
    }
    // The key may have been withdrawn while the request waited, or since its last send.
    const KeyAccess access = CheckKey(now);
    if (access.decision_ != AccessDecision::kAllowed) return EndUnauthorized(access.decision_, now);
    team_ = access.team_ == nullptr ? std::string() : access.team_->name_;
    if (SendToTarget(*probes_[best->index_], expected_response_time_, now)) return;
    candidates.erase(best);
  }
}

bool Call::MaySendTo(const TargetState& target, Time now) const {
  return CanSendNow(state_, target, now) &&
         (state_.rollout_gate_ == nullptr ||
          state_.rollout_gate_->MayUse(target.record_, rollout_side_, now));
}

bool Call::GiveUpExposure(Time now) {
  if (rollout_side_ != RolloutSide::kNew) return false;
  rollout_side_ = RolloutSide::kOld;
  searches_ = 0;
  ReleaseProbes();
  StartSearch(now);
  return true;
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
    ++Service().queue_turn_;
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
    // Other requests may have used the allowance since the search began.
    const bool is_withheld = purpose_ == SendPurpose::kHedge && !MayHedge(now);
    const FleetBounds& bounds = state_.settings_.bounds_;
    if (is_withheld || !HasRetryToken(Service().retry_budget_, bounds, state_.fleet_size_, now) ||
        !ChargeRepeat(now)) {
      state_.pool_.Release(connection);
      return false;
    }
    (void)ConsumeRetryToken(Service().retry_budget_, bounds, state_.fleet_size_, now);
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
  if (!team_.empty()) RecordTeamUse(Service().team_use_, team_, now);
  EndSelection();
  auto attempt =
      std::make_shared<Attempt>(*this, target, std::move(connection), now, slowness, nearly_full);
  attempts_.push_back(attempt);
  attempt->is_hedge_ = purpose_ == SendPurpose::kHedge;
  if (attempt->is_hedge_) {
    is_hedged_ = true;
    ConsumeHedge(Service().hedge_budget_);
    state_.metrics_.CountHedge(service_, "sent");
  }
  PlanHedge(expected, now);
  attempt->Send(deadline_ - now);
  // The last attempt: the request is never sent again.
  if (send_count_ >= route_->max_attempts_) std::string().swap(request_.body_);
  SetTimer();
  return true;
}

}  // namespace monsoonshelf::gateway
