#include <cppunit/extensions/HelperMacros.h>

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

struct Recorder : IExchangeHandler {
  bool OnHead(ResponseHead& head) override {
    const std::string* id = FindHeader(head.headers_, "Id");
    if (!id_.empty() && id != nullptr && *id != id_) return false;
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

  std::string id_;
  int status_ = 0;
  std::string body_;
  bool done_ = false;
  bool sent_ = false;
  Failure failure_ = Failure::kNone;
};

// Answers each request with its path; keeps what it needs to see of the rest.
struct EchoServer : IServerHandler {
  EchoServer() : connections_(*this) {
    auto listener =
        Listener::Open("127.0.0.1:0", [this](int descriptor) { connections_.Accept(descriptor); });
    listener_ = std::move(listener.value());
  }
  void OnRequest(const ServerConnectionPtr& connection, Request request) override {
    ++requests_;
    if (holds_) {
      held_ = connection;
    } else {
      connection->Respond(200, {}, request.head_.target_ + request.body_);
    }
  }
  void OnCallerDisconnected(const ServerConnectionPtr& /*connection*/) override { ++gone_; }
  void OnResponseFlushed(const ServerConnectionPtr& /*connection*/) override {}
  void OnRejected(int status, std::string_view /*reason*/) override { rejected_ = status; }
  Address GetAddress() const { return *ParseAddress(listener_->LocalAddress()); }

  ServerConnections connections_;
  std::unique_ptr<Listener> listener_;
  ServerConnectionPtr held_;
  int requests_ = 0;
  int gone_ = 0;
  int rejected_ = 0;
  bool holds_ = false;
};

constexpr const char* kGet = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

}  // namespace

class ConnectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionTest);
  CPPUNIT_TEST(KeepsConnections);
  CPPUNIT_TEST(SkipsAnswersToOtherRequests);
  CPPUNIT_TEST(BytesBehindAnAnswerEndTheConnection);
  CPPUNIT_TEST(AnswerWithoutLengthNeedsAnOrderlyEnd);
  CPPUNIT_TEST(ResetTellsThatBytesWereSent);
  CPPUNIT_TEST(RefusedConnectionTellsThatNothingWasSent);
  CPPUNIT_TEST(EarlyAnswerEndsTheConnection);
  CPPUNIT_TEST(NeverSendsAgainByItself);
  CPPUNIT_TEST(ClientRepeatsOnlyIdempotentCalls);
  CPPUNIT_TEST(ClientCallTimesOut);
  CPPUNIT_TEST(ServerTellsWhenACallerLeaves);
  CPPUNIT_TEST(ServerRefusesSlowHeaders);
  CPPUNIT_TEST(ServerClosesIdleConnectionsOnly);
  CPPUNIT_TEST(AbortedBodyDoesNotLookComplete);
  CPPUNIT_TEST(ClosingServerFinishesTheAnswer);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a new connection for each request.
  void KeepsConnections() {
    Loop loop;
    EchoServer server;
    ConnectionPool pool({});
    for (int i = 0; i < 3; ++i) {
      const auto connection = pool.Acquire(server.GetAddress(), 2);
      Recorder recorder;
      connection->SendRequest(kGet, false, recorder);
      CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.IsOver(); }));
      CPPUNIT_ASSERT(recorder.done_);
      CPPUNIT_ASSERT_EQUAL(std::string("/x"), recorder.body_);
      pool.Release(connection);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, pool.OpenedTotal());
  }

  // Guards against handing a caller the late answer of an earlier request.
  void SkipsAnswersToOtherRequests() {
    Loop loop;
    RawPeer peer;
    peer.on_bytes_ = [](RawPeer::Connection& connection) {
      connection.Write(
          "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nOLD"
          "HTTP/1.1 200 OK\r\nId: new\r\nContent-Length: 3\r\n\r\nNEW");
    };
    ClientConnection connection(peer.GetAddress(), {});
    Recorder recorder;
    recorder.id_ = "new";
    connection.SendRequest(kGet, false, recorder);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.IsOver(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("NEW"), recorder.body_);
    CPPUNIT_ASSERT(!connection.IsUsable());
  }

  // Guards against reading surplus bytes as the next answer.
  void BytesBehindAnAnswerEndTheConnection() {
    Loop loop;
    RawPeer peer;
    peer.on_bytes_ = [](RawPeer::Connection& connection) {
      connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nAsurplus");
    };
    ClientConnection connection(peer.GetAddress(), {});
    Recorder recorder;
    connection.SendRequest(kGet, false, recorder);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.IsOver(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("A"), recorder.body_);
    CPPUNIT_ASSERT(!connection.IsUsable());
  }

  // Guards against taking a body that a reset cut short as whole.
  void AnswerWithoutLengthNeedsAnOrderlyEnd() {
    for (const bool reset : {false, true}) {
      Loop loop;
      RawPeer peer;
      peer.on_bytes_ = [](RawPeer::Connection& connection) {
        connection.Write("HTTP/1.1 200 OK\r\n\r\nbody");
      };
      ClientConnection connection(peer.GetAddress(), {});
      Recorder recorder;
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

  // Guards against calling a request "not run" that a target may have read.
  void ResetTellsThatBytesWereSent() {
    Loop loop;
    RawPeer peer;
    peer.on_bytes_ = [](RawPeer::Connection& connection) { connection.Reset(); };
    ClientConnection connection(peer.GetAddress(), {});
    Recorder recorder;
    connection.SendRequest(kGet, false, recorder);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.IsOver(); }));
    CPPUNIT_ASSERT(recorder.sent_);
    CPPUNIT_ASSERT(recorder.failure_ == Failure::kReset);
  }

  void RefusedConnectionTellsThatNothingWasSent() {
    Loop loop;
    Address address;
    {
      const RawPeer peer;
      address = peer.GetAddress();
    }
    ClientConnection connection(address, {});
    Recorder recorder;
    connection.SendRequest(kGet, false, recorder);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.IsOver(); }));
    CPPUNIT_ASSERT(!recorder.sent_);
    CPPUNIT_ASSERT(recorder.failure_ == Failure::kConnect);
  }

  // Guards against sending another request where the target still expects the rest of a body.
  void EarlyAnswerEndsTheConnection() {
    Loop loop;
    RawPeer peer;
    peer.on_bytes_ = [](RawPeer::Connection& connection) {
      connection.stream_->PauseReading(true);
      connection.Write("HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n");
    };
    ClientConnection connection(peer.GetAddress(), {});
    Recorder recorder;
    // More than the buffers of both sockets take.
    const std::string body(std::size_t{32} << 20, 'x');
    connection.SendRequest(
        "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
        false, recorder);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.IsOver(); }));
    CPPUNIT_ASSERT_EQUAL(413, recorder.status_);
    CPPUNIT_ASSERT(!connection.IsUsable());
  }

  // Guards against a resend of work that must not run twice, when an idle connection closes.
  void NeverSendsAgainByItself() {
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
    Recorder first;
    connection->SendRequest(kGet, false, first);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return first.IsOver(); }));
    Recorder second;
    connection->SendRequest(kGet, false, second);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return second.IsOver(); }));
    loop.RunFor(std::chrono::milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(2, requests);
    CPPUNIT_ASSERT(second.sent_);
  }

  void ClientRepeatsOnlyIdempotentCalls() {
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

  // Guards against waiting for ever on a connection that fell silent.
  void ClientCallTimesOut() {
    Loop loop;
    RawPeer peer;
    HttpClient client(peer.GetAddress(), {}, 4);
    bool timed_out = false;
    client.Call(kGet, true, std::chrono::milliseconds(30),
                [&timed_out](const CallResult& result) { timed_out = result.timed_out_; });
    CPPUNIT_ASSERT(loop.RunUntil([&] { return timed_out; }));
  }

  // Guards against work for callers that have left.
  void ServerTellsWhenACallerLeaves() {
    Loop loop;
    EchoServer server;
    server.holds_ = true;
    ClientConnection connection(server.GetAddress(), {});
    Recorder recorder;
    connection.SendRequest(kGet, false, recorder);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.requests_ == 1; }));
    connection.Cancel();
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.gone_ == 1; }));
  }

  void ServerRefusesSlowHeaders() {
    Loop loop;
    EchoServer server;
    ClientConnection connection(server.GetAddress(), {});
    Recorder recorder;
    connection.SendRequest("GET / HTTP/1.1\r\nHost:", false, recorder);
    // Ten seconds later by the clock of the check.
    CPPUNIT_ASSERT(loop.RunUntil([&] {
      server.connections_.CheckTimeouts(Now() + std::chrono::seconds(10));
      return server.rejected_ != 0;
    }));
    CPPUNIT_ASSERT_EQUAL(408, server.rejected_);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.IsOver(); }));
    CPPUNIT_ASSERT_EQUAL(408, recorder.status_);
  }

  // Guards against cutting a request when idle connections are closed.
  void ServerClosesIdleConnectionsOnly() {
    Loop loop;
    EchoServer server;
    server.holds_ = true;
    ClientConnection busy(server.GetAddress(), {});
    Recorder recorder;
    busy.SendRequest(kGet, false, recorder);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.held_ != nullptr; }));
    server.connections_.CloseIdle();
    server.held_->Respond(200, {}, "kept");
    CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.IsOver(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("kept"), recorder.body_);
    server.connections_.CloseIdle();
    CPPUNIT_ASSERT(loop.RunUntil([&] { return !busy.IsUsable(); }));
  }

  // Guards against a streamed answer that looks whole although the target broke off.
  void AbortedBodyDoesNotLookComplete() {
    Loop loop;
    EchoServer server;
    server.holds_ = true;
    ClientConnection connection(server.GetAddress(), {});
    Recorder recorder;
    connection.SendRequest(kGet, false, recorder);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.held_ != nullptr; }));
    server.held_->BeginChunkedResponse(200, {});
    server.held_->WriteChunk("part");
    CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.body_ == "part"; }));
    server.held_->Abort();
    CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.IsOver(); }));
    CPPUNIT_ASSERT(!recorder.done_);
  }

  // Guards against cut answers in a graceful stop.
  void ClosingServerFinishesTheAnswer() {
    Loop loop;
    EchoServer server;
    server.connections_.SetCloseAfterResponse(true);
    ClientConnection connection(server.GetAddress(), {});
    Recorder recorder;
    connection.SendRequest(kGet, false, recorder);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return recorder.IsOver(); }));
    CPPUNIT_ASSERT(recorder.done_);
    CPPUNIT_ASSERT(!connection.IsUsable());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionTest);

}  // namespace monsoonshelf::http
