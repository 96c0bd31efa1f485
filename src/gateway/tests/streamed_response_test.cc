#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

#include "gateway/tests/mocks/gateway_host.h"
#include "gateway/tests/mocks/raw_target.h"

namespace monsoonshelf::gateway {

namespace {

using std::chrono::milliseconds;
using tests::GatewayHost;
using tests::RawTarget;
using Response = GatewayHost::Response;

constexpr const char* kChunked = "Transfer-Encoding: chunked\r\n";
constexpr const char* kLastChunk = "0\r\n\r\n";
// More than the gateway buffers before it streams a response.
constexpr std::size_t kStreamedBytes = std::size_t{3} << 19;

// Returns a chunk of 0x10000 equal bytes.
std::string Chunk(char byte) { return "10000\r\n" + std::string(0x10000, byte) + "\r\n"; }

// Writes the head and the first kStreamedBytes bytes of a chunked success.
void BeginStream(RawTarget& target, char byte) {
  target.request_->Write(target.SignedHead(kChunked));
  for (std::size_t sent = 0; sent < kStreamedBytes; sent += 0x10000) {
    target.request_->Write(Chunk(byte));
  }
}

// A caller that keeps the raw bytes of the response.
struct RawCaller : http::IStreamHandler {
  RawCaller(const std::string& address, const std::string& request)
      : stream_(http::Stream::Connect(*ParseAddress(address), *this, {})) {
    stream_->Write(request);
  }
  void OnConnected() override {}
  void OnDataReceived() override { received_ = stream_->InputBuffer(); }
  void OnOutputFlushed() override {}
  void OnClosed(http::Failure /*failure*/) override { closed_ = true; }

  std::string received_;
  bool closed_ = false;
  std::unique_ptr<http::Stream> stream_;
};

}  // namespace

// Tests responses that the gateway forwards in pieces, on real sockets with targets whose bytes the
// test sends.
class StreamedResponseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamedResponseTest);
  CPPUNIT_TEST(FirstStreamedResponseCancelsTheOtherAttempt);
  CPPUNIT_TEST(ResponsesOfTwoAttemptsAreNotMixed);
  CPPUNIT_TEST(StreamedResponseEndsTheSearchForAnotherTarget);
  CPPUNIT_TEST(TargetThatBreaksOffLeavesAnIncompleteResponse);
  CPPUNIT_TEST(SilenceDoesNotEndAStreamedResponseAtItsTimeout);
  CPPUNIT_TEST(SilenceAfterTheTimeoutEndsAStreamedResponse);
  CPPUNIT_TEST(SilenceBeforeTheTimeoutEndsAStreamedResponse);
  CPPUNIT_TEST(CallerThatStopsReadingEndsAStreamedResponse);
  CPPUNIT_TEST(NonIdempotentStreamGoesOnAfterItsCallerHasLeft);
  CPPUNIT_TEST(PausedNonIdempotentStreamGoesOnAfterItsCallerHasLeft);
  CPPUNIT_TEST(NonIdempotentStreamMayFailAfterItsCallerHasLeft);
  CPPUNIT_TEST(OutcomeOfARequestWhoseCallerHasLeftIsRecorded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    host_ = std::make_unique<GatewayHost>();
    for (auto* target : {&a_, &b_}) {
      *target = std::make_unique<RawTarget>(target == &a_ ? "a" : "b");
      host_->AddTarget((*target)->name_, (*target)->GetAddress());
    }
  }
  void tearDown() override {
    host_ = nullptr;
    a_ = nullptr;
    b_ = nullptr;
  }

  // Guards against a caller's response that never ends: the other attempt was complete first, and
  // its response cannot be sent once another one is being streamed.
  void FirstStreamedResponseCancelsTheOtherAttempt() {
    CPPUNIT_ASSERT(host_->Start());
    Response response;
    SendToBoth(response);
    BeginStream(*a_, 'a');
    CPPUNIT_ASSERT(host_->loop_.RunUntil([this] { return !a_->HasUnsentBytes(); }));
    host_->loop_.RunFor(milliseconds(50));
    b_->request_->Write(b_->SignedHead("Content-Length: 1\r\n") + "b");
    host_->loop_.RunFor(milliseconds(50));
    a_->request_->Write(kLastChunk);
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return response.done_; }));
    CPPUNIT_ASSERT_EQUAL(200, response.status_);
    CPPUNIT_ASSERT(response.body_ == std::string(kStreamedBytes, 'a'));
    CPPUNIT_ASSERT(host_->loop_.RunUntil([this] { return !b_->IsRequestOpen(); }));
  }

  // Guards against a response with bytes of two targets.
  void ResponsesOfTwoAttemptsAreNotMixed() {
    CPPUNIT_ASSERT(host_->Start());
    Response response;
    SendToBoth(response);
    BeginStream(*a_, 'a');
    BeginStream(*b_, 'b');
    CPPUNIT_ASSERT(host_->loop_.RunUntil([this] {
      return (!a_->HasUnsentBytes() || !a_->IsRequestOpen()) &&
             (!b_->HasUnsentBytes() || !b_->IsRequestOpen());
    }));
    host_->loop_.RunFor(milliseconds(50));
    for (RawTarget* target : {a_.get(), b_.get()}) {
      if (target->IsRequestOpen()) target->request_->Write(kLastChunk);
    }
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return response.done_; }));
    CPPUNIT_ASSERT_EQUAL(200, response.status_);
    CPPUNIT_ASSERT_EQUAL(kStreamedBytes, response.body_.size());
    CPPUNIT_ASSERT(response.body_.find(response.body_[0] == 'a' ? 'b' : 'a') == std::string::npos);
    CPPUNIT_ASSERT(a_->IsRequestOpen() != b_->IsRequestOpen());
  }

  // Guards against sending a request once more while its response is being streamed.
  void StreamedResponseEndsTheSearchForAnotherTarget() {
    RawTarget::Connection* probe = nullptr;
    b_->on_probe_ = [&probe](RawTarget::Connection& connection) { probe = &connection; };
    CPPUNIT_ASSERT(host_->Start());
    Response response;
    host_->Send("/safe/x", "", response);
    CPPUNIT_ASSERT(host_->loop_.RunUntil([this] { return a_->requests_received_ == 1; }));
    probe = nullptr;
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return probe != nullptr; }));
    BeginStream(*a_, 'a');
    host_->loop_.RunFor(milliseconds(10));
    probe->Write("HTTP/1.1 200 OK\r\nTarget: b\r\nRunning: 0\r\nContent-Length: 0\r\n\r\n");
    host_->loop_.RunFor(milliseconds(200));
    a_->request_->Write(kLastChunk);
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return response.done_; }));
    CPPUNIT_ASSERT_EQUAL(kStreamedBytes, response.body_.size());
    CPPUNIT_ASSERT_EQUAL(0, b_->requests_received_);
  }

  // Guards against an incomplete response that looks complete to the caller.
  void TargetThatBreaksOffLeavesAnIncompleteResponse() {
    for (const bool reset : {false, true}) {
      for (const bool has_length : {false, true}) {
        RestartWithOneTarget();
        RawCaller caller(host_->settings_.front_address_, GatewayHost::FormatRequest("/safe/x"));
        CPPUNIT_ASSERT(host_->loop_.RunUntil([this] { return a_->IsRequestOpen(); }));
        if (has_length) {
          a_->request_->Write(a_->SignedHead("Content-Length: 4000000\r\n") +
                              std::string(kStreamedBytes, 'a'));
        } else {
          BeginStream(*a_, 'a');
        }
        CPPUNIT_ASSERT(
            host_->loop_.RunUntil([&] { return caller.received_.size() > kStreamedBytes; }));
        if (reset) {
          a_->request_->Reset();
        } else {
          a_->request_->Close();
        }
        CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return caller.closed_; }));
        // The body is chunked, so only a last chunk would make it complete.
        CPPUNIT_ASSERT(caller.received_.find(kChunked) != std::string::npos);
        CPPUNIT_ASSERT(!caller.received_.ends_with(kLastChunk));
      }
    }
  }
  // Guards against ending a download at the timeout of its route (700 ms): it may take longer, and
  // its target may be silent for less than the stall timeout.
  void SilenceDoesNotEndAStreamedResponseAtItsTimeout() {
    host_->settings_.target_stall_timeout_ = std::chrono::seconds(10);
    RestartWithOneTarget();
    Response response;
    host_->Send("/brief/x", "body", response);
    CPPUNIT_ASSERT(host_->loop_.RunUntil([this] { return a_->IsRequestOpen(); }));
    BeginStream(*a_, 'a');
    host_->loop_.RunFor(milliseconds(1500));  // The timeout of the route is 700 ms.
    CPPUNIT_ASSERT(!response.done_);
    a_->request_->Write(kLastChunk);
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return response.done_; }));
    CPPUNIT_ASSERT_EQUAL(200, response.status_);
    CPPUNIT_ASSERT_EQUAL(kStreamedBytes, response.body_.size());
  }

  // Guards against a request that a silent target keeps open for ever.
  void SilenceAfterTheTimeoutEndsAStreamedResponse() {
    host_->settings_.target_stall_timeout_ = milliseconds(1500);
    RestartWithOneTarget();
    RawCaller caller(host_->settings_.front_address_,
                     GatewayHost::FormatRequest("/brief/x", "body"));
    CPPUNIT_ASSERT(host_->loop_.RunUntil([this] { return a_->IsRequestOpen(); }));
    BeginStream(*a_, 'a');
    // Progress keeps the response open after the timeout of the route (700 ms).
    for (int i = 0; i < 8; ++i) {
      host_->loop_.RunFor(milliseconds(300));
      CPPUNIT_ASSERT(!caller.closed_);
      a_->SendMore(Chunk('a'));
    }
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return caller.closed_; }));
    CPPUNIT_ASSERT(!caller.received_.ends_with(kLastChunk));
    CPPUNIT_ASSERT(host_->loop_.RunUntil([this] { return !a_->IsRequestOpen(); }));
    CPPUNIT_ASSERT(host_->HasMetric("sends_total", "result=\"stalled\""));
    CPPUNIT_ASSERT(host_->HasMetric("requests_total", "reason=\"target_failed\""));
  }

  // Guards against a response that is kept open after the timeout of the route (700 ms) although
  // its target fell silent long before: it used to get another 30 s at the first check.
  void SilenceBeforeTheTimeoutEndsAStreamedResponse() {
    RestartWithOneTarget();
    RawCaller caller(host_->settings_.front_address_,
                     GatewayHost::FormatRequest("/brief/x", "body"));
    CPPUNIT_ASSERT(host_->loop_.RunUntil([this] { return a_->IsRequestOpen(); }));
    BeginStream(*a_, 'a');
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return caller.closed_; }));
    CPPUNIT_ASSERT(!caller.received_.ends_with(kLastChunk));
    CPPUNIT_ASSERT(host_->HasMetric("sends_total", "result=\"stalled\""));
  }

  // Guards against a request that a caller keeps open for ever because it does not read.
  void CallerThatStopsReadingEndsAStreamedResponse() {
    host_->settings_.stream_stall_timeout_ = milliseconds(1500);
    RestartWithOneTarget();
    RawCaller caller(host_->settings_.front_address_,
                     GatewayHost::FormatRequest("/brief/x", "body"));
    caller.stream_->PauseReading(true);
    CPPUNIT_ASSERT(host_->loop_.RunUntil([this] { return a_->IsRequestOpen(); }));
    BeginStream(*a_, 'a');
    CPPUNIT_ASSERT(host_->loop_.RunUntil([this] {
      a_->SendMore(Chunk('a'));
      return !a_->IsRequestOpen();
    }));
    CPPUNIT_ASSERT(host_->HasMetric("requests_total", "reason=\"timed_out\""));
    CPPUNIT_ASSERT(!host_->HasMetric("sends_total", "result=\"stalled\""));
  }

  // Guards against a crash: the rest of the response arrives when there is no caller any more.
  void NonIdempotentStreamGoesOnAfterItsCallerHasLeft() {
    RestartWithOneTarget();
    LeaveDuringStream(false);
    for (int i = 0; i < 50; ++i) a_->request_->Write(Chunk('a'));
    CPPUNIT_ASSERT(host_->loop_.RunUntil([this] { return !a_->HasUnsentBytes(); }));
    CPPUNIT_ASSERT(a_->IsRequestOpen());
    a_->request_->Write(kLastChunk);
    ExpectReason("caller_gone");
    CPPUNIT_ASSERT(a_->IsRequestOpen());  // The response was complete.
  }

  // Guards against a target that waits for ever because the caller that paused it has left.
  void PausedNonIdempotentStreamGoesOnAfterItsCallerHasLeft() {
    RestartWithOneTarget();
    LeaveDuringStream(true);
    CPPUNIT_ASSERT(host_->loop_.RunUntil([this] { return !a_->HasUnsentBytes(); }));
    a_->request_->Write(kLastChunk);
    ExpectReason("caller_gone");
  }

  // Guards against a crash when the response breaks off after its caller has left.
  void NonIdempotentStreamMayFailAfterItsCallerHasLeft() {
    RestartWithOneTarget();
    LeaveDuringStream(false);
    a_->request_->Reset();
    ExpectReason("caller_gone");
  }

  // Guards against requests that end without a trace because nobody waits for their response.
  void OutcomeOfARequestWhoseCallerHasLeftIsRecorded() {
    const std::string id = "HTTP/1.1 200 OK\r\nId: 1\r\n";
    for (const std::string& response :
         {id + "Signed: yes\r\nContent-Length: 1\r\n\r\na",  // A success.
          id + "Content-Length: 1\r\n\r\na",                 // An unsigned response.
          std::string("HTTP/1.1 500 E\r\nId: 1\r\nSigned: yes\r\nContent-Length: 0\r\n\r\n"),
          std::string("HTTP/1.1 503 R\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"),
          std::string("no http"), std::string()}) {  // No response before the timeout of the route.
      RestartWithOneTarget();
      Response ignored;
      host_->Send("/brief/x", "body", ignored);
      CPPUNIT_ASSERT(host_->loop_.RunUntil([this] { return a_->IsRequestOpen(); }));
      host_->client_->Cancel(host_->last_call_);
      host_->loop_.RunFor(milliseconds(50));
      CPPUNIT_ASSERT(a_->IsRequestOpen());
      a_->request_->Write(response);
      ExpectReason("caller_gone");
      CPPUNIT_ASSERT_EQUAL(1, a_->requests_received_);
    }
  }

 private:
  // Sends a non-idempotent request and closes the caller's connection while its response is being
  // streamed. `paused` stops the caller from reading first, until the target is stopped too.
  void LeaveDuringStream(bool paused) {
    RawCaller caller(host_->settings_.front_address_,
                     GatewayHost::FormatRequest("/once/x", "body"));
    CPPUNIT_ASSERT(host_->loop_.RunUntil([this] { return a_->IsRequestOpen(); }));
    BeginStream(*a_, 'a');
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return caller.received_.size() > kStreamedBytes; }));
    if (paused) {
      caller.stream_->PauseReading(true);
      int blocked = 0;
      CPPUNIT_ASSERT(host_->loop_.RunUntil([&] {
        blocked = a_->HasUnsentBytes() ? blocked + 1 : 0;
        a_->SendMore(Chunk('a'));
        return blocked > 500;
      }));
    }
    caller.stream_.reset();
    host_->loop_.RunFor(milliseconds(50));
    CPPUNIT_ASSERT(a_->IsRequestOpen());
  }

  void ExpectReason(const std::string& reason) {
    CPPUNIT_ASSERT(host_->loop_.RunUntil(
        [&] { return host_->HasMetric("requests_total", "reason=\"" + reason + "\""); }));
  }

  // Starts a new gateway with the settings of the last one and the target `a` only.
  void RestartWithOneTarget() {
    const Duration stall_timeout = host_->settings_.stream_stall_timeout_;
    const Duration target_stall_timeout = host_->settings_.target_stall_timeout_;
    tearDown();
    host_ = std::make_unique<GatewayHost>();
    host_->settings_.stream_stall_timeout_ = stall_timeout;
    host_->settings_.target_stall_timeout_ = target_stall_timeout;
    a_ = std::make_unique<RawTarget>("a");
    host_->AddTarget("a", a_->GetAddress());
    CPPUNIT_ASSERT(host_->Start());
  }

  // Sends an idempotent request and waits until both targets have received it.
  void SendToBoth(Response& response) {
    host_->Send("/safe/x", "", response);
    CPPUNIT_ASSERT(host_->loop_.RunUntil(
        [this] { return a_->requests_received_ == 1 && b_->requests_received_ == 1; }));
  }

  std::unique_ptr<GatewayHost> host_;
  std::unique_ptr<RawTarget> a_;
  std::unique_ptr<RawTarget> b_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamedResponseTest);

}  // namespace monsoonshelf::gateway
