#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/enum_names.h"

namespace monsoonshelf::http {

using Headers = std::vector<std::pair<std::string, std::string>>;

// Returns the first value of a header, or null if the header is absent. Names are compared without
// regard to case, as everywhere in this file.
const std::string* FindHeader(const Headers& headers, std::string_view name);
bool EqualsIgnoreCase(std::string_view left, std::string_view right);
// Removes all headers of that name.
void RemoveHeader(Headers& headers, std::string_view name);
// Removes the hop-by-hop headers and Expect, including the headers that Connection names.
void RemoveConnectionHeaders(Headers& headers);

struct RequestHead {
  std::string method_;
  std::string target_;  // Request target: path and query, as received.
  Headers headers_;
  bool keep_alive_ = true;
  bool expects_continue_ = false;
};

// Memory that a request head occupies.
std::size_t HeadBytes(const RequestHead& head);

struct ResponseHead {
  int status_ = 0;
  Headers headers_;
  bool keep_alive_ = true;
  bool is_close_delimited_ = false;  // The body has no length and ends when the peer closes.
};

enum class ParseError { kNone, kMalformed, kHeaderTooLarge, kBodyTooLarge };

// Why a connection, or an exchange on it, failed.
enum class Failure {
  kNone,
  kConnect,    // The connection was refused, the peer is unreachable or connecting timed out.
  kClosed,     // The peer closed the connection in order (end of stream).
  kReset,      // The connection was reset or lost, or a socket error occurred.
  kMalformed,  // The peer sent bytes that are not a valid HTTP response.
  kTooLarge,   // The peer exceeded a ResponseLimit.
};

inline constexpr EnumNames<Failure, 6> kFailureNames = {{
    {Failure::kNone, "none"},
    {Failure::kConnect, "connect"},
    {Failure::kClosed, "closed"},
    {Failure::kReset, "reset"},
    {Failure::kMalformed, "malformed"},
    {Failure::kTooLarge, "too_large"},
}};

// Part of a response whose size is limited; the field `kind` of the log line `response_too_large`.
enum class ResponseLimit {
  kHead,       // Status line and header of one response.
  kInterim,    // Interim responses (1xx) before the final one.
  kDiscarded,  // Responses to other requests.
  kFraming,    // A chunk header with its extensions, or the trailer section.
  kResponse,   // The whole response; see ClientConnection::LimitResponse.
};

inline constexpr EnumNames<ResponseLimit, 5> kResponseLimitNames = {{
    {ResponseLimit::kHead, "head"},
    {ResponseLimit::kInterim, "interim"},
    {ResponseLimit::kDiscarded, "discarded"},
    {ResponseLimit::kFraming, "framing"},
    {ResponseLimit::kResponse, "response"},
}};

}  // namespace monsoonshelf::http
