#include "gateway/quota.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "gateway/quota_messages.h"
#include "gateway/tests/quota_model.h"

namespace monsoonshelf::gateway {

namespace {

using std::chrono::milliseconds;
using Load = QuotaModel::Load;
using Result = QuotaModel::Result;

constexpr std::uint64_t kSeed = 5;

// A team that uses three quarters of its limit, and from 5 s to 11.5 s 7.5 times as much.
Load HotLoad(double rate, int hosts = 136) {
  Load load;
  load.hosts_ = hosts;
  load.limit_ = {rate, rate};
  load.rate_ = [rate](double now) {
    const double usual = 0.75 * rate;
    return now > 5 && now < 11.5 ? 7.5 * usual : usual;
  };
  return load;
}

double Bound(const QuotaLimit& limit) {
  return (limit.rate_per_second_ * 5 + limit.burst_) * 1.1 + 20;
}

// Checks that no window has more admissions than the bound, and that at least a part of what one
// token bucket would admit is admitted.
void ExpectWithinBound(const Load& load, double min_share) {
  const Result result = QuotaModel(load, kSeed).Run();
  const std::string counts = "window " + std::to_string(QuotaModel::MaxInWindow(result, 5)) +
                             ", admitted " + std::to_string(result.admitted_) + " of " +
                             std::to_string(result.ideal_);
  CPPUNIT_ASSERT_MESSAGE(counts, QuotaModel::MaxInWindow(result, 5) <= Bound(load.limit_));
  CPPUNIT_ASSERT_MESSAGE(counts, result.admitted_ >= min_share * result.ideal_);
}

}  // namespace

class QuotaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaTest);
  CPPUNIT_TEST(TeamBelowItsLimitIsAdmittedWithoutAWait);
  CPPUNIT_TEST(SmallTeamIsNotRefusedWithinItsLimit);
  CPPUNIT_TEST(HotTeamStaysWithinItsLimit);
  CPPUNIT_TEST(LostAndRepeatedMessages);
  CPPUNIT_TEST(OwnerThatDoesNotAnswer);
  CPPUNIT_TEST(OwnerThatHearsButIsNotHeard);
  CPPUNIT_TEST(RestartedOwner);
  CPPUNIT_TEST(RestartOfAllHosts);
  CPPUNIT_TEST(ZoneThatIsCutOff);
  CPPUNIT_TEST(ZoneOfTheOwnerThatIsCutOff);
  CPPUNIT_TEST(LoweredAndRaisedLimits);
  CPPUNIT_TEST(OwnersOfMuchCapacityComeFirst);
  CPPUNIT_TEST(OwnerOfLowerRankGivesOutLess);
  CPPUNIT_TEST(RepeatedRequestIsDebitedOnce);
  CPPUNIT_TEST(OnlyRecentRequestsAreRefunded);
  CPPUNIT_TEST(MessagesAreDecodedOrRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a round trip for each request of a team that is far below its limit.
  void TeamBelowItsLimitIsAdmittedWithoutAWait() {
    Load load = HotLoad(20);
    load.rate_ = [](double) { return 5; };
    const Result result = QuotaModel(load, kSeed).Run();
    CPPUNIT_ASSERT_EQUAL(result.asked_, result.admitted_);
    CPPUNIT_ASSERT(result.mean_wait_ms_ < 1);
  }

  // Guards against a team of one request a second that is refused although it is within its limit:
  // its requests come in groups, and a bucket of its burst would often be empty.
  void SmallTeamIsNotRefusedWithinItsLimit() {
    Load load = HotLoad(1);
    load.seconds_ = 60;
    load.rate_ = [](double now) { return static_cast<int>(now) % 3 == 0 ? 2.25 : 0; };
    const Result result = QuotaModel(load, kSeed).Run();
    CPPUNIT_ASSERT_EQUAL(result.asked_, result.admitted_);
  }

  void HotTeamStaysWithinItsLimit() {
    for (const double rate : {1.0, 267.0}) {
      for (const int hosts : {16, 136}) ExpectWithinBound(HotLoad(rate, hosts), 0.95);
    }
    ExpectWithinBound(HotLoad(267, 1000), 0.85);
  }

  void LostAndRepeatedMessages() {
    for (const double rate : {1.0, 267.0}) {
      Load load = HotLoad(rate);
      load.loss_ = 0.05;
      load.duplicates_ = 0.05;
      ExpectWithinBound(load, 0.95);
    }
  }

  void OwnerThatDoesNotAnswer() {
    for (const double rate : {1.0, 267.0}) {
      Load load = HotLoad(rate);
      // Killed, or frozen and back with its bucket.
      load.passes_ = [](int from, int to, double now) {
        return (from != 0 && to != 0) || now < 7 || now > 12;
      };
      ExpectWithinBound(load, 0.9);
    }
  }

  void OwnerThatHearsButIsNotHeard() {
    Load load = HotLoad(267);
    load.passes_ = [](int from, int /*to*/, double now) {
      return from != 0 || now < 7 || now > 12;
    };
    ExpectWithinBound(load, 0.9);
  }

  void RestartedOwner() {
    Load load = HotLoad(267);
    load.restarts_ = {{8, 0}};
    ExpectWithinBound(load, 0.95);
  }

  // After a power loss nobody knows what was spent.
  void RestartOfAllHosts() {
    Load load = HotLoad(267);
    for (int host = 0; host < load.hosts_; ++host) load.restarts_.push_back({8, host});
    ExpectWithinBound(load, 0.95);
  }

  // The hosts of one zone, without the owner, can't reach the others for ten seconds.
  void ZoneThatIsCutOff() {
    Load load = HotLoad(267);
    load.passes_ = [](int from, int to, double now) {
      return now < 6 || now > 16 || (from % 3 == 1) == (to % 3 == 1);
    };
    ExpectWithinBound(load, 0.9);
  }

  // The hosts of the zone of the owner are the ones that are cut off.
  void ZoneOfTheOwnerThatIsCutOff() {
    Load load = HotLoad(267);
    load.passes_ = [](int from, int to, double now) {
      return now < 6 || now > 16 || (from % 3 == 0) == (to % 3 == 0);
    };
    ExpectWithinBound(load, 0.9);
  }

  void LoweredAndRaisedLimits() {
    Load lowered = HotLoad(267);
    lowered.rate_ = [](double) { return 200; };
    lowered.changes_ = {{8, {20, 20}}};
    const Result result = QuotaModel(lowered, kSeed).Run();
    // The lower limit binds one window after it was applied.
    CPPUNIT_ASSERT(QuotaModel::MaxInWindow(result, 5, 9) <= Bound({20, 20}));
    CPPUNIT_ASSERT(result.admitted_ >= 0.9 * result.ideal_);
    Load raised = HotLoad(20);
    raised.rate_ = [](double) { return 200; };
    raised.changes_ = {{8, {267, 267}}};
    const Result more = QuotaModel(raised, kSeed).Run();
    CPPUNIT_ASSERT(more.admitted_ >= 0.9 * more.ideal_);
  }

  void OwnersOfMuchCapacityComeFirst() {
    std::vector<QuotaHost> hosts;
    hosts.reserve(20);
    for (int i = 0; i < 20; ++i) {
      hosts.push_back({"host" + std::to_string(i), i % 5 == 0 ? 500 : 100});
    }
    const auto ranks = RankQuotaOwners("t", hosts);
    CPPUNIT_ASSERT_EQUAL(hosts.size(), ranks.size());
    for (int i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT(std::stoi(ranks[static_cast<std::size_t>(i)].substr(4)) % 5 == 0);
    }
    std::reverse(hosts.begin(), hosts.end());
    CPPUNIT_ASSERT(ranks == RankQuotaOwners("t", hosts));
  }

  // Guards against two owners that together give out much more than the limit.
  void OwnerOfLowerRankGivesOutLess() {
    OwnerView view;
    view.fleet_hosts_ = 136;
    view.heard_hosts_ = 10;
    CPPUNIT_ASSERT_EQUAL(1.0, RefillShare(view));
    view.is_first_rank_ = false;
    CPPUNIT_ASSERT(RefillShare(view) <= 0.1);
    view.heard_hosts_ = 135;
    CPPUNIT_ASSERT_EQUAL(1.0, RefillShare(view));
    view.hears_higher_rank_ = true;
    CPPUNIT_ASSERT(RefillShare(view) <= 0.1);
  }

  void RepeatedRequestIsDebitedOnce() {
    OwnedQuota quota;
    const QuotaLimit limit = {10, 10};
    const Time start = Time(milliseconds(1000));
    ApplyQuotaRequest(quota, limit, {}, 1, {"a", 1}, {"t", 1, 0, 0}, start);
    const Time now = start + std::chrono::seconds(10);
    const QuotaRequest request = {"t", 2, 1, 2};
    CPPUNIT_ASSERT_EQUAL(2,
                         ApplyQuotaRequest(quota, limit, {}, 1, {"a", 1}, request, now).granted_);
    const double tokens = quota.tokens_;
    CPPUNIT_ASSERT_EQUAL(2,
                         ApplyQuotaRequest(quota, limit, {}, 1, {"a", 1}, request, now).granted_);
    CPPUNIT_ASSERT_EQUAL(tokens, quota.tokens_);
    // A restarted host begins with the first number again, and its earlier requests may be late.
    ApplyQuotaRequest(quota, limit, {}, 1, {"a", 2}, {"t", 1, 1, 0}, now);
    CPPUNIT_ASSERT_EQUAL(tokens - 1, quota.tokens_);
    ApplyQuotaRequest(quota, limit, {}, 1, {"a", 1}, {"t", 3, 1, 0}, now);
    CPPUNIT_ASSERT_EQUAL(tokens - 1, quota.tokens_);
  }

  // Guards against tokens of requests that failed long ago, which would add to a later window.
  void OnlyRecentRequestsAreRefunded() {
    HostQuota quota;
    const Time now = Time(milliseconds(10'000));
    quota.must_ask_until_ = now + milliseconds(5000);
    RefundQuota(quota, now - milliseconds(600), now);
    CPPUNIT_ASSERT(DecideQuota(quota, now).action_ == QuotaAction::kWait);
    RefundQuota(quota, now - milliseconds(100), now);
    CPPUNIT_ASSERT(DecideQuota(quota, now).action_ == QuotaAction::kAdmit);
    RefundQuota(quota, now, now);
    CPPUNIT_ASSERT(DecideQuota(quota, now + milliseconds(500)).action_ == QuotaAction::kWait);
  }

  void MessagesAreDecodedOrRejected() {
    QuotaMessage message = {{"a", 7}, "10.0.0.1:7000", {{"t", 3, 1, 2}}, {}};
    message.replies_.push_back({"u", 4, 5, milliseconds(250), milliseconds(1500)});
    const std::string bytes = EncodeQuotaMessage(message);
    const auto decoded = DecodeQuotaMessage(bytes);
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), decoded->sender_.host_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, decoded->requests_.at(0).sequence_);
    CPPUNIT_ASSERT_EQUAL(2, decoded->requests_.at(0).wanted_);
    CPPUNIT_ASSERT(decoded->replies_.at(0).retry_after_ == Duration(milliseconds(250)));
    CPPUNIT_ASSERT(decoded->replies_.at(0).must_ask_for_ == Duration(milliseconds(1500)));
    for (std::size_t length = 0; length < bytes.size(); ++length) {
      CPPUNIT_ASSERT(!DecodeQuotaMessage(bytes.substr(0, length)));
    }
    CPPUNIT_ASSERT(!IsQuotaMessage("\x81"));
    message.requests_[0].wanted_ = -1;
    CPPUNIT_ASSERT(!DecodeQuotaMessage(EncodeQuotaMessage(message)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaTest);

}  // namespace monsoonshelf::gateway
