#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/enum_names.h"
#include "eventloop/timer.h"
#include "gateway/internal/gateway_state.h"
#include "gateway/internal/probe.h"
#include "http/server_exchange.h"

namespace monsoonshelf::gateway {

// Result of a request; the field `reason` of its log line.
enum class EndReason {
  kAnswered,        // A target's response was forwarded to the caller.
  kNotReady,        // The host has no configuration or no target list yet.
  kStopping,        // This entry host is stopping.
  kInvalid,         // The request id is missing or a header is invalid.
  kNoRoute,         // No route matches.
  kUnauthorized,    // The key is missing, invalid or unknown.
  kNoKeyProof,      // The key may have been withdrawn.
  kOverQuota,       // The team is over its limit.
  kQuotaUnknown,    // No host knows what the team has used.
  kNoTarget,        // No target is eligible, or none answers a probe.
  kOverloaded,      // Admission control expects no target to respond in time.
  kTargetsRefused,  // Every target rejected the request without executing it.
  kTargetFailed,    // It was sent; its response was lost, invalid or an error.
  kTimedOut,        // It was sent; no response arrived before the deadline.
  kTooLate,         // The deadline passed before it was sent.
  kCallerGone,      // The caller closed the connection.
};

inline constexpr EnumNames<EndReason, 16> kEndReasonNames = {{
    {EndReason::kAnswered, "answered"},
    {EndReason::kNotReady, "not_ready"},
    {EndReason::kStopping, "stopping"},
    {EndReason::kInvalid, "invalid"},
    {EndReason::kNoRoute, "no_route"},
    {EndReason::kUnauthorized, "unauthorized"},
    {EndReason::kNoKeyProof, "no_key_proof"},
    {EndReason::kOverQuota, "over_quota"},
    {EndReason::kQuotaUnknown, "quota_unknown"},
    {EndReason::kNoTarget, "no_target"},
    {EndReason::kOverloaded, "overloaded"},
    {EndReason::kTargetsRefused, "targets_refused"},
    {EndReason::kTargetFailed, "target_failed"},
    {EndReason::kTimedOut, "timed_out"},
    {EndReason::kTooLate, "too_late"},
    {EndReason::kCallerGone, "caller_gone"},
}};

class Call;
using CallPtr = std::shared_ptr<Call>;

// Owner of the calls.
class ICallOwner {
 public:
  virtual ~ICallOwner() = default;
  // Called when `call` is finished. The owner must not destroy it within this function.
  virtual void OnCallFinished(Call& call) = 0;
  // Takes over a running probe and keeps it until it ends, so that its connection can be reused.
  virtual void AdoptProbe(ProbePtr probe) = 0;
};

// One request of a caller, from its arrival to the final response.
class Call : public std::enable_shared_from_this<Call>,
             private IQueuedRequest,
             private IQuotaWaiter {
 public:
  Call(GatewayState& state, ICallOwner& owner, http::ServerExchangePtr exchange,
       http::Request request);
  ~Call() override;

  void Start(Time now);
  void OnCallerDisconnected();
  void OnResponseFlushed();
  // Ends the call because the host has to stop: with 503 if no target can have executed it, with
  // 504 if its outcome is unknown. A response that is being streamed is cut.
  void OnForcedStop(Time now);
  // Returns whether the request was sent to a target that has not responded yet.
  bool HasSendInFlight() const { return !attempts_.empty(); }
  http::ServerExchange* Exchange() const { return exchange_.get(); }

 private:
  class Attempt;
  enum class SendPurpose { kFirst, kRetry, kHedge };

  // Starts the selection of a target if the quota of the team admits the request.
  void OnQuotaDecided(const QuotaVerdict& verdict, Time now) override;
  void StartSelection(SendPurpose purpose, Time now);
  void StartSearch(Time now);
  void StartProbeRound(Time now);
  void OnProbeFinished(Time now);
  void EvaluateRound(Time now);
  std::vector<Candidate> MakeAnsweredCandidates(Time now) const;
  void EndWithoutTarget(Time now);
  void EndOverloaded(const AdmissionDecision& decision, Time now);
  void SearchSoon(const TargetPtr& freed, Time now) override;
  WaitingRequest DescribeWaiting(Time now) const override;
  void GiveUpPlace(Time now) override;
  // Searches again if this is the next waiting request of its service.
  void OnWaitEnded(Time now);
  // Lets the request wait for a target below its efficient load, then searches again.
  void WaitForTarget(Time now);
  bool MayWidenSearch() const;
  ServiceLoad CurrentServiceLoad(Time now);
  void ReleaseProbes();
  // Returns whether the target can be sent to now, also by the roll-out of its service.
  bool MaySendTo(const TargetState& target, Time now) const;
  // Searches once more among the targets of the old version, if the request was to be exposed to
  // the new one.
  bool GiveUpExposure(Time now);
  // Reports the first attempt of the request to the roll-out of the service.
  void RecordForRollout(const Attempt& attempt, bool is_failure, Time now);
  void EndSelection();
  bool SendToTarget(Probe& probe, Duration expected, Time now);
  // Checks the key against the latest configuration. Without teams every request is allowed.
  KeyAccess CheckKey(Time now) const;
  // Ends the request, or the search for a further target, because its key is not accepted.
  void EndUnauthorized(AccessDecision decision, Time now);
  TargetCredentials CredentialsForTarget() const;
  // Deployments without teams serve waiting requests in the order of their arrival.
  bool OrdersByPriority() const { return configuration_->configuration_.teams_.has_value(); }
  Duration ObjectiveLeft(Time now) const;
  bool CanRetry(Time now);
  // Plans the second request, if the first one may have one.
  void PlanHedge(Duration expected, Time now);
  // Charges the quota of the team for a further send of a request that may have run already.
  // Returns false if the team has nothing left at once.
  bool ChargeRepeat(Time now);
  // Returns whether a second request may be sent now, and counts it if it is withheld.
  bool MayHedge(Time now);
  // Looks for a second target, or plans to check again.
  void OnHedgeDue(Time now);
  // Records the response time, and whether a second request was the faster one.
  void RecordHedgeResult(const Attempt& answered, Time now);

  void OnTimer();
  void SetTimer();
  void OnDeadline(Time now);
  void OnStreamDeadline(Time now);
  // Breaks the streamed response off, so that the caller detects that it is incomplete.
  void BreakOffResponse(EndReason reason, Time now);
  // Ends the attempts whose response is not usable and did not end within its grace period.
  void EndUnusableResponses(Time now);

  void CountTargetTimeout(TargetState& target, Duration duration, Time now);
  void OnAttemptResponse(Attempt& attempt);
  void OnAttemptFailed(Attempt& attempt, std::string_view result);
  // Retries after a failed attempt if this is allowed; otherwise responds with an error.
  void RetryOrFail(Time now);
  void RemoveAttempt(Attempt& attempt);
  // Cancels all attempts except `kept`.
  void CancelAttempts(const Attempt* kept = nullptr);
  // Forwards the response of `attempt` in pieces from now on.
  void BeginStreaming(Attempt& attempt);

  void RelayResponse(Attempt& attempt);
  void RespondWithError(int status, EndReason reason, Duration retry_after, Time now);
  void Finish(int status, EndReason reason, Time now);
  // Logs `request_done` when the response has its turn among those of its connection.
  void LogFinished(int status, EndReason reason, Duration waiting, Duration total, Time now);
  Candidate MakeCandidate(const TargetState& target, std::size_t index, Time now) const;
  PlacementInputs MakePlacementInputs(Time now) const;
  ServiceState& Service() { return state_.services_[service_]; }

  GatewayState& state_;
  ICallOwner& owner_;
  http::ServerExchangePtr exchange_;  // Null after the caller has left.
  http::Request request_;
  CallInfo info_;
  ActiveConfigurationPtr configuration_;
  const Route* route_ = nullptr;
  std::string service_;
  std::string team_;  // Name of the team whose key the request has; empty if anonymous.
  bool waits_for_quota_ = false;
  std::string charged_team_;  // Whose quota was charged for the request; may be empty.
  Time charged_at_{};
  int priority_ = 0;  // Of the team, or else of the route; 0 is the highest.
  Time deadline_ = Time::max();
  bool is_finished_ = false;

  // Target selection.
  bool selecting_ = false;
  SendPurpose purpose_ = SendPurpose::kFirst;
  int round_ = 0;
  Time round_end_{};       // Of the probe round, or of the wait for a target.
  bool queued_ = false;    // Is one of ServiceState::queued_requests_.
  bool waiting_ = false;   // No round is in progress.
  TargetId freed_target_;  // See SearchSoon; may be empty.
  int searches_ = 0;       // Since the selection started.
  std::vector<ProbePtr> probes_;
  RolloutSide rollout_side_ = RolloutSide::kOld;
  std::vector<TargetId> probed_targets_;

  // Attempts.
  std::vector<std::shared_ptr<Attempt>> attempts_;
  // Kept until the call is destroyed, because one of them may be on the call stack.
  std::vector<std::shared_ptr<Attempt>> finished_attempts_;
  std::vector<TargetId> attempted_targets_;
  int send_count_ = 0;
  // Value of send_count_ when the last search for a retry target started.
  int sends_at_last_retry_search_ = 0;
  int possibly_executed_sends_ = 0;  // Sends that the target did not report as not executed.
  Time first_sent_at_{};
  Time hedge_at_ = Time::max();
  HedgeDecision withheld_hedge_ = HedgeDecision::kSend;  // The last one that was counted.
  bool is_hedged_ = false;  // A second request was sent while the first one was in progress.
  Duration time_at_target_{};
  std::string last_result_;
  std::string chosen_target_load_;  // Load of the last target when it was chosen.
  Duration expected_response_time_{};
  Duration retry_after_{};                   // Sent to a rejected caller.
  std::shared_ptr<Attempt> error_response_;  // Complete response of a target with an error status.
  bool streaming_ = false;
  // Bytes received from the target and bytes that the caller's socket has not accepted yet, when
  // the deadline of the streamed response was last extended.
  std::optional<std::pair<std::uint64_t, std::size_t>> last_stream_position_;
  eventloop::Timer timer_;
};

}  // namespace monsoonshelf::gateway
