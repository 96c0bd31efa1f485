#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "gateway/tests/mocks/fake_target.h"
#include "gateway/tests/mocks/gateway_host.h"
#include "gateway/tests/mocks/raw_target.h"

namespace monsoonshelf::gateway {

namespace {

using std::chrono::milliseconds;
using tests::FakeTarget;
using tests::GatewayHost;
using tests::RawTarget;
using Behaviour = FakeTarget::Behaviour;

struct ParsedResponse {
  int status_ = 0;
  std::string id_;
  std::string body_;
};

// A caller that sends requests without waiting for the responses.
struct PipelineCaller : http::IStreamHandler {
  explicit PipelineCaller(const GatewayHost& host)
      : stream_(http::Stream::Connect(*ParseAddress(host.settings_.front_address_), *this, {})) {}
  void OnConnected() override {}
  void OnDataReceived() override {
    received_ += stream_->InputBuffer();
    stream_->InputBuffer().clear();
  }
  void OnOutputFlushed() override {}
  void OnClosed(http::Failure /*failure*/) override { closed_ = true; }

  // Sends a request with the identifier `id`; its path ends with it.
  void Send(const std::string& prefix, const std::string& id, const std::string& body = {}) {
    stream_->Write(GatewayHost::FormatRequest(prefix + id, body, id));
  }
  // Returns the complete responses received so far.
  std::vector<ParsedResponse> Responses() const {
    std::vector<ParsedResponse> responses;
    std::string rest = received_;
    while (!rest.empty()) {
      http::ResponseParser parser(false);
      rest.erase(0, parser.Feed(rest));
      if (!parser.IsDone()) break;
      const std::string* id = http::FindHeader(parser.Head().headers_, "Id");
      responses.push_back({parser.Head().status_, id != nullptr ? *id : "", parser.Body()});
    }
    return responses;
  }
  // Returns the identifiers of the complete responses, each followed by its status.
  std::string Summary() const {
    std::string text;
    for (const ParsedResponse& response : Responses()) {
      text += response.id_ + ':' + std::to_string(response.status_) + ' ';
    }
    return text;
  }

  std::unique_ptr<http::Stream> stream_;
  std::string received_;
  bool closed_ = false;
};

}  // namespace

// Tests pipelined requests through the whole gateway, on real sockets.
class GatewayPipelineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayPipelineTest);
  CPPUNIT_TEST(SafeRequestsRunSideBySide);
  CPPUNIT_TEST(NonIdempotentRequestRunsAlone);
  CPPUNIT_TEST(DeadlineCountsFromTheArrival);
  CPPUNIT_TEST(StopAnswersWhatATargetGot);
  CPPUNIT_TEST(LostConnectionOfOneTargetEndsOneRequest);
  CPPUNIT_TEST(CallerThatLeavesCancelsAllSafeRequests);
  CPPUNIT_TEST(EndlessResponseEndsAtItsDeadlineIfOthersWait);
  CPPUNIT_TEST(LargeResponseWaitsForItsTurnWithBoundedMemory);
  CPPUNIT_TEST(HeldResponseThatBreaksOffIsRepeated);
  CPPUNIT_TEST(SlowReaderGetsAllResponsesInOrder);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { host_ = std::make_unique<GatewayHost>(); }
  void tearDown() override {
    host_ = nullptr;
    targets_.clear();
    raw_ = nullptr;
  }

  // Load: eight look-ups sent at once. Each must reach a target without waiting for the others.
  void SafeRequestsRunSideBySide() {
    StartTargets(4);
    SetBehaviour(Behaviour::kHoldsRequest);
    PipelineCaller caller(*host_);
    for (int i = 0; i < 8; ++i) caller.Send("/safe/", std::to_string(i));
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return HeldRequests().size() == 8; }));
    CPPUNIT_ASSERT(caller.received_.empty());
    for (int i = 7; i >= 0; --i) RespondToHeld(std::to_string(i));
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return caller.Responses().size() == 8; }));
    CPPUNIT_ASSERT_EQUAL(std::string("0:200 1:200 2:200 3:200 4:200 5:200 6:200 7:200 "),
                         caller.Summary());
    CPPUNIT_ASSERT(host_->HasMetric("response_order_wait_seconds_count", "service=\"s\""));
  }

  // Guards against a second run: a caller sends everything behind a closing response again.
  void NonIdempotentRequestRunsAlone() {
    StartTargets(2);
    SetBehaviour(Behaviour::kHoldsRequest);
    PipelineCaller caller(*host_);
    caller.Send("/safe/", "1");
    caller.Send("/once/", "2", "body");
    caller.Send("/safe/", "3");
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return IsHeld("1"); }));
    host_->loop_.RunFor(milliseconds(50));
    CPPUNIT_ASSERT(!IsHeld("2") && !IsHeld("3"));
    RespondToHeld("1");
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return IsHeld("2"); }));
    host_->loop_.RunFor(milliseconds(50));
    CPPUNIT_ASSERT(!IsHeld("3"));
    RespondToHeld("2");
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return IsHeld("3"); }));
    RespondToHeld("3");
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return caller.Responses().size() == 3; }));
    CPPUNIT_ASSERT_EQUAL(std::string("1:200 2:200 3:200 "), caller.Summary());
  }

  // Guards against work for a caller that has given up: a request that waits for the ones before it
  // has less time at its target.
  void DeadlineCountsFromTheArrival() {
    StartTargets(1);
    SetBehaviour(Behaviour::kHoldsRequest);
    PipelineCaller caller(*host_);
    caller.Send("/once/", "1", "body");
    caller.Send("/safe/", "2");
    caller.Send("/brief/", "3", "body");  // Its timeout is 700 ms.
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return IsHeld("1"); }));
    host_->loop_.RunFor(milliseconds(800));
    RespondToHeld("1");
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return IsHeld("2"); }));
    CPPUNIT_ASSERT(targets_[0]->last_time_left_ms_ <= 5000 - 750);
    RespondToHeld("2");
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return caller.Responses().size() == 3; }));
    CPPUNIT_ASSERT_EQUAL(std::string("1:200 2:200 3:503 "), caller.Summary());
    CPPUNIT_ASSERT_EQUAL(0, targets_[0]->executions_["3"]);
  }

  // A stop answers each request that a target got and starts none behind them.
  void StopAnswersWhatATargetGot() {
    StartTargets(2);
    SetBehaviour(Behaviour::kHoldsRequest);
    PipelineCaller caller(*host_);
    caller.Send("/safe/", "1");
    caller.Send("/safe/", "2");
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return IsHeld("1") && IsHeld("2"); }));
    host_->gateway_->Stop();
    caller.Send("/safe/", "3");
    caller.Send("/once/", "4", "body");
    host_->loop_.RunFor(milliseconds(50));
    RespondToHeld("2");
    host_->loop_.RunFor(milliseconds(50));
    CPPUNIT_ASSERT(!caller.closed_);
    RespondToHeld("1");
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return caller.closed_; }));
    CPPUNIT_ASSERT_EQUAL(std::string("1:200 2:200 "), caller.Summary());
    CPPUNIT_ASSERT_EQUAL(0, Executions("3") + Executions("4"));
  }

  void LostConnectionOfOneTargetEndsOneRequest() {
    StartTargets(1);
    SetBehaviour(Behaviour::kHoldsRequest);
    PipelineCaller caller(*host_);
    for (const char* id : {"1", "2", "3"}) caller.Send("/safe/", id);
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return HeldRequests().size() >= 2; }));
    const std::vector<std::string> held = HeldRequests();
    SetBehaviour(Behaviour::kDropsConnection);
    targets_[0]->held_.at(held[0])->Abort();
    for (std::size_t i = 1; i < held.size(); ++i) RespondToHeld(held[i]);
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return caller.Responses().size() == 3; }));
    CPPUNIT_ASSERT(caller.Summary().find(held[0] + ":502") != std::string::npos);
    CPPUNIT_ASSERT(caller.Summary().find(held[1] + ":200") != std::string::npos);
    CPPUNIT_ASSERT(!caller.closed_);
  }

  // Guards against work for callers that have left.
  void CallerThatLeavesCancelsAllSafeRequests() {
    StartTargets(3);
    SetBehaviour(Behaviour::kHoldsRequest);
    auto caller = std::make_unique<PipelineCaller>(*host_);
    for (const char* id : {"1", "2", "3"}) caller->Send("/safe/", id);
    caller->Send("/once/", "4", "body");
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return HeldRequests().size() == 3; }));
    caller = nullptr;
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] {
      int cancellations = 0;
      for (const auto& target : targets_) cancellations += target->cancellations_;
      return cancellations == 3;
    }));
    host_->loop_.RunFor(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(0, Executions("4"));
  }

  // Guards against a target that never ends its response and holds up the responses behind it.
  void EndlessResponseEndsAtItsDeadlineIfOthersWait() {
    StartRawTarget();
    PipelineCaller caller(*host_);
    // A first request, so that a response precedes the endless one.
    raw_->on_request_ = [this](RawTarget::Connection& connection) {
      connection.Write(raw_->SignedHead("Content-Length: 2\r\n") + "ok");
    };
    caller.Send("/safe/", "1");
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return caller.Responses().size() == 1; }));
    raw_->on_request_ = [this](RawTarget::Connection& connection) {
      connection.Write(raw_->SignedHead("Transfer-Encoding: chunked\r\n"));
    };
    caller.Send("/brief/", "2", "body");  // Its timeout is 700 ms.
    const Time start = Now();
    caller.Send("/safe/", "3");
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return raw_->requests_received_ == 2; }));
    const std::string chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
    while (!caller.closed_ && Now() - start < std::chrono::seconds(5)) {
      raw_->SendMore(chunk);
      host_->loop_.RunFor(milliseconds(5));
    }
    CPPUNIT_ASSERT(caller.closed_);
    CPPUNIT_ASSERT(Now() - start >= milliseconds(600));
    CPPUNIT_ASSERT(Now() - start < milliseconds(2500));
    CPPUNIT_ASSERT_EQUAL(std::string("1:200 "), caller.Summary());
  }

  // Load: a slow look-up, and behind it a response that is larger than the gateway may hold.
  void LargeResponseWaitsForItsTurnWithBoundedMemory() {
    const auto slow_caller = StartSlowRequestBeforeRawTarget();
    PipelineCaller& caller = *slow_caller;
    raw_->on_request_ = [this](RawTarget::Connection& connection) {
      connection.Write(raw_->SignedHead("Transfer-Encoding: chunked\r\n"));
    };
    caller.Send("/safe/", "2");
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return raw_->requests_received_ > 0; }));
    const std::string chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
    for (int i = 0; i < 200; ++i) {
      raw_->SendMore(chunk);
      host_->loop_.RunFor(milliseconds(2));
    }
    // Above the size at which the gateway streams, and below all that was offered.
    CPPUNIT_ASSERT(raw_->HasUnsentBytes());
    CPPUNIT_ASSERT(raw_->BytesSent() < (std::uint64_t{8} << 20));
    CPPUNIT_ASSERT(caller.received_.empty());
    RespondToHeld("1");
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return !raw_->HasUnsentBytes(); }));
    raw_->request_->Write("0\r\n\r\n");
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return caller.Responses().size() == 2; }));
    CPPUNIT_ASSERT_EQUAL(std::string("1:200 2:200 "), caller.Summary());
  }

  // Guards against a truncated response where a whole one is still possible.
  void HeldResponseThatBreaksOffIsRepeated() {
    const auto slow_caller = StartSlowRequestBeforeRawTarget();
    PipelineCaller& caller = *slow_caller;
    raw_->on_request_ = [this](RawTarget::Connection& connection) {
      connection.Write(raw_->SignedHead("Content-Length: 3000000\r\n") +
                       std::string(std::size_t{3} << 19, 'x'));
    };
    caller.Send("/safe/", "2");
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return raw_->requests_received_ > 0; }));
    host_->loop_.RunFor(milliseconds(200));
    targets_[0]->ignores_probes_ = false;
    SetBehaviour(Behaviour::kResponds);
    raw_->request_->Reset();
    raw_->request_ = nullptr;
    host_->loop_.RunFor(milliseconds(200));
    RespondToHeld("1");
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return caller.Responses().size() == 2; }));
    CPPUNIT_ASSERT_EQUAL(std::string("1:200 2:200 "), caller.Summary());
    CPPUNIT_ASSERT(!caller.closed_);
  }

  void SlowReaderGetsAllResponsesInOrder() {
    StartTargets(2);
    SetBehaviour(Behaviour::kHoldsRequest);
    PipelineCaller caller(*host_);
    for (const char* id : {"1", "2", "3", "4"}) caller.Send("/safe/", id);
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return HeldRequests().size() == 4; }));
    caller.stream_->PauseReading(true);
    const std::string body(std::size_t{900} * 1024, 'y');
    for (const char* id : {"2", "1", "4", "3"}) RespondToHeld(id, body);
    host_->loop_.RunFor(milliseconds(200));
    caller.stream_->PauseReading(false);
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return caller.Responses().size() == 4; }));
    CPPUNIT_ASSERT_EQUAL(std::string("1:200 2:200 3:200 4:200 "), caller.Summary());
    for (const ParsedResponse& response : caller.Responses()) {
      CPPUNIT_ASSERT(response.body_ == body);
    }
  }

 private:
  void StartTargets(int count) {
    for (int i = 0; i < count; ++i) {
      targets_.push_back(std::make_unique<FakeTarget>("t" + std::to_string(i), "z"));
      host_->AddTarget(targets_.back()->name_, targets_.back()->listener_->LocalAddress());
    }
    CPPUNIT_ASSERT(host_->Start());
  }
  void StartRawTarget() {
    raw_ = std::make_unique<RawTarget>("raw");
    host_->AddTarget("raw", raw_->GetAddress());
    CPPUNIT_ASSERT(host_->Start());
  }
  // Returns a caller whose request "1" is held by a target. Further ones go to `raw_`.
  std::unique_ptr<PipelineCaller> StartSlowRequestBeforeRawTarget() {
    raw_ = std::make_unique<RawTarget>("raw");
    raw_->on_probe_ = [](RawTarget::Connection& /*connection*/) {};
    host_->AddTarget("raw", raw_->GetAddress());
    StartTargets(1);
    SetBehaviour(Behaviour::kHoldsRequest);
    auto caller = std::make_unique<PipelineCaller>(*host_);
    caller->Send("/single/", "1");
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return IsHeld("1"); }));
    targets_[0]->ignores_probes_ = true;
    raw_->on_probe_ = nullptr;
    return caller;
  }
  void SetBehaviour(Behaviour behaviour) {
    for (const auto& target : targets_) target->behaviour_ = behaviour;
  }
  // Returns the identifiers of the requests that a target holds.
  std::vector<std::string> HeldRequests() const {
    std::vector<std::string> ids;
    for (const auto& target : targets_) {
      for (const auto& [id, exchange] : target->held_) {
        if (std::find(ids.begin(), ids.end(), id) == ids.end()) ids.push_back(id);
      }
    }
    return ids;
  }
  bool IsHeld(const std::string& id) const {
    const std::vector<std::string> ids = HeldRequests();
    return std::find(ids.begin(), ids.end(), id) != ids.end();
  }
  void RespondToHeld(const std::string& id, const std::string& body = "held") {
    for (const auto& target : targets_) {
      if (target->held_.contains(id)) target->RespondToHeld(id, body);
    }
  }
  int Executions(const std::string& id) {
    int count = 0;
    for (const auto& target : targets_) count += target->executions_[id];
    return count;
  }

  std::unique_ptr<GatewayHost> host_;
  std::vector<std::unique_ptr<FakeTarget>> targets_;
  std::unique_ptr<RawTarget> raw_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayPipelineTest);

}  // namespace monsoonshelf::gateway
