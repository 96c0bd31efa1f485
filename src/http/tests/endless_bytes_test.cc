#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "base/clock.h"
#include "http/client_connection.h"
#include "http/http_client.h"
#include "http/server_connection.h"
#include "http/tests/mocks/heap_use.h"
#include "http/tests/mocks/loop.h"
#include "http/tests/mocks/raw_peer.h"

namespace monsoonshelf::http {

namespace {

using tests::HeapUse;
using tests::Loop;
using tests::RawPeer;

constexpr const char* kGet = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
// A peer that is not stopped before it has sent this many bytes is considered not to be limited.
// Larger than the limits and the socket buffers together.
constexpr std::size_t kEndlessBytes = std::size_t{48} << 20;
// Largest heap growth of one exchange that the limits allow, in bytes.
constexpr std::size_t kMaxHeapGrowth = std::size_t{3} << 20;

// Repeats `text` up to about `bytes`, in whole pieces.
std::string Repeat(const std::string& text, std::size_t bytes) {
  std::string block;
  while (block.size() + text.size() <= bytes) block += text;
  return block;
}

// Sends `block` again and again after `begin`, as fast as the receiver reads it.
struct EndlessSender {
  EndlessSender(std::string begin, const std::string& piece, std::size_t block_bytes)
      : begin_(std::move(begin)), block_(Repeat(piece, block_bytes)) {}

  void SendNext(Stream& stream) {
    if (stream.UnsentBytes() > 0) return;
    stream.Write(stream.BytesSent() < begin_.size() ? begin_ : block_);
  }

  std::string begin_;
  std::string block_;
};

struct ExchangeRecorder : IExchangeHandler {
  bool OnHead(ResponseHead& head) override {
    if (max_response_bytes_ > 0) connection_->LimitResponse(max_response_bytes_);
    return FindHeader(head.headers_, "Other") == nullptr;
  }
  void OnBody(std::string& body) override {
    body_bytes_ += body.size();
    body.clear();
  }
  void OnDone() override { done_ = true; }
  void OnFailed(Failure failure, bool /*sent*/) override { failure_ = failure; }

  ClientConnection* connection_ = nullptr;
  std::uint64_t max_response_bytes_ = 0;
  std::uint64_t body_bytes_ = 0;
  bool done_ = false;
  Failure failure_ = Failure::kNone;
};

// Rejects nothing by itself and records the status of rejected requests.
struct RecordingServer : IServerHandler {
  RecordingServer() : connections_(*this) {
    auto listener =
        Listener::Open("127.0.0.1:0", [this](int descriptor) { connections_.Accept(descriptor); });
    listener_ = std::move(listener.value());
  }
  void OnRequest(const ServerExchangePtr& /*exchange*/, Request /*request*/) override {}
  void OnCallerDisconnected(const ServerExchangePtr& /*exchange*/) override {}
  void OnResponseFlushed(const ServerExchangePtr& /*exchange*/) override {}
  void OnRejected(int status, std::string_view /*reason*/) override { rejected_status_ = status; }

  ServerConnections connections_;
  std::unique_ptr<Listener> listener_;
  int rejected_status_ = 0;
};

struct RawCaller : IStreamHandler {
  void OnConnected() override {}
  void OnDataReceived() override {}
  void OnOutputFlushed() override {}
  void OnClosed(Failure /*failure*/) override { closed_ = true; }
  bool closed_ = false;
};

constexpr std::size_t kLargeBlock = std::size_t{64} * 1024;
// Blocks that are received by one read each and end with a line. The parser then removes all bytes
// that it has received.
constexpr std::size_t kSmallBlock = 4000;
constexpr const char* kChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

}  // namespace

// Plays peers that send bytes without end where a message is expected.
class EndlessBytesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndlessBytesTest);
  CPPUNIT_TEST(EndlessHeaderLinesAreLimited);
  CPPUNIT_TEST(EndlessStatusLineIsLimited);
  CPPUNIT_TEST(EndlessHeaderValueIsLimited);
  CPPUNIT_TEST(BytesThatAreNotHttpFailAtOnce);
  CPPUNIT_TEST(EndlessInterimResponsesAreLimited);
  CPPUNIT_TEST(EndlessResponsesToOtherRequestsAreLimited);
  CPPUNIT_TEST(EndlessBodyOfAResponseToAnotherRequestIsLimited);
  CPPUNIT_TEST(EndlessChunkExtensionIsLimited);
  CPPUNIT_TEST(EndlessTrailersAreLimited);
  CPPUNIT_TEST(EndlessBodyIsLimitedIfTheHandlerLimitsIt);
  CPPUNIT_TEST(EndlessBodyWithoutLimitIsStreamed);
  CPPUNIT_TEST(HttpClientLimitsAnEndlessBody);
  CPPUNIT_TEST(EndlessBytesOnAnIdleConnectionCloseIt);
  CPPUNIT_TEST(InterimResponsesWithinTheLimitAreSkipped);
  CPPUNIT_TEST(CallerWithEndlessHeaderLinesIsRejected);
  CPPUNIT_TEST(CallerWithEndlessChunkedBodyIsRejected);
  CPPUNIT_TEST(CallerWithEndlessChunkExtensionIsRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a header limit that applies to each read instead of the whole header.
  void EndlessHeaderLinesAreLimited() {
    ExpectFailure({"HTTP/1.1 200 OK\r\n", "Name: value\r\n", kSmallBlock}, Failure::kTooLarge);
    ExpectFailure({"HTTP/1.1 200 OK\r\n", "Name: value\r\n", kLargeBlock}, Failure::kTooLarge);
  }

  void EndlessStatusLineIsLimited() {
    ExpectFailure({"HTTP/1.1 200 ", "word ", kSmallBlock}, Failure::kTooLarge);
  }

  void EndlessHeaderValueIsLimited() {
    ExpectFailure({"HTTP/1.1 200 OK\r\nName: ", "word ", kSmallBlock}, Failure::kTooLarge);
  }

  // Guards against waiting for the end of a header after a first read that is too short to show
  // that the bytes are not a response.
  void BytesThatAreNotHttpFailAtOnce() {
    Loop loop;
    RawPeer peer;
    peer.on_bytes_ = [](RawPeer::Connection& connection) { connection.Write("no http"); };
    ClientConnection connection(peer.GetAddress(), {});
    ExchangeRecorder recorder;
    connection.SendRequest(kGet, false, recorder);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.failure_ != Failure::kNone; }));
    CPPUNIT_ASSERT(recorder.failure_ == Failure::kMalformed);
  }

  // Guards against skipping interim responses for ever.
  void EndlessInterimResponsesAreLimited() {
    ExpectFailure({"", "HTTP/1.1 100 Continue\r\n\r\n", kLargeBlock}, Failure::kTooLarge);
  }

  // Guards against waiting for the response to this request while others arrive without end.
  void EndlessResponsesToOtherRequestsAreLimited() {
    ExpectFailure({"", "HTTP/1.1 200 OK\r\nOther: 1\r\nContent-Length: 2\r\n\r\nab", kLargeBlock},
                  Failure::kTooLarge);
  }

  void EndlessBodyOfAResponseToAnotherRequestIsLimited() {
    ExpectFailure({"HTTP/1.1 200 OK\r\nOther: 1\r\n\r\n", "word ", kLargeBlock},
                  Failure::kTooLarge);
  }

  void EndlessChunkExtensionIsLimited() {
    ExpectFailure({std::string(kChunkedHead) + "5;name=", "x", kLargeBlock}, Failure::kTooLarge);
  }

  void EndlessTrailersAreLimited() {
    ExpectFailure({std::string(kChunkedHead) + "0\r\n", "Name: value\r\n", kSmallBlock},
                  Failure::kTooLarge);
  }

  // Guards against a limit that counts only body bytes: the second body has 1 byte for each 4,000
  // bytes of chunk extensions.
  void EndlessBodyIsLimitedIfTheHandlerLimitsIt() {
    constexpr std::uint64_t kLimit = std::uint64_t{1} << 20;
    ExpectFailure({kChunkedHead, "5\r\nabcde\r\n", kLargeBlock}, Failure::kTooLarge, kLimit);
    ExpectFailure({kChunkedHead, "1;x=" + std::string(4000, 'x') + "\r\na\r\n", kLargeBlock},
                  Failure::kTooLarge, kLimit);
    ExpectFailure({"HTTP/1.1 200 OK\r\n\r\n", "word ", kLargeBlock}, Failure::kTooLarge, kLimit);
  }

  // Guards against limits that cut off a long response whose handler consumes the body.
  void EndlessBodyWithoutLimitIsStreamed() {
    EndlessSender sender(kChunkedHead, "400\r\n" + std::string(1024, 'x') + "\r\n", kLargeBlock);
    Loop loop;
    RawPeer peer;
    ClientConnection connection(peer.GetAddress(), {});
    ExchangeRecorder recorder;
    connection.SendRequest(kGet, false, recorder);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return !peer.connections_.empty(); }));
    HeapUse heap;
    CPPUNIT_ASSERT(loop.RunUntil([&] {
      sender.SendNext(*peer.connections_.front()->stream_);
      heap.Sample();
      return recorder.body_bytes_ > kEndlessBytes;
    }));
    CPPUNIT_ASSERT(recorder.failure_ == Failure::kNone);
    CPPUNIT_ASSERT(heap.MaxGrowth() <= kMaxHeapGrowth);
  }

  // Guards against a store or another host that fills the memory of this one.
  void HttpClientLimitsAnEndlessBody() {
    EndlessSender sender(kChunkedHead, "400\r\n" + std::string(1024, 'x') + "\r\n", kLargeBlock);
    Loop loop;
    RawPeer peer;
    HttpClient client(peer.GetAddress(), {}, 2);
    Failure failure = Failure::kNone;
    client.Call(kGet, true, std::chrono::seconds(20),
                [&failure](const CallResult& result) { failure = result.failure_; });
    CPPUNIT_ASSERT(loop.RunUntil([&] { return !peer.connections_.empty(); }));
    Stream& stream = *peer.connections_.front()->stream_;
    CPPUNIT_ASSERT(loop.RunUntil([&] {
      sender.SendNext(stream);
      return failure != Failure::kNone || stream.BytesSent() > kEndlessBytes;
    }));
    CPPUNIT_ASSERT(failure == Failure::kTooLarge);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return peer.connections_.front()->closed_; }));
  }

  void EndlessBytesOnAnIdleConnectionCloseIt() {
    EndlessSender sender("", "word ", kLargeBlock);
    Loop loop;
    RawPeer peer;
    peer.on_bytes_ = [](RawPeer::Connection& connection) {
      connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    };
    ClientConnection connection(peer.GetAddress(), {});
    ExchangeRecorder recorder;
    connection.SendRequest(kGet, false, recorder);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.done_; }));
    CPPUNIT_ASSERT(connection.IsUsable());
    RawPeer::Connection& sending = *peer.connections_.front();
    CPPUNIT_ASSERT(loop.RunUntil([&] {
      if (!sending.closed_) sender.SendNext(*sending.stream_);
      return sending.closed_ || sending.stream_->BytesSent() > kEndlessBytes;
    }));
    CPPUNIT_ASSERT(sending.closed_);
    CPPUNIT_ASSERT(!connection.IsUsable());
  }

  void InterimResponsesWithinTheLimitAreSkipped() {
    Loop loop;
    RawPeer peer;
    peer.on_bytes_ = [](RawPeer::Connection& connection) {
      for (int i = 0; i < 8; ++i) connection.Write("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
      connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
    };
    ClientConnection connection(peer.GetAddress(), {});
    ExchangeRecorder recorder;
    connection.SendRequest(kGet, false, recorder);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.done_; }));
    CPPUNIT_ASSERT(connection.IsUsable());
  }

  // Guards against a header limit that applies to each read instead of the whole header.
  void CallerWithEndlessHeaderLinesIsRejected() {
    ExpectRejection({"GET / HTTP/1.1\r\n", "Name: value\r\n", kSmallBlock}, 431);
    ExpectRejection({"GET / HTTP/1.1\r\n", "Name: value\r\n", kLargeBlock}, 431);
  }

  void CallerWithEndlessChunkedBodyIsRejected() {
    ExpectRejection({"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
                     "400\r\n" + std::string(1024, 'x') + "\r\n", kLargeBlock},
                    413);
  }

  void CallerWithEndlessChunkExtensionIsRejected() {
    ExpectRejection(
        {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;name=", "x", kLargeBlock}, 413);
  }

 private:
  static void ExpectFailure(EndlessSender sender, Failure expected,
                            std::uint64_t max_response_bytes = 0) {
    Loop loop;
    RawPeer peer;
    ClientConnection connection(peer.GetAddress(), {});
    ExchangeRecorder recorder;
    recorder.connection_ = &connection;
    recorder.max_response_bytes_ = max_response_bytes;
    connection.SendRequest(kGet, false, recorder);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return !peer.connections_.empty(); }));
    RawPeer::Connection& sending = *peer.connections_.front();
    HeapUse heap;
    CPPUNIT_ASSERT(loop.RunUntil([&] {
      if (!sending.closed_) sender.SendNext(*sending.stream_);
      heap.Sample();
      return recorder.failure_ != Failure::kNone || sending.stream_->BytesSent() > kEndlessBytes;
    }));
    CPPUNIT_ASSERT_EQUAL(std::string(NameOf(kFailureNames, expected)),
                         std::string(NameOf(kFailureNames, recorder.failure_)));
    CPPUNIT_ASSERT(heap.MaxGrowth() <= kMaxHeapGrowth);
    CPPUNIT_ASSERT(!connection.IsUsable());
    CPPUNIT_ASSERT(loop.RunUntil([&] { return sending.closed_; }));
  }

  static void ExpectRejection(EndlessSender sender, int expected_status) {
    Loop loop;
    RecordingServer server;
    server.connections_.SetLimits({.max_body_bytes_ = std::uint64_t{1} << 20});
    RawCaller caller;
    const auto stream =
        Stream::Connect(*ParseAddress(server.listener_->LocalAddress()), caller, {});
    HeapUse heap;
    CPPUNIT_ASSERT(loop.RunUntil([&] {
      sender.SendNext(*stream);
      heap.Sample();
      return server.rejected_status_ != 0 || stream->BytesSent() > kEndlessBytes;
    }));
    CPPUNIT_ASSERT_EQUAL(expected_status, server.rejected_status_);
    // A caller that goes on sending must not keep the connection.
    CPPUNIT_ASSERT(loop.RunUntil([&] {
      if (!caller.closed_) sender.SendNext(*stream);
      heap.Sample();
      server.connections_.CheckTimeouts(Now() + std::chrono::seconds(2));
      return caller.closed_;
    }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.connections_.Count());
    CPPUNIT_ASSERT(heap.MaxGrowth() <= kMaxHeapGrowth);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessBytesTest);

}  // namespace monsoonshelf::http
