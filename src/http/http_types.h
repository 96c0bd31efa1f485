#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/enum_names.h"

namespace monsoonshelf::http {

using Headers = std::vector<std::pair<std::string, std::string>>;

// First value of a header; names are compared without regard to case. Null if it is absent.
const std::string* FindHeader(const Headers& headers, std::string_view name);
bool EqualsIgnoreCase(std::string_view left, std::string_view right);
void RemoveHeader(Headers& headers, std::string_view name);
// Removes the headers that concern one connection only, those named by Connection included.
void RemoveConnectionHeaders(Headers& headers);

struct RequestHead {
  std::string method_;
  std::string target_;  // Path and query, as sent.
  Headers headers_;
  bool keep_alive_ = true;
  bool expects_continue_ = false;
};

struct ResponseHead {
  int status_ = 0;
  Headers headers_;
  bool keep_alive_ = true;
  bool is_close_delimited_ = false;  // The body has no length.
};

enum class ParseError { kNone, kMalformed, kHeaderTooLarge, kBodyTooLarge };

// How a connection or an exchange on it ended before its time.
enum class Failure {
  kNone,
  kConnect,    // No connection: refused, unreachable or timed out.
  kClosed,     // The peer closed the connection in order.
  kReset,      // The connection was reset or lost.
  kMalformed,  // Bytes that are no answer in the protocol.
};

inline constexpr EnumNames<Failure, 5> kFailureNames = {{
    {Failure::kNone, "none"},
    {Failure::kConnect, "connect"},
    {Failure::kClosed, "closed"},
    {Failure::kReset, "reset"},
    {Failure::kMalformed, "malformed"},
}};

}  // namespace monsoonshelf::http
