#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>

#include "base/clock.h"
#include "gateway/tests/mocks/fake_target.h"
#include "gateway/tests/mocks/gateway_host.h"
#include "http/client_connection.h"
#include "http/socket_address.h"
#include "http/stream.h"

namespace monsoonshelf::gateway {

namespace {

using std::chrono::milliseconds;
using tests::FakeTarget;
using tests::GatewayHost;
using Behaviour = FakeTarget::Behaviour;

// The host serves for 0.45 of this time. It ends the calls that are left in the last sixth.
constexpr Duration kStopTime = std::chrono::seconds(3);
// The serving phase of this one is longer than any request is accepted that may outlast the stop.
constexpr Duration kLongStopTime = std::chrono::seconds(8);
constexpr Duration kServingPhase = milliseconds(1350);
// Times after the stop signal at which the host still serves, and at which it no longer does.
constexpr Duration kServingTime = milliseconds(1250);
constexpr Duration kDrainingTime = milliseconds(1800);
constexpr std::size_t kLargeBodyBytes = 900'000;
// With these socket options of a caller, most of a large response stays in the output buffer of the
// host: the kernel derives the size of its send buffer from the segment size.
constexpr int kSmallReceiveBufferBytes = 4096;
constexpr int kSmallSegmentBytes = 1000;

// A caller on one connection.
class Caller : public http::IExchangeHandler {
 public:
  explicit Caller(const std::string& address)
      : connection_(std::make_unique<http::ClientConnection>(*ParseAddress(address),
                                                             http::StreamOptions{})) {}
  ~Caller() override { connection_->Cancel(); }

  void Send(const std::string& request) {
    done_ = false;
    connection_->SendRequest(request, false, *this);
  }
  bool OnHead(http::ResponseHead& head) override {
    status_ = head.status_;
    return true;
  }
  void OnBody(std::string& body) override { body.clear(); }
  void OnDone() override { done_ = true; }
  void OnFailed(http::Failure failure, bool /*sent*/) override { failure_ = failure; }
  bool IsOver() const { return done_ || failure_ != http::Failure::kNone; }

  std::unique_ptr<http::ClientConnection> connection_;
  bool done_ = false;
  http::Failure failure_ = http::Failure::kNone;
  int status_ = 0;
};

// A caller that sends its request in parts and can delay reading the response.
class PartwiseCaller : public http::IStreamHandler {
 public:
  explicit PartwiseCaller(const std::string& address) {
    const http::SocketAddress target = http::ToSocketAddress(*ParseAddress(address));
    const int descriptor = socket(target.Family(), SOCK_STREAM | SOCK_CLOEXEC, IPPROTO_TCP);
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kSmallReceiveBufferBytes,
               sizeof(kSmallReceiveBufferBytes));
    setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &kSmallSegmentBytes,
               sizeof(kSmallSegmentBytes));
    CPPUNIT_ASSERT_EQUAL(0, connect(descriptor, target.Get(), target.length_));
    CPPUNIT_ASSERT_EQUAL(0, fcntl(descriptor, F_SETFL, O_NONBLOCK));
    stream_ = http::Stream::Adopt(descriptor, *this, {});
  }
  void OnConnected() override {}
  void OnDataReceived() override {}
  void OnOutputFlushed() override {}
  void OnClosed(http::Failure failure) override { failure_ = failure; }
  const std::string& Response() const { return stream_->InputBuffer(); }
  bool HasResponse() const { return Response().find("\r\n\r\n") != std::string::npos; }

  std::unique_ptr<http::Stream> stream_;
  http::Failure failure_ = http::Failure::kNone;
};

}  // namespace

// What callers see when an entry host stops. The host is destroyed as soon as it has stopped, as
// the process does.
class StopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StopTest);
  CPPUNIT_TEST(ResponseInTheOutputBufferIsCompletedBeforeTheEnd);
  CPPUNIT_TEST(PartlyReadRequestIsRejectedBeforeTheEnd);
  CPPUNIT_TEST(RequestInTheListenQueueIsRejectedBeforeTheEnd);
  CPPUNIT_TEST(StoppedHostRefusesConnections);
  CPPUNIT_TEST(RequestThatArrivedBeforeAnIdleCloseIsRejected);
  CPPUNIT_TEST(SecondStopSignalDoesNotCutRequests);
  CPPUNIT_TEST(ReloadDuringAStopDoesNotShortenIt);
  CPPUNIT_TEST(RequestAfterTheServingPhaseIsRejected);
  CPPUNIT_TEST(NonIdempotentRequestThatMayOutlastTheStopIsRejected);
  CPPUNIT_TEST(LateRequestThatMayOutlastALongStopIsRejected);
  CPPUNIT_TEST(ForcedEndRespondsToRequestsInFlight);
  CPPUNIT_TEST(PartlyReadQueryIsAnsweredBeforeTheEnd);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    host_ = std::make_unique<GatewayHost>();
    host_->settings_.bounds_.stop_time_ = kStopTime;
    target_ = std::make_unique<FakeTarget>("a", "z");
    host_->AddTarget("a", target_->listener_->LocalAddress());
    CPPUNIT_ASSERT(host_->Start());
    CPPUNIT_ASSERT_EQUAL(200, host_->Call("/safe/x").status_);
  }

  void tearDown() override {
    caller_.reset();
    host_->gateway_.reset();
    target_.reset();
    host_.reset();
  }

  // A call ends when its response is in the output buffer. Guards against ending the process before
  // a slow caller has received the rest.
  void ResponseInTheOutputBufferIsCompletedBeforeTheEnd() {
    target_->behaviour_ = Behaviour::kHoldsRequest;
    PartwiseCaller caller(host_->settings_.front_address_);
    caller.stream_->Write(GatewayHost::FormatRequest("/safe/x"));
    caller.stream_->PauseReading(true);
    CPPUNIT_ASSERT(host_->loop_.RunUntil([this] { return !target_->held_.empty(); }));
    host_->gateway_->Stop();
    RunUntilStopped(kServingTime);
    target_->RespondToHeld(target_->held_.begin()->first, std::string(kLargeBodyBytes, 'x'));
    RunUntilStopped(kDrainingTime);
    caller.stream_->PauseReading(false);
    RunUntilStopped(kStopTime, [&] { return caller.failure_ != http::Failure::kNone; });
    const std::size_t head_end = caller.Response().find("\r\n\r\n");
    CPPUNIT_ASSERT(head_end != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(kLargeBodyBytes, caller.Response().size() - head_end - 4);
    RunUntilStopped(kStopTime);
    CPPUNIT_ASSERT(host_->gateway_ == nullptr);
  }

  void PartlyReadRequestIsRejectedBeforeTheEnd() {
    ExpectResponseToPartwiseRequest(host_->settings_.front_address_, "/safe/x");
  }

  // Guards against closing the listening socket with connections that were not accepted yet, which
  // resets them.
  void RequestInTheListenQueueIsRejectedBeforeTheEnd() {
    host_->gateway_->Stop();
    RunUntilStopped(kServingTime);
    StartCaller();
    host_->loop_.RunFor(milliseconds(0));
    SkipToDraining();
    RunUntilStopped(kStopTime, [this] { return caller_->IsOver(); });
    CPPUNIT_ASSERT(caller_->done_);
    CPPUNIT_ASSERT_EQUAL(503, caller_->status_);
  }

  // Guards against accepting connections between the end of the stop and the end of the process,
  // when no request can be answered any more.
  void StoppedHostRefusesConnections() {
    host_->gateway_->Stop();
    CPPUNIT_ASSERT(host_->loop_.RunUntil([this] { return host_->gateway_->IsStopped(); }));
    StartCaller();
    CPPUNIT_ASSERT(host_->loop_.RunUntil([this] { return caller_->IsOver(); }));
    CPPUNIT_ASSERT(caller_->failure_ == http::Failure::kConnect);
  }

  // On a host that lacks processor time, the timer that closes idle connections can run before the
  // sockets are read. Guards against discarding a request that has arrived.
  void RequestThatArrivedBeforeAnIdleCloseIsRejected() {
    StartCaller();
    CPPUNIT_ASSERT(host_->loop_.RunUntil([this] { return caller_->IsOver(); }));
    host_->gateway_->Stop();
    RunUntilStopped(kServingTime);
    caller_->Send(GatewayHost::FormatRequest("/safe/x"));
    SkipToDraining();
    RunUntilStopped(kStopTime, [this] { return caller_->IsOver(); });
    CPPUNIT_ASSERT(caller_->done_);
    CPPUNIT_ASSERT_EQUAL(503, caller_->status_);
  }

  // Guards against cutting the requests in flight, and against rejecting callers that do not know
  // yet that the host stops, when the stop signal is sent again.
  void SecondStopSignalDoesNotCutRequests() {
    HoldRequest();
    host_->gateway_->Stop();
    host_->loop_.RunFor(milliseconds(100));
    host_->gateway_->Stop();
    RunUntilStopped(milliseconds(400));
    CPPUNIT_ASSERT(host_->gateway_ != nullptr);
    target_->behaviour_ = Behaviour::kResponds;
    CPPUNIT_ASSERT_EQUAL(200, host_->Call("/safe/y").status_);
    target_->RespondToHeld(target_->held_.begin()->first);
    RunUntilStopped(kStopTime, [this] { return caller_->IsOver(); });
    CPPUNIT_ASSERT(caller_->done_);
    CPPUNIT_ASSERT_EQUAL(200, caller_->status_);
  }

  // Guards against cutting calls when a reload lowers the stop time of a stop that has begun.
  void ReloadDuringAStopDoesNotShortenIt() {
    HoldRequest();
    host_->gateway_->Stop();
    GatewaySettings settings = host_->settings_;
    settings.bounds_.stop_time_ = milliseconds(500);
    host_->gateway_->Reload(settings);
    RunUntilStopped(milliseconds(1000));
    CPPUNIT_ASSERT(host_->gateway_ != nullptr && !caller_->IsOver());
    target_->RespondToHeld(target_->held_.begin()->first);
    RunUntilStopped(kStopTime, [this] { return caller_->IsOver(); });
    CPPUNIT_ASSERT_EQUAL(200, caller_->status_);
  }

  // Guards against accepting requests until the next timer: they might not finish in time.
  void RequestAfterTheServingPhaseIsRejected() {
    host_->gateway_->Stop();
    const Time end = Now() + kServingPhase;
    CPPUNIT_ASSERT(host_->loop_.RunUntil([end] { return Now() >= end; }));
    CPPUNIT_ASSERT_EQUAL(503, host_->Call("/safe/x").status_);
  }

  // Guards against sending a request that must not be repeated to a target although the host may
  // have to cut it: the caller could not know whether it was executed.
  void NonIdempotentRequestThatMayOutlastTheStopIsRejected() {
    host_->gateway_->Stop();
    RunUntilStopped(kServingTime - milliseconds(500));
    const int requests = target_->requests_received_;
    CPPUNIT_ASSERT_EQUAL(503, host_->Call("/once/x", "body").status_);
    CPPUNIT_ASSERT_EQUAL(requests, target_->requests_received_);
    // One with a timeout within the rest of the stop is served, and so is one that may be repeated.
    CPPUNIT_ASSERT_EQUAL(200, host_->Call("/brief/x", "body").status_);
    CPPUNIT_ASSERT_EQUAL(200, host_->Call("/safe/x").status_);
  }

  // Guards against accepting requests for nearly half of a long stop, and cutting them at its end.
  void LateRequestThatMayOutlastALongStopIsRejected() {
    host_->settings_.bounds_.stop_time_ = kLongStopTime;
    host_->gateway_->Reload(host_->settings_);
    host_->gateway_->Stop();
    host_->loop_.RunFor(milliseconds(2500));
    CPPUNIT_ASSERT_EQUAL(200, host_->Call("/safe/x").status_);
    host_->loop_.RunFor(milliseconds(600));
    CPPUNIT_ASSERT_EQUAL(503, host_->Call("/safe/x").status_);
    CPPUNIT_ASSERT_EQUAL(200, host_->Call("/brief/x", "body").status_);
  }

  // Guards against closing the connections of calls that are still in flight when the time allowed
  // for the stop ends. Their outcome is unknown, which 504 says.
  void ForcedEndRespondsToRequestsInFlight() {
    HoldRequest();
    const Time begin = Now();
    host_->gateway_->Stop();
    RunUntilStopped(kStopTime, [this] { return caller_->IsOver(); });
    CPPUNIT_ASSERT(caller_->done_);
    CPPUNIT_ASSERT_EQUAL(504, caller_->status_);
    // The call is not cut before the last sixth of the stop time.
    CPPUNIT_ASSERT(Now() - begin >= kStopTime * 5 / 6);
    RunUntilStopped(kStopTime);
    CPPUNIT_ASSERT(host_->gateway_ == nullptr);
  }

  // Guards against the same loss at the endpoints for the directory and the other queries.
  void PartlyReadQueryIsAnsweredBeforeTheEnd() {
    ExpectResponseToPartwiseRequest(host_->settings_.directory_address_, "/directory");
  }

 private:
  // Starts a caller and sends its request, without running the main loop.
  void StartCaller() {
    caller_ = std::make_unique<Caller>(host_->settings_.front_address_);
    caller_->Send(GatewayHost::FormatRequest("/safe/x"));
  }

  // Waits until the target executes a request of the caller.
  void HoldRequest() {
    target_->behaviour_ = Behaviour::kHoldsRequest;
    caller_ = std::make_unique<Caller>(host_->settings_.front_address_);
    caller_->Send(GatewayHost::FormatRequest("/once/x", "body"));
    CPPUNIT_ASSERT(host_->loop_.RunUntil([this] { return !target_->held_.empty(); }));
    begin_ = Now();
  }

  // Runs until `time` after the begin of the test's stop, or until `condition` holds. Destroys the
  // gateway when it has stopped.
  template <typename Condition>
  void RunUntilStopped(Duration time, Condition condition) {
    if (begin_ == Time{}) begin_ = Now();
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] {
      if (host_->gateway_ != nullptr && host_->gateway_->IsStopped()) host_->gateway_.reset();
      return condition() || Now() - begin_ >= time;
    }));
  }
  void RunUntilStopped(Duration time) {
    RunUntilStopped(time, [] { return false; });
  }

  // Lets time pass without running the main loop, as on a host that lacks processor time.
  void SkipToDraining() const {
    const Duration wait = begin_ + kDrainingTime - Now();
    g_usleep(static_cast<gulong>(std::max(wait, Duration(0)).count()));
  }

  void ExpectResponseToPartwiseRequest(const std::string& address, const std::string& path) {
    const std::string request = GatewayHost::FormatRequest(path);
    PartwiseCaller caller(address);
    caller.stream_->Write(request.substr(0, request.size() / 2));
    host_->loop_.RunFor(milliseconds(50));
    host_->gateway_->Stop();
    RunUntilStopped(kDrainingTime);
    caller.stream_->Write(request.substr(request.size() / 2));
    RunUntilStopped(
        kStopTime, [&] { return caller.HasResponse() || caller.failure_ != http::Failure::kNone; });
    CPPUNIT_ASSERT(caller.Response().starts_with("HTTP/1.1 503 "));
  }

  std::unique_ptr<GatewayHost> host_;
  std::unique_ptr<FakeTarget> target_;
  std::unique_ptr<Caller> caller_;
  Time begin_{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopTest);

}  // namespace monsoonshelf::gateway
