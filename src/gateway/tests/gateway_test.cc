#include "gateway/gateway.h"

#include <cppunit/extensions/HelperMacros.h>

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

// Looks up records by the text that the test gave them.
struct TextFormat : IRecordFormat {
  StoredRecord ReadRecord(RecordKind /*kind*/, const std::string& text) const override {
    const auto found = records_.find(text);
    return found == records_.end() ? StoredRecord{} : found->second;
  }
  std::map<std::string, StoredRecord> records_;
};

// An address that nobody listens on now.
std::string FreeAddress() {
  auto listener = http::Listener::Open("127.0.0.1:0", [](int /*descriptor*/) {});
  return listener.value()->LocalAddress();
}

struct Answer {
  bool done_ = false;
  int status_ = 0;
  std::string body_;
};

}  // namespace

// The whole gateway on real sockets, with targets and a store of the test's own.
class GatewayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayTest);
  CPPUNIT_TEST(RefusesUntilAConfigurationIsKnown);
  CPPUNIT_TEST(PassesRequestsOn);
  CPPUNIT_TEST(UnknownRouteAndInvalidRequest);
  CPPUNIT_TEST(NewConfigurationTakesEffectAndNeverReverts);
  CPPUNIT_TEST(WorkIsNotRepeatedAfterALostAnswer);
  CPPUNIT_TEST(WorkIsRepeatedAfterAProvenRefusal);
  CPPUNIT_TEST(SafeRequestsAreRepeated);
  CPPUNIT_TEST(RefusedEverywhereIsNotRun);
  CPPUNIT_TEST(InvalidAnswersAreNotPassedOn);
  CPPUNIT_TEST(ErrorOfTheOnlyTargetIsPassedOn);
  CPPUNIT_TEST(SlowTargetIsHedged);
  CPPUNIT_TEST(FailureDuringASecondSearchIsNoRefusal);
  CPPUNIT_TEST(TimesOutAtTheRoute);
  CPPUNIT_TEST(CallerThatLeavesEndsTheWork);
  CPPUNIT_TEST(SendsKeepTheLimitOfTheRoute);
  CPPUNIT_TEST(ReloadKeepsRequests);
  CPPUNIT_TEST(ServesAfterTheLossOfAllHosts);
  CPPUNIT_TEST(WorkOfACallerThatLeftIsFinished);
  CPPUNIT_TEST(LeavingTargetsGetNothing);
  CPPUNIT_TEST(EvacuatedZoneGetsNothing);
  CPPUNIT_TEST(TargetWhoseAddressWasTakenGetsNothing);
  CPPUNIT_TEST(ColdTargetGetsOneRequestAtATime);
  CPPUNIT_TEST(BusyTargetsOfTheZoneAreAvoided);
  CPPUNIT_TEST(LostHistoryOfOneKindIsLostForAll);
  CPPUNIT_TEST(FollowerOfALostReaderReadsTheStore);
  CPPUNIT_TEST(LapsedRegistrationIsKeptForAWhile);
  CPPUNIT_TEST(StopFinishesWhatIsInFlight);
  CPPUNIT_TEST(DirectoryNamesThisHostUntilItLeaves);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    loop_ = std::make_unique<Loop>();
    store_ = std::make_unique<MockRecordStore>();
    settings_ = {};
    settings_.name_ = "host";
    settings_.zone_ = "z";
    settings_.front_address_ = FreeAddress();
    settings_.readiness_address_ = FreeAddress();
    settings_.directory_address_ = FreeAddress();
    settings_.control_address_ = FreeAddress();
    settings_.peer_address_ = FreeAddress();
    settings_.first_start_ = true;
    settings_.bounds_.retry_extra_ = 1000;
    for (const char* name : {"a", "b"}) targets_.push_back(std::make_unique<FakeTarget>(name, "z"));
  }

  void tearDown() override {
    gateway_.reset();
    client_.reset();
    targets_.clear();
    store_.reset();
    loop_.reset();
  }

  // Guards against 404 for routes that the host doesn't know yet.
  void RefusesUntilAConfigurationIsKnown() {
    StartHost();
    CPPUNIT_ASSERT_EQUAL(503, Ask("/safe/x").status_);
    CPPUNIT_ASSERT_EQUAL(503, Query(settings_.readiness_address_, "/ready").status_);
  }

  void PassesRequestsOn() {
    Begin();
    const Answer answer = Ask("/safe/x?y=z");
    CPPUNIT_ASSERT_EQUAL(200, answer.status_);
    CPPUNIT_ASSERT_EQUAL(std::string("/safe/x?y=z"), answer.body_.substr(1));
    CPPUNIT_ASSERT_EQUAL(std::string("/once/xbody"), Ask("/once/x", "body").body_.substr(1));
    // A target gets the time that is left, not the time that the route allows.
    Ask("/safe/x", {}, "Left-Ms: 700\r\n");
    CPPUNIT_ASSERT(std::max(targets_[0]->left_ms_, targets_[1]->left_ms_) <= 5000);
    CPPUNIT_ASSERT(std::min(targets_[0]->left_ms_, targets_[1]->left_ms_) <= 700);
  }

  void UnknownRouteAndInvalidRequest() {
    Begin();
    CPPUNIT_ASSERT_EQUAL(404, Ask("/nowhere/").status_);
    CPPUNIT_ASSERT_EQUAL(400, Raw("GET /safe/ HTTP/1.1\r\nHost: h\r\n\r\n").status_);
  }

  void NewConfigurationTakesEffectAndNeverReverts() {
    Begin();
    CPPUNIT_ASSERT_EQUAL(404, Ask("/added/").status_);
    Configuration configuration = MakeConfiguration(5);
    configuration.routes_.push_back(MakeRoute("/added/", RequestKind::kSafe));
    store_->Put(RecordKind::kConfiguration, {"main", 0, configuration, {}, {}});
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return Ask("/added/").status_ == 200; }));
    store_->Put(RecordKind::kConfiguration, {"main", 0, MakeConfiguration(4), {}, {}});
    StoredRecord unreadable = {"main", 0, {}, "broken", {}};
    store_->Put(RecordKind::kConfiguration, unreadable);
    loop_->RunFor(milliseconds(700));
    CPPUNIT_ASSERT_EQUAL(200, Ask("/added/").status_);
  }

  // At most once: the target has run the request and its answer is lost.
  void WorkIsNotRepeatedAfterALostAnswer() {
    Begin();
    SetBehaviour(Behaviour::kLosesAnswer);
    const Answer answer = Ask("/once/x", "body");
    CPPUNIT_ASSERT_EQUAL(502, answer.status_);
    CPPUNIT_ASSERT_EQUAL(1, targets_[0]->Runs() + targets_[1]->Runs());
  }

  void WorkIsRepeatedAfterAProvenRefusal() {
    Begin();
    targets_[0]->behaviour_ = Behaviour::kRefuses;
    for (int i = 0; i < 10; ++i) CPPUNIT_ASSERT_EQUAL(200, Ask("/once/x", "body").status_);
    CPPUNIT_ASSERT_EQUAL(0, targets_[0]->Runs());
    CPPUNIT_ASSERT_EQUAL(10, targets_[1]->Runs());
  }

  void SafeRequestsAreRepeated() {
    Begin();
    targets_[0]->behaviour_ = Behaviour::kLosesAnswer;
    for (int i = 0; i < 10; ++i) CPPUNIT_ASSERT_EQUAL(200, Ask("/safe/x").status_);
  }

  // A 503 is a promise that the request didn't run.
  void RefusedEverywhereIsNotRun() {
    Begin();
    SetBehaviour(Behaviour::kRefuses);
    CPPUNIT_ASSERT_EQUAL(503, Ask("/once/x", "body").status_);
    CPPUNIT_ASSERT_EQUAL(503, Ask("/safe/x").status_);
    CPPUNIT_ASSERT_EQUAL(0, targets_[0]->Runs() + targets_[1]->Runs());
    // Refused by one and lost by the other: it may have run.
    targets_[1]->behaviour_ = Behaviour::kLosesAnswer;
    for (int i = 0; i < 6; ++i) {
      const int runs = targets_[1]->Runs();
      const int status = Ask("/once/x", "body").status_;
      if (targets_[1]->Runs() > runs) CPPUNIT_ASSERT_EQUAL(502, status);
      if (targets_[1]->Runs() == runs) CPPUNIT_ASSERT_EQUAL(503, status);
    }
  }

  // Guards against a success that the service didn't give.
  void InvalidAnswersAreNotPassedOn() {
    for (const Behaviour behaviour : {Behaviour::kAnswersUnsigned, Behaviour::kAnswersEncoded}) {
      if (gateway_ == nullptr) Begin();
      SetBehaviour(behaviour);
      CPPUNIT_ASSERT_EQUAL(502, Ask("/safe/x").status_);
      CPPUNIT_ASSERT_EQUAL(502, Ask("/once/x", "body").status_);
    }
  }

  void ErrorOfTheOnlyTargetIsPassedOn() {
    Begin();
    SetBehaviour(Behaviour::kFails);
    const Answer answer = Ask("/once/x", "body");
    CPPUNIT_ASSERT_EQUAL(500, answer.status_);
    CPPUNIT_ASSERT_EQUAL(std::string("error"), answer.body_);
    CPPUNIT_ASSERT_EQUAL(500, Ask("/safe/x").status_);
  }

  // A target that says it is well and then hangs must not cost a safe request its answer.
  void SlowTargetIsHedged() {
    Begin();
    targets_[0]->behaviour_ = Behaviour::kHolds;
    for (int i = 0; i < 4; ++i) CPPUNIT_ASSERT_EQUAL(200, Ask("/safe/x").status_);
    CPPUNIT_ASSERT(targets_[1]->Runs() >= 4);
  }

  // The first target loses its answer while a second one is looked for and nobody responds. Guards
  // against a 503, which promises that the request has not run.
  void FailureDuringASecondSearchIsNoRefusal() {
    Begin();
    targets_[0]->behaviour_ = Behaviour::kHolds;
    targets_[1]->silent_probes_ = true;
    Answer answer;
    Send("/safe/x", "", {}, answer);
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return Held() != nullptr; }));
    const int probes = targets_[1]->probes_;
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return targets_[1]->probes_ > probes; }));
    Held()->held_.begin()->second->Abort();
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return answer.done_; }));
    CPPUNIT_ASSERT_EQUAL(502, answer.status_);
  }

  void TimesOutAtTheRoute() {
    Begin();
    SetBehaviour(Behaviour::kHolds);
    CPPUNIT_ASSERT_EQUAL(504, Ask("/brief/x", "body").status_);
    // Closing the connection tells the target to stop.
    CPPUNIT_ASSERT(
        loop_->RunUntil([&] { return targets_[0]->cancelled_ + targets_[1]->cancelled_ > 0; }));
  }

  void CallerThatLeavesEndsTheWork() {
    Begin();
    SetBehaviour(Behaviour::kHolds);
    LeaveDuring("/safe/x");
    const Time left = Now();
    CPPUNIT_ASSERT(
        loop_->RunUntil([&] { return targets_[0]->cancelled_ + targets_[1]->cancelled_ > 0; }));
    CPPUNIT_ASSERT(Now() - left < milliseconds(500));  // The users' bound.
    // No second target gets the request of a caller that has left.
    const int arrivals = Arrivals();
    loop_->RunFor(milliseconds(700));
    CPPUNIT_ASSERT_EQUAL(arrivals, Arrivals());
  }

  // Guards against a request that goes to one target after the other while all of them fail.
  void SendsKeepTheLimitOfTheRoute() {
    for (const char* name : {"c", "d", "e"}) {
      targets_.push_back(std::make_unique<FakeTarget>(name, "z"));
    }
    Begin();
    for (const Behaviour behaviour :
         {Behaviour::kRefuses, Behaviour::kLosesAnswer, Behaviour::kFails}) {
      SetBehaviour(behaviour);
      for (int request = 0; request < 5; ++request) {
        const int before = Arrivals();
        CPPUNIT_ASSERT(Ask("/safe/x").status_ >= 500);
        CPPUNIT_ASSERT(Arrivals() - before <= 2);  // max_attempts_ of the route.
      }
    }
  }

  // Guards against connections that are closed, or requests that are lost, by new settings.
  void ReloadKeepsRequests() {
    Begin();
    SetBehaviour(Behaviour::kHolds);
    Answer answer;
    Send("/once/x", "body", {}, answer);
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return Held() != nullptr; }));
    GatewaySettings changed = settings_;
    changed.bounds_.retry_extra_ = 7;
    gateway_->Reload(changed);
    loop_->RunFor(milliseconds(50));
    CPPUNIT_ASSERT(!answer.done_);
    FakeTarget* target = Held();
    target->AnswerHeld(target->held_.begin()->first);
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return answer.done_; }));
    CPPUNIT_ASSERT_EQUAL(200, answer.status_);
    SetBehaviour(Behaviour::kAnswers);
    CPPUNIT_ASSERT_EQUAL(200, Ask("/once/x", "body").status_);
  }

  // All hosts have lost power: a new process has only the store and the targets. Guards against
  // knowledge that no host can give it any more.
  void ServesAfterTheLossOfAllHosts() {
    Begin();
    CPPUNIT_ASSERT_EQUAL(200, Ask("/safe/x").status_);
    client_.reset();
    gateway_.reset();
    // The targets turned cold meanwhile, and the peers that wrote the records are gone.
    for (const auto& target : targets_) target->cold_ms_ = 500;
    settings_.first_start_ = false;
    StartHost();
    const Time started = Now();
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return Ask("/safe/x").status_ == 200; }));
    CPPUNIT_ASSERT(Now() - started < std::chrono::seconds(15));  // recoveryS of the users' sites.
    CPPUNIT_ASSERT_EQUAL(200, Ask("/once/x", "body").status_);
  }

  // Work that must not run twice isn't broken off half-way.
  void WorkOfACallerThatLeftIsFinished() {
    Begin();
    SetBehaviour(Behaviour::kHolds);
    LeaveDuring("/once/x");
    loop_->RunFor(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(0, targets_[0]->cancelled_ + targets_[1]->cancelled_);
  }

  void LeavingTargetsGetNothing() {
    Begin();
    TargetRecord record = targets_[0]->Record("s");
    record.draining_ = true;
    store_->Put(RecordKind::kTarget, {"a", 0, record, {}, {}});
    WaitForChanges();
    ExpectOnly(1);
  }

  void EvacuatedZoneGetsNothing() {
    targets_[0]->zone_ = "y";
    Begin();
    store_->Put(RecordKind::kEvacuation, {"y", 0, EvacuatedZone{"y"}, {}, {}});
    WaitForChanges();
    targets_[1]->running_ = 2;  // The other zone would be better.
    ExpectOnly(1);
    store_->Delete(RecordKind::kEvacuation, "y");
    WaitForChanges();
    targets_[1]->behaviour_ = Behaviour::kRefuses;
    CPPUNIT_ASSERT_EQUAL(200, Ask("/safe/x").status_);
    CPPUNIT_ASSERT_EQUAL(1, targets_[0]->arrivals_);
  }

  void TargetWhoseAddressWasTakenGetsNothing() {
    Begin();
    targets_[0]->behaviour_ = Behaviour::kIsAnother;
    ExpectOnly(1);
  }

  // A target says only in its health answers that it turned cold.
  void ColdTargetGetsOneRequestAtATime() {
    Begin();
    targets_[0]->cold_ms_ = 60'000;
    targets_[1]->running_ = 2;  // The cold target would be better.
    for (int i = 0; i < 10; ++i) CPPUNIT_ASSERT_EQUAL(200, Ask("/safe/x").status_);
    // One a second at most, the rate that the service allows.
    CPPUNIT_ASSERT(targets_[0]->arrivals_ >= 1 && targets_[0]->arrivals_ <= 2);
  }

  void BusyTargetsOfTheZoneAreAvoided() {
    targets_.push_back(std::make_unique<FakeTarget>("c", "y"));
    Begin();
    targets_[0]->running_ = 2;
    targets_[1]->running_ = 2;
    CPPUNIT_ASSERT_EQUAL(std::string("c/safe/x"), Ask("/safe/x").body_);
  }

  // Found on scale-1: the store drops changes of all kinds without waking the watches that wait.
  // The short watch of the configuration finds out for the others.
  void LostHistoryOfOneKindIsLostForAll() {
    Begin();
    WaitForChanges();
    store_->suppress_watch_events_ = true;
    TargetRecord record = targets_[0]->Record("s");
    record.draining_ = true;
    store_->Put(RecordKind::kTarget, {"a", 0, record, {}, {}});
    store_->Compact();
    store_->suppress_watch_events_ = false;
    store_->ExpireWatches(RecordKind::kConfiguration);
    loop_->RunFor(milliseconds(100));
    WaitForChanges();
    ExpectOnly(1);
  }

  // Found on scale-2 of rehandle-gw and deploy/days/one-way-cuts: the reader of a zone is silently
  // cut off from the store and goes on answering its followers with old content.
  void FollowerOfALostReaderReadsTheStore() {
    MockRecordStore reader_store;
    GatewaySettings reader_settings = settings_;
    reader_settings.name_ = "reader";
    reader_settings.capacity_ = 10;
    for (std::string* address :
         {&reader_settings.front_address_, &reader_settings.readiness_address_,
          &reader_settings.directory_address_, &reader_settings.control_address_,
          &reader_settings.peer_address_}) {
      *address = FreeAddress();
    }
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
      reader_store.Put(RecordKind::kTarget, {target->name_, 0, target->Record("s"), {}, {}});
    }
    auto started = StartGateway(reader_settings, format_, record_format_, reader_store, 1, 43);
    CPPUNIT_ASSERT(started);
    const std::unique_ptr<Gateway> reader_gateway = std::move(started.value());
    Begin();
    // A change that only the reader's store has shows that the host follows the reader.
    Configuration early = MakeConfiguration(4);
    early.routes_.push_back(MakeRoute("/early/", RequestKind::kSafe));
    const StoredRecord record = {"main", 0, early, {}, "early"};
    record_format_.records_["early"] = record;
    reader_store.Put(RecordKind::kConfiguration, record);
    CPPUNIT_ASSERT(loop_->RunUntil([&] {
      reader_store.ExpireWatches(RecordKind::kConfiguration);
      return Ask("/early/").status_ == 200;
    }));
    // From now on the reader's watches wait for ever, as on a silent connection.
    Configuration late = MakeConfiguration(5);
    late.routes_.push_back(MakeRoute("/late/", RequestKind::kSafe));
    store_->revision_ = reader_store.revision_;  // The two stand for one store.
    store_->Put(RecordKind::kConfiguration, {"main", 0, late, {}, {}});
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return Ask("/late/").status_ == 200; }));
  }

  // Found by the pages: registrations that lapse while the store is away are back within two
  // seconds of its return, if the target lives.
  void LapsedRegistrationIsKeptForAWhile() {
    Begin();
    WaitForChanges();
    store_->status_ = StoreStatus::kUnreachable;
    store_->ExpireWatches();
    loop_->RunFor(milliseconds(400));
    store_->status_ = StoreStatus::kOk;
    for (const auto& target : targets_) store_->Delete(RecordKind::kTarget, target->name_);
    loop_->RunFor(milliseconds(800));
    CPPUNIT_ASSERT_EQUAL(200, Ask("/safe/x").status_);
    // A registration that stays away is taken as gone.
    loop_->RunFor(milliseconds(3500));
    CPPUNIT_ASSERT_EQUAL(503, Ask("/safe/x").status_);
  }

  void StopFinishesWhatIsInFlight() {
    Begin();
    SetBehaviour(Behaviour::kHolds);
    Answer answer;
    Send("/once/x", "body", {}, answer);
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return Held() != nullptr; }));
    gateway_->Stop();
    CPPUNIT_ASSERT_EQUAL(503, Query(settings_.readiness_address_, "/ready").status_);
    loop_->RunFor(milliseconds(50));
    FakeTarget* target = Held();
    target->AnswerHeld(target->held_.begin()->first);
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return answer.done_; }));
    CPPUNIT_ASSERT_EQUAL(200, answer.status_);
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return gateway_->IsStopped(); }));
  }

  void DirectoryNamesThisHostUntilItLeaves() {
    Begin();
    const Answer answer = Query(settings_.directory_address_, "/directory");
    CPPUNIT_ASSERT_EQUAL(settings_.front_address_ + " ", answer.body_);
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

  void StartHost() {
    auto started = StartGateway(settings_, format_, record_format_, *store_, 1, 42);
    CPPUNIT_ASSERT(started);
    gateway_ = std::move(started.value());
    client_ = std::make_unique<http::HttpClient>(*ParseAddress(settings_.front_address_),
                                                 http::StreamOptions{}, 8);
  }

  void Begin() {
    store_->Put(RecordKind::kConfiguration, {"main", 0, MakeConfiguration(3), {}, {}});
    for (const auto& target : targets_) {
      store_->Put(RecordKind::kTarget, {target->name_, 0, target->Record("s"), {}, {}});
    }
    StartHost();
    CPPUNIT_ASSERT(loop_->RunUntil(
        [&] { return Query(settings_.readiness_address_, "/ready").status_ == 200; }));
  }

  // Waits until the host has seen everything that was put into the store.
  void WaitForChanges() {
    loop_->RunFor(milliseconds(350));
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return store_->HasWaitingWatches(3); }));
  }

  void SetBehaviour(Behaviour behaviour) {
    for (const auto& target : targets_) target->behaviour_ = behaviour;
  }

  int Arrivals() const {
    int arrivals = 0;
    for (const auto& target : targets_) arrivals += target->arrivals_;
    return arrivals;
  }

  FakeTarget* Held() {
    for (const auto& target : targets_) {
      if (!target->held_.empty()) return target.get();
    }
    return nullptr;
  }

  void Send(const std::string& path, const std::string& body, const std::string& headers,
            Answer& answer) {
    const std::string method = body.empty() ? "GET " : "POST ";
    SendRaw(method + path + " HTTP/1.1\r\nHost: h\r\nId: " + std::to_string(++next_id_) + "\r\n" +
                headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
            answer);
  }

  void SendRaw(const std::string& text, Answer& answer) {
    last_call_ = client_->Call(text, false, std::chrono::seconds(20),
                               [&answer](const http::CallResult& result) {
                                 answer = {true, result.status_, result.body_};
                               });
  }

  Answer Raw(const std::string& text) {
    Answer answer;
    SendRaw(text, answer);
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return answer.done_; }));
    return answer;
  }

  Answer Ask(const std::string& path, const std::string& body = {},
             const std::string& headers = {}) {
    Answer answer;
    Send(path, body, headers, answer);
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return answer.done_; }));
    return answer;
  }

  Answer Query(const std::string& address, const std::string& path) {
    http::HttpClient client(*ParseAddress(address), {}, 2);
    Answer answer;
    client.Call("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n", true, std::chrono::seconds(20),
                [&answer](const http::CallResult& result) {
                  answer = {true, result.status_, result.body_};
                });
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return answer.done_; }));
    return answer;
  }

  void LeaveDuring(const std::string& path) {
    Answer answer;
    Send(path, path.starts_with("/once") ? "body" : "", {}, answer);
    CPPUNIT_ASSERT(loop_->RunUntil([&] { return Held() != nullptr; }));
    client_->Cancel(last_call_);
  }

  // Requests must reach the target with this index and no other.
  void ExpectOnly(std::size_t index) {
    std::vector<int> before;
    for (const auto& target : targets_) before.push_back(target->arrivals_);
    for (int i = 0; i < 8; ++i) CPPUNIT_ASSERT_EQUAL(200, Ask("/safe/x").status_);
    for (std::size_t i = 0; i < targets_.size(); ++i) {
      const int got = targets_[i]->arrivals_ - before[i];
      if (i == index) CPPUNIT_ASSERT(got >= 8);
      if (i != index) CPPUNIT_ASSERT_EQUAL(0, got);
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
