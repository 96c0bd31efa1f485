#include <cppunit/extensions/HelperMacros.h>
#include <glib.h>

#include <csignal>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>

#include "base/clock.h"
#include "eventloop/timer.h"
#include "http/http_client.h"
#include "http/listener.h"
#include "http/server_connection.h"
#include "tests/process/child_process.h"
#include "tests/process/settings_files.h"
#include "tests/soak/store.h"

namespace monsoonshelf::process {

namespace {

constexpr const char* kTargetName = "target-1";
constexpr const char* kAttemptId = "request-1";
constexpr Duration kWorkTime = std::chrono::milliseconds(1200);

// A target that registers itself in the store and answers each request after kWorkTime.
class SlowTarget : private http::IServerHandler {
 public:
  explicit SlowTarget(soak::Store& store)
      : connections_(*this), timer_(g_main_context_get_thread_default(), [this] { Answer(); }) {
    auto listener = http::Listener::Open(
        "127.0.0.1:0", [this](int descriptor) { connections_.Accept(descriptor); });
    listener_ = std::move(listener.value());
    store.Put("servers", kTargetName,
              {{"address", listener_->LocalAddress()},
               {"born", WallMicroseconds() / 1000},
               {"info", {{"service", "s"}, {"zone", "zone-1"}, {"slots", 2}}},
               {"status", {{"state", "ready"}, {"sequence", 1}, {"warmupLeftMs", 0}}}});
  }

  bool IsWorking() const { return working_on_ != nullptr; }

 private:
  void OnRequest(const http::ServerExchangePtr& exchange, http::Request request) override {
    if (request.head_.target_ == "/healthz") {
      return exchange->Respond(200, {{"Instance-Id", kTargetName}, {"Server-Load", "0,0,2,100"}},
                               {});
    }
    working_on_ = exchange;
    timer_.Set(Now() + kWorkTime);
  }
  void OnCallerDisconnected(const http::ServerExchangePtr& exchange) override {
    if (working_on_ == exchange) working_on_ = nullptr;
  }
  void OnResponseFlushed(const http::ServerExchangePtr& /*exchange*/) override {}
  void OnRejected(int /*status*/, std::string_view /*reason*/) override {}
  void Answer() {
    if (working_on_ == nullptr) return;
    working_on_->Respond(200, {{"Attempt-Id", kAttemptId}, {"Server-Signature", kTargetName}},
                         "done");
    working_on_ = nullptr;
  }

  http::ServerConnections connections_;
  std::unique_ptr<http::Listener> listener_;
  http::ServerExchangePtr working_on_;
  eventloop::Timer timer_;
};

}  // namespace

// Guards against a request in flight that is cut, because a signal arrives during the stop.
class StopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StopTest);
  CPPUNIT_TEST(RequestInFlightIsAnsweredAfterSecondStopSignal);
  CPPUNIT_TEST(RequestInFlightIsAnsweredDuringManyReloadSignals);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    store_.Put("config", "main",
               {{"configVersion", 1},
                {"listeners",
                 {{{"host", "h"},
                   {"rules",
                    {{{"name", "safe"},
                      {"kind", "safe"},
                      {"targetLatencyMs", 300},
                      {"priority", 1},
                      {"match", {{"pathPrefix", "/safe/"}}},
                      {"action", {{"service", "s"}, {"timeoutMs", 3000}, {"maxAttempts", 1}}}}}}}}},
                {"clusters",
                 {{{"name", "s"},
                   {"healthPath", "/healthz"},
                   {"maxConnections", 200},
                   {"warmupPerS", 2}}}}});
    settings_ = MakeServeSettings(FormatAddress(store_.GetAddress()));
    WriteFile(folder_.File("settings"), settings_.text_);
    serve_ = std::make_unique<ChildProcess>(
        PROGRAM, std::vector<std::string>{"serve"},
        std::vector<std::string>{"MONSOONSHELF_CONFIG=" + folder_.File("settings")},
        folder_.File("log"));
    CPPUNIT_ASSERT(serve_->WaitForLog("to=serving"));
    client_ = std::make_unique<http::HttpClient>(*ParseAddress(settings_.front_address_),
                                                 http::StreamOptions{}, 1);
  }

  void RequestInFlightIsAnsweredAfterSecondStopSignal() {
    SendRequest();
    serve_->Signal(SIGTERM);
    RunFor(std::chrono::milliseconds(100));
    serve_->Signal(SIGTERM);
    CheckAnsweredAndEnded();
  }

  void RequestInFlightIsAnsweredDuringManyReloadSignals() {
    SendRequest();
    serve_->Signal(SIGTERM);
    for (int i = 0; i < 500; ++i) {
      serve_->Signal(SIGHUP);
      RunFor(std::chrono::milliseconds(1));
    }
    CheckAnsweredAndEnded();
  }

 private:
  void SendRequest() {
    client_->Call(std::string("GET /safe/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: ") + kAttemptId +
                      "\r\nDeadline-Ms: 3000\r\n\r\n",
                  false, std::chrono::seconds(5),
                  [this](const http::CallResult& result) { result_ = result; });
    CPPUNIT_ASSERT(RunUntil([this] { return target_.IsWorking() || result_; }));
    CPPUNIT_ASSERT_MESSAGE(serve_->Log(), target_.IsWorking());
  }

  void CheckAnsweredAndEnded() {
    CPPUNIT_ASSERT(RunUntil([this] { return result_.has_value(); }));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(serve_->Log(), 200, result_->status_);
    CPPUNIT_ASSERT_EQUAL(std::string("exit 0"), serve_->WaitForEnd());
  }

  static void RunFor(Duration time) {
    const Time end = Now() + time;
    RunUntil([end] { return Now() >= end; });
  }

  TemporaryFolder folder_;
  soak::Store store_;
  SlowTarget target_{store_};
  ServeSettings settings_;
  std::unique_ptr<ChildProcess> serve_;
  std::unique_ptr<http::HttpClient> client_;
  std::optional<http::CallResult> result_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopTest);

}  // namespace monsoonshelf::process
