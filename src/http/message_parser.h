#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "http/http_types.h"

namespace monsoonshelf::http {

// Incremental HTTP/1.1 parsers that do not access sockets. A parser object parses one message. Feed
// returns the number of consumed bytes; the caller passes the remaining bytes again, followed by
// the bytes received since. Error() is kHeaderTooLarge if the header exceeds its limit, and
// kBodyTooLarge if the body exceeds its limit or kMaxChunkFramingBytes is exceeded.

// Default limit on the number of header fields of a request. Requests of ordinary callers have less
// than a hundred.
inline constexpr std::size_t kMaxRequestFields = 1000;

class RequestParser {
 public:
  // A header with more than `max_fields` fields is too large.
  RequestParser(std::size_t max_header_bytes, std::uint64_t max_body_bytes,
                std::size_t max_fields = kMaxRequestFields);
  ~RequestParser();
  std::size_t Feed(std::string_view bytes);
  bool HasHead() const;
  bool IsDone() const;
  ParseError Error() const;
  RequestHead& Head();
  std::string& Body();  // Body bytes received so far.
  // Memory of the fields of a head that is not complete.
  std::size_t FieldBytes() const;

 private:
  struct Parser;
  std::unique_ptr<Parser> parser_;
};

class ResponseParser {
 public:
  // `has_no_body` is true for the response to a HEAD request.
  explicit ResponseParser(bool has_no_body);
  ~ResponseParser();
  std::size_t Feed(std::string_view bytes);
  // Signals that the peer closed the connection in order. This completes a body without a length
  // and is an error in any other unfinished message.
  void FeedEof();
  bool HasHead() const;
  bool IsDone() const;
  ParseError Error() const;
  ResponseHead& Head();
  std::string& Body();  // Body bytes that the caller has not removed yet; the caller may clear it.

 private:
  struct Parser;
  std::unique_ptr<Parser> parser_;
};

// Maximum size of a response header, in bytes.
inline constexpr std::size_t kMaxResponseHeaderBytes = std::size_t{64} * 1024;
// Maximum size of a chunk header with its extensions, or of the trailer section, in bytes.
inline constexpr std::size_t kMaxChunkFramingBytes = std::size_t{16} * 1024;

}  // namespace monsoonshelf::http
