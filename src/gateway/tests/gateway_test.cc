#include "gateway/gateway.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "gateway/tests/mocks/fake_format.h"
#include "gateway/tests/mocks/fake_target.h"
#include "gateway/tests/mocks/mock_record_store.h"
#include "http/http_client.h"
#include "http/tests/mocks/loop.h"

namespace monsoonshelf::gateway {

namespace {

using http::tests::Loop;
using std::chrono::milliseconds;
using tests::FakeFormat;
using tests::FakeTarget;
using tests::MockRecordStore;
using Behaviour = FakeTarget::Behaviour;

// Record format that looks up records by the text that the test registered for them.
struct TextFormat : IRecordFormat {
  StoredRecord ReadRecord(RecordKind /*kind*/, const std::string& text) const override {
    const auto found = records_.find(text);
    return found == records_.end() ? StoredRecord{} : found->second;
  }
  std::map<std::string, StoredRecord> records_;
};

// Returns an address that no socket listens on.
std::string FreeAddress() {
  auto listener = http::Listener::Open("127.0.0.1:0", [](int /*descriptor*/) {});
  return listener.value()->LocalAddress();
}

struct Response {
  bool done_ = false;
  int status_ = 0;
  std::string body_;
};

}  // namespace

// Tests the complete gateway on real sockets, with fake targets and a mock store.
class GatewayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayTest);
  CPPUNIT_TEST(RejectsRequestsWithoutConfiguration);
  CPPUNIT_TEST(ForwardsRequests);
  CPPUNIT_TEST(RejectsUnknownRouteAndInvalidRequest);
  CPPUNIT_TEST(AppliesOnlyNewerValidConfigurations);
  CPPUNIT_TEST(NonIdempotentRequestIsNotRetriedAfterALostResponse);
  CPPUNIT_TEST(NonIdempotentRequestIsRetriedIfNotExecuted);
  CPPUNIT_TEST(SafeRequestsAreRetried);
  CPPUNIT_TEST(Returns503OnlyIfNoTargetExecutedTheRequest);
  CPPUNIT_TEST(InvalidResponsesAreNotForwarded);
  CPPUNIT_TEST(TargetErrorIsForwardedIfAllAttemptsFail);
  CPPUNIT_TEST(SafeRequestToAHungTargetIsHedged);
  CPPUNIT_TEST(FailureDuringHedgeSearchDoesNotReturn503);
  CPPUNIT_TEST(RouteTimeoutCancelsTheRequest);
  CPPUNIT_TEST(CallerDisconnectCancelsASafeRequest);
  CPPUNIT_TEST(AttemptsStayWithinTheRouteLimit);
  CPPUNIT_TEST(ReloadKeepsRequestsInFlight);
  CPPUNIT_TEST(ServesAfterARestartOfAllHosts);
  CPPUNIT_TEST(CallerDisconnectDoesNotCancelANonIdempotentRequest);
  CPPUNIT_TEST(DrainingTargetGetsNoRequests);
  CPPUNIT_TEST(EvacuatedZoneGetsNoRequests);
  CPPUNIT_TEST(MisdirectedTargetGetsNoRequests);
  CPPUNIT_TEST(ColdTargetIsRateLimited);
  CPPUNIT_TEST(IdleTargetInAnotherZoneIsPreferredToBusyOnes);
  CPPUNIT_TEST(CompactionFoundByOneWatchRestartsTheOthers);
  CPPUNIT_TEST(UnreadableConfigurationIsReadAgain);
  CPPUNIT_TEST(FollowerOfADisconnectedReaderReadsTheStore);
  CPPUNIT_TEST(ExpiredRegistrationIsKeptForAGracePeriod);
  CPPUNIT_TEST(StopWaitsForRequestsInFlight);
  CPPUNIT_TEST(DirectoryListsThisHostUntilItStops);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    loop_ = std::make_unique<Loop>();
    store_ = std::make_unique<MockRecordStore>();
    settings_ = {};
    settings_.name_ = "host";
    settings_.zone_ = "z";
    settings_.is_bootstrap_ = true;
    settings_.bounds_.extra_retries_per_window_ = 1000;
    for (const char* name : {"a", "b"}) targets_.push_back(std::make_unique<FakeTarget>(name, "z"));
  }

  void tearDown() override {
    gateway_.reset();
    client_.reset();
    targets_.clear();
    store_.reset();
    loop_.reset();
  }

  // Guards against responding 404 before the routes are loaded.
  void RejectsRequestsWithoutConfiguration() {
    StartGatewayHost();
    CPPUNIT_ASSERT_EQUAL(503, Call("/safe/x").status_);
    CPPUNIT_ASSERT_EQUAL(503, Query(settings_.readiness_address_, "/ready").status_);
  }

  void ForwardsRequests() {
    StartServing();
    const Response response = Call("/safe/x?y=z");
    CPPUNIT_ASSERT_EQUAL(200, response.status_);
    CPPUNIT_ASSERT_EQUAL(std::string("/safe/x?y=z"), response.body_.substr(1));
    CPPUNIT_ASSERT_EQUAL(std::string("/once/xbody"), Call("/once/x", "body").body_.substr(1));
    // The target must receive the remaining time of the request, not the timeout of the route.
    Call("/safe/x", {}, "Left-Ms: 700\r\n");
    CPPUNIT_ASSERT(std::max(targets_[0]->last_time_left_ms_, targets_[1]->last_time_left_ms_) <=
                   5000);
    CPPUNIT_ASSERT(std::min(targets_[0]->last_time_left_ms_, targets_[1]->last_time_left_ms_) <=
                   700);
  }

  void RejectsUnknownRouteAndInvalidRequest() {
    StartServing();
    CPPUNIT_ASSERT_EQUAL(404, Call("/nowhere/").status_);
    CPPUNIT_ASSERT_EQUAL(400, CallRaw("GET /safe/ HTTP/1.1\r\nHost: h\r\n\r\n").status_);
  }

  void AppliesOnlyNewerValidConfigurations() {
    StartServing();
    CPPUNIT_ASSERT_EQUAL(404, Call("/added/").status_);
    Configuration configuration = MakeConfiguration(5);
    configuration.routes_.push_back(MakeRoute("/added/", RequestKind::kSafe));
    store_->Put(RecordKind::kConfiguration, {"main", 0, configuration, {}, {}});
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return Call("/added/").status_ == 200; }));
    store_->Put(RecordKind::kConfiguration, {"main", 0, MakeConfiguration(4), {}, {}});
    StoredRecord unreadable = {"main", 0, {}, "broken", {}};
    store_->Put(RecordKind::kConfiguration, unreadable);
    loop_->RunFor(milliseconds(700));
    CPPUNIT_ASSERT_EQUAL(200, Call("/added/").status_);
  }

  // Guards against executing a non-idempotent request twice: the target executed it, but its
  // response was lost.
  void NonIdempotentRequestIsNotRetriedAfterALostResponse() {
    StartServing();
    SetBehaviour(Behaviour::kDropsConnection);
    const Response response = Call("/once/x", "body");
    CPPUNIT_ASSERT_EQUAL(502, response.status_);
    CPPUNIT_ASSERT_EQUAL(1, targets_[0]->Executions() + targets_[1]->Executions());
  }

  void NonIdempotentRequestIsRetriedIfNotExecuted() {
    StartServing();
    targets_[0]->behaviour_ = Behaviour::kRejects;
    for (int i = 0; i < 10; ++i) CPPUNIT_ASSERT_EQUAL(200, Call("/once/x", "body").status_);
    CPPUNIT_ASSERT_EQUAL(0, targets_[0]->Executions());
    CPPUNIT_ASSERT_EQUAL(10, targets_[1]->Executions());
  }

  void SafeRequestsAreRetried() {
    StartServing();
    targets_[0]->behaviour_ = Behaviour::kDropsConnection;
    for (int i = 0; i < 10; ++i) CPPUNIT_ASSERT_EQUAL(200, Call("/safe/x").status_);
  }

  // A 503 promises the caller that the request was not executed.
  void Returns503OnlyIfNoTargetExecutedTheRequest() {
    StartServing();
    SetBehaviour(Behaviour::kRejects);
    CPPUNIT_ASSERT_EQUAL(503, Call("/once/x", "body").status_);
    CPPUNIT_ASSERT_EQUAL(503, Call("/safe/x").status_);
    CPPUNIT_ASSERT_EQUAL(0, targets_[0]->Executions() + targets_[1]->Executions());
    // One target rejects the request and the other one drops its response, so it may have been
    // executed.
    targets_[1]->behaviour_ = Behaviour::kDropsConnection;
    for (int i = 0; i < 6; ++i) {
      const int executions = targets_[1]->Executions();
      const int status = Call("/once/x", "body").status_;
      if (targets_[1]->Executions() > executions) CPPUNIT_ASSERT_EQUAL(502, status);
      if (targets_[1]->Executions() == executions) CPPUNIT_ASSERT_EQUAL(503, status);
    }
  }

  // Guards against forwarding a success that the service did not send.
  void InvalidResponsesAreNotForwarded() {
    for (const Behaviour behaviour : {Behaviour::kRespondsUnsigned, Behaviour::kRespondsEncoded}) {
      if (gateway_ == nullptr) StartServing();
      SetBehaviour(behaviour);
      CPPUNIT_ASSERT_EQUAL(502, Call("/safe/x").status_);
      CPPUNIT_ASSERT_EQUAL(502, Call("/once/x", "body").status_);
    }
  }

  void TargetErrorIsForwardedIfAllAttemptsFail() {
    StartServing();
    SetBehaviour(Behaviour::kReturnsError);
    const Response response = Call("/once/x", "body");
    CPPUNIT_ASSERT_EQUAL(500, response.status_);
    CPPUNIT_ASSERT_EQUAL(std::string("error"), response.body_);
    CPPUNIT_ASSERT_EQUAL(500, Call("/safe/x").status_);
  }

  // Guards against losing a safe request at a target that answers probes but hangs on requests.
  void SafeRequestToAHungTargetIsHedged() {
    StartServing();
    targets_[0]->behaviour_ = Behaviour::kHoldsRequest;
    for (int i = 0; i < 4; ++i) CPPUNIT_ASSERT_EQUAL(200, Call("/safe/x").status_);
    CPPUNIT_ASSERT(targets_[1]->Executions() >= 4);
  }

  // The first target drops its connection during the search for a hedge target, and the search
  // finds none. Guards against a 503, which promises that the request was not executed.
  void FailureDuringHedgeSearchDoesNotReturn503() {
    StartServing();
    targets_[0]->behaviour_ = Behaviour::kHoldsRequest;
    targets_[1]->ignores_probes_ = true;
    Response response;
    Send("/safe/x", "", {}, response);
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return TargetWithHeldRequest() != nullptr; }));
    const int probes = targets_[1]->probes_received_;
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return targets_[1]->probes_received_ > probes; }));
    TargetWithHeldRequest()->held_.begin()->second->Abort();
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return response.done_; }));
    CPPUNIT_ASSERT_EQUAL(502, response.status_);
  }

  void RouteTimeoutCancelsTheRequest() {
    StartServing();
    SetBehaviour(Behaviour::kHoldsRequest);
    CPPUNIT_ASSERT_EQUAL(504, Call("/brief/x", "body").status_);
    // Closing the connection cancels the request at the target.
    CPPUNIT_ASSERT(loop_->RunUntil(
        [&] { return targets_[0]->cancellations_ + targets_[1]->cancellations_ > 0; }));
  }

  void CallerDisconnectCancelsASafeRequest() {
    StartServing();
    SetBehaviour(Behaviour::kHoldsRequest);
    DisconnectDuring("/safe/x");
    const Time left = Now();
    CPPUNIT_ASSERT(loop_->RunUntil(
        [&] { return targets_[0]->cancellations_ + targets_[1]->cancellations_ > 0; }));
    CPPUNIT_ASSERT(Now() - left < milliseconds(500));  // Required by the users.
    // The request must not be sent to a second target after its caller has disconnected.
    const int requests = TotalRequests();
    loop_->RunFor(milliseconds(700));
    CPPUNIT_ASSERT_EQUAL(requests, TotalRequests());
  }

  // Guards against sending a request to one target after another while all of them fail.
  void AttemptsStayWithinTheRouteLimit() {
    for (const char* name : {"c", "d", "e"}) {
      targets_.push_back(std::make_unique<FakeTarget>(name, "z"));
    }
    StartServing();
    for (const Behaviour behaviour :
         {Behaviour::kRejects, Behaviour::kDropsConnection, Behaviour::kReturnsError}) {
      SetBehaviour(behaviour);
      for (int request = 0; request < 5; ++request) {
        const int before = TotalRequests();
        CPPUNIT_ASSERT(Call("/safe/x").status_ >= 500);
        CPPUNIT_ASSERT(TotalRequests() - before <= 2);  // max_attempts_ of the route.
      }
    }
  }

  // Guards against closing connections or losing requests when the settings are reloaded.
  void ReloadKeepsRequestsInFlight() {
    StartServing();
    SetBehaviour(Behaviour::kHoldsRequest);
    Response response;
    Send("/once/x", "body", {}, response);
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return TargetWithHeldRequest() != nullptr; }));
    GatewaySettings changed = settings_;
    changed.bounds_.extra_retries_per_window_ = 7;
    gateway_->Reload(changed);
    loop_->RunFor(milliseconds(50));
    CPPUNIT_ASSERT(!response.done_);
    FakeTarget* target = TargetWithHeldRequest();
    target->RespondToHeld(target->held_.begin()->first);
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return response.done_; }));
    CPPUNIT_ASSERT_EQUAL(200, response.status_);
    SetBehaviour(Behaviour::kResponds);
    CPPUNIT_ASSERT_EQUAL(200, Call("/once/x", "body").status_);
  }

  // After a power loss of all hosts, a new process has only the store and the targets. Guards
  // against depending on state that only another entry host could provide.
  void ServesAfterARestartOfAllHosts() {
    StartServing();
    CPPUNIT_ASSERT_EQUAL(200, Call("/safe/x").status_);
    client_.reset();
    gateway_.reset();
    // Meanwhile the targets have become cold, and the hosts that registered are gone.
    for (const auto& target : targets_) target->cold_time_ms_ = 500;
    settings_.is_bootstrap_ = false;
    StartGatewayHost();
    const Time started = Now();
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return Call("/safe/x").status_ == 200; }));
    CPPUNIT_ASSERT(Now() - started < std::chrono::seconds(15));  // Limit recoveryS of the sites.
    CPPUNIT_ASSERT_EQUAL(200, Call("/once/x", "body").status_);
  }

  // Guards against interrupting a non-idempotent request during its execution.
  void CallerDisconnectDoesNotCancelANonIdempotentRequest() {
    StartServing();
    SetBehaviour(Behaviour::kHoldsRequest);
    DisconnectDuring("/once/x");
    loop_->RunFor(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(0, targets_[0]->cancellations_ + targets_[1]->cancellations_);
  }

  void DrainingTargetGetsNoRequests() {
    StartServing();
    TargetRecord record = targets_[0]->MakeRecord("s");
    record.draining_ = true;
    store_->Put(RecordKind::kTarget, {"a", 0, record, {}, {}});
    WaitForStoreUpdates();
    ExpectRequestsOnlyAt(1);
  }

  void EvacuatedZoneGetsNoRequests() {
    targets_[0]->zone_ = "y";
    StartServing();
    store_->Put(RecordKind::kEvacuation, {"y", 0, EvacuatedZone{"y"}, {}, {}});
    WaitForStoreUpdates();
    targets_[1]->reported_running_ = 2;  // The target in zone y would respond sooner.
    ExpectRequestsOnlyAt(1);
    store_->Delete(RecordKind::kEvacuation, "y");
    WaitForStoreUpdates();
    targets_[1]->behaviour_ = Behaviour::kRejects;
    CPPUNIT_ASSERT_EQUAL(200, Call("/safe/x").status_);
    CPPUNIT_ASSERT_EQUAL(1, targets_[0]->requests_received_);
  }

  void MisdirectedTargetGetsNoRequests() {
    StartServing();
    targets_[0]->behaviour_ = Behaviour::kMisdirected;
    ExpectRequestsOnlyAt(1);
  }

  // The target reports only in its probe responses that it has become cold.
  void ColdTargetIsRateLimited() {
    StartServing();
    targets_[0]->cold_time_ms_ = 60'000;
    targets_[1]->reported_running_ = 2;  // The cold target would respond sooner.
    // A host that does not know the other hosts of its zone sends nothing to a cold target.
    CPPUNIT_ASSERT_EQUAL(200, Call("/safe/x").status_);
    CPPUNIT_ASSERT_EQUAL(0, targets_[0]->requests_received_);
    CPPUNIT_ASSERT(loop_->RunUntil([this] {
      CPPUNIT_ASSERT_EQUAL(200, Call("/safe/x").status_);
      return targets_[0]->requests_received_ > 0;
    }));
    for (int i = 0; i < 10; ++i) CPPUNIT_ASSERT_EQUAL(200, Call("/safe/x").status_);
    // At most one request per second, the rate of the service.
    CPPUNIT_ASSERT(targets_[0]->requests_received_ >= 1 && targets_[0]->requests_received_ <= 2);
  }

  void IdleTargetInAnotherZoneIsPreferredToBusyOnes() {
    targets_.push_back(std::make_unique<FakeTarget>("c", "y"));
    StartServing();
    targets_[0]->reported_running_ = 2;
    targets_[1]->reported_running_ = 2;
    CPPUNIT_ASSERT_EQUAL(std::string("c/safe/x"), Call("/safe/x").body_);
  }

  // Seen in the scale-1 scenario: the store discards the history of all record kinds without ending
  // the waiting watches. The short configuration watch detects this and restarts the other feeds.
  void CompactionFoundByOneWatchRestartsTheOthers() {
    StartServing();
    WaitForStoreUpdates();
    store_->suppress_watch_events_ = true;
    TargetRecord record = targets_[0]->MakeRecord("s");
    record.draining_ = true;
    store_->Put(RecordKind::kTarget, {"a", 0, record, {}, {}});
    store_->Compact();
    store_->suppress_watch_events_ = false;
    store_->ExpireWatches(RecordKind::kConfiguration);
    loop_->RunFor(milliseconds(100));
    WaitForStoreUpdates();
    ExpectRequestsOnlyAt(1);
  }

  // Seen in the scale-2 scenario of rehandle-gw and in deploy/days/one-way-cuts: the reader of a
  // zone loses its connection to the store unnoticed and keeps serving stale records to its
  // followers.
  void FollowerOfADisconnectedReaderReadsTheStore() {
    MockRecordStore reader_store;
    GatewaySettings reader_settings = settings_;
    reader_settings.name_ = "reader";
    reader_settings.capacity_ = 10;
    // The reader's addresses are in its record, which both stores have before it starts.
    const std::unique_ptr<Gateway> reader_gateway =
        StartOnFreePorts(reader_settings, reader_store, [&] {
          const HostRecord reader = {"reader",
                                     "z",
                                     reader_settings.front_address_,
                                     reader_settings.peer_address_,
                                     reader_settings.control_address_,
                                     1,
                                     10};
          for (MockRecordStore* store : {store_.get(), &reader_store}) {
            store->Put(RecordKind::kHost, {"reader", 0, reader, {}, {}});
          }
          reader_store.Put(RecordKind::kConfiguration, {"main", 0, MakeConfiguration(3), {}, {}});
          for (const auto& target : targets_) {
            const TargetRecord record = target->MakeRecord("s");
            reader_store.Put(RecordKind::kTarget, {target->name_, 0, record, {}, {}});
          }
        });
    StartServing();
    // This change exists only in the reader's store, so the host must get it from the reader.
    Configuration early = MakeConfiguration(4);
    early.routes_.push_back(MakeRoute("/early/", RequestKind::kSafe));
    const StoredRecord record = {"main", 0, early, {}, "early"};
    record_format_.records_["early"] = record;
    reader_store.Put(RecordKind::kConfiguration, record);
    CPPUNIT_ASSERT(loop_->RunUntil([&] {
      reader_store.ExpireWatches(RecordKind::kConfiguration);
      return Call("/early/").status_ == 200;
    }));
    // From now on the reader's watches never return, as on an unresponsive connection.
    Configuration late = MakeConfiguration(5);
    late.routes_.push_back(MakeRoute("/late/", RequestKind::kSafe));
    store_->revision_ = reader_store.revision_;  // Both mocks represent the same store.
    store_->Put(RecordKind::kConfiguration, {"main", 0, late, {}, {}});
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return Call("/late/").status_ == 200; }));
  }

  // Registrations may expire during a store outage. Targets that are alive register again within
  // two seconds after it, so they must not be removed at once.
  void ExpiredRegistrationIsKeptForAGracePeriod() {
    StartServing();
    WaitForStoreUpdates();
    store_->status_ = StoreStatus::kUnreachable;
    store_->ExpireWatches();
    loop_->RunFor(milliseconds(400));
    store_->status_ = StoreStatus::kOk;
    for (const auto& target : targets_) store_->Delete(RecordKind::kTarget, target->name_);
    loop_->RunFor(milliseconds(800));
    CPPUNIT_ASSERT_EQUAL(200, Call("/safe/x").status_);
    // A target that does not register again is removed.
    loop_->RunFor(milliseconds(3500));
    CPPUNIT_ASSERT_EQUAL(503, Call("/safe/x").status_);
  }

  // Guards against keeping an older configuration in force without end because one response of the
  // store was spoiled.
  void UnreadableConfigurationIsReadAgain() {
    StartServing();
    WaitForStoreUpdates();
    StoredRecord record = {"main", 0, {}, "not a configuration", "spoiled"};
    const auto count_lists = [this] {
      return std::count_if(
          store_->list_calls_.begin(), store_->list_calls_.end(),
          [](const auto& call) { return call.kind_ == RecordKind::kConfiguration; });
    };
    const auto lists = count_lists();
    store_->Put(RecordKind::kConfiguration, record);
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return count_lists() > lists; }));
    CPPUNIT_ASSERT(store_->list_calls_.back().consistency_ == Consistency::kLatest);
    // A record that stays unreadable is not read again and again: each call is billed.
    loop_->RunFor(milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(lists + 1, count_lists());
    // The next change is spoiled only in the response of the watch.
    record.value_ = MakeConfiguration(9);
    std::get<Configuration>(record.value_)
        .routes_.push_back(MakeRoute("/new/", RequestKind::kSafe));
    store_->Put(RecordKind::kConfiguration, {"main", 0, {}, "not a configuration", "spoiled"});
    record.revision_ = store_->revision_;
    record.problem_.clear();
    store_->records_[RecordKind::kConfiguration]["main"] = record;
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return Call("/new/").status_ == 200; }));
  }

  void StopWaitsForRequestsInFlight() {
    StartServing();
    SetBehaviour(Behaviour::kHoldsRequest);
    Response response;
    Send("/once/x", "body", {}, response);
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return TargetWithHeldRequest() != nullptr; }));
    gateway_->Stop();
    CPPUNIT_ASSERT_EQUAL(503, Query(settings_.readiness_address_, "/ready").status_);
    loop_->RunFor(milliseconds(50));
    FakeTarget* target = TargetWithHeldRequest();
    target->RespondToHeld(target->held_.begin()->first);
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return response.done_; }));
    CPPUNIT_ASSERT_EQUAL(200, response.status_);
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return gateway_->IsStopped(); }));
  }

  void DirectoryListsThisHostUntilItStops() {
    StartServing();
    const Response response = Query(settings_.directory_address_, "/directory");
    CPPUNIT_ASSERT_EQUAL(settings_.front_address_ + " ", response.body_);
    CPPUNIT_ASSERT_EQUAL(404, Query(settings_.directory_address_, "/other").status_);
    gateway_->Stop();
    CPPUNIT_ASSERT_EQUAL(503, Query(settings_.directory_address_, "/directory").status_);
  }

 private:
  static Route MakeRoute(const std::string& prefix, RequestKind kind) {
    Route route;
    route.name_ = prefix;
    route.host_ = "h";
    route.path_prefix_ = prefix;
    route.kind_ = kind;
    route.services_ = {{"s", 1}};
    route.timeout_ = milliseconds(5000);
    route.latency_objective_ = milliseconds(300);
    route.max_attempts_ = 2;
    return route;
  }

  static Configuration MakeConfiguration(std::int64_t version) {
    Configuration configuration;
    configuration.version_ = version;
    configuration.routes_ = {MakeRoute("/safe/", RequestKind::kSafe),
                             MakeRoute("/once/", RequestKind::kNonIdempotent),
                             MakeRoute("/brief/", RequestKind::kNonIdempotent)};
    configuration.routes_.back().timeout_ = milliseconds(200);
    ServiceSpec service;
    service.name_ = "s";
    service.health_path_ = "/health";
    configuration.services_["s"] = service;
    return configuration;
  }

  // Starts a gateway on free ports, which are put into `settings`; calls `prepare` before the
  // start. Another program can take a port in between; the start is then repeated with other ports.
  template <typename Prepare>
  std::unique_ptr<Gateway> StartOnFreePorts(GatewaySettings& settings, MockRecordStore& store,
                                            Prepare prepare) {
    constexpr int kMaxStarts = 5;
    for (int i = 1;; ++i) {
      for (std::string* address :
           {&settings.front_address_, &settings.readiness_address_, &settings.directory_address_,
            &settings.control_address_, &settings.peer_address_}) {
        *address = FreeAddress();
      }
      prepare();
      auto started = Capture<std::unique_ptr<Gateway>>(
          [&] { return StartGateway(settings, format_, record_format_, store, 1, 42); });
      if (started.value_) return std::move(*started.value_);
      const bool is_port_taken = started.error_.code_ == ResultCode::kListenFailed ||
                                 started.error_.code_ == ResultCode::kPeerSocket;
      CPPUNIT_ASSERT_MESSAGE(started.error_.message_, is_port_taken && i < kMaxStarts);
    }
  }

  void StartGatewayHost() {
    gateway_ = StartOnFreePorts(settings_, *store_, [] {});
    client_ = std::make_unique<http::HttpClient>(*ParseAddress(settings_.front_address_),
                                                 http::StreamOptions{}, 8);
  }

  void StartServing() {
    store_->Put(RecordKind::kConfiguration, {"main", 0, MakeConfiguration(3), {}, {}});
    for (const auto& target : targets_) {
      store_->Put(RecordKind::kTarget, {target->name_, 0, target->MakeRecord("s"), {}, {}});
    }
    StartGatewayHost();
    CPPUNIT_ASSERT(loop_->RunUntil(
        [&] { return Query(settings_.readiness_address_, "/ready").status_ == 200; }));
  }

  // Waits until the host has received all changes from the store.
  void WaitForStoreUpdates() {
    loop_->RunFor(milliseconds(350));
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return store_->HasWaitingWatches(3); }));
  }

  void SetBehaviour(Behaviour behaviour) {
    for (const auto& target : targets_) target->behaviour_ = behaviour;
  }

  int TotalRequests() const {
    int requests = 0;
    for (const auto& target : targets_) requests += target->requests_received_;
    return requests;
  }

  FakeTarget* TargetWithHeldRequest() {
    for (const auto& target : targets_) {
      if (!target->held_.empty()) return target.get();
    }
    return nullptr;
  }

  void Send(const std::string& path, const std::string& body, const std::string& headers,
            Response& response) {
    const std::string method = body.empty() ? "GET " : "POST ";
    SendRaw(method + path + " HTTP/1.1\r\nHost: h\r\nId: " + std::to_string(++next_id_) + "\r\n" +
                headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
            response);
  }

  void SendRaw(const std::string& text, Response& response) {
    last_call_ = client_->Call(text, false, std::chrono::seconds(20),
                               [&response](const http::CallResult& result) {
                                 response = {true, result.status_, result.body_};
                               });
  }

  Response CallRaw(const std::string& text) {
    Response response;
    SendRaw(text, response);
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return response.done_; }));
    return response;
  }

  Response Call(const std::string& path, const std::string& body = {},
                const std::string& headers = {}) {
    Response response;
    Send(path, body, headers, response);
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return response.done_; }));
    return response;
  }

  Response Query(const std::string& address, const std::string& path) {
    http::HttpClient client(*ParseAddress(address), {}, 2);
    Response response;
    client.Call("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n", true, std::chrono::seconds(20),
                [&response](const http::CallResult& result) {
                  response = {true, result.status_, result.body_};
                });
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return response.done_; }));
    return response;
  }

  void DisconnectDuring(const std::string& path) {
    Response response;
    Send(path, path.starts_with("/once") ? "body" : "", {}, response);
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return TargetWithHeldRequest() != nullptr; }));
    client_->Cancel(last_call_);
  }

  // Checks that requests reach only the target with this index.
  void ExpectRequestsOnlyAt(std::size_t index) {
    std::vector<int> before;
    for (const auto& target : targets_) before.push_back(target->requests_received_);
    for (int i = 0; i < 8; ++i) CPPUNIT_ASSERT_EQUAL(200, Call("/safe/x").status_);
    for (std::size_t i = 0; i < targets_.size(); ++i) {
      const int received = targets_[i]->requests_received_ - before[i];
      if (i == index) CPPUNIT_ASSERT(received >= 8);
      if (i != index) CPPUNIT_ASSERT_EQUAL(0, received);
    }
  }

  std::unique_ptr<Loop> loop_;
  GatewaySettings settings_;
  FakeFormat format_;
  TextFormat record_format_;
  std::unique_ptr<MockRecordStore> store_;
  std::vector<std::unique_ptr<FakeTarget>> targets_;
  std::unique_ptr<Gateway> gateway_;
  std::unique_ptr<http::HttpClient> client_;
  http::HttpClient::CallId last_call_ = 0;
  int next_id_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);

}  // namespace monsoonshelf::gateway
