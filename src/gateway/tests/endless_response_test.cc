#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "gateway/tests/mocks/fake_target.h"
#include "gateway/tests/mocks/gateway_host.h"
#include "gateway/tests/mocks/raw_target.h"
#include "http/tests/mocks/heap_use.h"
#include "logging/logging.h"

namespace monsoonshelf::gateway {

namespace {

using http::tests::HeapUse;
using tests::FakeTarget;
using tests::GatewayHost;
using tests::RawTarget;
using Response = GatewayHost::Response;

// A target that is not stopped before it has sent this many bytes is considered not to be limited.
// Larger than the limits and the socket buffers together.
constexpr std::uint64_t kEndlessBytes = std::uint64_t{48} << 20;
// Largest heap growth that the limits allow for one request, in bytes.
constexpr std::size_t kMaxHeapGrowth = std::size_t{6} << 20;
constexpr std::size_t kBlockBytes = std::size_t{64} * 1024;
constexpr const char* kChunked = "Transfer-Encoding: chunked\r\n";

std::string Repeat(const std::string& text, std::size_t bytes) {
  std::string block;
  while (block.size() + text.size() <= bytes) block += text;
  return block;
}

// What a target sends instead of a response: `begin_` once and `block_` without end.
struct EndlessResponse {
  std::string begin_;
  std::string block_;
};

EndlessResponse Endless(const std::string& begin, const std::string& piece,
                        std::size_t block_bytes = kBlockBytes) {
  return {begin, Repeat(piece, block_bytes)};
}

// Blocks that are received by one read each and end with a line. A header parser then removes all
// bytes that it has received.
constexpr std::size_t kWholeLines = 4000;
constexpr const char* kChunk = "5\r\nabcde\r\n";

// Replaces "$" by the identifier of the request.
std::string InsertId(std::string text, const std::string& id) {
  const std::size_t at = text.find('$');
  return at == std::string::npos ? text : text.replace(at, 1, id);
}

// A caller that reads raw bytes and counts them.
struct RawCaller : http::IStreamHandler {
  explicit RawCaller(const std::string& address)
      : stream_(http::Stream::Connect(*ParseAddress(address), *this, {})) {}
  void OnConnected() override {}
  void OnDataReceived() override {
    received_ += stream_->InputBuffer().size();
    stream_->InputBuffer().clear();
  }
  void OnOutputFlushed() override {}
  void OnClosed(http::Failure /*failure*/) override { closed_ = true; }

  std::uint64_t received_ = 0;
  bool closed_ = false;
  std::unique_ptr<http::Stream> stream_;
};

}  // namespace

// Tests the complete gateway on real sockets with targets that send bytes without end. Each test
// guards against a gateway whose memory fills up, or that waits until the timeout of the route for
// a response that cannot come any more.
class EndlessResponseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndlessResponseTest);
  CPPUNIT_TEST(EndlessHeaderLines);
  CPPUNIT_TEST(EndlessStatusLine);
  CPPUNIT_TEST(EndlessInterimResponses);
  CPPUNIT_TEST(EndlessResponsesToOtherRequests);
  CPPUNIT_TEST(EndlessBodyOfAResponseToAnotherRequest);
  CPPUNIT_TEST(EndlessUnsignedBody);
  CPPUNIT_TEST(EndlessEncodedBody);
  CPPUNIT_TEST(EndlessErrorBody);
  CPPUNIT_TEST(EndlessBodyOfAClientError);
  CPPUNIT_TEST(EndlessBodyOfAMisdirectedResponse);
  CPPUNIT_TEST(EndlessBodyOfARejection);
  CPPUNIT_TEST(EndlessChunkExtension);
  CPPUNIT_TEST(EndlessTrailers);
  CPPUNIT_TEST(SlowUnsignedBodyFailsBeforeTheRouteTimeout);
  CPPUNIT_TEST(EndlessHeadEndsWithTheRouteTimeoutIfItIsSlow);
  CPPUNIT_TEST(EndlessProbeResponse);
  CPPUNIT_TEST(EndlessBodyAfterTheCallerHasLeft);
  CPPUNIT_TEST(LongSuccessIsStreamedWithBoundedMemory);
  CPPUNIT_TEST(ExceededLimitIsLogged);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tearDown() override {
    host_ = nullptr;
    target_ = nullptr;
    good_target_ = nullptr;
  }

  void EndlessHeaderLines() {
    ExpectFailure(Endless("HTTP/1.1 200 OK\r\n", "Name: value\r\n", kWholeLines));
    ExpectFailure(Endless("HTTP/1.1 200 OK\r\n", "Name: value\r\n"));
  }
  void EndlessStatusLine() { ExpectFailure(Endless("HTTP/1.1 200 ", "word ")); }
  void EndlessInterimResponses() { ExpectFailure(Endless("", "HTTP/1.1 100 Continue\r\n\r\n")); }
  void EndlessResponsesToOtherRequests() {
    ExpectFailure(
        Endless("", "HTTP/1.1 200 OK\r\nId: other\r\nSigned: yes\r\nContent-Length: 1\r\n\r\na"));
  }
  void EndlessBodyOfAResponseToAnotherRequest() {
    ExpectFailure(Endless("HTTP/1.1 200 OK\r\nId: other\r\nSigned: yes\r\n\r\n", "word "));
  }
  void EndlessUnsignedBody() {
    ExpectFailure(Endless("HTTP/1.1 200 OK\r\nId: $\r\n\r\n", "word "));
  }
  void EndlessEncodedBody() {
    ExpectFailure(Endless(
        "HTTP/1.1 200 OK\r\nId: $\r\nSigned: yes\r\nContent-Encoding: gzip\r\n\r\n", "word "));
  }
  void EndlessErrorBody() {
    ExpectFailure(Endless("HTTP/1.1 500 Error\r\nId: $\r\nSigned: yes\r\n\r\n", "word "));
  }
  void EndlessBodyOfAClientError() {
    ExpectFailure(Endless("HTTP/1.1 404 Not Found\r\nId: $\r\nSigned: yes\r\n\r\n", "word "));
  }
  void EndlessBodyOfAMisdirectedResponse() {
    ExpectFailure(Endless("HTTP/1.1 421 Misdirected Request\r\nId: $\r\n\r\n", "word "));
  }
  void EndlessBodyOfARejection() {
    ExpectFailure(
        Endless("HTTP/1.1 503 Service Unavailable\r\nId: $\r\nNot-Run: 1\r\n\r\n", "word "));
  }
  void EndlessChunkExtension() {
    ExpectFailure(Endless(
        "HTTP/1.1 200 OK\r\nId: $\r\nSigned: yes\r\n" + std::string(kChunked) + "\r\n5;name=",
        "x"));
  }
  void EndlessTrailers() {
    ExpectFailure(
        Endless("HTTP/1.1 200 OK\r\nId: $\r\nSigned: yes\r\n" + std::string(kChunked) + "\r\n0\r\n",
                "Name: value\r\n"));
  }

  // The head shows that the response cannot be forwarded, so the gateway need not wait for the end
  // of a body that stays below the size limit.
  void SlowUnsignedBodyFailsBeforeTheRouteTimeout() {
    RunRequest("/once/x", "body", {"HTTP/1.1 200 OK\r\nId: $\r\n\r\n", "x"}, false);
    CPPUNIT_ASSERT_EQUAL(502, response_.status_);  // 504 would be the timeout of the route.
  }

  void EndlessHeadEndsWithTheRouteTimeoutIfItIsSlow() {
    RunRequest("/brief/x", "body", {"HTTP/1.1 200 OK\r\nName: ", ""}, false);
    CPPUNIT_ASSERT_EQUAL(504, response_.status_);
    CPPUNIT_ASSERT(host_->loop_.RunUntil([this] { return !target_->IsRequestOpen(); }));
  }

  // Guards against a target whose health check never ends: it must not get requests, and its
  // connections must be closed.
  void EndlessProbeResponse() {
    const std::string block = Repeat(kChunk, kBlockBytes);
    SetUp(true);
    std::vector<RawTarget::Connection*> probes;
    target_->on_probe_ = [&probes](RawTarget::Connection& connection) {
      probes.push_back(&connection);
      connection.Write("HTTP/1.1 200 OK\r\nTarget: raw\r\nRunning: 0\r\n" + std::string(kChunked) +
                       "\r\n");
    };
    HeapUse heap;
    for (int i = 0; i < 5; ++i) {
      Response response;
      host_->Send("/once/x", "body", response);
      CPPUNIT_ASSERT(host_->loop_.RunUntil([&] {
        for (RawTarget::Connection* probe : probes) {
          if (!probe->closed_ && probe->stream_->UnsentBytes() == 0) probe->Write(block);
        }
        heap.Sample();
        return response.done_;
      }));
      CPPUNIT_ASSERT_EQUAL(200, response.status_);
    }
    CPPUNIT_ASSERT(!probes.empty());
    CPPUNIT_ASSERT_EQUAL(0, target_->requests_received_);
    for (const RawTarget::Connection* probe : probes) {
      CPPUNIT_ASSERT(host_->loop_.RunUntil([probe] { return probe->closed_; }));
      CPPUNIT_ASSERT(probe->stream_->BytesSent() < kEndlessBytes);
    }
    CPPUNIT_ASSERT(host_->HasMetric("probes_total", "result=\"too_large\""));
    CPPUNIT_ASSERT(heap.MaxGrowth() <= kMaxHeapGrowth);
  }

  // A non-idempotent request goes on after its caller has left. Guards against collecting a body
  // that nobody receives.
  void EndlessBodyAfterTheCallerHasLeft() {
    const std::string block = Repeat(kChunk, kBlockBytes);
    SetUp(false);
    bool left = false;
    host_->Send("/brief/x", "body", response_);
    CPPUNIT_ASSERT(host_->loop_.RunUntil([this] { return target_->IsRequestOpen(); }));
    host_->client_->Cancel(host_->last_call_);
    host_->loop_.RunFor(std::chrono::milliseconds(50));
    target_->request_->Write(target_->SignedHead(kChunked));
    HeapUse heap;
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] {
      target_->SendMore(block);
      heap.Sample();
      left = !target_->IsRequestOpen();
      return left || target_->BytesSent() > kEndlessBytes;
    }));
    CPPUNIT_ASSERT(heap.MaxGrowth() <= kMaxHeapGrowth);
    // The timeout of the route ends the request.
    CPPUNIT_ASSERT(host_->loop_.RunUntil([this] { return !target_->IsRequestOpen(); }));
  }

  // Guards against limits that cut off a long response, and against buffering it for a slow caller.
  void LongSuccessIsStreamedWithBoundedMemory() {
    const std::string block = Repeat("400\r\n" + std::string(1024, 'x') + "\r\n", kBlockBytes);
    SetUp(false);
    RawCaller caller(host_->settings_.front_address_);
    caller.stream_->Write(GatewayHost::FormatRequest("/safe/x"));
    CPPUNIT_ASSERT(host_->loop_.RunUntil([this] { return target_->IsRequestOpen(); }));
    target_->request_->Write(target_->SignedHead(kChunked));
    HeapUse heap;
    const auto receive = [&](std::uint64_t bytes) {
      return host_->loop_.RunUntil([&] {
        target_->SendMore(block);
        heap.Sample();
        return caller.received_ > bytes;
      });
    };
    CPPUNIT_ASSERT(receive(kEndlessBytes));
    // A caller that stops reading stops the target.
    caller.stream_->PauseReading(true);
    std::uint64_t sent = 0;
    int unchanged = 0;
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] {
      target_->SendMore(block);
      heap.Sample();
      unchanged = target_->BytesSent() == sent ? unchanged + 1 : 0;
      sent = target_->BytesSent();
      return unchanged > 500;
    }));
    caller.stream_->PauseReading(false);
    CPPUNIT_ASSERT(receive(kEndlessBytes + kEndlessBytes / 2));
    CPPUNIT_ASSERT(heap.MaxGrowth() <= kMaxHeapGrowth);
    CPPUNIT_ASSERT(!caller.closed_);
  }

  // Guards against failures whose cause cannot be found in the log.
  void ExceededLimitIsLogged() {
    const std::string path = "/tmp/endless_response_test." + std::to_string(getpid());
    CPPUNIT_ASSERT(logging::SetUpLogging({.file_ = path}, "host"));
    RunRequest("/once/x", "body", Endless("HTTP/1.1 200 OK\r\nId: $\r\n\r\n", "word "), false);
    logging::TearDownLogging();
    std::ifstream file(path);
    const std::string log{std::istreambuf_iterator<char>(file), {}};
    std::remove(path.c_str());
    const std::size_t begin = log.find("event=response_too_large");
    CPPUNIT_ASSERT(begin != std::string::npos);
    const std::string line = log.substr(begin, log.find('\n', begin) - begin);
    CPPUNIT_ASSERT(line.find("peer=" + target_->GetAddress()) != std::string::npos);
    CPPUNIT_ASSERT(line.find("kind=response") != std::string::npos);
    CPPUNIT_ASSERT(line.find("bytes=") != std::string::npos);
    CPPUNIT_ASSERT(log.find("event=send_failed") != std::string::npos);
    CPPUNIT_ASSERT(log.find("result=too_large") != std::string::npos);
  }

 private:
  // Starts a gateway with the raw target and, if requested, another target that responds. The raw
  // target reports less load, so it gets the first attempt.
  void SetUp(bool with_good_target) {
    host_ = nullptr;
    target_ = nullptr;
    good_target_ = nullptr;
    response_ = {};
    host_ = std::make_unique<GatewayHost>();
    target_ = std::make_unique<RawTarget>("raw");
    host_->AddTarget("raw", target_->GetAddress());
    if (with_good_target) {
      good_target_ = std::make_unique<FakeTarget>("good", "z");
      good_target_->reported_running_ = 2;
      host_->AddTarget("good", good_target_->listener_->LocalAddress());
    }
    CPPUNIT_ASSERT(host_->Start());
  }

  // Sends one request and lets the raw target play `endless` until the request ends.
  void RunRequest(const std::string& path, const std::string& body, const EndlessResponse& endless,
                  bool with_good_target) {
    SetUp(with_good_target);
    target_->on_request_ = [this, &endless](RawTarget::Connection& connection) {
      connection.Write(InsertId(endless.begin_, target_->last_id_));
    };
    host_->Send(path, body, response_);
    HeapUse heap;
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] {
      target_->SendMore(endless.block_);
      heap.Sample();
      return response_.done_ || target_->BytesSent() > kEndlessBytes;
    }));
    CPPUNIT_ASSERT_MESSAGE("no response after " + std::to_string(target_->BytesSent()) +
                               " bytes; heap grew by " + std::to_string(heap.MaxGrowth()),
                           response_.done_);
    CPPUNIT_ASSERT_EQUAL(1, target_->requests_received_);
    CPPUNIT_ASSERT_MESSAGE("heap grew by " + std::to_string(heap.MaxGrowth()),
                           heap.MaxGrowth() <= kMaxHeapGrowth);
    target_->on_request_ = nullptr;
  }

  // Expects a non-idempotent request to fail with 502, an idempotent one to be served by another
  // target, and the connection to be closed.
  void ExpectFailure(const EndlessResponse& endless) {
    RunRequest("/once/x", "body", endless, false);
    CPPUNIT_ASSERT_EQUAL(502, response_.status_);
    CPPUNIT_ASSERT(host_->loop_.RunUntil([this] { return !target_->IsRequestOpen(); }));
    CPPUNIT_ASSERT(host_->HasMetric("sends_total", "result=\"too_large\""));
    RunRequest("/safe/x", "", endless, true);
    CPPUNIT_ASSERT_EQUAL(200, response_.status_);
    CPPUNIT_ASSERT_EQUAL(std::string("good/safe/x"), response_.body_);
    CPPUNIT_ASSERT(host_->loop_.RunUntil([this] { return !target_->IsRequestOpen(); }));
    // The failure counts against the target, so that the busy one gets the next request.
    CPPUNIT_ASSERT_EQUAL(std::string("good/safe/y"), host_->Call("/safe/y").body_);
    CPPUNIT_ASSERT_EQUAL(1, target_->requests_received_);
  }

  std::unique_ptr<GatewayHost> host_;
  std::unique_ptr<RawTarget> target_;
  std::unique_ptr<FakeTarget> good_target_;
  Response response_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessResponseTest);

}  // namespace monsoonshelf::gateway
