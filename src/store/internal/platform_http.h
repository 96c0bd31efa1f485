#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "coordination/coordination_types.h"

namespace monsoonshelf::store::detail {

// Maximum size of a response. A list response at the design scale (68 services, 1,100 targets) is
// below 1 MiB.
inline constexpr std::size_t kMaxResponseBytes = 16 << 20;

// The HTTP request for a PlatformRequest, without its body.
struct HttpRequest {
  std::string method_;
  std::string path_;  // Includes the query.
  bool is_write_ = false;
};

// Returns std::nullopt if a kind or a name is invalid.
std::optional<HttpRequest> MakeHttpRequest(const coordination::PlatformRequest& request);

// Parses a complete response. The code is kPlatformInvalidAnswer, also for writes, if the response
// does not match the request.
coordination::PlatformReply ParseHttpResponse(const coordination::PlatformRequest& request,
                                              int status, std::string_view body);

}  // namespace monsoonshelf::store::detail
