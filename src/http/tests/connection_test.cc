#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <string>

#include "base/clock.h"
#include "http/connection_pool.h"
#include "http/http_client.h"
#include "http/server_connection.h"
#include "http/tests/mocks/loop.h"
#include "http/tests/mocks/raw_peer.h"

namespace monsoonshelf::http {

namespace {

using tests::Loop;
using tests::RawPeer;

struct ExchangeRecorder : IExchangeHandler {
  bool OnHead(ResponseHead& head) override {
    const std::string* id = FindHeader(head.headers_, "Id");
    if (!expected_id_.empty() && id != nullptr && *id != expected_id_) return false;
    status_ = head.status_;
    return true;
  }
  void OnBody(std::string& body) override {
    body_ += body;
    body.clear();
  }
  void OnDone() override { done_ = true; }
  void OnFailed(Failure failure, bool sent) override {
    failure_ = failure;
    sent_ = sent;
  }
  bool IsOver() const { return done_ || failure_ != Failure::kNone; }

  std::string expected_id_;
  int status_ = 0;
  std::string body_;
  bool done_ = false;
  bool sent_ = false;
  Failure failure_ = Failure::kNone;
};

// Responds to each request with its path and body, or holds the response back, and counts events.
struct EchoServer : IServerHandler {
  EchoServer() : connections_(*this) {
    auto listener =
        Listener::Open("127.0.0.1:0", [this](int descriptor) { connections_.Accept(descriptor); });
    listener_ = std::move(listener.value());
  }
  void OnRequest(const ServerExchangePtr& exchange, Request request) override {
    ++request_count_;
    if (hold_requests_) {
      held_exchange_ = exchange;
    } else {
      exchange->Respond(200, {}, request.head_.target_ + request.body_);
    }
  }
  void OnCallerDisconnected(const ServerExchangePtr& /*exchange*/) override { ++disconnect_count_; }
  void OnResponseFlushed(const ServerExchangePtr& /*exchange*/) override {}
  void OnRejected(int status, std::string_view /*reason*/) override { rejected_status_ = status; }
  Address GetAddress() const { return *ParseAddress(listener_->LocalAddress()); }

  ServerConnections connections_;
  std::unique_ptr<Listener> listener_;
  ServerExchangePtr held_exchange_;
  int request_count_ = 0;
  int disconnect_count_ = 0;
  int rejected_status_ = 0;
  bool hold_requests_ = false;
};

// Sends bytes and drops what it receives.
struct RawClient : IStreamHandler {
  explicit RawClient(const Address& address) : stream_(Stream::Connect(address, *this, {})) {}
  void OnConnected() override {}
  void OnDataReceived() override { stream_->InputBuffer().clear(); }
  void OnOutputFlushed() override {}
  void OnClosed(Failure /*failure*/) override {}
  std::unique_ptr<Stream> stream_;
};

constexpr const char* kGet = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

}  // namespace

class ConnectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionTest);
  CPPUNIT_TEST(ReusesConnectionForNextRequest);
  CPPUNIT_TEST(SkipsResponsesToOtherRequests);
  CPPUNIT_TEST(ExtraBytesAfterResponseCloseConnection);
  CPPUNIT_TEST(CloseDelimitedResponseNeedsOrderlyClose);
  CPPUNIT_TEST(ResetDuringTheRequestIsNotTheEndOfAResponse);
  CPPUNIT_TEST(ResponseWithoutLengthNeedsTheWholeRequest);
  CPPUNIT_TEST(SwitchOfProtocolsIsNoResponse);
  CPPUNIT_TEST(ResetAfterSendReportsBytesSent);
  CPPUNIT_TEST(RefusedConnectionReportsNothingSent);
  CPPUNIT_TEST(ResponseBeforeEndOfRequestClosesConnection);
  CPPUNIT_TEST(ConnectionNeverResendsRequest);
  CPPUNIT_TEST(ClientRetriesOnlyIdempotentCalls);
  CPPUNIT_TEST(ClientCallTimesOut);
  CPPUNIT_TEST(CallAfterATimeoutUsesANewConnection);
  CPPUNIT_TEST(ServerReportsCallerDisconnect);
  CPPUNIT_TEST(ServerRejectsSlowHeaders);
  CPPUNIT_TEST(ServerClosesIdleConnectionsOnly);
  CPPUNIT_TEST(RequestThatArrivedBeforeAnIdleCloseIsProcessed);
  CPPUNIT_TEST(RequestThatArrivedBeforeATimeoutIsProcessed);
  CPPUNIT_TEST(FirstRequestOfANewConnectionIsProcessedDuringAStop);
  CPPUNIT_TEST(IdleCloseLingersLikeAnyOther);
  CPPUNIT_TEST(PipelinedRequestsDoNotExhaustTheStack);
  CPPUNIT_TEST(EmptyLineAfterARequestLeavesTheConnectionIdle);
  CPPUNIT_TEST(AbortedResponseIsNotComplete);
  CPPUNIT_TEST(CloseAfterResponseSendsWholeResponse);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against opening a new connection for each request.
  void ReusesConnectionForNextRequest() {
    Loop loop;
    EchoServer server;
    ConnectionPool pool({});
    for (int i = 0; i < 3; ++i) {
      const auto connection = pool.Acquire(server.GetAddress(), 2);
      ExchangeRecorder recorder;
      connection->SendRequest(kGet, false, recorder);
      CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.IsOver(); }));
      CPPUNIT_ASSERT(recorder.done_);
      CPPUNIT_ASSERT_EQUAL(std::string("/x"), recorder.body_);
      pool.Release(connection);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, pool.OpenedTotal());
  }

  // Guards against passing the late response to an earlier request on to a caller.
  void SkipsResponsesToOtherRequests() {
    Loop loop;
    RawPeer peer;
    peer.on_bytes_ = [](RawPeer::Connection& connection) {
      connection.Write(
          "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nOLD"
          "HTTP/1.1 200 OK\r\nId: new\r\nContent-Length: 3\r\n\r\nNEW");
    };
    ClientConnection connection(peer.GetAddress(), {});
    ExchangeRecorder recorder;
    recorder.expected_id_ = "new";
    connection.SendRequest(kGet, false, recorder);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.IsOver(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("NEW"), recorder.body_);
    CPPUNIT_ASSERT(!connection.IsUsable());
  }

  // Guards against parsing extra bytes after a response as the next response.
  void ExtraBytesAfterResponseCloseConnection() {
    Loop loop;
    RawPeer peer;
    peer.on_bytes_ = [](RawPeer::Connection& connection) {
      connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nAsurplus");
    };
    ClientConnection connection(peer.GetAddress(), {});
    ExchangeRecorder recorder;
    connection.SendRequest(kGet, false, recorder);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.IsOver(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("A"), recorder.body_);
    CPPUNIT_ASSERT(!connection.IsUsable());
  }

  // Guards against treating a body that was truncated by a reset as complete.
  void CloseDelimitedResponseNeedsOrderlyClose() {
    for (const bool reset : {false, true}) {
      Loop loop;
      RawPeer peer;
      peer.on_bytes_ = [](RawPeer::Connection& connection) {
        connection.Write("HTTP/1.1 200 OK\r\n\r\nbody");
      };
      ClientConnection connection(peer.GetAddress(), {});
      ExchangeRecorder recorder;
      connection.SendRequest(kGet, false, recorder);
      CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.body_ == "body"; }));
      CPPUNIT_ASSERT(!recorder.IsOver());
      if (reset) {
        peer.connections_.front()->Reset();
      } else {
        peer.connections_.front()->Close();
      }
      CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.IsOver(); }));
      CPPUNIT_ASSERT_EQUAL(!reset, recorder.done_);
    }
  }

  // Guards against a reset that send() takes from the socket, after which recv() reports an orderly
  // end: the part of the response that was received looked complete.
  void ResetDuringTheRequestIsNotTheEndOfAResponse() {
    CPPUNIT_ASSERT(!IsCompleteAfterAnUnreadUpload("HTTP/1.1 200 OK\r\n\r\npart",
                                                  [](RawPeer::Connection& peer) { peer.Reset(); }));
    // The bytes that arrived before the reset may be a whole response.
    CPPUNIT_ASSERT(IsCompleteAfterAnUnreadUpload("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart",
                                                 [](RawPeer::Connection& peer) { peer.Reset(); }));
  }

  // Guards against a peer that dies while it reads the request: its kernel ends the connection in
  // order if it has read all that had arrived.
  void ResponseWithoutLengthNeedsTheWholeRequest() {
    CPPUNIT_ASSERT(!IsCompleteAfterAnUnreadUpload("HTTP/1.1 200 OK\r\n\r\npart",
                                                  [](RawPeer::Connection& peer) { peer.Close(); }));
  }

  // Sends a request that the peer does not read to its end. Returns whether its response was
  // reported as complete after the peer has ended the connection.
  static bool IsCompleteAfterAnUnreadUpload(const std::string& response,
                                            const std::function<void(RawPeer::Connection&)>& end) {
    Loop loop;
    RawPeer peer;
    peer.on_bytes_ = [&](RawPeer::Connection& connection) {
      if (connection.is_paused_) return;
      connection.is_paused_ = true;
      connection.stream_->PauseReading(true);
      connection.Write(response);
    };
    ClientConnection connection(peer.GetAddress(), {});
    ExchangeRecorder recorder;
    constexpr std::size_t kUploadBytes = std::size_t{24} << 20;
    connection.SendRequest(
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(kUploadBytes) +
            "\r\n\r\n" + std::string(kUploadBytes, 'x'),
        false, recorder);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.body_ == "part"; }));
    if (!recorder.IsOver()) end(*peer.connections_.front());
    CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.IsOver(); }));
    return recorder.done_;
  }

  // Guards against bytes of another protocol that are read as the final response.
  void SwitchOfProtocolsIsNoResponse() {
    Loop loop;
    RawPeer peer;
    peer.on_bytes_ = [](RawPeer::Connection& connection) {
      connection.Write(
          "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"
          "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
    };
    ClientConnection connection(peer.GetAddress(), {});
    ExchangeRecorder recorder;
    connection.SendRequest(kGet, false, recorder);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.IsOver(); }));
    CPPUNIT_ASSERT(!recorder.done_);
  }

  // Guards against reporting a request as not sent although the target may have read it.
  void ResetAfterSendReportsBytesSent() {
    Loop loop;
    RawPeer peer;
    peer.on_bytes_ = [](RawPeer::Connection& connection) { connection.Reset(); };
    ClientConnection connection(peer.GetAddress(), {});
    ExchangeRecorder recorder;
    connection.SendRequest(kGet, false, recorder);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.IsOver(); }));
    CPPUNIT_ASSERT(recorder.sent_);
    CPPUNIT_ASSERT(recorder.failure_ == Failure::kReset);
  }

  void RefusedConnectionReportsNothingSent() {
    Loop loop;
    Address address;
    {
      const RawPeer peer;
      address = peer.GetAddress();
    }
    ClientConnection connection(address, {});
    ExchangeRecorder recorder;
    connection.SendRequest(kGet, false, recorder);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.IsOver(); }));
    CPPUNIT_ASSERT(!recorder.sent_);
    CPPUNIT_ASSERT(recorder.failure_ == Failure::kConnect);
  }

  // Guards against sending the next request while the target still expects the rest of a body.
  void ResponseBeforeEndOfRequestClosesConnection() {
    Loop loop;
    RawPeer peer;
    peer.on_bytes_ = [](RawPeer::Connection& connection) {
      connection.stream_->PauseReading(true);
      connection.Write("HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n");
    };
    ClientConnection connection(peer.GetAddress(), {});
    ExchangeRecorder recorder;
    // Larger than the buffers of both sockets together.
    const std::string body(std::size_t{32} << 20, 'x');
    connection.SendRequest(
        "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
        false, recorder);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.IsOver(); }));
    CPPUNIT_ASSERT_EQUAL(413, recorder.status_);
    CPPUNIT_ASSERT(!connection.IsUsable());
  }

  // Guards against running a request twice by sending it again when the peer closes a reused
  // connection.
  void ConnectionNeverResendsRequest() {
    Loop loop;
    RawPeer peer;
    int requests = 0;
    peer.on_bytes_ = [&requests](RawPeer::Connection& connection) {
      if (++requests == 1) {
        connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      } else {
        connection.Reset();
      }
    };
    ConnectionPool pool({});
    const auto connection = pool.Acquire(peer.GetAddress(), 2);
    ExchangeRecorder first;
    connection->SendRequest(kGet, false, first);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return first.IsOver(); }));
    ExchangeRecorder second;
    connection->SendRequest(kGet, false, second);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return second.IsOver(); }));
    loop.RunFor(std::chrono::milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(2, requests);
    CPPUNIT_ASSERT(second.sent_);
  }

  void ClientRetriesOnlyIdempotentCalls() {
    for (const bool idempotent : {true, false}) {
      Loop loop;
      RawPeer peer;
      int requests = 0;
      peer.on_bytes_ = [&requests](RawPeer::Connection& connection) {
        if (++requests == 2) return connection.Reset();
        connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      };
      HttpClient client(peer.GetAddress(), {}, 4);
      int status = -1;
      const auto call = [&] {
        status = -1;
        client.Call(kGet, idempotent, std::chrono::seconds(10),
                    [&status](const CallResult& result) { status = result.status_; });
        CPPUNIT_ASSERT(loop.RunUntil([&] { return status >= 0; }));
      };
      call();
      call();
      CPPUNIT_ASSERT_EQUAL(idempotent ? 3 : 2, requests);
      CPPUNIT_ASSERT_EQUAL(idempotent ? 200 : 0, status);
    }
  }

  // Guards against waiting forever on a connection whose peer stopped responding.
  void ClientCallTimesOut() {
    Loop loop;
    RawPeer peer;
    HttpClient client(peer.GetAddress(), {}, 4);
    bool timed_out = false;
    client.Call(kGet, true, std::chrono::milliseconds(30),
                [&timed_out](const CallResult& result) { timed_out = result.timed_out_; });
    CPPUNIT_ASSERT(loop.RunUntil([&] { return timed_out; }));
  }

  // Guards against waiting for each kept connection in turn after all of them fell silent.
  void CallAfterATimeoutUsesANewConnection() {
    Loop loop;
    RawPeer peer;
    bool are_kept_connections_silent = false;
    std::size_t kept_connections = 0;
    peer.on_bytes_ = [&](RawPeer::Connection& connection) {
      const bool is_kept = peer.connections_.front().get() == &connection ||
                           peer.connections_[1].get() == &connection;
      if (is_kept && are_kept_connections_silent) return;
      if (peer.connections_.size() < 2) return;  // Both connections are needed at the same time.
      for (const auto& item : peer.connections_) {
        if (item->received_.empty()) continue;
        item->received_.clear();
        item->Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      }
    };
    HttpClient client(peer.GetAddress(), {}, 4);
    const auto count_response = [&kept_connections](const CallResult& result) {
      if (result.status_ == 200) ++kept_connections;
    };
    client.Call(kGet, true, std::chrono::seconds(10), count_response);
    client.Call(kGet, true, std::chrono::seconds(10), count_response);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return kept_connections == 2; }));
    are_kept_connections_silent = true;
    std::vector<int> statuses;
    for (int i = 0; i < 2; ++i) {
      client.Call(kGet, true, std::chrono::milliseconds(100),
                  [&statuses](const CallResult& result) { statuses.push_back(result.status_); });
      CPPUNIT_ASSERT(loop.RunUntil([&] { return statuses.size() == i + 1U; }));
    }
    CPPUNIT_ASSERT_EQUAL(0, statuses[0]);
    CPPUNIT_ASSERT_EQUAL(200, statuses[1]);
  }

  // Guards against processing requests of callers that have disconnected.
  void ServerReportsCallerDisconnect() {
    Loop loop;
    EchoServer server;
    server.hold_requests_ = true;
    ClientConnection connection(server.GetAddress(), {});
    ExchangeRecorder recorder;
    connection.SendRequest(kGet, false, recorder);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.request_count_ == 1; }));
    connection.Cancel();
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.disconnect_count_ == 1; }));
  }

  void ServerRejectsSlowHeaders() {
    Loop loop;
    EchoServer server;
    ClientConnection connection(server.GetAddress(), {});
    ExchangeRecorder recorder;
    connection.SendRequest("GET / HTTP/1.1\r\nHost:", false, recorder);
    // Passes a time 10 s ahead instead of waiting for the header timeout.
    CPPUNIT_ASSERT(loop.RunUntil([&] {
      server.connections_.CheckTimeouts(Now() + std::chrono::seconds(10));
      return server.rejected_status_ != 0;
    }));
    CPPUNIT_ASSERT_EQUAL(408, server.rejected_status_);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.IsOver(); }));
    CPPUNIT_ASSERT_EQUAL(408, recorder.status_);
  }

  // Guards against interrupting a request when idle connections are closed.
  void ServerClosesIdleConnectionsOnly() {
    Loop loop;
    EchoServer server;
    server.hold_requests_ = true;
    ClientConnection busy(server.GetAddress(), {});
    ExchangeRecorder recorder;
    busy.SendRequest(kGet, false, recorder);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.held_exchange_ != nullptr; }));
    server.connections_.CloseIdle();
    server.held_exchange_->Respond(200, {}, "kept");
    CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.IsOver(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("kept"), recorder.body_);
    server.connections_.CloseIdle();
    CPPUNIT_ASSERT(loop.RunUntil([&] { return !busy.IsUsable(); }));
  }

  // Guards against discarding a request that is in the socket buffer when its connection is closed
  // as idle, and a timer runs before the socket is read.
  void RequestThatArrivedBeforeAnIdleCloseIsProcessed() {
    for (const bool by_timeout : {false, true}) {
      Loop loop;
      EchoServer server;
      ClientConnection connection(server.GetAddress(), {});
      ExchangeRecorder first;
      connection.SendRequest(kGet, false, first);
      CPPUNIT_ASSERT(loop.RunUntil([&] { return first.IsOver(); }));
      ExchangeRecorder second;
      connection.SendRequest(kGet, false, second);
      g_usleep(10'000);
      if (by_timeout) {
        server.connections_.CheckTimeouts(Now() + std::chrono::minutes(1));
      } else {
        server.connections_.CloseIdle();
      }
      CPPUNIT_ASSERT(loop.RunUntil([&] { return second.IsOver(); }));
      CPPUNIT_ASSERT_EQUAL(200, second.status_);
    }
  }

  // Guards against a 408 after a pause of the process for a request whose rest arrived in time.
  void RequestThatArrivedBeforeATimeoutIsProcessed() {
    const std::string request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
    for (const std::size_t cut : {std::size_t{20}, request.size() - 2}) {
      Loop loop;
      EchoServer server;
      struct Sender : IStreamHandler {
        void OnConnected() override {}
        void OnDataReceived() override {}
        void OnOutputFlushed() override {}
        void OnClosed(Failure /*failure*/) override {}
      } sender;
      const auto stream = Stream::Connect(server.GetAddress(), sender, {});
      stream->Write(request.substr(0, cut));
      CPPUNIT_ASSERT(
          loop.RunUntil([&] { return server.connections_.CountByState().reading_ == 1; }));
      stream->Write(request.substr(cut));
      g_usleep(10'000);
      server.connections_.CheckTimeouts(Now() + std::chrono::minutes(1));
      CPPUNIT_ASSERT(loop.RunUntil([&] { return !stream->InputBuffer().empty(); }));
      CPPUNIT_ASSERT_EQUAL(0, server.rejected_status_);
      CPPUNIT_ASSERT(stream->InputBuffer().starts_with("HTTP/1.1 200 "));
    }
  }

  // Guards against closing a connection as idle before its first request has arrived.
  void FirstRequestOfANewConnectionIsProcessedDuringAStop() {
    Loop loop;
    EchoServer server;
    ClientConnection connection(server.GetAddress(), {});
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.connections_.Count() == 1; }));
    server.connections_.CloseIdle();
    loop.RunFor(std::chrono::milliseconds(50));
    ExchangeRecorder recorder;
    connection.SendRequest(kGet, false, recorder);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.IsOver(); }));
    CPPUNIT_ASSERT_EQUAL(200, recorder.status_);
  }

  // Each request is answered within OnRequest. Guards against processing the next one within that.
  void PipelinedRequestsDoNotExhaustTheStack() {
    constexpr int kRequests = 60'000;
    Loop loop;
    EchoServer server;
    RawClient client(server.GetAddress());
    std::string requests;
    for (int i = 0; i < kRequests; ++i) requests += "GET / HTTP/1.1\r\n\r\n";
    client.stream_->Write(requests);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.request_count_ == kRequests; }));
  }

  // Guards against a reset instead of an orderly close for a request that crosses the idle close.
  void IdleCloseLingersLikeAnyOther() {
    Loop loop;
    EchoServer server;
    ClientConnection connection(server.GetAddress(), {});
    ExchangeRecorder recorder;
    connection.SendRequest(kGet, false, recorder);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.IsOver(); }));
    loop.RunFor(std::chrono::milliseconds(1100));  // Longer than the linger time.
    server.connections_.CloseIdle();
    server.connections_.CheckTimeouts(Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.connections_.Count());
  }

  // Some callers end a request body with an empty line. Guards against taking it for the begin of a
  // request, which gets a 408 after the header timeout and delays a stop until then.
  void EmptyLineAfterARequestLeavesTheConnectionIdle() {
    Loop loop;
    EchoServer server;
    ClientConnection connection(server.GetAddress(), {});
    ExchangeRecorder recorder;
    connection.SendRequest(std::string(kGet) + "\r\n", false, recorder);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.IsOver(); }));
    loop.RunFor(std::chrono::milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.connections_.CountByState().reading_);
    server.connections_.CheckTimeouts(Now() + std::chrono::seconds(10));
    CPPUNIT_ASSERT_EQUAL(0, server.rejected_status_);
  }

  // Guards against a streamed response that looks complete although the target aborted it.
  void AbortedResponseIsNotComplete() {
    Loop loop;
    EchoServer server;
    server.hold_requests_ = true;
    ClientConnection connection(server.GetAddress(), {});
    ExchangeRecorder recorder;
    connection.SendRequest(kGet, false, recorder);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.held_exchange_ != nullptr; }));
    server.held_exchange_->BeginChunkedResponse(200, {});
    server.held_exchange_->WriteChunk("part");
    CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.body_ == "part"; }));
    server.held_exchange_->Abort();
    CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.IsOver(); }));
    CPPUNIT_ASSERT(!recorder.done_);
  }

  // Guards against truncated responses during a graceful shutdown.
  void CloseAfterResponseSendsWholeResponse() {
    Loop loop;
    EchoServer server;
    server.connections_.SetCloseAfterResponse(true);
    ClientConnection connection(server.GetAddress(), {});
    ExchangeRecorder recorder;
    connection.SendRequest(kGet, false, recorder);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.IsOver(); }));
    CPPUNIT_ASSERT(recorder.done_);
    CPPUNIT_ASSERT(!connection.IsUsable());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionTest);

}  // namespace monsoonshelf::http
