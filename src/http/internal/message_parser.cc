#include "http/message_parser.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>

namespace monsoonshelf::http {

namespace {

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using beast::string_view;

// HTTP/1.1, as Beast writes it.
constexpr int kFirstChunkedVersion = 11;
// Every supported status line begins with this.
constexpr std::string_view kStatusLinePrefix = "HTTP/1.";

constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;

// Returns whether the text is a token of RFC 9110, as the name of a field has to be.
bool IsToken(string_view text) {
  static constexpr std::string_view kSpecialCharacters = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char character) {
    const bool is_alphanumeric = (character >= 'a' && character <= 'z') ||
                                 (character >= 'A' && character <= 'Z') ||
                                 (character >= '0' && character <= '9');
    return is_alphanumeric || kSpecialCharacters.find(character) != std::string_view::npos;
  });
}

// Returns whether the text has no control character except tabs.
bool IsFieldValue(string_view text) {
  return std::none_of(text.begin(), text.end(), [](unsigned char byte) {
    return (byte < 0x20 && byte != '\t') || byte == 0x7f;
  });
}

// Finds lines of a header that continue the one before. Beast joins such lines, but other programs
// that read the message may not. The header is passed in parts.
class FoldedLineFinder {
 public:
  // Returns whether a folded line was found.
  bool Scan(std::string_view bytes) {
    for (const char byte : bytes) {
      if (line_end_bytes_ == 2 && (byte == ' ' || byte == '\t')) found_ = true;
      if (byte == '\r') {
        line_end_bytes_ = 1;
      } else {
        line_end_bytes_ = byte == '\n' && line_end_bytes_ == 1 ? 2 : 0;
      }
    }
    return found_;
  }

 private:
  int line_end_bytes_ = 0;  // Of CR LF.
  bool found_ = false;
};

bool IsNumber(std::string_view text) {
  return !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos;
}

std::string ToString(string_view text) { return {text.data(), text.size()}; }

// Beast parser that stores the start line, headers and body of a message. Serves requests and
// responses, depending on `kIsRequest`.
template <bool kIsRequest>
class BufferingParser : public bhttp::basic_parser<kIsRequest> {
 public:
  std::size_t FeedBytes(std::string_view bytes) {
    std::size_t consumed = 0;
    while (consumed < bytes.size() && !this->is_done() && error_ == ParseError::kNone) {
      beast::error_code code;
      const bool had_header = this->is_header_done();
      const std::size_t count = this->put(
          boost::asio::const_buffer(bytes.data() + consumed, bytes.size() - consumed), code);
      consumed += count;
      if (!had_header && folded_lines_.Scan(bytes.substr(consumed - count, count))) {
        error_ = ParseError::kMalformed;
      }
      if (code == bhttp::error::need_more) break;
      if (code) SetError(code);
      if (count == 0) break;
    }
    // Beast limits the header, but neither chunk headers nor trailers, which it leaves unparsed
    // until they are complete.
    if (error_ == ParseError::kNone && this->is_header_done() && !this->is_done() &&
        this->chunked() && bytes.size() - consumed > kMaxChunkFramingBytes) {
      error_ = ParseError::kBodyTooLarge;
    }
    return consumed;
  }

  void SetError(const beast::error_code& code) {
    if (code == bhttp::error::header_limit) {
      error_ = ParseError::kHeaderTooLarge;
    } else if (code == bhttp::error::body_limit) {
      error_ = ParseError::kBodyTooLarge;
    } else {
      error_ = ParseError::kMalformed;
    }
  }

  ParseError error_ = ParseError::kNone;
  std::size_t max_fields_ = std::numeric_limits<std::size_t>::max();
  Headers headers_;
  std::string method_;
  std::string target_;
  int status_ = 0;
  int version_ = 0;  // 10 or 11.
  std::string body_;
  FoldedLineFinder folded_lines_;

 protected:
  void on_request_impl(bhttp::verb /*method*/, string_view method, string_view target, int version,
                       beast::error_code& code) override {
    code = {};
    version_ = version;
    method_ = ToString(method);
    target_ = ToString(target);
  }
  void on_response_impl(int status, string_view /*reason*/, int version,
                        beast::error_code& code) override {
    code = {};
    version_ = version;
    status_ = status;
    if (status < kMinStatus || status > kMaxStatus) code = bhttp::error::bad_status;
  }
  void on_field_impl(bhttp::field /*field*/, string_view name, string_view value,
                     beast::error_code& code) override {
    code = {};
    if (!IsToken(name)) {
      code = bhttp::error::bad_field;
    } else if (!IsFieldValue(value)) {
      code = bhttp::error::bad_value;
    } else if (!this->is_header_done() && headers_.size() >= max_fields_) {
      code = bhttp::error::header_limit;
    } else if (!this->is_header_done()) {
      headers_.emplace_back(ToString(name), ToString(value));
    }
  }
  // Beast lets messages with an unknown transfer coding through, as if their bodies ended with the
  // connection.
  void on_header_impl(beast::error_code& code) override {
    code = {};
    bool has_coding = false;
    for (const auto& [name, value] : headers_) {
      // Beast also reads lists of numbers.
      if (EqualsIgnoreCase(name, "Content-Length") && !IsNumber(value)) {
        code = bhttp::error::bad_content_length;
      }
      if (!EqualsIgnoreCase(name, "Transfer-Encoding")) continue;
      if (has_coding || !EqualsIgnoreCase(value, "chunked") || version_ < kFirstChunkedVersion) {
        code = bhttp::error::bad_transfer_encoding;
      }
      has_coding = true;
    }
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                         beast::error_code& code) override {
    code = {};
  }
  std::size_t on_body_impl(string_view bytes, beast::error_code& code) override {
    code = {};
    body_.append(bytes.data(), bytes.size());
    return bytes.size();
  }
  void on_chunk_header_impl(std::uint64_t /*size*/, string_view /*extensions*/,
                            beast::error_code& code) override {
    code = {};
  }
  std::size_t on_chunk_body_impl(std::uint64_t /*left*/, string_view bytes,
                                 beast::error_code& code) override {
    code = {};
    body_.append(bytes.data(), bytes.size());
    return bytes.size();
  }
  void on_finish_impl(beast::error_code& code) override { code = {}; }
};

}  // namespace

struct RequestParser::Parser : BufferingParser<true> {
  RequestHead head_;
  bool has_head_ = false;
};

RequestParser::RequestParser(std::size_t max_header_bytes, std::uint64_t max_body_bytes,
                             std::size_t max_fields)
    : parser_(std::make_unique<Parser>()) {
  parser_->max_fields_ = max_fields;
  parser_->header_limit(static_cast<std::uint32_t>(
      std::min<std::size_t>(max_header_bytes, std::numeric_limits<std::uint32_t>::max())));
  parser_->body_limit(max_body_bytes);
}

RequestParser::~RequestParser() = default;

std::size_t RequestParser::Feed(std::string_view bytes) {
  const std::size_t consumed = parser_->FeedBytes(bytes);
  if (!parser_->has_head_ && parser_->is_header_done()) {
    parser_->has_head_ = true;
    RequestHead& head = parser_->head_;
    head.method_ = std::move(parser_->method_);
    head.target_ = std::move(parser_->target_);
    head.headers_ = std::move(parser_->headers_);
    head.headers_.shrink_to_fit();  // The request may wait for its body.
    head.keep_alive_ = parser_->keep_alive();
    const std::string* expect = FindHeader(head.headers_, "Expect");
    head.expects_continue_ = expect != nullptr && EqualsIgnoreCase(*expect, "100-continue");
  }
  return consumed;
}

bool RequestParser::HasHead() const { return parser_->has_head_; }
bool RequestParser::IsDone() const { return parser_->is_done(); }
ParseError RequestParser::Error() const { return parser_->error_; }
RequestHead& RequestParser::Head() { return parser_->head_; }
std::string& RequestParser::Body() { return parser_->body_; }
std::size_t RequestParser::FieldBytes() const {
  return parser_->headers_.capacity() * sizeof(Headers::value_type);
}

struct ResponseParser::Parser : BufferingParser<false> {
  ResponseHead head_;
  bool has_head_ = false;
};

ResponseParser::ResponseParser(bool has_no_body) : parser_(std::make_unique<Parser>()) {
  parser_->header_limit(kMaxResponseHeaderBytes);
  parser_->body_limit(boost::none);
  if (has_no_body) parser_->skip(true);
}

ResponseParser::~ResponseParser() = default;

std::size_t ResponseParser::Feed(std::string_view bytes) {
  // After a short first read, Beast waits for the end of the header before it checks the version.
  const std::string_view begin = bytes.substr(0, kStatusLinePrefix.size());
  if (parser_->status_ == 0 && !kStatusLinePrefix.starts_with(begin)) {
    parser_->error_ = ParseError::kMalformed;
    return 0;
  }
  const std::size_t consumed = parser_->FeedBytes(bytes);
  if (!parser_->has_head_ && parser_->is_header_done()) {
    parser_->has_head_ = true;
    ResponseHead& head = parser_->head_;
    head.status_ = parser_->status_;
    head.headers_ = std::move(parser_->headers_);
    head.keep_alive_ = parser_->keep_alive();
    head.is_close_delimited_ = parser_->need_eof();
  }
  return consumed;
}

void ResponseParser::FeedEof() {
  if (parser_->is_done() || parser_->error_ != ParseError::kNone) return;
  // put_eof() treats a message without a head as complete.
  if (!parser_->has_head_) {
    parser_->error_ = ParseError::kMalformed;
    return;
  }
  beast::error_code code;
  parser_->put_eof(code);
  if (code) parser_->SetError(code);
}

bool ResponseParser::HasHead() const { return parser_->has_head_; }
bool ResponseParser::IsDone() const { return parser_->is_done(); }
ParseError ResponseParser::Error() const { return parser_->error_; }
ResponseHead& ResponseParser::Head() { return parser_->head_; }
std::string& ResponseParser::Body() { return parser_->body_; }

}  // namespace monsoonshelf::http
