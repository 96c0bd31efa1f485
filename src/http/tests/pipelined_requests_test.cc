#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "http/listener.h"
#include "http/server_connection.h"
#include "http/tests/mocks/loop.h"

namespace monsoonshelf::http {

namespace {

using std::chrono::milliseconds;
using tests::Loop;

// Holds every request until the test responds to it. GET requests may overlap.
struct HoldingServer : IServerHandler {
  HoldingServer() : connections_(*this) {
    auto listener =
        Listener::Open("127.0.0.1:0", [this](int descriptor) { connections_.Accept(descriptor); });
    listener_ = std::move(listener.value());
  }
  void OnRequest(const ServerExchangePtr& exchange, Request request) override {
    started_.push_back(request.head_.target_);
    received_[request.head_.target_] = request.received_;
    held_[request.head_.target_] = exchange;
    if (request.head_.method_ != "POST") exchange->AllowOverlap();
  }
  bool MayOverlap(const RequestHead& head) const override { return head.method_ != "POST"; }
  void OnCallerDisconnected(const ServerExchangePtr& exchange) override {
    ++disconnect_count_;
    std::erase_if(held_, [&](const auto& item) { return item.second == exchange; });
  }
  void OnResponseFlushed(const ServerExchangePtr& /*exchange*/) override { ++flush_count_; }
  void OnRejected(int status, std::string_view /*reason*/) override { rejected_status_ = status; }

  void Respond(const std::string& target, const std::string& body = {}, bool close = false) {
    held_.at(target)->Respond(200, {}, body.empty() ? target : body, close);
    held_.erase(target);
  }
  bool HasStarted(std::size_t count) const { return started_.size() == count; }

  ServerConnections connections_;
  std::unique_ptr<Listener> listener_;
  std::vector<std::string> started_;
  std::map<std::string, Time> received_;
  std::map<std::string, ServerExchangePtr> held_;
  int disconnect_count_ = 0;
  int flush_count_ = 0;
  int rejected_status_ = 0;
};

struct Client : IStreamHandler {
  explicit Client(const HoldingServer& server)
      : stream_(Stream::Connect(*ParseAddress(server.listener_->LocalAddress()), *this, {})) {}
  void OnConnected() override {}
  void OnDataReceived() override {
    received_ += stream_->InputBuffer();
    stream_->InputBuffer().clear();
  }
  void OnOutputFlushed() override {}
  void OnClosed(Failure /*failure*/) override { closed_ = true; }
  void Send(const std::string& bytes) { stream_->Write(bytes); }
  // Returns the bodies of the complete responses received so far.
  std::vector<std::string> Bodies() const {
    std::vector<std::string> bodies;
    std::string rest = received_;
    while (!rest.empty()) {
      ResponseParser parser(false);
      rest.erase(0, parser.Feed(rest));
      if (!parser.IsDone()) break;
      bodies.push_back(parser.Body());
    }
    return bodies;
  }

  std::unique_ptr<Stream> stream_;
  std::string received_;
  bool closed_ = false;
};

std::string Get(const std::string& target) {
  return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
}
std::string Post(const std::string& target) {
  return "POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab";
}

using Strings = std::vector<std::string>;

}  // namespace

// Tests pipelined requests of one caller connection on real sockets.
class PipelinedRequestsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PipelinedRequestsTest);
  CPPUNIT_TEST(ResponsesLeaveInTheOrderOfTheRequests);
  CPPUNIT_TEST(OtherRequestsWaitForAllBeforeThem);
  CPPUNIT_TEST(WaitingRequestKeepsItsTimeOfArrival);
  CPPUNIT_TEST(CloseComesAfterTheLastStartedRequest);
  CPPUNIT_TEST(StopAnswersAllStartedRequests);
  CPPUNIT_TEST(MalformedRequestIsAnsweredInItsTurn);
  CPPUNIT_TEST(StreamOfALaterRequestIsHeld);
  CPPUNIT_TEST(HeldStreamCanBeRetracted);
  CPPUNIT_TEST(AbortedResponseDeliversTheEarlierOnes);
  CPPUNIT_TEST(CallerThatLeavesEndsAllRequests);
  CPPUNIT_TEST(LimitStopsReading);
  CPPUNIT_TEST(HeldResponsesAreBounded);
  CPPUNIT_TEST(InterimResponseWaitsForTheResponsesBefore);
  CPPUNIT_TEST(RequestTimeoutDoesNotCountTheWaitForTheTurn);
  CPPUNIT_TEST(RandomSequencesKeepTheOrder);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ResponsesLeaveInTheOrderOfTheRequests() {
    Loop loop;
    HoldingServer server;
    Client client(server);
    client.Send(Get("/1") + Get("/2") + Get("/3"));
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.HasStarted(3); }));
    server.Respond("/3");
    server.Respond("/2");
    loop.RunFor(milliseconds(30));
    CPPUNIT_ASSERT(client.received_.empty());
    server.Respond("/1");
    CPPUNIT_ASSERT(loop.RunUntil([&] { return client.Bodies().size() == 3; }));
    CPPUNIT_ASSERT(client.Bodies() == Strings({"/1", "/2", "/3"}));
    // The connection serves on.
    client.Send(Get("/4"));
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.HasStarted(4); }));
  }

  // Guards against a second run of work that is not idempotent: a caller repeats it if a response
  // before it closes the connection.
  void OtherRequestsWaitForAllBeforeThem() {
    Loop loop;
    HoldingServer server;
    Client client(server);
    client.Send(Get("/1") + Get("/2") + Post("/3") + Get("/4"));
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.HasStarted(2); }));
    server.Respond("/1");
    loop.RunFor(milliseconds(30));
    CPPUNIT_ASSERT(server.HasStarted(2));
    server.Respond("/2");
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.HasStarted(3); }));
    loop.RunFor(milliseconds(30));
    CPPUNIT_ASSERT(server.HasStarted(3));
    server.Respond("/3");
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.HasStarted(4); }));
    server.Respond("/4");
    CPPUNIT_ASSERT(loop.RunUntil([&] { return client.Bodies().size() == 4; }));
    CPPUNIT_ASSERT(client.Bodies() == Strings({"/1", "/2", "/3", "/4"}));
  }

  // Guards against deadlines that begin when the request before is answered.
  void WaitingRequestKeepsItsTimeOfArrival() {
    Loop loop;
    HoldingServer server;
    Client client(server);
    client.Send(Post("/1") + Get("/2"));
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.HasStarted(1); }));
    const Time first = server.received_.at("/1");
    loop.RunFor(milliseconds(100));
    client.Send(Get("/3"));
    loop.RunFor(milliseconds(100));
    server.Respond("/1");
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.HasStarted(3); }));
    CPPUNIT_ASSERT(server.received_.at("/2") - first < milliseconds(80));
    CPPUNIT_ASSERT(server.received_.at("/3") - first >= milliseconds(90));
    CPPUNIT_ASSERT(Now() - server.received_.at("/3") >= milliseconds(90));
  }

  // Guards against the loss of responses behind one that closes the connection.
  void CloseComesAfterTheLastStartedRequest() {
    Loop loop;
    HoldingServer server;
    Client client(server);
    client.Send(Get("/1") + Get("/2"));
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.HasStarted(2); }));
    server.Respond("/1", {}, true);
    client.Send(Get("/3"));
    loop.RunFor(milliseconds(30));
    CPPUNIT_ASSERT(server.HasStarted(2));
    CPPUNIT_ASSERT_EQUAL(std::string::npos, client.received_.find("Connection: close"));
    server.Respond("/2");
    CPPUNIT_ASSERT(loop.RunUntil([&] { return client.closed_; }));
    CPPUNIT_ASSERT(client.Bodies() == Strings({"/1", "/2"}));
    CPPUNIT_ASSERT(client.received_.find("Connection: close") > client.received_.find("/1"));
  }

  void StopAnswersAllStartedRequests() {
    Loop loop;
    HoldingServer server;
    Client client(server);
    client.Send(Get("/1") + Get("/2"));
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.HasStarted(2); }));
    server.connections_.SetCloseAfterResponse(true);
    client.Send(Get("/3"));
    loop.RunFor(milliseconds(30));
    server.connections_.CloseIdle();
    server.Respond("/1");
    server.Respond("/2");
    CPPUNIT_ASSERT(loop.RunUntil([&] { return client.closed_; }));
    CPPUNIT_ASSERT(server.HasStarted(2));
    CPPUNIT_ASSERT(client.Bodies() == Strings({"/1", "/2"}));
  }

  void MalformedRequestIsAnsweredInItsTurn() {
    Loop loop;
    HoldingServer server;
    Client client(server);
    client.Send(Get("/1") + "nonsense\r\n\r\n" + Get("/2"));
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.rejected_status_ == 400; }));
    loop.RunFor(milliseconds(30));
    CPPUNIT_ASSERT(client.received_.empty());
    server.Respond("/1");
    CPPUNIT_ASSERT(loop.RunUntil([&] { return client.closed_; }));
    CPPUNIT_ASSERT(client.Bodies() == Strings({"/1", "request is malformed"}));
    CPPUNIT_ASSERT(server.HasStarted(1));
  }

  void StreamOfALaterRequestIsHeld() {
    Loop loop;
    HoldingServer server;
    Client client(server);
    client.Send(Get("/1") + Get("/2"));
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.HasStarted(2); }));
    const ServerExchangePtr second = server.held_.at("/2");
    second->BeginChunkedResponse(200, {});
    second->WriteChunk("ab");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, second->UnsentBytes());
    loop.RunFor(milliseconds(30));
    CPPUNIT_ASSERT(client.received_.empty());
    CPPUNIT_ASSERT_EQUAL(0, server.flush_count_);
    server.Respond("/1");
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.flush_count_ > 0; }));
    CPPUNIT_ASSERT(!second->Retract());
    second->WriteChunk("cd");
    second->EndChunkedResponse();
    CPPUNIT_ASSERT(loop.RunUntil([&] { return client.Bodies().size() == 2; }));
    CPPUNIT_ASSERT(client.Bodies() == Strings({"/1", "abcd"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.connections_.CountByState().unsent_bytes_);
  }

  // Guards against a broken response where a complete error is still possible.
  void HeldStreamCanBeRetracted() {
    Loop loop;
    HoldingServer server;
    Client client(server);
    client.Send(Get("/1") + Get("/2"));
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.HasStarted(2); }));
    const ServerExchangePtr second = server.held_.at("/2");
    second->BeginChunkedResponse(200, {});
    second->WriteChunk("ab");
    CPPUNIT_ASSERT(second->Retract());
    second->Respond(502, {}, "failed");
    server.Respond("/1");
    CPPUNIT_ASSERT(loop.RunUntil([&] { return client.Bodies().size() == 2; }));
    CPPUNIT_ASSERT(client.Bodies() == Strings({"/1", "failed"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.connections_.CountByState().unsent_bytes_);
  }

  void AbortedResponseDeliversTheEarlierOnes() {
    Loop loop;
    HoldingServer server;
    Client client(server);
    client.Send(Get("/1") + Get("/2") + Get("/3"));
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.HasStarted(3); }));
    const ServerExchangePtr second = server.held_.at("/2");
    second->BeginChunkedResponse(200, {});
    second->WriteChunk("ab");
    second->Abort();
    client.Send(Get("/4"));
    loop.RunFor(milliseconds(30));
    CPPUNIT_ASSERT(!client.closed_);
    server.Respond("/1");
    CPPUNIT_ASSERT(loop.RunUntil([&] { return client.closed_; }));
    CPPUNIT_ASSERT(client.Bodies() == Strings({"/1"}));
    CPPUNIT_ASSERT_EQUAL(std::string::npos, client.received_.find("\r\n0\r\n"));
    CPPUNIT_ASSERT_EQUAL(1, server.disconnect_count_);  // Only /3.
    CPPUNIT_ASSERT(server.HasStarted(3));
  }

  void CallerThatLeavesEndsAllRequests() {
    Loop loop;
    HoldingServer server;
    auto client = std::make_unique<Client>(server);
    client->Send(Get("/1") + Get("/2") + Get("/3") + Post("/4"));
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.HasStarted(3); }));
    server.Respond("/3");  // Complete, so its end is not reported.
    client.reset();
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.connections_.Count() == 0; }));
    CPPUNIT_ASSERT_EQUAL(2, server.disconnect_count_);
    CPPUNIT_ASSERT(server.HasStarted(3));
  }

  void LimitStopsReading() {
    Loop loop;
    HoldingServer server;
    Client client(server);
    std::string requests;
    for (std::size_t i = 0; i < 3 * kMaxPipelinedRequests; ++i) {
      requests += Get('/' + std::to_string(i));
    }
    client.Send(requests);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.HasStarted(kMaxPipelinedRequests); }));
    loop.RunFor(milliseconds(30));
    CPPUNIT_ASSERT(server.HasStarted(kMaxPipelinedRequests));
    for (std::size_t i = 0; i < 3 * kMaxPipelinedRequests; ++i) {
      server.Respond('/' + std::to_string(i));
    }
    CPPUNIT_ASSERT(
        loop.RunUntil([&] { return client.Bodies().size() == 3 * kMaxPipelinedRequests; }));
  }

  // Load: many callers, each with large responses behind a slow one.
  void HeldResponsesAreBounded() {
    constexpr std::size_t kConnections = 20;
    constexpr std::size_t kResponseBytes = std::size_t{512} * 1024;
    constexpr std::size_t kLimit = 8 * kResponseBytes;
    Loop loop;
    HoldingServer server;
    server.connections_.SetMaxBufferedBytes(kLimit);
    std::vector<std::unique_ptr<Client>> clients;
    std::size_t max_unsent = 0;
    for (std::size_t i = 0; i < kConnections; ++i) {
      clients.push_back(std::make_unique<Client>(server));
      const std::string prefix = '/' + std::to_string(i) + '-';
      for (int j = 0; j < 8; ++j) clients.back()->Send(Get(prefix + std::to_string(j)));
      CPPUNIT_ASSERT(loop.RunUntil([&] { return server.held_.contains(prefix + '0'); }));
      loop.RunFor(milliseconds(20));
      // All requests behind the first are answered, so that reading goes on as far as it may.
      Strings later;
      for (const auto& [target, exchange] : server.held_) {
        if (target.starts_with(prefix) && target != prefix + '0') later.push_back(target);
      }
      for (const std::string& target : later) {
        server.Respond(target, std::string(kResponseBytes, 'x'));
      }
      max_unsent = std::max(max_unsent, server.connections_.CountByState().unsent_bytes_);
    }
    // Requests that were started below the limit may pass it by their responses.
    CPPUNIT_ASSERT(max_unsent <= kLimit + 8 * kResponseBytes);
    for (std::size_t i = 0; i < kConnections; ++i) {
      Client& client = *clients[i];
      const std::string prefix = '/' + std::to_string(i) + '-';
      CPPUNIT_ASSERT(loop.RunUntil([&] {
        Strings held;
        for (const auto& [target, exchange] : server.held_) {
          if (target.starts_with(prefix)) held.push_back(target);
        }
        for (const std::string& target : held) server.Respond(target);
        return client.Bodies().size() == 8;
      }));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.connections_.CountByState().unsent_bytes_);
  }

  void InterimResponseWaitsForTheResponsesBefore() {
    Loop loop;
    HoldingServer server;
    Client client(server);
    client.Send(Get("/1") +
                "POST /2 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.HasStarted(1); }));
    loop.RunFor(milliseconds(30));
    CPPUNIT_ASSERT(client.received_.empty());
    server.connections_.CheckTimeouts(Now() + std::chrono::minutes(1));
    CPPUNIT_ASSERT_EQUAL(0, server.rejected_status_);
    server.Respond("/1");
    CPPUNIT_ASSERT(
        loop.RunUntil([&] { return client.received_.find("100 Continue") != std::string::npos; }));
    CPPUNIT_ASSERT(client.received_.find("100 Continue") > client.received_.find("/1"));
    client.Send("ab");
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.HasStarted(2); }));
  }

  // Guards against a 408 for a request that the server has not read because of the ones before it.
  void RequestTimeoutDoesNotCountTheWaitForTheTurn() {
    Loop loop;
    HoldingServer server;
    Client client(server);
    client.Send(Post("/1") + Post("/2") + "GET /3 HTTP");
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.HasStarted(1); }));
    loop.RunFor(milliseconds(30));
    server.connections_.CheckTimeouts(Now() + std::chrono::minutes(1));
    CPPUNIT_ASSERT_EQUAL(0, server.rejected_status_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.connections_.Count());
    server.Respond("/1");
    CPPUNIT_ASSERT(loop.RunUntil([&] { return server.HasStarted(2); }));
  }

  // Requests that are split at random bytes, and responses in random order, whole and streamed.
  // Each response must reach its own request.
  void RandomSequencesKeepTheOrder() {
    for (unsigned seed = 1; seed <= 40; ++seed) {
      std::mt19937 random(seed);
      const auto below = [&random](std::size_t limit) {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random);
      };
      Loop loop;
      HoldingServer server;
      Client client(server);
      std::string bytes;
      Strings expected;
      for (std::size_t i = 0; i < 30; ++i) {
        const std::string target = '/' + std::to_string(i);
        bytes += below(4) == 0 ? Post(target) : Get(target);
        expected.push_back(target);
      }
      CPPUNIT_ASSERT(loop.RunUntil([&] {
        if (!bytes.empty()) {
          const std::size_t length = std::min(bytes.size(), 1 + below(60));
          client.Send(bytes.substr(0, length));
          bytes.erase(0, length);
        }
        if (!server.held_.empty() && below(2) == 0) {
          const auto item = std::next(server.held_.begin(),
                                      static_cast<std::ptrdiff_t>(below(server.held_.size())));
          const auto [target, exchange] = *item;
          server.held_.erase(item);
          if (below(3) == 0) {
            exchange->BeginChunkedResponse(200, {});
            exchange->WriteChunk(target.substr(0, 1));
            exchange->WriteChunk(target.substr(1));
            exchange->EndChunkedResponse();
          } else {
            exchange->Respond(200, {}, target);
          }
        }
        return client.Bodies().size() == expected.size();
      }));
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), client.Bodies() == expected);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PipelinedRequestsTest);

}  // namespace monsoonshelf::http
