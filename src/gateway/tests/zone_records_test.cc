#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "gateway/internal/record_exchange.h"
#include "gateway/tests/mocks/gateway_zone.h"

namespace monsoonshelf::gateway {

namespace {

using std::chrono::milliseconds;
using tests::GatewayZone;
using tests::SharedStore;
using Access = SharedStore::Access;

// A change must be in effect this long after its acknowledgement.
constexpr Duration kMaxChangeDelay = std::chrono::seconds(2);
// For this time after a disturbance has ended, no bound holds for the hosts that it affected.
constexpr Duration kSettlingTime = std::chrono::seconds(3);

struct TextFormat : IRecordFormat {
  StoredRecord ReadRecord(RecordKind /*kind*/, const std::string& text) const override {
    return {"main", 0, {}, {}, text};
  }
};

}  // namespace

// Tests how the entry hosts of one zone get changes of the records, on real sockets, with a store
// that serves each of them differently.
class ZoneRecordsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ZoneRecordsTest);
  CPPUNIT_TEST(ChangeIsInEffectInTimeIfTheStoreRejectsAllHostsButOne);
  CPPUNIT_TEST(ChangeIsInEffectInTimeIfTheLastOwnCallFailedLongAgo);
  CPPUNIT_TEST(ChangeIsInEffectInTimeIfTheReaderGetsNoResponses);
  CPPUNIT_TEST(ChangeIsInEffectInTimeIfTheFirstCallToTheStoreIsLost);
  CPPUNIT_TEST(ChangeIsInEffectInTimeAfterASilentOutage);
  CPPUNIT_TEST(RestartedReaderIsFollowedBySoleRejectedHost);
  CPPUNIT_TEST(EvacuationIsInEffectInTimeIfItsWatchOutlivesACompaction);
  CPPUNIT_TEST(ZoneThatTheStoreRejectsFollowsAnotherZone);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { zone_ = std::make_unique<GatewayZone>(); }
  void tearDown() override { zone_.reset(); }

  // Guards against a chain of candidates that the store rejects one after the other: each of them
  // got its own time to reach the store, while the last host could have read it all the time.
  void ChangeIsInEffectInTimeIfTheStoreRejectsAllHostsButOne() {
    StartHosts(10);
    for (std::size_t i = 0; i < 9; ++i) zone_->hosts_[i]->view_.SetAccess(Access::kReset);
    ExpectChangeInTime(*zone_->hosts_[9]);
  }

  // Guards against a host that waits for its next probe because its last call to the store failed,
  // although the store serves it again.
  void ChangeIsInEffectInTimeIfTheLastOwnCallFailedLongAgo() {
    StartHosts(2);
    for (const auto& host : zone_->hosts_) host->view_.SetAccess(Access::kRefused);
    zone_->loop_.RunFor(milliseconds(4000));
    zone_->hosts_[0]->view_.SetAccess(Access::kServed);
    zone_->WaitForChange(*zone_->hosts_[1]);
    // The host follows its reader again and probes the store at long intervals.
    zone_->loop_.RunFor(milliseconds(1500));
    zone_->hosts_[1]->view_.SetAccess(Access::kServed);
    zone_->hosts_[0]->view_.SetAccess(Access::kSilent);
    ExpectChangeInTime(*zone_->hosts_[1]);
  }

  void ChangeIsInEffectInTimeIfTheReaderGetsNoResponses() {
    StartHosts(3);
    zone_->hosts_[0]->view_.SetAccess(Access::kSilent);
    ExpectChangeInTime(*zone_->hosts_[1]);
    ExpectChangeInTime(*zone_->hosts_[2]);
  }

  // Guards against timeouts that add up: a reader without responses, and then a connection to the
  // store that is not established.
  void ChangeIsInEffectInTimeIfTheFirstCallToTheStoreIsLost() {
    StartHosts(2);
    zone_->hosts_[0]->view_.SetAccess(Access::kSilent);
    zone_->hosts_[1]->view_.calls_to_lose_ = 1;
    ExpectChangeInTime(*zone_->hosts_[1]);
  }

  // Guards against calls of the last moments of an outage that keep waiting after its end.
  void ChangeIsInEffectInTimeAfterASilentOutage() {
    StartHosts(3);
    for (const auto& host : zone_->hosts_) host->view_.SetAccess(Access::kSilent);
    zone_->loop_.RunFor(milliseconds(3000));
    constexpr int kLostCalls = 3;
    for (const auto& host : zone_->hosts_) host->view_.calls_to_lose_ = kLostCalls;
    zone_->loop_.RunFor(milliseconds(300));
    for (const auto& host : zone_->hosts_) host->view_.SetAccess(Access::kServed);
    zone_->loop_.RunFor(milliseconds(500));
    for (const auto& host : zone_->hosts_) ExpectChangeInTime(*host);
  }

  // Guards against a host that avoids the only reader of its zone for seconds after one failed
  // call, while the store rejects it.
  void RestartedReaderIsFollowedBySoleRejectedHost() {
    StartHosts(2);
    zone_->hosts_[1]->view_.SetAccess(Access::kReset);
    zone_->loop_.RunFor(milliseconds(500));
    zone_->Restart(*zone_->hosts_[0]);
    const Time restarted_at = Now();
    zone_->WaitForChange(*zone_->hosts_[1]);
    const auto delay = std::chrono::duration_cast<milliseconds>(Now() - restarted_at);
    CPPUNIT_ASSERT_MESSAGE("in effect " + std::to_string(delay.count()) + " ms after the restart",
                           delay <= kSettlingTime);
  }

  // Guards against an evacuation that is missed because only the watch of the configuration is cut
  // when the store compacts its history.
  void EvacuationIsInEffectInTimeIfItsWatchOutlivesACompaction() {
    StartHosts(2);
    zone_->store_.BeginCompaction();
    zone_->loop_.RunFor(milliseconds(100));
    zone_->store_.Put(RecordKind::kEvacuation, {"main", 0, {}, {}, "1"});
    const Time evacuated_at = Now();
    zone_->loop_.RunFor(milliseconds(900));
    zone_->store_.EndCompaction(RecordKind::kConfiguration);
    for (const auto& host : zone_->hosts_) {
      const TextFormat format;
      PeerRecordStore records(*ParseAddress(host->settings_.control_address_), format);
      std::size_t count = 0;
      CPPUNIT_ASSERT(zone_->loop_.RunUntil([&] {
        bool is_done = false;
        records.List(RecordKind::kEvacuation, {}, Consistency::kLatest, milliseconds(1000),
                     [&](const StorePage& page) {
                       count = page.records_.size();
                       is_done = true;
                     });
        CPPUNIT_ASSERT(zone_->loop_.RunUntil([&] { return is_done; }));
        return count == 1;
      }));
      CPPUNIT_ASSERT(Now() - evacuated_at <= kSettlingTime);
    }
  }

  // Guards against a zone whose configuration grows old for as long as the store rejects its hosts,
  // while hosts of another zone have the content. Few hosts may read between the zones.
  void ZoneThatTheStoreRejectsFollowsAnotherZone() {
    zone_->Start({30, 29, 28, 27, 26}, {"y", "y", "z", "z", "z"});
    zone_->loop_.RunFor(milliseconds(4500));  // The second list of hosts has those of all zones.
    const std::vector<std::size_t> rejected = {2, 3, 4};
    for (const std::size_t i : rejected) zone_->hosts_[i]->view_.SetAccess(Access::kRefused);
    for (int change = 0; change < 3; ++change) {
      zone_->PutVersion();
      const auto changed_at = Now();
      for (const std::size_t i : rejected) {
        CPPUNIT_ASSERT(zone_->loop_.RunUntil([&] { return zone_->HasVersion(*zone_->hosts_[i]); }));
      }
      const auto delay = std::chrono::duration_cast<milliseconds>(Now() - changed_at);
      CPPUNIT_ASSERT_MESSAGE("in effect after " + std::to_string(delay.count()) + " ms",
                             delay <= kSettlingTime);
      zone_->loop_.RunFor(milliseconds(1000));
    }
    for (const std::size_t i : rejected) zone_->hosts_[i]->view_.SetAccess(Access::kServed);
    zone_->loop_.RunFor(milliseconds(2500));
    const int reads = zone_->hosts_[2]->view_.reads_;
    zone_->loop_.RunFor(milliseconds(1500));
    CPPUNIT_ASSERT_MESSAGE("the zone does not read the store again",
                           zone_->hosts_[2]->view_.reads_ > reads);
  }

 private:
  // Starts hosts in the order of their rank as readers.
  void StartHosts(int count) {
    std::vector<int> capacities;
    capacities.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) capacities.push_back(100 - i);
    zone_->Start(capacities);
  }

  void ExpectChangeInTime(GatewayZone::Host& host) {
    zone_->WaitForChange(host);
    const auto delay = std::chrono::duration_cast<milliseconds>(Now() - zone_->changed_at_);
    CPPUNIT_ASSERT_MESSAGE("in effect after " + std::to_string(delay.count()) + " ms",
                           delay <= kMaxChangeDelay);
  }

  std::unique_ptr<GatewayZone> zone_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneRecordsTest);

}  // namespace monsoonshelf::gateway
