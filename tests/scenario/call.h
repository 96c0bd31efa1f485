#pragma once

#include <functional>
#include <string>

#include "base/call_outcome.h"
#include "base/result_codes.h"
#include "dispatch/dispatch_types.h"

namespace monsoonshelf::scenario {

// A call as it travels between callers, entry hosts and targets.
struct CallRequest {
  std::string id_;
  std::string service_;
  std::string zone_;
  bool idempotent_ = false;
  records::CallClass class_ = records::CallClass::kInteractive;
  Time deadline_{};
  int retry_budget_ = 1;
  bool home_hop_ = false;
  bool dispatch_hop_ = false;
  bool spill_hop_ = false;
};

// What the receiver answers. `connected_` is false when no connection could be opened.
struct CallResponse {
  bool connected_ = true;
  bool complete_ = true;  // False: the connection was lost, or no answer came in time.
  CallOutcome outcome_ = CallOutcome::kUnknown;
  ResultCode code_ = ResultCode::kOk;
  std::string body_;
};

using CallReply = std::function<void(const CallResponse&)>;

}  // namespace monsoonshelf::scenario
