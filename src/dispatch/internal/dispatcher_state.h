#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/dispatcher.h"
#include "dispatch/internal/call_queue.h"

namespace monsoonshelf::dispatch::internal {

struct TargetState {
  std::string name_;
  bool accepts_work_ = true;
  TargetPhase phase_ = TargetPhase::kCold;
  std::uint64_t epoch_ = 0;  // 0: not known yet.
  int in_flight_ = 0;        // Calls of this dispatcher.
  int background_ = 0;       // Bulk and batch calls among them.
  std::optional<Time> probe_sent_;
  Time next_probe_{};
};

// A call that was sent to a target and has not ended.
struct SentCall {
  WaitingCall waiting_;
  std::string target_;
  Time sent_{};
  Time deadline_{};
};

struct ForwardedCall {
  WaitingCall waiting_;
  std::string zone_;
  Time sent_{};
};

}  // namespace monsoonshelf::dispatch::internal

namespace monsoonshelf::dispatch {

struct Dispatcher {
  ShardSettings settings_;
  std::vector<internal::TargetState> targets_;
  internal::CallQueue queue_;
  std::map<CallHandle, internal::SentCall> sent_;
  std::map<CallHandle, internal::ForwardedCall> forwarded_;
  std::map<std::string, RemoteShard> remotes_;
  std::map<std::string, TargetKnowledge> knowledge_;
  std::optional<Time> held_until_;
  Time predecessor_end_{};
};

}  // namespace monsoonshelf::dispatch
