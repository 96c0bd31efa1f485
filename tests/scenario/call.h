#pragma once

#include <functional>
#include <string>

#include "base/call_outcome.h"
#include "base/result_codes.h"
#include "dispatch/dispatch_types.h"

namespace monsoonshelf::scenario {

// A call, as callers and entry hosts pass it on. The flags tell which hops it has already made.
struct CallRequest {
  std::string id_;
  std::string service_;
  std::string zone_;
  bool idempotent_ = false;
  records::CallClass class_ = records::CallClass::kInteractive;
  Time deadline_{};
  int retry_budget_ = 1;                  // Retries that hosts may still make.
  bool forwarded_to_home_ = false;        // To the host that its identifier names.
  bool forwarded_to_dispatcher_ = false;  // To the dispatcher of its shard.
  bool spilled_ = false;                  // To the dispatcher of another zone.
};

// Result of sending a call to an entry host.
struct CallResponse {
  bool connected_ = true;  // False if no connection could be opened.
  bool complete_ = true;   // False if the connection was lost or no answer came in time.
  CallOutcome outcome_ = CallOutcome::kUnknown;
  ResultCode code_ = ResultCode::kOk;
  std::string body_;
};

using ResponseCallback = std::function<void(const CallResponse&)>;

}  // namespace monsoonshelf::scenario
