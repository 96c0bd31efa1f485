#pragma once

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "dispatch/dispatcher.h"
#include "dispatch/internal/call_queue.h"

namespace monsoonshelf::dispatch::internal {

// Service time and failures of the calls to a target, and its ejection state.
struct TargetHealth {
  double mean_us_ = 0;  // Moving average of the service time: from send to answer.
  int samples_ = 0;
  Time last_sample_time_{};
  double failure_rate_ = 0;  // Moving average of the share of failed calls.
  int consecutive_failures_ = 0;
  int consecutive_timeouts_ = 0;
  // An ejected target receives single trial calls. Their interval grows as long as they fail.
  bool ejected_ = false;
  int backoff_level_ = 0;  // Doublings of the trial interval.
  int successful_trials_ = 0;
  Time next_trial_time_{};
};

// Calls that other entry hosts have in flight at a target, derived from its load reports.
struct OtherHostsLoad {
  double in_flight_ = 0;
  Time report_time_{};
  double confidence_ = 1;  // 0 to 1; drops if a report misses calls of this dispatcher.
};

struct TargetState {
  std::string name_;
  bool accepts_work_ = true;
  TargetPhase phase_ = TargetPhase::kCold;
  std::optional<std::uint64_t> epoch_;
  bool observed_locally_ = false;  // This dispatcher has received a load report.
  int in_flight_ = 0;              // Calls sent by this dispatcher.
  int background_in_flight_ = 0;   // Bulk and batch calls among them.
  // For each call that ended here but may still run at the target, the time until which it may run.
  std::vector<Time> abandoned_until_;
  Time epoch_learned_time_{};  // When the current epoch was first seen.
  Time downgrade_time_{};      // Last change to a phase other than kReady and kWarming.
  Time last_response_time_{};  // Response to a call or a probe.
  Time last_send_time_{};
  Time full_until_{};           // No calls until then: the target refused a call for lack of slots.
  Time suspicion_pause_end_{};  // kSuspected: the earliest time of a retry.
  int suspicion_count_ = 0;     // Changes to kSuspected since the target was last kReady.
  int warming_answers_ = 0;     // kWarming: answers received in this phase.
  // The target was silent for long or is known only from a snapshot. It receives one call at a time
  // until it responds.
  bool unconfirmed_ = false;
  // A probe failed. Without the assignment, the target then receives a call instead of another
  // probe.
  bool confirmation_failed_ = false;
  TargetHealth health_;
  OtherHostsLoad other_hosts_load_;
  std::optional<Time> probe_sent_time_;
  std::deque<Time> probe_end_times_;  // Recent probes. A probe reached the target before its end.
};

// A call that was sent to a target and has not ended.
struct SentCall {
  PendingCall pending_;
  std::string target_;
  Time sent_time_{};
  Time deadline_{};
  bool retry_budget_exhausted_ = false;  // The answer reported a retry budget of 0.
};

// A call that was forwarded to another shard and has not ended.
struct ForwardedCall {
  PendingCall pending_;
  std::string zone_;
  Time sent_time_{};
};

// Load of another shard of the service, and the control of forwarding to it.
struct RemoteState {
  RemoteShardLoad load_;
  Time update_time_{};
  int unreported_forwards_ = 0;  // Open forwarded calls that `load_` does not include.
  double forward_share_ = 0;     // Share of the eligible calls that is forwarded.
  Time share_change_time_{};
  Time blocked_until_{};  // No calls are forwarded until then.
};

// Service times of a call class over all targets.
struct ServiceTime {
  double mean_us_ = 0;
  double p10_us_ = 0;  // Estimate of the 10th percentile.
  int samples_ = 0;
};

}  // namespace monsoonshelf::dispatch::internal

namespace monsoonshelf::dispatch {

struct Dispatcher {
  ShardSettings settings_;
  std::vector<internal::TargetState> targets_;
  internal::CallQueue queue_;
  std::unordered_map<CallHandle, internal::SentCall> sent_;
  std::unordered_map<CallHandle, internal::ForwardedCall> forwarded_;
  std::map<std::string, internal::RemoteState> remotes_;
  std::map<std::string, TargetSnapshot> snapshots_;  // Of targets not yet in the configuration.
  std::optional<Time> held_until_;                   // End of the assignment.
  Time predecessor_end_{};  // End of the assignment of the previous holder.
  std::array<internal::ServiceTime, 4> service_times_;  // By call class.
  double retry_tokens_ = 1;                             // Token bucket; a retry consumes one token.
  Time last_interactive_arrival_ = Time::min();
  Time last_tick_{};
  Time now_{};             // Latest time passed to the dispatcher.
  bool tick_due_ = false;  // The next tick must apply a change that returned no actions.
};

}  // namespace monsoonshelf::dispatch
