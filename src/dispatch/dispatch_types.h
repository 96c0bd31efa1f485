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

// A call to be placed. The handle stays the same while the dispatcher retries the call.
struct Call {
  CallHandle handle_ = 0;
  records::CallClass class_ = records::CallClass::kInteractive;
  int priority_ = 0;  // Within a class, a call with a higher value is served first.
  bool idempotent_ = false;
  int attempts_left_ = 1;  // Sends that the routing rule still allows, including the next one.
  int retry_budget_ = 0;   // Retries left for the whole call tree.
  Time deadline_{};
  records::ZonePreference zone_preference_ = records::ZonePreference::kOwnFirst;
  bool forwarded_ = false;  // Forwarded by another shard; must not be forwarded again.
};

// Phase of a target as seen by a dispatcher. src/dispatch/target.chart.toml has the transitions.
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

// Load and phase reported by a target, in the header of an answer or by its load endpoint.
struct LoadReport {
  int in_flight_ = 0;                        // Calls from all entry hosts.
  int slots_ = 0;                            // Maximum number of concurrent calls.
  TargetPhase phase_ = TargetPhase::kReady;  // kCold, kWarming, kReady or kDraining.
  std::uint64_t epoch_ = 0;                  // Changes at each start of the target.
};

// Phase of a target as seen by the dispatcher of its shard. Entry hosts exchange snapshots, which a
// host uses if it becomes the next dispatcher of the shard.
struct TargetSnapshot {
  std::string name_;
  TargetPhase phase_ = TargetPhase::kCold;
  std::uint64_t epoch_ = 0;
};

// How one send to a target ended.
enum class SendResult {
  kAnswered,     // Complete answer with a status below 500.
  kFailed,       // Complete answer with a status of 500 or more: the call ran and failed.
  kRefused,      // The target answered with the outcome not_run.
  kUnreachable,  // The connection failed and no byte was sent.
  kLost,         // The connection was lost after the request was sent.
  kTimedOut,     // No answer before the deadline.
  kInvalid,      // Malformed answer, short body or wrong call identifier in the answer.
  kCancelled,    // The caller cancelled the call; the cancellation was passed to the target.
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
  bool accepts_work_ = true;  // False if the target is leaving or its zone is out of service.
};

// Load of another shard of the same service, from peer messages and answers to forwarded calls.
struct RemoteShardLoad {
  std::string zone_;
  int free_slots_ = 0;
  int queued_ = 0;
  int ready_targets_ = 0;
  Duration one_way_delay_{};
  int queued_interactive_ = -1;  // Queued calls of the class kInteractive, or -1 if unknown.
};

enum class ActionKind { kSend, kForward, kRefuse, kProbe };

// An action that the owner of a dispatcher must carry out.
struct Action {
  ActionKind kind_ = ActionKind::kRefuse;
  CallHandle call_ = 0;                // kSend, kForward, kRefuse.
  std::string target_;                 // kSend, kProbe.
  std::string zone_;                   // kForward: zone of the shard that receives the call.
  Time deadline_{};                    // kSend, kForward: deadline of the answer.
  ResultCode code_ = ResultCode::kOk;  // kRefuse.
  CallOutcome outcome_ = CallOutcome::kNotRun;  // kRefuse.
  int retry_budget_ = 0;                        // kSend, kForward: retries left for the call tree.
};

using Actions = std::vector<Action>;

}  // namespace monsoonshelf::dispatch
