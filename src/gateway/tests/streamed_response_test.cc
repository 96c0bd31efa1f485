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

 private:
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
