#include "http/message_parser.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

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
  CPPUNIT_TEST(RemovesConnectionHeaders);
  CPPUNIT_TEST_SUITE_END();

 public:
  static constexpr std::size_t kMaxHeaderBytes = 1024;
  static constexpr std::uint64_t kMaxBodyBytes = 100;

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
