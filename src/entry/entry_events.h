#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/base_types.h"
#include "base/call_outcome.h"
#include "base/key_value.h"
#include "base/result_codes.h"
#include "coordination/coordination_types.h"

namespace monsoonshelf::entry {

// Summary of a finished call on this host, for the log and the metrics.
struct CallEnd {
  std::string call_id_;
  std::string service_;
  std::string shard_zone_;
  std::string hops_;
  int status_ = 0;
  CallOutcome outcome_ = CallOutcome::kUnknown;
  ResultCode code_ = ResultCode::kOk;
  Duration total_{};      // From the request headers to the end of the response.
  Duration in_target_{};  // Duration of the last send; zero if nothing was sent.
  bool caller_gone_ = false;
};

// The callbacks run on the threads of the data and dispatch tasks, so they must be safe to call
// concurrently.
struct EntryCallbacks {
  std::function<void(const CallEnd&)> call_end_;
  std::function<void(const KeyValues&)> event_;
  std::function<void(const std::vector<coordination::ShardLoad>&)> local_shards_;
};

}  // namespace monsoonshelf::entry
