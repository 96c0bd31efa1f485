#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "coordination/coordination_types.h"

namespace monsoonshelf::store::detail {

// Largest response. A listing of the design scale (68 services, 1,100 targets) is below 1 MiB.
inline constexpr std::size_t kMaxAnswerBytes = 16 << 20;

// HTTP call for a request.
struct HttpCall {
  std::string method_;
  std::string path_;  // With the query.
  bool is_write_ = false;
};

// Nothing if a kind or a name is invalid.
std::optional<HttpCall> MakeHttpCall(const coordination::PlatformRequest& request);

// Reads a complete response. The code is kPlatformInvalidAnswer, also for writes, if the response
// is not one that the request can have.
coordination::PlatformReply ReadAnswer(const coordination::PlatformRequest& request, int status,
                                       std::string_view body);

}  // namespace monsoonshelf::store::detail
