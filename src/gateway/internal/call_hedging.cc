#include <array>

#include "gateway/admission.h"
#include "gateway/hedging.h"
#include "gateway/internal/call.h"
#include "gateway/internal/call_attempt.h"

// When a request that may be repeated is sent to a second target.

namespace monsoonshelf::gateway {

namespace {

// A second request that was withheld is considered again after this time, so that the allowance
// goes to the slowest requests.
constexpr Duration kHedgeRecheckInterval = std::chrono::milliseconds(20);

}  // namespace

void Call::PlanHedge(Duration expected, Time now) {
  hedge_at_ = Time::max();
  if (!IsIdempotent(route_->kind_) || send_count_ >= route_->max_attempts_ ||
      attempts_.size() != 1) {
    return;
  }
  const Duration service_time = MakePlacementInputs(now).service_time_;
  Duration delay = HedgeDelay(service_time, expected, ObjectiveLeft(now));
  if (const auto& max_share = state_.settings_.max_hedge_share_) {
    const auto kind = static_cast<std::size_t>(route_->kind_);
    delay = LimitedHedgeDelay(Service().response_times_[kind], *max_share, service_time, delay);
  }
  hedge_at_ = now + delay;
}

// Each run of a request at a target counts against the quota of its team.
bool Call::ChargeRepeat(Time now) {
  const auto& teams = state_.configuration_->configuration_.teams_;
  if (possibly_executed_sends_ == 0 || charged_team_.empty() || !teams) return true;
  const Team* team = teams->FindByName(charged_team_);
  if (team == nullptr) return true;
  if (state_.quota_gate_->Admit(*team, *this, now).action_ == QuotaAction::kAdmit) return true;
  state_.quota_gate_->Cancel(*this);
  return false;
}

bool Call::MayHedge(Time now) {
  HedgeInputs inputs;
  inputs.max_share_ = state_.settings_.max_hedge_share_;
  inputs.retry_tokens_ = Service().retry_budget_.tokens_;
  inputs.refused_per_second_ = RefusedPerSecond(Service().recent_requests_, now);
  inputs.service_time_ = MakePlacementInputs(now).service_time_;
  inputs.time_left_ = deadline_ - now;
  const HedgeDecision decision = DecideHedge(inputs, Service().hedge_budget_);
  if (decision == HedgeDecision::kSend) return true;
  if (withheld_hedge_ != decision) {
    withheld_hedge_ = decision;
    state_.metrics_.CountHedge(service_, NameOf(kHedgeDecisionNames, decision));
  }
  return false;
}

void Call::OnHedgeDue(Time now) {
  hedge_at_ = Time::max();
  if (selecting_ || streaming_ || attempts_.size() != 1 || !CanRetry(now)) return;
  if (MayHedge(now)) return StartSelection(SendPurpose::kHedge, now);
  if (withheld_hedge_ != HedgeDecision::kNoTimeLeft) hedge_at_ = now + kHedgeRecheckInterval;
}

void Call::RecordHedgeResult(const Attempt& answered, Time now) {
  if (!IsIdempotent(route_->kind_)) return;
  const auto kind = static_cast<std::size_t>(route_->kind_);
  RecordResponseTime(Service().response_times_[kind], now - first_sent_at_,
                     Service().service_times_[kind].mean_);
  if (is_hedged_) state_.metrics_.CountHedge(service_, answered.is_hedge_ ? "won" : "lost");
}

}  // namespace monsoonshelf::gateway
