#pragma once

#include <string>
#include <string_view>

#include "http/http_types.h"

namespace monsoonshelf::http {

// Serialize HTTP/1.1 messages. These functions add Content-Length or Transfer-Encoding, and
// Connection: close if `close` is set. All other headers, such as Host, are left to the caller.

// Serializes a request with its body. Content-Length is added if the body is not empty or the
// method is neither GET nor HEAD.
std::string FormatRequest(const std::string& method, const std::string& target,
                          const Headers& headers, std::string_view body);

// Serializes the head of a response whose body has `body_bytes` bytes. `close` adds
// Connection: close.
std::string FormatResponseHead(int status, const Headers& headers, std::uint64_t body_bytes,
                               bool close);
// Serializes the head of a response with a chunked body, which consists of FormatChunk calls and
// kLastChunk.
std::string FormatChunkedHead(int status, const Headers& headers, bool close);
std::string FormatChunk(std::string_view bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

// Returns "Status" for a status code without a known reason phrase.
std::string_view ReasonPhrase(int status);

}  // namespace monsoonshelf::http
