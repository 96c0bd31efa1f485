#include "http/message_parser.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace monsoonshelf::http {

class MessageParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MessageParserTest);
  CPPUNIT_TEST(ReadsARequestInPieces);
  CPPUNIT_TEST(LeavesTheNextRequest);
  CPPUNIT_TEST(RefusesAmbiguousLengths);
  CPPUNIT_TEST(BoundsHeaderAndBody);
  CPPUNIT_TEST(ReadsChunks);
  CPPUNIT_TEST(AnswerWithoutLengthEndsWithTheConnection);
  CPPUNIT_TEST(ShortAnswerIsNotComplete);
  CPPUNIT_TEST(RefusesBytesThatAreNoAnswer);
  CPPUNIT_TEST(RemovesConnectionHeaders);
  CPPUNIT_TEST_SUITE_END();

 public:
  static constexpr std::size_t kHeader = 1024;
  static constexpr std::uint64_t kBody = 100;

  // Guards against losing bytes at the borders of reads.
  void ReadsARequestInPieces() {
    const std::string text = "POST /a/b?c HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";
    RequestParser parser(kHeader, kBody);
    std::string buffer;
    for (const char letter : text) {
      buffer.push_back(letter);
      buffer.erase(0, parser.Feed(buffer));
    }
    CPPUNIT_ASSERT(parser.IsDone());
    CPPUNIT_ASSERT_EQUAL(std::string("/a/b?c"), parser.Head().target_);
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), parser.Body());
    CPPUNIT_ASSERT(parser.Head().keep_alive_);
  }

  // Guards against taking a pipelined request as part of the first one.
  void LeavesTheNextRequest() {
    const std::string first = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    RequestParser parser(kHeader, kBody);
    CPPUNIT_ASSERT_EQUAL(first.size(), parser.Feed(first + "GET /2 HTTP/1.1\r\n"));
    CPPUNIT_ASSERT(parser.IsDone());
  }

  // Guards against request smuggling: two readers must agree where a request ends.
  void RefusesAmbiguousLengths() {
    for (const std::string header :
         {"Content-Length: 5\r\nTransfer-Encoding: chunked",
          "Content-Length: 5\r\nContent-Length: 6",
          "Transfer-Encoding: chunked\r\nContent-Length: 5", "Content-Length: -1"}) {
      RequestParser parser(kHeader, kBody);
      parser.Feed("POST / HTTP/1.1\r\nHost: h\r\n" + header + "\r\n\r\nhello");
      CPPUNIT_ASSERT_MESSAGE(header, parser.Error() == ParseError::kMalformed);
    }
  }

  // Guards against unbounded memory, and against the wrong status for it.
  void BoundsHeaderAndBody() {
    RequestParser header(kHeader, kBody);
    header.Feed("GET / HTTP/1.1\r\nX: " + std::string(2 * kHeader, 'x') + "\r\n\r\n");
    CPPUNIT_ASSERT(header.Error() == ParseError::kHeaderTooLarge);
    RequestParser body(kHeader, kBody);
    body.Feed("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n");
    CPPUNIT_ASSERT(body.Error() == ParseError::kBodyTooLarge);
    RequestParser chunks(kHeader, kBody);
    chunks.Feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" +
                std::string(101, 'x') + "\r\n0\r\n\r\n");
    CPPUNIT_ASSERT(chunks.Error() == ParseError::kBodyTooLarge);
  }

  void ReadsChunks() {
    RequestParser parser(kHeader, kBody);
    parser.Feed(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    CPPUNIT_ASSERT(parser.IsDone());
    CPPUNIT_ASSERT_EQUAL(std::string("abcde"), parser.Body());
  }

  // Guards against waiting for ever for the end of an answer without a length.
  void AnswerWithoutLengthEndsWithTheConnection() {
    ResponseParser parser(false);
    parser.Feed("HTTP/1.1 200 OK\r\n\r\nabc");
    CPPUNIT_ASSERT(!parser.IsDone());
    CPPUNIT_ASSERT(parser.Head().is_close_delimited_);
    parser.FeedEof();
    CPPUNIT_ASSERT(parser.IsDone());
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), parser.Body());
  }

  // Guards against passing on a body that was cut short.
  void ShortAnswerIsNotComplete() {
    ResponseParser parser(false);
    parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc");
    parser.FeedEof();
    CPPUNIT_ASSERT(!parser.IsDone());
    CPPUNIT_ASSERT(parser.Error() != ParseError::kNone);
  }

  void RefusesBytesThatAreNoAnswer() {
    ResponseParser parser(false);
    parser.Feed("\x01\x02 what is this\r\n\r\n");
    CPPUNIT_ASSERT(parser.Error() == ParseError::kMalformed);
  }

  // Guards against passing on headers that concern one connection, and those that it names.
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
