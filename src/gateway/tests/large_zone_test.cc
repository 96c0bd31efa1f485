#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "eventloop/timer.h"
#include "gateway/reader_choice.h"
#include "gateway/tests/mocks/gateway_zone.h"

namespace monsoonshelf::gateway {

namespace {

using std::chrono::milliseconds;
using tests::GatewayZone;
using tests::SharedStore;
using Access = SharedStore::Access;

// A change must be in effect this long after its acknowledgement.
constexpr Duration kMaxChangeDelay = std::chrono::seconds(2);
// Thousandths of a core.
constexpr int kLargeCapacity = 500;
constexpr int kSmallCapacity = 25;
constexpr std::size_t kZoneHosts = 50;
// Hosts that may read the store at the same time, whatever the size of the zone.
constexpr std::size_t kMaxDirectReaders = 12;
// Linearizable lists and watches of a zone in one second: of each of these hosts two for each of
// the three kinds.
constexpr std::size_t kMaxReadsPerSecond = kMaxDirectReaders * 6;
// Just before the reader confirms the content again.
constexpr Duration kAgedContent = kConfirmationWait - milliseconds(100);
// For this time after a disturbance has ended, no bound holds for the hosts that it affected.
constexpr Duration kSettlingTime = std::chrono::seconds(3);

}  // namespace

// Tests a zone of two large and many small hosts: the number of hosts that read the store must not
// grow with the zone, and each host must find a source while any host of the zone has one.
class LargeZoneTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LargeZoneTest);
  CPPUNIT_TEST(LostReaderMakesFewHostsReadTheStore);
  CPPUNIT_TEST(KilledReaderMakesFewHostsReadTheStore);
  CPPUNIT_TEST(ReturnOfTheStoreMakesFewHostsReadIt);
  CPPUNIT_TEST(StartOfAllHostsMakesFewReadTheStore);
  CPPUNIT_TEST(ShortOutageMakesFewHostsReadTheStore);
  CPPUNIT_TEST(CompactionMakesFewHostsReadTheStore);
  CPPUNIT_TEST(RestoreFromACopyMakesFewHostsReadTheStore);
  CPPUNIT_TEST(ResetWatchesKeepTheReader);
  CPPUNIT_TEST(HostOfLowRankReturnsInTimeDespiteLostCalls);
  CPPUNIT_TEST(RejectedHostsFindAHostThatTheStoreServes);
  CPPUNIT_TEST(HostsWithoutResponsesFindAHostThatTheStoreServes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    zone_ = std::make_unique<GatewayZone>();
    std::vector<int> capacities(kZoneHosts, kSmallCapacity);
    capacities[0] = capacities[1] = kLargeCapacity;
    zone_->Start(capacities);
  }
  void tearDown() override { zone_.reset(); }

  // Guards against followers that all read the store when their reader gets no responses.
  void LostReaderMakesFewHostsReadTheStore() {
    const std::size_t reader = ReaderIndex();
    CountReads();
    zone_->hosts_[reader]->view_.SetAccess(Access::kSilent);
    ExpectChangeInTime({reader});
    ExpectFewReaders();
  }

  // Guards against followers that all read the store when their connections to the reader are
  // reset.
  void KilledReaderMakesFewHostsReadTheStore() {
    const std::size_t reader = ReaderIndex();
    CountReads();
    GatewayZone::Kill(*zone_->hosts_[reader]);
    ExpectChangeInTime({reader});
    ExpectFewReaders();
  }

  // Guards against hosts that all read the store as soon as it responds again.
  void ReturnOfTheStoreMakesFewHostsReadIt() {
    for (const auto& host : zone_->hosts_) host->view_.SetAccess(Access::kSilent);
    zone_->loop_.RunFor(milliseconds(4000));
    CountReads();
    for (const auto& host : zone_->hosts_) host->view_.SetAccess(Access::kServed);
    ExpectChangeInTime({});
    ExpectFewReaders();
  }

  // Guards against hosts that all read the store after a common start, before they know a reader.
  void StartOfAllHostsMakesFewReadTheStore() {
    reads_.assign(zone_->hosts_.size(), 0);
    counted_since_ = Time{};
    ExpectFewReaders();
  }

  // Guards against followers whose first call to the store is pending when an outage ends: it
  // succeeds on all of them at once.
  void ShortOutageMakesFewHostsReadTheStore() {
    RunUntilContentHasAged();
    CountReads();
    for (const auto& host : zone_->hosts_) host->view_.SetAccess(Access::kSilent);
    const Duration until_old = kMaxContentAge - kAgedContent;
    zone_->loop_.RunFor(std::chrono::duration_cast<milliseconds>(until_old) + milliseconds(50));
    for (const auto& host : zone_->hosts_) host->view_.SetAccess(Access::kServed);
    ExpectChangeInTime({});
    ExpectFewReaders();
  }

  // Guards against followers that all read the store because their reader hears nothing from its
  // watches while the store compacts its history. Stale reads succeed all the time.
  void CompactionMakesFewHostsReadTheStore() {
    constexpr milliseconds kSilence{1000};
    RunUntilContentHasAged();
    CountReads();
    zone_->store_.BeginCompaction();
    eventloop::Timer end(g_main_context_get_thread_default(),
                         [this] { zone_->store_.EndCompaction(); });
    end.Set(Now() + kSilence);
    ExpectChangeInTime({});
    zone_->loop_.RunFor(kSilence);
    ExpectChangeInTime({});
    ExpectFewReaders();
  }

  // Guards against hosts that all read the store, or write their registrations although the store
  // has them, after it was restored from a copy.
  void RestoreFromACopyMakesFewHostsReadTheStore() {
    // All hosts have learned the first era and checked their registrations.
    zone_->store_.era_ = 1;
    zone_->loop_.RunFor(milliseconds(6000));
    zone_->store_.MakeCopy();
    zone_->WaitForChange(*zone_->hosts_.back());
    CountReads();
    std::vector<int> other_calls;
    int writes = 0;
    for (const auto& host : zone_->hosts_) {
      other_calls.push_back(host->view_.calls_ - host->view_.reads_);
      writes -= host->view_.writes_;
    }
    zone_->store_.RestoreCopy();
    ExpectChangeInTime({});
    zone_->loop_.RunFor(milliseconds(5000));
    ExpectFewReaders();
    for (std::size_t i = 0; i < zone_->hosts_.size(); ++i) {
      const SharedStore::View& view = zone_->hosts_[i]->view_;
      writes += view.writes_;
      const int stale_lists = view.calls_ - view.reads_ - other_calls[i];
      CPPUNIT_ASSERT_MESSAGE(std::to_string(stale_lists) + " stale lists of one host",
                             stale_lists >= 1 && stale_lists <= 4);
    }
    CPPUNIT_ASSERT_EQUAL(0, writes);
  }

  // Guards against a reader that gives up its role, and against a zone that looks for another one,
  // after a single reset of its connections to the store.
  void ResetWatchesKeepTheReader() {
    constexpr std::size_t kMaxReaders = 2;
    CountReads();
    for (const auto& host : zone_->hosts_) host->view_.ResetPendingCalls();
    ExpectChangeInTime({});
    zone_->loop_.RunFor(milliseconds(1500));
    ExpectFewReaders(kMaxReaders);
  }

  // Guards against waits that add up on the way back: a call that was pending at the end of a
  // rejection, a lost one after it, the interval between two calls, and the wait by rank.
  void HostOfLowRankReturnsInTimeDespiteLostCalls() {
    constexpr int kLostCalls = 1;
    for (const auto& host : zone_->hosts_) host->view_.SetAccess(Access::kSilent);
    zone_->loop_.RunFor(milliseconds(4000));
    GatewayZone::Host& last = **std::min_element(
        zone_->hosts_.begin(), zone_->hosts_.end(), [](const auto& left, const auto& right) {
          return ReaderRank(left->settings_.name_, left->settings_.capacity_) <
                 ReaderRank(right->settings_.name_, right->settings_.capacity_);
        });
    const int calls = last.view_.calls_;
    CPPUNIT_ASSERT(zone_->loop_.RunUntil([&] { return last.view_.calls_ > calls; }));
    zone_->PutVersion();
    last.view_.LosePendingCalls();
    last.view_.calls_to_lose_ = kLostCalls;
    last.view_.SetAccess(Access::kServed);
    const Time ended_at = Now();
    CPPUNIT_ASSERT(zone_->loop_.RunUntil([&] { return zone_->HasVersion(last); }));
    const auto delay = std::chrono::duration_cast<milliseconds>(Now() - ended_at);
    CPPUNIT_ASSERT_MESSAGE("in effect " + std::to_string(delay.count()) + " ms after the end",
                           delay <= kSettlingTime);
  }

  // Guards against hosts without a source because the peers that they ping have none, while other
  // hosts of their zone read the store.
  void RejectedHostsFindAHostThatTheStoreServes() {
    ExpectChangeInTimeIfMostHostsGet(Access::kReset);
  }
  void HostsWithoutResponsesFindAHostThatTheStoreServes() {
    ExpectChangeInTimeIfMostHostsGet(Access::kSilent);
  }

 private:
  // Returns the host that has read the store most often.
  std::size_t ReaderIndex() const {
    const auto reader = std::max_element(zone_->hosts_.begin(), zone_->hosts_.end(),
                                         [](const auto& left, const auto& right) {
                                           return left->view_.reads_ < right->view_.reads_;
                                         });
    return static_cast<std::size_t>(reader - zone_->hosts_.begin());
  }

  // Runs until most of the time between two confirmations of the reader has passed.
  void RunUntilContentHasAged() {
    const GatewayZone::Host& reader = *zone_->hosts_[ReaderIndex()];
    const int reads = reader.view_.reads_;
    CPPUNIT_ASSERT(zone_->loop_.RunUntil([&] { return reader.view_.reads_ > reads; }));
    zone_->loop_.RunFor(std::chrono::duration_cast<milliseconds>(kAgedContent));
  }

  void ExpectChangeInTimeIfMostHostsGet(Access access) {
    constexpr std::size_t kRejectedHosts = 40;
    for (std::size_t i = 0; i < kRejectedHosts; ++i) zone_->hosts_[i]->view_.SetAccess(access);
    ExpectChangeInTime({});
  }

  // Expects that a change, made now, comes into effect in time on all hosts but the excluded ones.
  void ExpectChangeInTime(const std::vector<std::size_t>& excluded) {
    std::vector<std::size_t> waiting;
    for (std::size_t i = 0; i < zone_->hosts_.size(); ++i) {
      if (std::find(excluded.begin(), excluded.end(), i) == excluded.end()) waiting.push_back(i);
    }
    zone_->PutVersion();
    const std::size_t all = waiting.size();
    std::size_t late = 0;
    CPPUNIT_ASSERT(zone_->loop_.RunUntil([&] {
      const std::size_t applied = std::erase_if(
          waiting, [&](std::size_t i) { return zone_->HasVersion(*zone_->hosts_[i]); });
      if (Now() - zone_->changed_at_ > kMaxChangeDelay) late += applied;
      return waiting.empty();
    }));
    const auto delay = std::chrono::duration_cast<milliseconds>(Now() - zone_->changed_at_);
    CPPUNIT_ASSERT_MESSAGE("late on " + std::to_string(late) + " of " + std::to_string(all) +
                               " hosts, on the last one after " + std::to_string(delay.count()) +
                               " ms",
                           delay <= kMaxChangeDelay);
  }

  void CountReads() {
    counted_since_ = Now();
    reads_.clear();
    for (const auto& host : zone_->hosts_) reads_.push_back(host->view_.reads_);
  }

  // Expects that few hosts have read the store since CountReads, and not too often in any second.
  void ExpectFewReaders(std::size_t max_readers = kMaxDirectReaders) {
    std::size_t readers = 0;
    for (std::size_t i = 0; i < zone_->hosts_.size(); ++i) {
      if (zone_->hosts_[i]->view_.reads_ > reads_[i]) ++readers;
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(readers) + " hosts have read the store",
                           readers <= max_readers);
    const std::size_t most = MostReadsPerSecond();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(most) + " reads of the zone in one second",
                           most <= kMaxReadsPerSecond);
  }

  std::size_t MostReadsPerSecond() const {
    std::size_t most = 0;
    const auto& reads = zone_->store_.reads_;
    for (auto first = reads.begin(), last = reads.begin(); last != reads.end(); ++last) {
      if (last->at_ < counted_since_) {
        first = last + 1;
        continue;
      }
      while (last->at_ - first->at_ > std::chrono::seconds(1)) ++first;
      most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return most;
  }

  std::unique_ptr<GatewayZone> zone_;
  std::vector<int> reads_;
  Time counted_since_{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LargeZoneTest);

}  // namespace monsoonshelf::gateway
