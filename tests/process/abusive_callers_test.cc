#include <cppunit/extensions/HelperMacros.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/clock.h"
#include "http/http_client.h"
#include "http/listener.h"
#include "http/server_connection.h"
#include "tests/process/child_process.h"
#include "tests/process/settings_files.h"
#include "tests/soak/free_port.h"
#include "tests/soak/store.h"

namespace monsoonshelf::process {

namespace {

constexpr std::int64_t kMemoryMb = 64;
constexpr int kMaxDescriptors = 2000;
constexpr int kFewDescriptors = 400;
constexpr int kMaxTries = 10;
// A crowd has done what it can when no byte was accepted for this time.
constexpr Duration kNoProgressTime = std::chrono::milliseconds(1500);

// A target that registers itself in the store and answers at once.
class Target : private http::IServerHandler {
 public:
  explicit Target(soak::Store& store) : connections_(*this) {
    auto listener = http::Listener::Open(
        "127.0.0.1:0", [this](int descriptor) { connections_.Accept(descriptor); });
    listener_ = std::move(listener.value());
    store.Put("servers", "target-1",
              {{"address", listener_->LocalAddress()},
               {"born", WallMicroseconds() / 1000},
               {"info", {{"service", "s"}, {"zone", "zone-1"}, {"slots", 2}}},
               {"status", {{"state", "ready"}, {"sequence", 1}, {"warmupLeftMs", 0}}}});
  }

 private:
  void OnRequest(const http::ServerExchangePtr& exchange, http::Request request) override {
    if (request.head_.target_ == "/healthz") {
      return exchange->Respond(200, {{"Instance-Id", "target-1"}, {"Server-Load", "0,0,2,100"}},
                               {});
    }
    const std::string* id = http::FindHeader(request.head_.headers_, "Attempt-Id");
    exchange->Respond(
        200, {{"Attempt-Id", id != nullptr ? *id : ""}, {"Server-Signature", "target-1"}}, "done");
  }
  void OnCallerDisconnected(const http::ServerExchangePtr& /*exchange*/) override {}
  void OnResponseFlushed(const http::ServerExchangePtr& /*exchange*/) override {}
  void OnRejected(int /*status*/, std::string_view /*reason*/) override {}

  http::ServerConnections connections_;
  std::unique_ptr<http::Listener> listener_;
};

// Connections that send the same bytes and read no response.
class Crowd {
 public:
  Crowd(const std::string& address, int size, std::string bytes) : bytes_(std::move(bytes)) {
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(ParseAddress(address)->port_);
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    for (int i = 0; i < size; ++i) {
      const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      const int receive_bytes = 4096;
      (void)setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes));
      (void)connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
      members_.push_back({descriptor, 0});
    }
  }
  ~Crowd() {
    for (const Member& member : members_) close(member.descriptor_);
  }
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  // Sends until all bytes are sent or none is accepted any more.
  void SendAll() {
    Time last_progress = Now();
    RunUntil(
        [&] {
          bool pending = false;
          for (Member& member : members_) {
            if (member.sent_ >= bytes_.size()) continue;
            const ssize_t count = send(member.descriptor_, bytes_.data() + member.sent_,
                                       bytes_.size() - member.sent_, MSG_NOSIGNAL);
            if (count > 0) {
              member.sent_ += static_cast<std::size_t>(count);
              last_progress = Now();
            } else if (errno != EAGAIN && errno != ENOTCONN) {
              member.sent_ = bytes_.size();  // Closed by the host.
            }
            pending = pending || member.sent_ < bytes_.size();
          }
          return !pending || Now() - last_progress > kNoProgressTime;
        },
        60);
    // The host handles what it has received.
    const Time end = Now() + kNoProgressTime;
    RunUntil([end] { return Now() >= end; });
  }

 private:
  struct Member {
    int descriptor_ = -1;
    std::size_t sent_ = 0;
  };
  std::string bytes_;
  std::vector<Member> members_;
};

std::string Repeat(const std::string& text, int count) {
  std::string result;
  for (int i = 0; i < count; ++i) result += text;
  return result;
}

std::string Head(const std::string& path, const std::string& fields) {
  return "POST " + path + " HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n" + fields + "\r\n";
}

}  // namespace

// Guards against a process that exceeds its memory or its descriptors, or serves no ordinary caller
// any more, because of callers that send or read badly. Checks nothing that depends on the speed of
// the machine.
class AbusiveCallersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AbusiveCallersTest);
  CPPUNIT_TEST(HeadsOfManyFieldsBeforeBody);
  CPPUNIT_TEST(HeadsOfHundredsOfFieldsBeforeBody);
  CPPUNIT_TEST(HeadsOfManyFieldsWithoutEnd);
  CPPUNIT_TEST(BodiesWithoutLastByte);
  CPPUNIT_TEST(ChunkedBodiesWithoutLastByte);
  CPPUNIT_TEST(BodiesFarOverLimit);
  CPPUNIT_TEST(PipelinedRequestsAtCallerPort);
  CPPUNIT_TEST(PipelinedRequestsAtReadiness);
  CPPUNIT_TEST(PipelinedRequestsAtMetrics);
  CPPUNIT_TEST(BodiesAtPortsForQueries);
  CPPUNIT_TEST(SilentConnections);
  CPPUNIT_TEST(MoreConnectionsThanDescriptors);
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
  }

  void HeadsOfManyFieldsBeforeBody() {
    Start(kMaxDescriptors);
    const std::string fields = "Content-Length: 10\r\n" + Repeat("a:\r\n", 4000);
    Crowd routed(front_, 150, Head("/safe/x", fields));
    Crowd other(front_, 150, Head("/none/x", fields));
    routed.SendAll();
    other.SendAll();
    Check();
  }

  void HeadsOfHundredsOfFieldsBeforeBody() {
    Start(kMaxDescriptors);
    Crowd crowd(front_, 800, Head("/safe/x", "Content-Length: 10\r\n" + Repeat("a:\r\n", 900)));
    crowd.SendAll();
    Check();
  }

  void HeadsOfManyFieldsWithoutEnd() {
    Start(kMaxDescriptors);
    Crowd crowd(front_, 300, "POST /safe/x HTTP/1.1\r\nHost: h\r\n" + Repeat("a:\r\n", 4000));
    crowd.SendAll();
    Check();
  }

  void BodiesWithoutLastByte() {
    Start(kMaxDescriptors);
    const std::string body(3'000'000 - 1, 'x');
    Crowd routed(front_, 20, Head("/safe/x", "Content-Length: 3000000\r\n") + body);
    Crowd other(front_, 20, Head("/none/x", "Content-Length: 3000000\r\n") + body);
    routed.SendAll();
    other.SendAll();
    Check();
  }

  void ChunkedBodiesWithoutLastByte() {
    Start(kMaxDescriptors);
    const std::string chunk = "1000\r\n" + std::string(4096, 'x') + "\r\n";
    Crowd crowd(front_, 40,
                Head("/safe/x", "Transfer-Encoding: chunked\r\n") + Repeat(chunk, 700) + "0\r\n\r");
    crowd.SendAll();
    Check();
  }

  void BodiesFarOverLimit() {
    Start(kMaxDescriptors);
    const std::string body(4'000'000, 'x');
    Crowd waiting(
        front_, 40,
        Head("/safe/x", "Content-Length: 10000000000\r\nExpect: 100-continue\r\n") + body);
    Crowd chunked(front_, 40,
                  Head("/none/x", "Transfer-Encoding: chunked\r\n") + "10000000000\r\n" + body);
    waiting.SendAll();
    chunked.SendAll();
    Check();
  }

  void PipelinedRequestsAtCallerPort() {
    Start(kMaxDescriptors);
    Crowd crowd(front_, 16, Repeat(Head("/none/x", "Content-Length: 0\r\n"), 20'000));
    crowd.SendAll();
    Check();
  }

  void PipelinedRequestsAtReadiness() {
    Start(kMaxDescriptors);
    const std::string requests = Repeat("GET / HTTP/1.1\r\n\r\n", 100'000);
    Crowd readiness(readiness_, 8, requests);
    Crowd directory(directory_, 8, requests);
    readiness.SendAll();
    directory.SendAll();
    Check();
  }

  void PipelinedRequestsAtMetrics() {
    Start(kMaxDescriptors);
    Crowd crowd(metrics_, 8, Repeat("GET /metrics HTTP/1.1\r\n\r\n", 3000));
    crowd.SendAll();
    Check();
  }

  void BodiesAtPortsForQueries() {
    Start(kMaxDescriptors);
    const std::string request =
        Head("/x", "Content-Length: 3000000\r\n") + std::string(3'000'000 - 1, 'x');
    for (const std::string& address : {readiness_, directory_, metrics_, control_}) {
      crowds_.push_back(std::make_unique<Crowd>(address, 10, request));
      crowds_.back()->SendAll();
    }
    Check();
  }

  void SilentConnections() {
    Start(kFewDescriptors);
    Crowd crowd(front_, 2 * kFewDescriptors, "");
    crowd.SendAll();
    Check();
  }

  void MoreConnectionsThanDescriptors() {
    Start(kFewDescriptors);
    for (const std::string& address : {readiness_, directory_, metrics_, control_}) {
      crowds_.push_back(
          std::make_unique<Crowd>(address, kFewDescriptors / 2, "GET / HTTP/1.1\r\n"));
      crowds_.back()->SendAll();
    }
    Crowd crowd(front_, kFewDescriptors, "POST /safe/x HTTP/1.1\r\nHost: h\r\n");
    crowd.SendAll();
    Check();
  }

 private:
  void Start(int max_descriptors) {
    max_descriptors_ = max_descriptors;
    ServeSettings settings = MakeServeSettings(FormatAddress(store_.GetAddress()));
    front_ = settings.front_address_;
    readiness_ = settings.readiness_address_;
    directory_ = soak::FreeLoopbackAddress();
    control_ = soak::FreeLoopbackAddress();
    const int metrics_port = soak::FreePort();
    metrics_ = "127.0.0.1:" + std::to_string(metrics_port);
    const std::string section = "[bind]\n";
    settings.text_.insert(settings.text_.find(section) + section.size(),
                          "directory = \"" + directory_ + "\"\ncontrol = \"" + control_ + "\"\n");
    settings.text_ += "[limits]\nmemoryMb = " + std::to_string(kMemoryMb) +
                      "\nmaxFds = " + std::to_string(max_descriptors) + "\n";
    WriteFile(folder_.File("settings"), settings.text_);
    serve_ = std::make_unique<ChildProcess>(
        PROGRAM, std::vector<std::string>{"serve", "--metrics-port", std::to_string(metrics_port)},
        std::vector<std::string>{"MONSOONSHELF_CONFIG=" + folder_.File("settings")},
        folder_.File("log"));
    CPPUNIT_ASSERT(serve_->WaitForLog("to=serving"));
  }

  std::string ProcessFile(const std::string& name) const {
    return "/proc/" + std::to_string(serve_->Pid()) + "/" + name;
  }

  // Returns 0 if the process has ended.
  std::int64_t PeakResidentKb() const {
    std::ifstream status(ProcessFile("status"));
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with("VmHWM:")) return std::stoll(line.substr(6));
    }
    return 0;
  }

  int OpenDescriptors() const {
    std::error_code error;
    int count = 0;
    for (const auto& entry : std::filesystem::directory_iterator(ProcessFile("fd"), error)) {
      (void)entry;
      ++count;
    }
    return count;
  }

  void Check() {
    const int descriptors = OpenDescriptors();
    const bool is_answered = IsRequestAnswered();
    const std::int64_t resident_kb = PeakResidentKb();
    const std::string seen = std::to_string(resident_kb) + " kB resident at most, " +
                             std::to_string(descriptors) + " descriptors, request " +
                             (is_answered ? "answered" : "not answered");
    CPPUNIT_ASSERT_MESSAGE("process has ended", resident_kb > 0 && descriptors > 0);
    CPPUNIT_ASSERT_MESSAGE(
        seen, resident_kb <= kMemoryMb * 1024 && descriptors <= max_descriptors_ && is_answered);
  }

  // Sends an ordinary request on new connections until it is answered, while the crowd stays.
  bool IsRequestAnswered() {
    for (int i = 0; i < kMaxTries; ++i) {
      http::HttpClient client(*ParseAddress(front_), http::StreamOptions{}, 1);
      std::optional<http::CallResult> result;
      client.Call(
          "GET /safe/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: ordinary\r\nDeadline-Ms: 3000\r\n\r\n",
          false, std::chrono::seconds(4),
          [&result](const http::CallResult& received) { result = received; });
      RunUntil([&result] { return result.has_value(); });
      if (result && result->status_ == 200) return true;
    }
    return false;
  }

  TemporaryFolder folder_;
  soak::Store store_;
  Target target_{store_};
  std::unique_ptr<ChildProcess> serve_;
  std::string front_;
  std::string readiness_;
  std::string directory_;
  std::string metrics_;
  std::string control_;
  int max_descriptors_ = 0;
  std::vector<std::unique_ptr<Crowd>> crowds_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AbusiveCallersTest);

}  // namespace monsoonshelf::process
