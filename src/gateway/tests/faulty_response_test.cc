#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "eventloop/timer.h"
#include "gateway/tests/mocks/gateway_host.h"
#include "gateway/tests/mocks/raw_target.h"

namespace monsoonshelf::gateway {

namespace {

using std::chrono::milliseconds;
using tests::GatewayHost;
using tests::RawTarget;
using Connection = RawTarget::Connection;
using Response = GatewayHost::Response;

// A target that failed once gets no requests for a shorter time than this.
constexpr milliseconds kEjectionTime{1700};
// Long enough for a response to be read before the next bytes are sent.
constexpr milliseconds kReadTime{40};

std::string Rejection(const std::string& headers) {
  return "HTTP/1.1 503 Service Unavailable\r\n" + headers +
         "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

}  // namespace

// Tests the complete gateway on real sockets with a target that sends responses twice, at the wrong
// time, or not to their end.
class FaultyResponseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FaultyResponseTest);
  CPPUNIT_TEST(RepeatedRejectionOnAnIdleConnectionRejectsNoOtherRequest);
  CPPUNIT_TEST(RepeatedRejectionBesideAResponseRejectsNoOtherRequest);
  CPPUNIT_TEST(RepeatedRejectionBeforeAResponseRejectsNoOtherRequest);
  CPPUNIT_TEST(RepeatedRejectionAfterAResponseRejectsNoOtherRequest);
  CPPUNIT_TEST(RejectionWithoutIdentifierRejectsNoRequest);
  CPPUNIT_TEST(ResponseToAProbeDoesNotRejectARequest);
  CPPUNIT_TEST(ResponseThatEndsInItsHeadIsNotForwarded);
  CPPUNIT_TEST(MalformedResponsesAreNotForwarded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tearDown() override {
    host_ = nullptr;
    target_ = nullptr;
  }

  // Guards against bytes that are no HTTP response and reach the caller as one: a status of 000, a
  // field whose name holds a blank or a control byte, a body in an unknown coding.
  void MalformedResponsesAreNotForwarded() {
    Start();
    for (const std::string start :
         {"HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 700 OK\r\n",
          "HTTP/1.1 200 OK\r\nX Y: 1\r\n", "HTTP/1.1 200 OK\r\nX\x01Y: 1\r\n",
          "HTTP/1.1 200 OK\r\nX: 1\r\n folded\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n"}) {
      target_->on_request_ = [&](Connection& connection) {
        connection.Write(start + "Id: " + target_->last_id_ + "\r\nSigned: yes\r\n" +
                         (start.find("gzip") == std::string::npos ? "Content-Length: 2\r\n" : "") +
                         "\r\nok");
        connection.Close();
      };
      const Response response = host_->Call("/once/x", "body");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(start, 502, response.status_);
      CPPUNIT_ASSERT(response.body_ != "ok");
    }
  }

  // Guards against responding 503, which promises that a request was not executed, to a request
  // that the target executes, because of a rejection that belongs to an earlier one.
  void RepeatedRejectionOnAnIdleConnectionRejectsNoOtherRequest() {
    RejectFirstRequest();
    target_->request_->Write(Rejection("Id: " + target_->last_id_ + "\r\n"));
    host_->loop_.RunFor(kReadTime);
    ExpectExecution([](const std::string&) { return std::string(); }, milliseconds(0));
  }
  void RepeatedRejectionBesideAResponseRejectsNoOtherRequest() {
    RejectFirstRequest();
    ExpectExecution([](const std::string& id) { return Rejection("Id: " + id + "\r\n"); },
                    milliseconds(0));
  }
  void RepeatedRejectionBeforeAResponseRejectsNoOtherRequest() {
    RejectFirstRequest();
    ExpectExecution([](const std::string& id) { return Rejection("Id: " + id + "\r\n"); },
                    kReadTime);
  }
  void RepeatedRejectionAfterAResponseRejectsNoOtherRequest() {
    RejectFirstRequest();
    const std::string rejection = Rejection("Id: " + target_->last_id_ + "\r\n");
    target_->on_request_ = [this, rejection](Connection& connection) {
      connection.Write(target_->SignedHead("Content-Length: 2\r\n") + "ok" + rejection);
    };
    for (int i = 0; i < 3; ++i) CPPUNIT_ASSERT_EQUAL(200, host_->Call("/once/x", "body").status_);
    CPPUNIT_ASSERT_EQUAL(4, target_->requests_received_);
  }

  // A response without an identifier can't be told from one that belongs to an earlier request.
  void RejectionWithoutIdentifierRejectsNoRequest() {
    RejectFirstRequest();
    ExpectExecution([](const std::string&) { return Rejection(""); }, kReadTime);
  }

  // A repeated response takes the place of the response to a probe, which then arrives after the
  // next request on that connection.
  void ResponseToAProbeDoesNotRejectARequest() {
    RejectFirstRequest();
    const std::string rejected_id = target_->last_id_;
    int late_probes = 0;
    target_->on_probe_ = [&](Connection& connection) {
      ++late_probes;
      connection.Write(Rejection("Id: " + rejected_id + "\r\n"));
    };
    std::string late_probe_response = Rejection("");
    target_->on_request_ = [&](Connection& connection) {
      connection.Write(late_probe_response);
      Respond(connection, kReadTime);
    };
    Response response;
    host_->Send("/once/x", "body", response);
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return response.done_ || late_probes > 0; }));
    host_->loop_.RunFor(kReadTime);
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return response.done_; }));
    // Without a response to its probe the target may get no request; a request that it got was
    // executed and must not be called rejected.
    CPPUNIT_ASSERT(target_->requests_received_ == 1 || response.status_ != 503);
  }

  // Guards against a success with an empty or short body: the head of a response that was cut off
  // must not count as complete, wherever the target stopped.
  void ResponseThatEndsInItsHeadIsNotForwarded() {
    const std::string head = "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: yes\r\nContent-Length: 5\r\n\r\n";
    std::vector<std::size_t> cuts = {7, 12, 15};
    for (std::size_t line = head.find("\r\n"); line != head.npos;
         line = head.find("\r\n", line + 2)) {
      cuts.insert(cuts.end(), {line, line + 1, line + 2});
    }
    for (const std::size_t cut : cuts) {
      for (const bool reset : {false, true}) {
        Start();
        target_->on_request_ = [&](Connection& connection) {
          connection.Write(head.substr(0, cut));
          if (reset) {
            connection.Reset();
          } else {
            connection.Close();
          }
        };
        const Response response = host_->Call("/once/x", "body");
        CPPUNIT_ASSERT_EQUAL_MESSAGE("head cut after " + std::to_string(cut) + " bytes", 502,
                                     response.status_);
        CPPUNIT_ASSERT_EQUAL(1, target_->requests_received_);
      }
    }
  }

 private:
  void Start() {
    target_ = nullptr;
    host_ = nullptr;
    host_ = std::make_unique<GatewayHost>();
    target_ = std::make_unique<RawTarget>("raw");
    host_->AddTarget("raw", target_->GetAddress());
    CPPUNIT_ASSERT(host_->Start());
  }

  // The target rejects one request and is available again; its connection is kept.
  void RejectFirstRequest() {
    Start();
    target_->on_request_ = [this](Connection& connection) {
      connection.Write(Rejection("Id: " + target_->last_id_ + "\r\n"));
    };
    CPPUNIT_ASSERT_EQUAL(503, host_->Call("/once/x", "body").status_);
    CPPUNIT_ASSERT_EQUAL(1, target_->requests_received_);
    host_->loop_.RunFor(kEjectionTime);
  }

  // Writes the response to the last request after a delay.
  void Respond(Connection& connection, milliseconds delay) {
    const std::string text = target_->SignedHead("Content-Length: 2\r\n") + "ok";
    if (delay.count() == 0) return connection.Write(text);
    response_timer_ = std::make_unique<eventloop::Timer>(
        g_main_context_get_thread_default(), [&connection, text] { connection.Write(text); });
    response_timer_->Set(Now() + delay);
  }

  // Expects that the next request is executed once and gets its own response, although the target
  // sends `before(identifier of the rejected request)` first.
  template <typename Before>
  void ExpectExecution(Before before, milliseconds delay) {
    const std::string rejected_id = target_->last_id_;
    target_->on_request_ = [this, before, delay, rejected_id](Connection& connection) {
      connection.Write(before(rejected_id));
      Respond(connection, delay);
    };
    const Response response = host_->Call("/once/x", "body");
    CPPUNIT_ASSERT_EQUAL(2, target_->requests_received_);
    CPPUNIT_ASSERT_EQUAL(200, response.status_);
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), response.body_);
  }

  std::unique_ptr<GatewayHost> host_;
  std::unique_ptr<RawTarget> target_;
  std::unique_ptr<eventloop::Timer> response_timer_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultyResponseTest);

}  // namespace monsoonshelf::gateway
