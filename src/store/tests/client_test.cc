#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <optional>
#include <string>

#include "base/clock.h"
#include "store/platform_client.h"
#include "tests/standins/platform_server.h"

namespace monsoonshelf::store {

using coordination::PlatformOperation;
using coordination::PlatformReply;
using coordination::PlatformRequest;

// Tests the client with the stand-in platform server over a real socket.
class PlatformClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformClientTest);
  CPPUNIT_TEST(WritesOnlyTheExpectedVersion);
  CPPUNIT_TEST(DeletesLeaveTombstonesForWatches);
  CPPUNIT_TEST(WatchResumesAfterAnOutage);
  CPPUNIT_TEST(ReportsALostWriteResponseAsTimeout);
  CPPUNIT_TEST(ReportsOutagesAndRecovers);
  CPPUNIT_TEST(LateResponseDoesNotRunCallbackAgain);
  CPPUNIT_TEST(WriteAfterStaleReadConflicts);
  CPPUNIT_TEST(ConflictReturnsTheExistingObject);
  CPPUNIT_TEST(BudgetRejectsWithoutSending);
  CPPUNIT_TEST(RejectsInvalidRequestsBeforeSending);
  CPPUNIT_TEST(CloseRunsNoCallbacks);
  CPPUNIT_TEST(HostListIsDelayedAndDropsExpiredHosts);
  CPPUNIT_TEST(AcceptsBodiesOfMaximumSize);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    context_ = g_main_context_new();
    g_main_context_push_thread_default(context_);
    server_ = std::make_unique<standins::PlatformServer>(standins::PlatformServerSettings{});
    CPPUNIT_ASSERT(server_->Listen());
    MakeTestClient(1000, 1000);
  }

  void tearDown() override {
    client_.reset();
    server_.reset();
    while (g_main_context_iteration(context_, FALSE) == TRUE) {
    }
    g_main_context_pop_thread_default(context_);
    g_main_context_unref(context_);
  }

  // Guards against lost updates: only one of two writers of the same version may succeed.
  void WritesOnlyTheExpectedVersion() {
    const auto created = Put("service", "a", 0, "one");
    CPPUNIT_ASSERT(created.code_ == ResultCode::kOk);
    CPPUNIT_ASSERT(Put("service", "a", 0, "two").code_ == ResultCode::kPlatformConflict);
    const auto second = Put("service", "a", created.version_, "two");
    CPPUNIT_ASSERT(second.code_ == ResultCode::kOk);
    const auto loser = Put("service", "a", created.version_, "three");
    CPPUNIT_ASSERT(loser.code_ == ResultCode::kPlatformConflict);
    CPPUNIT_ASSERT_EQUAL(std::string("two"), loser.objects_.at(0).body_);
    CPPUNIT_ASSERT_EQUAL(second.version_, loser.objects_.at(0).version_);
    CPPUNIT_ASSERT_EQUAL(std::string("two"), Get("service", "a").objects_.at(0).body_);
    CPPUNIT_ASSERT(Get("service", "b").code_ == ResultCode::kPlatformNotFound);
  }

  // Guards against deletions that are not reported to watches.
  void DeletesLeaveTombstonesForWatches() {
    const auto created = Put("zone", "z1", 0, "{}");
    CPPUNIT_ASSERT(Delete("zone", "z1", 99).code_ == ResultCode::kPlatformConflict);
    CPPUNIT_ASSERT(Delete("zone", "z1", created.version_).code_ == ResultCode::kOk);
    CPPUNIT_ASSERT(Delete("zone", "z1", created.version_).code_ == ResultCode::kPlatformNotFound);
    const auto watch = Watch(created.version_, std::chrono::seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, watch.objects_.size());
    CPPUNIT_ASSERT(watch.objects_[0].deleted_);
    CPPUNIT_ASSERT(List().objects_.empty());
  }

  // Guards against changes that are missed between two watches.
  void WatchResumesAfterAnOutage() {
    Version seen = List().version_;
    std::optional<PlatformReply> reply;
    Send(WatchRequest(seen, std::chrono::seconds(30)), &reply);
    RunUntil([this] { return Counter("watch") == 1; });
    server_->SetOutage(standins::OutageMode::kDrop);
    RunUntil([&reply] { return reply.has_value(); });
    CPPUNIT_ASSERT(reply->code_ == ResultCode::kPlatformUnreachable);
    server_->PutObject({"service", "a"}, "one");
    server_->PutObject({"service", "b"}, "two");
    server_->SetOutage(standins::OutageMode::kOff);
    const auto resumed = Watch(seen, std::chrono::seconds(30));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, resumed.objects_.size());
    seen = resumed.version_;
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Watch(seen, Duration(1000)).objects_.size());
  }

  // Guards against a lost response that is taken for a write that was not applied, and against the
  // HTTP library sending the write again.
  void ReportsALostWriteResponseAsTimeout() {
    // Leaves a connection in the pool.
    CPPUNIT_ASSERT(Get("service", "a").code_ == ResultCode::kPlatformNotFound);
    server_->Faults().responses_to_drop_ = 1;
    CPPUNIT_ASSERT(Put("service", "a", 0, "mine").code_ == ResultCode::kPlatformTimeout);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Counter("put"));
    CPPUNIT_ASSERT_EQUAL(std::string("mine"), Get("service", "a").objects_.at(0).body_);
  }

  // Guards against calls that never end in an outage, and a client that does not recover after it.
  void ReportsOutagesAndRecovers() {
    server_->SetOutage(standins::OutageMode::kUnavailable);
    CPPUNIT_ASSERT(Get("service", "a").code_ == ResultCode::kPlatformUnreachable);
    CPPUNIT_ASSERT(Put("service", "a", 0, "x").code_ == ResultCode::kPlatformUnreachable);
    server_->SetOutage(standins::OutageMode::kHang);
    auto request = Request(PlatformOperation::kGet, "service", "a", 0);
    request.timeout_ = std::chrono::milliseconds(20);
    CPPUNIT_ASSERT(Run(request).code_ == ResultCode::kPlatformTimeout);
    server_->SetOutage(standins::OutageMode::kOff);
    CPPUNIT_ASSERT(Put("service", "a", 0, "x").code_ == ResultCode::kOk);
  }

  // Guards against a second callback when the response arrives after the timeout.
  void LateResponseDoesNotRunCallbackAgain() {
    server_->Faults().response_delay_ = std::chrono::milliseconds(60);
    auto request = Request(PlatformOperation::kPut, "service", "a", 0);
    request.timeout_ = std::chrono::milliseconds(20);
    int callbacks = 0;
    client_->Send(request, [&callbacks](const PlatformReply&) { callbacks++; });
    // The read takes longer than the timeout and the late response of the write.
    CPPUNIT_ASSERT(Get("service", "a").code_ == ResultCode::kOk);
    CPPUNIT_ASSERT_EQUAL(1, callbacks);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, client_->Counters().timeouts_);
  }

  // Guards against a stale read that lets an outdated write succeed.
  void WriteAfterStaleReadConflicts() {
    const auto first = Put("service", "a", 0, "one");
    server_->ServeStaleReads(std::chrono::hours(1));
    const auto second = Put("service", "a", first.version_, "two");
    const auto stale = Get("service", "a");
    CPPUNIT_ASSERT_EQUAL(first.version_, stale.version_);
    CPPUNIT_ASSERT_EQUAL(first.version_, List().version_);
    const auto loser = Put("service", "a", stale.version_, "three");
    CPPUNIT_ASSERT(loser.code_ == ResultCode::kPlatformConflict);
    CPPUNIT_ASSERT_EQUAL(second.version_, loser.objects_.at(0).version_);
  }

  // Guards against a conflict response without the existing version, which the writer needs.
  void ConflictReturnsTheExistingObject() {
    const auto first = Put("service", "a", 0, "one");
    server_->Faults().conflicts_to_inject_ = 1;
    const auto reply = Put("service", "a", first.version_, "two");
    CPPUNIT_ASSERT(reply.code_ == ResultCode::kPlatformConflict);
    CPPUNIT_ASSERT(reply.objects_.at(0).version_ > first.version_);
    CPPUNIT_ASSERT_EQUAL(std::string("one"), reply.objects_.at(0).body_);
  }

  // Guards against a host that uses up the rate limit of the whole fleet.
  void BudgetRejectsWithoutSending() {
    MakeTestClient(0, 2);
    CPPUNIT_ASSERT(Put("service", "a", 0, "one").code_ == ResultCode::kOk);
    Watch(0, Duration(0));
    CPPUNIT_ASSERT(Get("service", "a").code_ == ResultCode::kPlatformBudgetSpent);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Counter("get"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, client_->Counters().refused_by_budget_);
  }

  // Guards against names that change the path of the HTTP request.
  void RejectsInvalidRequestsBeforeSending() {
    for (const char* name : {"", "a/b", "..", "a?b", "a b", "a%2fb"}) {
      CPPUNIT_ASSERT_MESSAGE(name, Put("service", name, 0, "x").code_ == ResultCode::kUsage);
    }
    const std::string large(kMaxObjectBytes + 1, 'x');
    CPPUNIT_ASSERT(Put("service", "a", 0, large).code_ == ResultCode::kRecordTooLarge);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, client_->Counters().calls_);
    for (const char* address : {"localhost:80", "127.0.0.1", "", "127.0.0.1:0"}) {
      const bool made = Recover(
          [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(MakePlatformClient({address, 1, 1}));
            return true;
          },
          [](const Error&) { return false; });
      CPPUNIT_ASSERT_MESSAGE(address, !made);
    }
  }

  // Guards against callbacks into a task that has ended.
  void CloseRunsNoCallbacks() {
    server_->SetOutage(standins::OutageMode::kHang);
    int callbacks = 0;
    const auto count = [&callbacks](const PlatformReply&) { callbacks++; };
    client_->Send(WatchRequest(0, std::chrono::seconds(30)), count);
    client_->Send(Request(PlatformOperation::kGet, "service", "a", 0), count);
    RunUntil([this] { return Counter("outage") == 2; });
    client_->Close();
    server_->SetOutage(standins::OutageMode::kOff);
    Get("service", "a");
    CPPUNIT_ASSERT_EQUAL(0, callbacks);
  }

  // Guards against a stand-in whose host list is more up to date than that of the real platform.
  void HostListIsDelayedAndDropsExpiredHosts() {
    using standins::ListHosts;
    auto& store = server_->Store();
    const Time start = Now();
    const Duration lag = std::chrono::seconds(2);
    const Duration window = std::chrono::seconds(8);
    const std::string body = R"({"peer_address":"127.0.0.1:9","status":{"state":"leaving"}})";
    standins::WriteObject(store, {"sessions", "h1"}, 0, body, start);
    CPPUNIT_ASSERT(ListHosts(store, start, lag, window).empty());
    const auto hosts = ListHosts(store, start + lag, lag, window);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hosts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:9"), hosts[0].peer_address_);
    CPPUNIT_ASSERT(hosts[0].leaving_);
    CPPUNIT_ASSERT(ListHosts(store, start + lag + window + Duration(1), lag, window).empty());
    standins::WriteObject(store, {"sessions", "h2"}, 0, "no JSON", start - lag);
    CPPUNIT_ASSERT(Run(Request(PlatformOperation::kHosts, "", "", 0)).code_ == ResultCode::kOk);
  }

  // Guards against a lower size limit for requests or for responses.
  void AcceptsBodiesOfMaximumSize() {
    const std::string body(kMaxObjectBytes, '"');  // Escaped in JSON, which doubles the size.
    CPPUNIT_ASSERT(Put("service", "a", 0, body).code_ == ResultCode::kOk);
    CPPUNIT_ASSERT(Get("service", "a").objects_.at(0).body_ == body);
  }

 private:
  void MakeTestClient(double per_second, double burst) {
    const std::string address = "127.0.0.1:" + std::to_string(server_->Port());
    client_.reset();
    auto client = MakePlatformClient({address, per_second, burst});
    CPPUNIT_ASSERT(client);
    client_ = std::move(*client);
  }

  std::uint64_t Counter(const std::string& name) const {
    const auto found = server_->Counters().find(name);
    return found == server_->Counters().end() ? 0 : found->second;
  }

  // Runs the main context until the condition is true. If it never is, the timeout of ctest
  // applies.
  void RunUntil(const std::function<bool()>& condition) {
    while (!condition()) g_main_context_iteration(context_, TRUE);
  }

  void Send(const PlatformRequest& request, std::optional<PlatformReply>* reply) {
    client_->Send(request, [reply](const PlatformReply& received) {
      CPPUNIT_ASSERT(!reply->has_value());
      *reply = received;
    });
    CPPUNIT_ASSERT(!reply->has_value());
  }

  PlatformReply Run(const PlatformRequest& request) {
    std::optional<PlatformReply> reply;
    Send(request, &reply);
    RunUntil([&reply] { return reply.has_value(); });
    CPPUNIT_ASSERT_EQUAL(request.id_, reply->id_);
    return *reply;
  }

  static PlatformRequest Request(PlatformOperation operation, const std::string& kind,
                                 const std::string& name, Version version) {
    PlatformRequest request;
    request.id_ = 7;
    request.operation_ = operation;
    request.kinds_ = {kind};
    request.name_ = name;
    request.version_ = version;
    request.timeout_ = std::chrono::seconds(20);
    return request;
  }

  static PlatformRequest WatchRequest(Version after, Duration max_wait) {
    auto request = Request(PlatformOperation::kWatch, "service", "", after);
    request.kinds_.emplace_back("zone");
    request.timeout_ = max_wait;
    return request;
  }

  PlatformReply Put(const std::string& kind, const std::string& name, Version version,
                    const std::string& body) {
    auto request = Request(PlatformOperation::kPut, kind, name, version);
    request.body_ = body;
    return Run(request);
  }
  PlatformReply Get(const std::string& kind, const std::string& name) {
    return Run(Request(PlatformOperation::kGet, kind, name, 0));
  }
  PlatformReply Delete(const std::string& kind, const std::string& name, Version version) {
    return Run(Request(PlatformOperation::kDelete, kind, name, version));
  }
  PlatformReply List() {
    auto request = Request(PlatformOperation::kList, "service", "", 0);
    request.kinds_.emplace_back("zone");
    return Run(request);
  }
  PlatformReply Watch(Version after, Duration max_wait) {
    return Run(WatchRequest(after, max_wait));
  }

  GMainContext* context_ = nullptr;
  std::unique_ptr<standins::PlatformServer> server_;
  std::unique_ptr<IPlatformClient> client_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformClientTest);

}  // namespace monsoonshelf::store
