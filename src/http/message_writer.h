#pragma once

#include <string>
#include <string_view>

#include "http/http_types.h"

namespace monsoonshelf::http {

// Serializes heads of HTTP/1.1 messages. The writer sets Content-Length; other headers about the
// connection are left to the caller.

// A body of a request is announced when there is one, or when the method usually has one.
std::string FormatRequest(const std::string& method, const std::string& target,
                          const Headers& headers, std::string_view body);

// Head of a response with a body of `body_bytes`. `close` adds Connection: close.
std::string FormatResponseHead(int status, const Headers& headers, std::uint64_t body_bytes,
                               bool close);
// Head of a response whose body follows in chunks.
std::string FormatChunkedHead(int status, const Headers& headers, bool close);
std::string FormatChunk(std::string_view bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

std::string_view ReasonPhrase(int status);

}  // namespace monsoonshelf::http
