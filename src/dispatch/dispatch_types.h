#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/base_types.h"
#include "base/call_outcome.h"
#include "base/result_codes.h"
#include "records/records_types.h"

namespace monsoonshelf::dispatch {

// Identifies a call within one entry host.
using CallHandle = std::uint64_t;

// One attempt to place a call. The same handle is kept while the dispatcher retries it.
struct Call {
  CallHandle handle_ = 0;
  records::CallClass class_ = records::CallClass::kInteractive;
  int priority_ = 0;
  bool idempotent_ = false;
  int attempts_left_ = 1;  // Sends still allowed by the rule, the next one included.
  int retry_budget_ = 0;   // Retries left for the whole call tree.
  Time deadline_{};
  records::ZonePreference zone_preference_ = records::ZonePreference::kOwnFirst;
  bool forwarded_ = false;  // Came from the dispatcher of another shard: must not be forwarded.
};

// Life of a target as a dispatcher sees it. Transitions: src/dispatch/target.chart.toml.
enum class TargetPhase { kCold, kWarming, kReady, kDraining, kLeaving, kSuspected, kGone };

inline constexpr EnumNames<TargetPhase, 7> kTargetPhaseNames = {{
    {TargetPhase::kCold, "cold"},
    {TargetPhase::kWarming, "warming"},
    {TargetPhase::kReady, "ready"},
    {TargetPhase::kDraining, "draining"},
    {TargetPhase::kLeaving, "leaving"},
    {TargetPhase::kSuspected, "suspected"},
    {TargetPhase::kGone, "gone"},
}};

// What a target says about itself, on an answer or from its load endpoint.
struct LoadReport {
  int in_flight_ = 0;  // Calls of all entry hosts.
  int slots_ = 0;
  TargetPhase phase_ = TargetPhase::kReady;  // kCold, kWarming, kReady or kDraining.
  std::uint64_t epoch_ = 0;                  // Changes at each start of the target.
};

// What a host knows about a target of a shard that it may have to dispatch later.
struct TargetSnapshot {
  std::string name_;
  TargetPhase phase_ = TargetPhase::kCold;
  std::uint64_t epoch_ = 0;
};

// How one send to a target ended.
enum class SendResult {
  kAnswered,     // Whole answer with a status below 500.
  kFailed,       // Whole answer with a status of 500 or more: the call ran and failed.
  kRefused,      // The target said not_run.
  kUnreachable,  // No connection; no byte was sent.
  kLost,         // The connection was lost after sending.
  kTimedOut,     // No answer before the deadline.
  kInvalid,      // Wrong echo, short body or malformed answer.
  kCancelled,    // The caller went away; cancellation was passed on.
};

inline constexpr EnumNames<SendResult, 8> kSendResultNames = {{
    {SendResult::kAnswered, "answered"},
    {SendResult::kFailed, "failed"},
    {SendResult::kRefused, "refused"},
    {SendResult::kUnreachable, "unreachable"},
    {SendResult::kLost, "lost"},
    {SendResult::kTimedOut, "timed_out"},
    {SendResult::kInvalid, "invalid"},
    {SendResult::kCancelled, "cancelled"},
}};

// A target of the shard, from the configuration.
struct TargetSpec {
  std::string name_;
  bool accepts_work_ = true;  // False when leaving or when its zone is out.
};

// Load of another shard of the same service, from peers and from answers to forwarded calls.
struct RemoteShardLoad {
  std::string zone_;
  int free_slots_ = 0;
  int queued_ = 0;
  int ready_targets_ = 0;
  Duration one_way_delay_{};
  int queued_interactive_ = -1;  // Interactive calls among those queued; -1: not known.
};

enum class ActionKind { kSend, kForward, kRefuse, kProbe };

// What the owner of a dispatcher must do next.
struct Action {
  ActionKind kind_ = ActionKind::kRefuse;
  CallHandle call_ = 0;                // kSend, kForward, kRefuse.
  std::string target_;                 // kSend, kProbe.
  std::string zone_;                   // kForward: the zone whose dispatcher gets the call.
  Time deadline_{};                    // kSend: time by which the answer must be there.
  ResultCode code_ = ResultCode::kOk;  // kRefuse.
  CallOutcome outcome_ = CallOutcome::kNotRun;  // kRefuse.
  int retry_budget_ = 0;                        // kSend, kForward: retries left for the call tree.
};

using Actions = std::vector<Action>;

}  // namespace monsoonshelf::dispatch
