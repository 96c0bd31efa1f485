#include "http/message_parser.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace monsoonshelf::http {

class MessageParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MessageParserTest);
  CPPUNIT_TEST(ParsesRequestFedByteByByte);
  CPPUNIT_TEST(StopsBeforePipelinedRequest);
  CPPUNIT_TEST(RejectsAmbiguousLengths);
  CPPUNIT_TEST(LimitsHeaderAndBodySize);
  CPPUNIT_TEST(ParsesChunkedBody);
  CPPUNIT_TEST(CloseDelimitedResponseEndsAtEof);
  CPPUNIT_TEST(TruncatedResponseIsNotComplete);
  CPPUNIT_TEST(RejectsBytesThatAreNotHttp);
  CPPUNIT_TEST(RejectsMalformedResponseHeads);
  CPPUNIT_TEST(RejectsMalformedRequestHeads);
  CPPUNIT_TEST(AcceptsUnusualHeads);
  CPPUNIT_TEST(RemovesConnectionHeaders);
  CPPUNIT_TEST(LimitsNumberOfFields);
  CPPUNIT_TEST_SUITE_END();

 public:
  static constexpr std::size_t kMaxHeaderBytes = 1024;
  static constexpr std::uint64_t kMaxBodyBytes = 100;

  // Guards against requests of legal size whose parsed fields hold many times their size.
  void LimitsNumberOfFields() {
    const std::string head = "GET / HTTP/1.1\r\na:\r\na:\r\na:\r\n";
    RequestParser at_limit(kMaxHeaderBytes, kMaxBodyBytes, 3);
    at_limit.Feed(head + "\r\n");
    CPPUNIT_ASSERT(at_limit.IsDone());
    RequestParser above_limit(kMaxHeaderBytes, kMaxBodyBytes, 3);
    above_limit.Feed(head + "a:\r\n\r\n");
    CPPUNIT_ASSERT(above_limit.Error() == ParseError::kHeaderTooLarge);
  }

  // Guards against losing bytes when a message is split over several reads.
  void ParsesRequestFedByteByByte() {
    const std::string text = "POST /a/b?c HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";
    RequestParser parser(kMaxHeaderBytes, kMaxBodyBytes);
    std::string buffer;
    for (const char byte : text) {
      buffer.push_back(byte);
      buffer.erase(0, parser.Feed(buffer));
    }
    CPPUNIT_ASSERT(parser.IsDone());
    CPPUNIT_ASSERT_EQUAL(std::string("/a/b?c"), parser.Head().target_);
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), parser.Body());
    CPPUNIT_ASSERT(parser.Head().keep_alive_);
  }

  // Guards against parsing a pipelined request as part of the first one.
  void StopsBeforePipelinedRequest() {
    const std::string first = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    RequestParser parser(kMaxHeaderBytes, kMaxBodyBytes);
    CPPUNIT_ASSERT_EQUAL(first.size(), parser.Feed(first + "GET /2 HTTP/1.1\r\n"));
    CPPUNIT_ASSERT(parser.IsDone());
  }

  // Guards against request smuggling, where two servers disagree on the end of a request.
  void RejectsAmbiguousLengths() {
    for (const std::string header :
         {"Content-Length: 5\r\nTransfer-Encoding: chunked",
          "Content-Length: 5\r\nContent-Length: 6",
          "Transfer-Encoding: chunked\r\nContent-Length: 5", "Content-Length: -1"}) {
      RequestParser parser(kMaxHeaderBytes, kMaxBodyBytes);
      parser.Feed("POST / HTTP/1.1\r\nHost: h\r\n" + header + "\r\n\r\nhello");
      CPPUNIT_ASSERT_MESSAGE(header, parser.Error() == ParseError::kMalformed);
    }
  }

  // Guards against unbounded memory use, and against reporting the wrong limit (431 or 413).
  void LimitsHeaderAndBodySize() {
    RequestParser header(kMaxHeaderBytes, kMaxBodyBytes);
    header.Feed("GET / HTTP/1.1\r\nX: " + std::string(2 * kMaxHeaderBytes, 'x') + "\r\n\r\n");
    CPPUNIT_ASSERT(header.Error() == ParseError::kHeaderTooLarge);
    RequestParser body(kMaxHeaderBytes, kMaxBodyBytes);
    body.Feed("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n");
    CPPUNIT_ASSERT(body.Error() == ParseError::kBodyTooLarge);
    RequestParser chunks(kMaxHeaderBytes, kMaxBodyBytes);
    chunks.Feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" +
                std::string(101, 'x') + "\r\n0\r\n\r\n");
    CPPUNIT_ASSERT(chunks.Error() == ParseError::kBodyTooLarge);
  }

  void ParsesChunkedBody() {
    RequestParser parser(kMaxHeaderBytes, kMaxBodyBytes);
    parser.Feed(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    CPPUNIT_ASSERT(parser.IsDone());
    CPPUNIT_ASSERT_EQUAL(std::string("abcde"), parser.Body());
  }

  // Guards against waiting forever for the end of a response without a length.
  void CloseDelimitedResponseEndsAtEof() {
    ResponseParser parser(false);
    parser.Feed("HTTP/1.1 200 OK\r\n\r\nabc");
    CPPUNIT_ASSERT(!parser.IsDone());
    CPPUNIT_ASSERT(parser.Head().is_close_delimited_);
    parser.FeedEof();
    CPPUNIT_ASSERT(parser.IsDone());
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), parser.Body());
  }

  // Guards against treating a truncated body as complete.
  void TruncatedResponseIsNotComplete() {
    ResponseParser parser(false);
    parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc");
    parser.FeedEof();
    CPPUNIT_ASSERT(!parser.IsDone());
    CPPUNIT_ASSERT(parser.Error() != ParseError::kNone);
  }

  void RejectsBytesThatAreNotHttp() {
    ResponseParser parser(false);
    parser.Feed("\x01\x02 what is this\r\n\r\n");
    CPPUNIT_ASSERT(parser.Error() == ParseError::kMalformed);
  }

  static std::string Concatenate(const std::vector<std::string>& parts) {
    std::string text;
    for (const std::string& part : parts) text += part;
    return text;
  }

  // Returns the verdict on a response, which must not depend on how its bytes are split.
  static ParseError VerdictOnResponse(const std::string& text) {
    ParseError verdict = ParseError::kNone;
    for (std::size_t split = 0; split <= text.size(); ++split) {
      ResponseParser parser(false);
      std::string input = text.substr(0, split);
      input.erase(0, parser.Feed(input));
      if (parser.Error() == ParseError::kNone && !parser.IsDone()) {
        input += text.substr(split);
        parser.Feed(input);
      }
      if (split == 0) verdict = parser.Error();
      CPPUNIT_ASSERT_MESSAGE(text, verdict == parser.Error());
    }
    return verdict;
  }

  // Fields that no message may have.
  static std::vector<std::string> MalformedFields() {
    return {"X Y: 1",
            "X\x01: 1",
            "X\x7f: 1",
            "X\x80Y: 1",
            "X : 1",
            " X: 1",
            ": 1",
            "X",
            "X(1): 1",
            "X: a\x01z",
            std::string("X: a\0z", 6),
            "X: a\rz",
            "X: a\nY: 1",
            "X: a\x7fz",
            "X: a\r\n folded",
            "X: a\r\n\tfolded",
            "Content-Length: 5\r\nContent-Length: 6",
            "Content-Length: -5",
            "Content-Length: +5",
            "Content-Length: 5, 5",
            "Content-Length: 0x5",
            "Content-Length:",
            "Content-Length: 99999999999999999999999",
            "Content-Length: 5\r\nTransfer-Encoding: chunked",
            "Transfer-Encoding: chunked\r\nContent-Length: 5",
            "Transfer-Encoding: gzip",
            "Transfer-Encoding: gzip, chunked",
            "Transfer-Encoding: chunked, gzip",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
            "Transfer-Encoding: chunked, chunked",
            "Transfer-Encoding: xchunked",
            "Transfer-Encoding: identity"};
  }

  // Guards against bytes that are no HTTP response and reach a caller as one.
  void RejectsMalformedResponseHeads() {
    for (const std::string status :
         {"000", "099", "600", "999", "20", "2000", "2x0", "-20", "+20", " 200", ""}) {
      CPPUNIT_ASSERT_MESSAGE(
          status, VerdictOnResponse("HTTP/1.1 " + status + " OK\r\n" +
                                    "Content-Length: 5\r\n\r\nhello") == ParseError::kMalformed);
    }
    for (const std::string start :
         {"HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/1.2 200 OK", "HTTP/1.x 200 OK",
          "http/1.1 200 OK", "PRI * HTTP/2.0", "HTTP/1.1  200 OK", "HTTP/1.1 200 O\x01K", "hello",
          "HTTP/1.1200 OK"}) {
      CPPUNIT_ASSERT_MESSAGE(start,
                             VerdictOnResponse(start + "\r\nContent-Length: 5\r\n\r\nhello") ==
                                 ParseError::kMalformed);
    }
    for (const std::string& field : MalformedFields()) {
      CPPUNIT_ASSERT_MESSAGE(field, VerdictOnResponse("HTTP/1.1 200 OK\r\n" + field +
                                                      "\r\n\r\nhello") == ParseError::kMalformed);
    }
    // Trailers are fields too.
    for (const std::string field : {"X Y: 1", "X\x01: 1", ": 1", "X: a\x01z"}) {
      CPPUNIT_ASSERT_MESSAGE(
          field, VerdictOnResponse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                   "5\r\nhello\r\n0\r\n" +
                                   field + "\r\n\r\n") == ParseError::kMalformed);
    }
  }

  void RejectsMalformedRequestHeads() {
    for (const std::string& field : MalformedFields()) {
      RequestParser parser(kMaxHeaderBytes, kMaxBodyBytes);
      parser.Feed("POST / HTTP/1.1\r\nHost: h\r\n" + field + "\r\n\r\nhello");
      CPPUNIT_ASSERT_MESSAGE(field, parser.Error() == ParseError::kMalformed);
    }
  }

  // Guards against proper messages that are rejected.
  void AcceptsUnusualHeads() {
    for (const std::string field :
         {"X:1", "X: ", "X:\t1 \t", "!#$%&'*+-.^_`|~09az: 1", "X: a\x80\xffz", "X: a\tb",
          "Content-Length: 5\r\nContent-Length: 5", "transfer-encoding: Chunked", "x: a: b, c"}) {
      const bool has_length = field.find("Content-Length") != std::string::npos;
      const bool is_chunked = field.find("Chunked") != std::string::npos;
      const std::string rest =
          std::string(has_length || is_chunked ? "" : "\r\nContent-Length: 5") + "\r\n\r\n" +
          (is_chunked ? "5\r\nhello\r\n0\r\n\r\n" : "hello");
      for (const std::string start :
           {"HTTP/1.1 200 OK", "HTTP/1.1 599 ", "HTTP/1.0 200 \xe9t\xe9"}) {
        if (is_chunked && start.starts_with("HTTP/1.0")) continue;
        CPPUNIT_ASSERT_MESSAGE(
            start + field,
            VerdictOnResponse(Concatenate({start, "\r\n", field, rest})) == ParseError::kNone);
      }
      RequestParser parser(kMaxHeaderBytes, kMaxBodyBytes);
      parser.Feed(Concatenate({"POST / HTTP/1.1\r\nHost: h\r\n", field, rest}));
      CPPUNIT_ASSERT_MESSAGE(field, parser.IsDone());
    }
  }

  // Guards against forwarding hop-by-hop headers, including those named by Connection.
  void RemovesConnectionHeaders() {
    Headers headers = {{"connection", "X-One, close"},
                       {"x-one", "1"},
                       {"Keep-Alive", "timeout=5"},
                       {"Transfer-Encoding", "chunked"},
                       {"X-Two", "2"}};
    RemoveConnectionHeaders(headers);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, headers.size());
    CPPUNIT_ASSERT_EQUAL(std::string("X-Two"), headers.front().first);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageParserTest);

}  // namespace monsoonshelf::http
