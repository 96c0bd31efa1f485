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

// What the results of calls say about a target, apart from its phase.
struct Health {
  double mean_us_ = 0;  // Moving average of the time from send to answer.
  int samples_ = 0;
  Time sampled_{};
  double failure_ = 0;  // Moving average share of failed calls.
  int failures_in_row_ = 0;
  int timeouts_in_row_ = 0;
  // An ejected target gets single trial calls, at growing intervals while they go badly.
  bool ejected_ = false;
  int level_ = 0;
  int good_trials_ = 0;
  Time next_trial_{};
};

// Calls of other hosts at a target, from its load reports.
struct ForeignLoad {
  double calls_ = 0;
  Time reported_{};
  double trust_ = 1;
};

struct TargetState {
  std::string name_;
  bool accepts_work_ = true;
  TargetPhase phase_ = TargetPhase::kCold;
  std::optional<std::uint64_t> epoch_;
  bool observed_ = false;        // A report was received here, not only by an earlier dispatcher.
  int in_flight_ = 0;            // Calls of this dispatcher.
  int background_ = 0;           // Bulk and batch calls among them.
  std::vector<Time> abandoned_;  // Times until which calls that ended here may still run there.
  Time epoch_since_{};           // When the epoch was learned.
  Time doubted_since_{};         // Last change to a phase with less work.
  Time last_response_{};         // Of a call or a probe.
  Time last_send_{};
  Time full_until_{};     // It refused a call because its slots were taken.
  Time pause_end_{};      // kSuspected: end of the pause.
  int doubts_ = 0;        // Since it was last ready.
  int warm_answers_ = 0;  // kWarming: answers so far.
  // Idle for long, or known only from a peer; one call at a time until it responds.
  bool unconfirmed_ = false;
  // A probe had no response. Without the assignment a call is then tried instead of another probe.
  bool confirmation_failed_ = false;
  Health health_;
  ForeignLoad foreign_;
  std::optional<Time> probe_sent_;
  std::deque<Time> probe_ends_;  // Recent probes, by the latest time they can have arrived.
};

// A call that was sent to a target and has not ended.
struct SentCall {
  WaitingCall waiting_;
  std::string target_;
  Time sent_{};
  Time deadline_{};
  bool failed_below_ = false;  // The answer said that no retries are left.
};

struct ForwardedCall {
  WaitingCall waiting_;
  std::string zone_;
  Time sent_{};
};

// Another shard of the service.
struct RemoteState {
  RemoteShardLoad shard_;
  Time updated_{};
  int unreported_ = 0;  // Calls forwarded after the update that have not ended.
  double share_ = 0;    // Part of the eligible calls that is forwarded.
  Time share_changed_{};
  Time blocked_until_{};
};

struct ServiceTime {
  double mean_us_ = 0;
  double low_us_ = 0;  // About one call in ten is faster.
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
  std::map<std::string, TargetSnapshot> knowledge_;
  std::optional<Time> held_until_;
  Time predecessor_end_{};
  std::array<internal::ServiceTime, 4> service_times_;  // By class.
  double retry_tokens_ = 1;
  Time last_interactive_ = Time::min();
  Time ticked_{};             // Time of the last tick.
  Time now_{};                // Latest time seen.
  bool advance_due_ = false;  // A change that returned no actions waits for the next tick.
};

}  // namespace monsoonshelf::dispatch
