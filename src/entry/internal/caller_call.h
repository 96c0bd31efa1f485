#pragma once

#include <libsoup/soup.h>

#include <string>

#include "entry/entry_events.h"
#include "entry/internal/gobject_ptr.h"
#include "entry/internal/router_types.h"

namespace monsoonshelf::entry {

// One call of a caller at the data task that accepted it.
struct CallerCall {
  CallHandle handle_ = 0;
  GObjectPtr<SoupServerMessage> message_;
  CallHeadPtr head_;  // Null when the request was refused before it was valid.
  std::string body_;
  std::int64_t body_received_ = 0;
  bool body_complete_ = false;
  bool discards_body_ = false;  // The response is decided; the rest of the body is not needed.
  bool paused_ = false;
  bool routed_ = false;                     // The router has the call and ends it.
  bool responded_ = false;                  // Status and headers of the response are set.
  bool gone_ = false;                       // The router was told that the caller went away.
  ResultCode gone_code_ = ResultCode::kOk;  // Why, when it was not the caller.

  // Streamed request body: bytes go into a pipe that the sending task reads.
  std::shared_ptr<const FileDescriptor> pipe_;
  std::string pipe_pending_;
  GSource* pipe_source_ = nullptr;

  std::size_t reserved_ = 0;  // Bytes counted against the cap over all calls.
  std::size_t sender_ = 0;    // Data task that streams the response.
  SendId send_ = 0;           // Streamed response; 0: none.
  bool response_complete_ = false;
  bool wrote_body_ = false;  // libsoup has written the whole body to the caller.

  CallEnd end_;
};

}  // namespace monsoonshelf::entry
