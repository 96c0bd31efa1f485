#include "gateway/store_era.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <memory>
#include <set>

#include "base/clock.h"
#include "gateway/internal/record_exchange.h"
#include "gateway/record_cache.h"
#include "gateway/record_feed.h"
#include "gateway/tests/mocks/fake_target.h"
#include "gateway/tests/mocks/gateway_host.h"
#include "gateway/tests/mocks/gateway_zone.h"
#include "http/tests/mocks/loop.h"

namespace monsoonshelf::gateway {

namespace {

using http::tests::Loop;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::GatewayHost;
using tests::GatewayZone;
using tests::MockRecordStore;

constexpr Time kStart = Time{} + std::chrono::hours(1);
// Longer than the time for which records are held over.
constexpr Duration kAfterHold = seconds(5);

StoredRecord Zone(const std::string& name) { return {name, 0, EvacuatedZone{name}, {}, name}; }

StoredRecord Target(const std::string& id, bool draining, std::int64_t started = 1) {
  TargetRecord record;
  record.id_ = id;
  record.draining_ = draining;
  record.started_unix_ms_ = started;
  return {id, 0, record, {}, {}};
}

bool IsDraining(const StoredRecord& record) {
  return std::get<TargetRecord>(record.value_).draining_;
}

std::set<std::string> NamesOf(const std::vector<StoredRecord>& records) {
  std::set<std::string> names;
  for (const StoredRecord& record : records) names.insert(record.name_);
  return names;
}

// Follows evacuations as StoreSync does, with the names of those that are present.
struct EraObserver {
  explicit EraObserver(IRecordStore& store)
      : feed_(RecordKind::kEvacuation,
              {[this](const std::vector<StoredRecord>& records, Revision revision) {
                 ReplaceRecords(cache_, records, revision, tracker_.era_);
               },
               [this](const std::vector<StoreEvent>& events, Revision revision) {
                 ApplyEvents(cache_, events, revision);
               },
               [](StoreStatus /*status*/) {}, nullptr, nullptr, nullptr,
               [this](Era era) { return OnEra(era); }}) {
    Read(store);
  }
  void Read(IRecordStore& store) {
    store_ = &store;
    store.SetEra(tracker_.era_);
    feed_.ReadFrom(store, {.watch_pause_ = milliseconds(1),
                           .min_retry_delay_ = milliseconds(1),
                           .max_retry_delay_ = milliseconds(20)});
  }
  bool OnEra(Era era) {
    const EraVerdict verdict = ObserveEra(tracker_, era, false, Now());
    store_->SetEra(tracker_.era_);
    if (verdict == EraVerdict::kChanged) feed_.BeginEra();
    return verdict != EraVerdict::kChanged && verdict != EraVerdict::kIgnored;
  }
  bool Has(const std::string& name) const { return cache_.records_.contains(name); }

  IRecordStore* store_ = nullptr;
  EraTracker tracker_;
  RecordCache cache_;
  RecordFeed feed_;
};

// A host that serves evacuations to others.
struct Reader : http::IServerHandler {
  void OnRequest(const http::ServerExchangePtr& exchange, http::Request request) override {
    targets_.push_back(request.head_.target_);
    server_.OnRequest(exchange, request);
  }
  void OnCallerDisconnected(const http::ServerExchangePtr& exchange) override {
    server_.OnCallerDisconnected(exchange);
  }
  void OnResponseFlushed(const http::ServerExchangePtr& /*exchange*/) override {}
  void OnRejected(int /*status*/, std::string_view /*reason*/) override {}
  void Replace(const std::vector<StoredRecord>& records, Revision revision, Era era) {
    ReplaceRecords(caches_[RecordKind::kEvacuation], records, revision, era);
    server_.OnRecordsChanged(RecordKind::kEvacuation);
  }

  struct TextFormat : IRecordFormat {
    StoredRecord ReadRecord(RecordKind /*kind*/, const std::string& text) const override {
      return Zone(text);
    }
  };
  std::vector<std::string> targets_;
  RecordCaches caches_;
  RecordServer server_{caches_, [] { return Duration(milliseconds(1)); },
                       [] { return std::optional<Duration>(); }};
  http::ServerConnections connections_{*this};
  std::unique_ptr<http::Listener> listener_ =
      http::Listener::Open("127.0.0.1:0", [this](int descriptor) {
        connections_.Accept(descriptor);
      }).value();
  TextFormat format_;
  PeerRecordStore store_{*ParseAddress(listener_->LocalAddress()), format_};
};

}  // namespace

class StoreEraTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreEraTest);
  CPPUNIT_TEST(DoubtfulErasAreBelievedLate);
  CPPUNIT_TEST(EvacuationIsHeldOver);
  CPPUNIT_TEST(WithdrawnEvacuationDoesNotReturn);
  CPPUNIT_TEST(DrainingTargetStaysOut);
  CPPUNIT_TEST(ConfigurationNeverGoesBack);
  CPPUNIT_TEST(RegistrationsOfManyHostsAreSpread);
  CPPUNIT_TEST(ReissuedRevisionIsListedAnew);
  CPPUNIT_TEST(FollowerOfAnotherEraListsAnew);
  CPPUNIT_TEST(ReaderOfAnEarlierEraIsNotBelieved);
  CPPUNIT_TEST(HostOfAnEarlierVersionIsServed);
  CPPUNIT_TEST(GatewayHoldsAnEvacuationAndTakesTheStoresWord);
  CPPUNIT_TEST(GatewayStartedDuringTheRestoreFollows);
  CPPUNIT_TEST(LostHostRecordsAreWrittenOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a host that follows a wrong number at once, or never follows again after one.
  void DoubtfulErasAreBelievedLate() {
    EraTracker tracker;
    CPPUNIT_ASSERT(ObserveEra(tracker, 0, true, kStart) == EraVerdict::kUnstated);
    CPPUNIT_ASSERT(ObserveEra(tracker, 7, true, kStart) == EraVerdict::kFirst);
    CPPUNIT_ASSERT(ObserveEra(tracker, 9, false, kStart) == EraVerdict::kChanged);
    for (const Era doubted : std::array<Era, 2>{3, 900'000}) {
      for (int second = 0; second < 3; ++second) {
        const Time now = kStart + seconds(second);
        CPPUNIT_ASSERT(ObserveEra(tracker, doubted, false, now) == EraVerdict::kIgnored);
        CPPUNIT_ASSERT(ObserveEra(tracker, doubted, true, now) == EraVerdict::kIgnored);
      }
      CPPUNIT_ASSERT(ObserveEra(tracker, doubted, true, kStart + seconds(3)) ==
                     EraVerdict::kChanged);
    }
  }

  // Guards against requests to a zone whose evacuation the copy lacks, and against an evacuation
  // that persists although the new era has none.
  void EvacuationIsHeldOver() {
    EraHold hold = MakeHold(RecordKind::kEvacuation, {{"a", Zone("a")}}, {}, kStart);
    HoldCounts counts;
    CPPUNIT_ASSERT(NamesOf(HoldOver(hold, {Zone("b")}, kStart, counts)) ==
                   (std::set<std::string>{"a", "b"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, counts.kept_);
    CPPUNIT_ASSERT(!HasEnded(hold, kStart + seconds(4)));
    CPPUNIT_ASSERT(HasEnded(hold, kStart + kAfterHold));
    // The operator withdraws it in the new era.
    HoldOver(hold, StoreEvent{Zone("a"), true});
    CPPUNIT_ASSERT(HoldOver(hold, std::vector<StoredRecord>{}, kStart, counts).empty());
  }

  // Guards against an evacuation that the copy brings back after the operator withdrew it.
  void WithdrawnEvacuationDoesNotReturn() {
    Departures departures;
    AddDeparture(departures, RecordKind::kEvacuation, Zone("a"), kStart - seconds(8));
    EraHold hold = MakeHold(RecordKind::kEvacuation, {}, departures, kStart);
    HoldCounts counts;
    CPPUNIT_ASSERT(HoldOver(hold, {Zone("a")}, kStart, counts).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, counts.hidden_);
    // It is ordered again in the new era.
    CPPUNIT_ASSERT(!HoldOver(hold, StoreEvent{Zone("a"), false}).deleted_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, HoldOver(hold, {Zone("a")}, kStart, counts).size());
  }

  // Guards against requests to a target that drains, or has left, and that the copy shows before
  // that.
  void DrainingTargetStaysOut() {
    Departures departures;
    AddDeparture(departures, RecordKind::kTarget, Target("left", true), kStart - seconds(8));
    EraHold hold =
        MakeHold(RecordKind::kTarget, {{"drains", Target("drains", true)}}, departures, kStart);
    HoldCounts counts;
    const auto in_force =
        HoldOver(hold, {Target("drains", false), Target("left", false)}, kStart, counts);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, in_force.size());
    CPPUNIT_ASSERT(IsDraining(in_force[0]));
    CPPUNIT_ASSERT(IsDraining(HoldOver(hold, StoreEvent{Target("drains", false), false}).record_));
    CPPUNIT_ASSERT(HoldOver(hold, StoreEvent{Target("left", false), false}).deleted_);
    // A process that started later is another one.
    CPPUNIT_ASSERT(!HoldOver(hold, StoreEvent{Target("left", false, 2), false}).deleted_);
    CPPUNIT_ASSERT(
        !IsDraining(HoldOver(hold, StoreEvent{Target("drains", false, 2), false}).record_));
  }

  // Guards against a return to an older version, and against a reissued version with other content
  // that is never applied.
  void ConfigurationNeverGoesBack() {
    CPPUNIT_ASSERT(!ReplacesConfiguration(5, 1, 4, 2));
    CPPUNIT_ASSERT(ReplacesConfiguration(5, 1, 5, 2));
    CPPUNIT_ASSERT(!ReplacesConfiguration(5, 2, 5, 2));
    CPPUNIT_ASSERT(ReplacesConfiguration(5, 2, 6, 2));
  }

  // Guards against calls of all hosts at the same moment: 300 hosts in less than a tenth of the
  // store's 1,200 writes a second.
  void RegistrationsOfManyHostsAreSpread() {
    std::array<int, 4> calls_by_second{};
    for (int host = 0; host < 300; ++host) {
      const Duration delay = RegistrationDelay("host-" + std::to_string(host), 2);
      ++calls_by_second.at(static_cast<std::size_t>(delay / seconds(1)));
    }
    CPPUNIT_ASSERT(*std::max_element(calls_by_second.begin(), calls_by_second.end()) <= 120);
  }

  // Guards against a watch that continues at a revision which was reissued for other content.
  void ReissuedRevisionIsListedAnew() {
    Loop loop;
    MockRecordStore store;
    store.era_ = 1;
    store.MakeCopy();
    EraObserver observer(store);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return store.HasWaitingWatches(1); }));
    store.Put(RecordKind::kEvacuation, Zone("lost"));
    CPPUNIT_ASSERT(loop.RunUntil([&] { return observer.Has("lost"); }));
    CPPUNIT_ASSERT(loop.RunUntil([&] { return store.HasWaitingWatches(1); }));
    store.RestoreCopy();
    store.Put(RecordKind::kEvacuation, Zone("reissued"));
    CPPUNIT_ASSERT_EQUAL(observer.feed_.CurrentRevision(), store.revision_);
    store.ExpireWatches();
    CPPUNIT_ASSERT(loop.RunUntil([&] { return observer.Has("reissued"); }));
    CPPUNIT_ASSERT(!observer.Has("lost"));
    CPPUNIT_ASSERT(store.list_calls_.back().consistency_ == Consistency::kLatest);
  }

  // Guards against a follower that waits at a revision of the era that its reader has left.
  void FollowerOfAnotherEraListsAnew() {
    Loop loop;
    Reader reader;
    reader.Replace({Zone("old")}, 50, 1);
    EraObserver observer(reader.store_);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return reader.targets_.size() >= 2; }));
    reader.Replace({Zone("new")}, 40, 2);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return observer.Has("new"); }));
    CPPUNIT_ASSERT(!observer.Has("old"));
    CPPUNIT_ASSERT_EQUAL(Revision{40}, observer.feed_.CurrentRevision());
  }

  // Guards against a change of the source that brings an earlier era back.
  void ReaderOfAnEarlierEraIsNotBelieved() {
    Loop loop;
    Reader behind;
    Reader ahead;
    behind.Replace({Zone("old")}, 50, 1);
    ahead.Replace({Zone("new")}, 40, 2);
    EraObserver observer(ahead.store_);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return observer.Has("new"); }));
    observer.Read(behind.store_);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return behind.targets_.size() >= 3; }));
    CPPUNIT_ASSERT(observer.Has("new") && !observer.Has("old"));
    behind.Replace({Zone("newer")}, 41, 2);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return observer.Has("newer"); }));
  }

  // Guards against hosts of an earlier version, which know no era, that are cut off.
  void HostOfAnEarlierVersionIsServed() {
    Loop loop;
    Reader reader;
    reader.Replace({Zone("a")}, 50, 3);
    std::optional<StoreStatus> status;
    reader.store_.Watch(RecordKind::kEvacuation, 50, milliseconds(10), seconds(5),
                        [&](const StoreEvents& events) { status = events.status_; });
    CPPUNIT_ASSERT(loop.RunUntil([&] { return status.has_value(); }));
    CPPUNIT_ASSERT(*status == StoreStatus::kOk);
    Reader earlier;
    earlier.Replace({Zone("b")}, 60, 0);
    EraObserver observer(reader.store_);
    CPPUNIT_ASSERT(loop.RunUntil([&] { return observer.Has("a"); }));
    observer.Read(earlier.store_);
    observer.feed_.RequestList();
    observer.feed_.Restart();
    CPPUNIT_ASSERT(loop.RunUntil([&] { return observer.Has("b"); }));
  }

  // Guards against requests to an evacuated zone after a restore from a copy without the
  // evacuation, and against an evacuation that is never given up.
  void GatewayHoldsAnEvacuationAndTakesTheStoresWord() {
    GatewayHost host;
    tests::FakeTarget target("t", "z");
    host.store_.era_ = 1;
    host.AddTarget("t", target.MakeRecord("s").address_);
    host.store_.MakeCopy();
    CPPUNIT_ASSERT(host.Start());
    CPPUNIT_ASSERT(host.loop_.RunUntil([&] { return host.Call("/safe/x").status_ == 200; }));
    host.store_.Put(RecordKind::kEvacuation, Zone("z"));
    CPPUNIT_ASSERT(host.loop_.RunUntil([&] { return host.Call("/safe/x").status_ == 503; }));
    host.store_.RestoreCopy();
    host.store_.ExpireWatches();
    const Time restored_at = Now();
    while (Now() - restored_at < seconds(3)) {
      CPPUNIT_ASSERT_EQUAL(503, host.Call("/safe/x").status_);
      host.loop_.RunFor(milliseconds(100));
    }
    CPPUNIT_ASSERT(host.loop_.RunUntil([&] { return host.Call("/safe/x").status_ == 200; }));
    CPPUNIT_ASSERT(host.HasMetric("store_era_events_total", "held_over"));
    CPPUNIT_ASSERT(host.HasMetric("store_era_events_total", "dropped"));
  }

  // Guards against a host that does not follow the store after a start during a restore.
  void GatewayStartedDuringTheRestoreFollows() {
    GatewayZone zone;
    zone.store_.era_ = 1;
    zone.Start({100, 99, 98});
    zone.store_.MakeCopy();
    zone.PutVersion();
    zone.store_.RestoreCopy();
    zone.Restart(*zone.hosts_[0]);
    for (const auto& host : zone.hosts_) {
      zone.WaitForChange(*host);
    }
  }

  // Guards against registrations that are lost with the copy, and against hosts that write them
  // more than once or without need.
  void LostHostRecordsAreWrittenOnce() {
    GatewayZone zone;
    zone.store_.era_ = 1;
    zone.store_.MakeCopy();
    zone.Start({100, 99, 98, 97, 96, 95});
    std::vector<int> writes;
    for (const auto& host : zone.hosts_) writes.push_back(host->view_.writes_);
    zone.store_.RestoreCopy();
    zone.loop_.RunFor(milliseconds(6000));
    for (std::size_t i = 0; i < zone.hosts_.size(); ++i) {
      CPPUNIT_ASSERT(zone.store_.HasHost(zone.hosts_[i]->settings_.name_));
      CPPUNIT_ASSERT_EQUAL(writes[i] + 1, zone.hosts_[i]->view_.writes_);
      writes[i] = zone.hosts_[i]->view_.writes_;
    }
    zone.store_.MakeCopy();
    zone.store_.RestoreCopy();
    zone.loop_.RunFor(milliseconds(6000));
    for (std::size_t i = 0; i < zone.hosts_.size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(writes[i], zone.hosts_[i]->view_.writes_);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreEraTest);

}  // namespace monsoonshelf::gateway
