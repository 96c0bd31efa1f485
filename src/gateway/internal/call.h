#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/enum_names.h"
#include "eventloop/timer.h"
#include "gateway/internal/gateway_state.h"
#include "gateway/internal/probe.h"
#include "http/server_connection.h"

namespace monsoonshelf::gateway {

// Why a request ended as it did; the field `reason` of its log line.
enum class EndReason {
  kAnswered,        // The target's answer was passed on.
  kNotReady,        // No configuration is known yet.
  kStopping,        // This entry host is about to end.
  kInvalid,         // The request lacks what it needs.
  kNoRoute,         // No route of the configuration matches.
  kNoTarget,        // No target may receive the request, or none responds.
  kOverloaded,      // No target could answer in time.
  kTargetsRefused,  // Each target that was asked refused without running it.
  kTargetFailed,    // It was sent, and the answer was lost, invalid or an error.
  kTimedOut,        // It was sent, and no answer came in time.
  kTooLate,         // Its time was over before it could be sent.
  kCallerGone,      // The caller left.
};

inline constexpr EnumNames<EndReason, 12> kEndReasonNames = {{
    {EndReason::kAnswered, "answered"},
    {EndReason::kNotReady, "not_ready"},
    {EndReason::kStopping, "stopping"},
    {EndReason::kInvalid, "invalid"},
    {EndReason::kNoRoute, "no_route"},
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

// What a call needs of the gateway that owns it.
class ICallOwner {
 public:
  virtual ~ICallOwner() = default;
  // The call is over; the owner drops it later, not from within this function.
  virtual void OnCallOver(Call& call) = 0;
  // Keeps an unanswered probe until it ends, so that its connection isn't lost.
  virtual void KeepProbe(ProbePtr probe) = 0;
};

// One request of a caller, from its arrival to the final answer.
class Call : public std::enable_shared_from_this<Call> {
 public:
  Call(GatewayState& state, ICallOwner& owner, http::ServerConnectionPtr connection,
       http::Request request);
  ~Call();

  void Start(Time now);
  void OnCallerGone();
  void OnDrained();
  // Whether the request was sent and has no answer yet.
  bool IsAtTarget() const { return !attempts_.empty(); }
  http::ServerConnection* Connection() const { return connection_.get(); }

 private:
  class Attempt;
  enum class Purpose { kFirst, kRepeat, kHedge };

  void Select(Purpose purpose, Time now);
  void NextRound(Time now);
  void OnProbeEnd(Time now);
  void Decide(Time now);
  std::vector<Candidate> AnsweredCandidates(Time now) const;
  void EndWithoutTarget(Time now);
  void EndWithoutRoom(const Admission& admission, Time now);
  void EndSelection();
  bool SendTo(Probe& probe, Duration expected, Time now);
  Duration ObjectiveLeft(Time now) const;
  bool MayRepeat(Time now);

  void OnTimer();
  void SetTimer();
  void OnDeadline(Time now);

  void CountTargetTimeout(TargetState& target, Duration taken, Time now);
  void OnAttemptAnswered(Attempt& attempt);
  void OnAttemptFailed(Attempt& attempt, std::string_view result);
  // An attempt brought no usable answer: tries again or ends the call.
  void AfterFailure(Time now);
  void RemoveAttempt(Attempt& attempt);
  void CancelAttempts();

  void DeliverAnswer(Attempt& attempt);
  void AnswerFailure(int status, EndReason reason, Duration retry_after, Time now);
  void Finish(int status, EndReason reason, Time now);
  Candidate Describe(const TargetState& target, std::size_t index, Time now) const;
  PlacementInputs Inputs() const;
  ServiceState& Service() { return state_.services_[service_]; }

  GatewayState& state_;
  ICallOwner& owner_;
  http::ServerConnectionPtr connection_;
  http::Request request_;
  CallInfo info_;
  ActiveConfigurationPtr configuration_;
  const Route* route_ = nullptr;
  std::string service_;
  Time deadline_ = Time::max();
  bool over_ = false;

  // Selection of a target.
  bool selecting_ = false;
  Purpose purpose_ = Purpose::kFirst;
  int round_ = 0;
  Time round_end_{};
  std::vector<ProbePtr> probes_;
  std::vector<TargetId> asked_;

  // Sends.
  std::vector<std::shared_ptr<Attempt>> attempts_;
  // Ended attempts live until the call does: one may be on the call stack.
  std::vector<std::shared_ptr<Attempt>> finished_;
  std::vector<TargetId> used_;
  int sends_ = 0;
  int repeat_searched_ = 0;  // Number of sends at which a target for a repeat was searched.
  int sends_maybe_run_ = 0;  // Sends that the target didn't declare as not run.
  Time first_sent_{};
  Time hedge_at_ = Time::max();
  Duration at_target_{};
  std::string last_result_;
  std::string chosen_load_;  // Of the last target, when it was chosen.
  Duration expected_{};
  Duration retry_after_{};                 // Told to a caller that was refused.
  std::shared_ptr<Attempt> error_answer_;  // Whole answer of a target with an error status.
  bool streaming_ = false;
  eventloop::Timer timer_;
};

}  // namespace monsoonshelf::gateway
