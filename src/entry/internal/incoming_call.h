#pragma once

#include <libsoup/soup.h>

#include <string>

#include "entry/entry_events.h"
#include "entry/internal/gobject_ptr.h"
#include "entry/internal/router_types.h"

namespace monsoonshelf::entry {

// State of a call in the data task that accepted it.
struct IncomingCall {
  CallHandle handle_ = 0;
  GObjectPtr<SoupServerMessage> message_;
  CallHeadPtr head_;  // Null if the request was rejected before it was parsed.
  std::string body_;
  std::int64_t body_received_ = 0;
  bool body_complete_ = false;
  bool discards_body_ = false;  // The rest of the request body is not needed.
  bool paused_ = false;
  bool routed_ = false;                       // The call was passed to the router, which ends it.
  bool responded_ = false;                    // The response has begun.
  bool cancelled_ = false;                    // The call was cancelled.
  ResultCode cancel_code_ = ResultCode::kOk;  // Reason of the cancellation.

  // Write end of the pipe for a streamed request body; the sending data task reads the other end.
  std::shared_ptr<const FileDescriptor> pipe_;
  std::string pipe_pending_;
  GSource* pipe_source_ = nullptr;

  std::size_t reserved_bytes_ = 0;  // Counted against the limit for all calls.
  std::size_t sending_task_ = 0;    // Index of the data task that receives the response.
  SendId send_id_ = 0;              // Send of a streamed response; 0: none.
  bool response_complete_ = false;
  bool closes_connection_ = false;  // The response announces the end of the connection.
  bool body_written_ = false;       // libsoup has written the whole response body.

  CallEnd end_;  // Until the call ends, total_ holds its start time.
};

}  // namespace monsoonshelf::entry
