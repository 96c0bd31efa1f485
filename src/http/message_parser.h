#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "http/http_types.h"

namespace monsoonshelf::http {

// Parsers of one message each. They read no sockets: bytes are put in, and the parsed parts are
// taken out. Feed returns how many bytes were consumed; the rest must be offered again together
// with the bytes that follow.

class RequestParser {
 public:
  RequestParser(std::size_t max_header_bytes, std::uint64_t max_body_bytes);
  ~RequestParser();
  std::size_t Feed(std::string_view bytes);
  bool HasHead() const;
  bool IsDone() const;
  ParseError Error() const;
  RequestHead& Head();
  std::string& Body();  // What has arrived so far.

 private:
  struct Parser;
  std::unique_ptr<Parser> parser_;
};

class ResponseParser {
 public:
  explicit ResponseParser(bool has_no_body);  // True for the response to a HEAD request.
  ~ResponseParser();
  std::size_t Feed(std::string_view bytes);
  // The peer closed the connection in order, which ends a body without a length.
  void FeedEof();
  bool HasHead() const;
  bool IsDone() const;
  ParseError Error() const;
  ResponseHead& Head();
  std::string& Body();  // What has arrived and was not taken; callers may clear it.

 private:
  struct Parser;
  std::unique_ptr<Parser> parser_;
};

// Upper bound of the header of a response from a target or the store, in bytes.
inline constexpr std::size_t kMaxResponseHeaderBytes = std::size_t{64} * 1024;

}  // namespace monsoonshelf::http
