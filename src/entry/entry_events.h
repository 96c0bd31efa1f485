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

// End of one call at this host, for log and metrics.
struct CallEnd {
  std::string call_id_;
  std::string service_;
  std::string shard_zone_;
  std::string hops_;
  int status_ = 0;
  CallOutcome outcome_ = CallOutcome::kUnknown;
  ResultCode code_ = ResultCode::kOk;
  Duration total_{};      // From the head of the request to the end of the response.
  Duration in_target_{};  // From the start of the last send to its end; zero without one.
  bool caller_gone_ = false;
};

// Called on the threads of the tasks; receivers must be safe for concurrent use.
struct EntryCallbacks {
  std::function<void(const CallEnd&)> call_end_;
  std::function<void(const KeyValues&)> event_;
  std::function<void(const std::vector<coordination::ShardLoad>&)> local_shards_;
};

}  // namespace monsoonshelf::entry
