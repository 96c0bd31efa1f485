#include "gateway/hedging.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

#include "gateway/tests/hedge_model.h"

namespace monsoonshelf::gateway {

namespace {

using std::chrono::milliseconds;
using Policy = HedgeModel::Policy;

HedgeModel::Result RunModel(Policy policy, double utilization) {
  HedgeModel::Load load;
  load.utilization_ = utilization;
  load.max_share_ = 0.1;
  return HedgeModel(load, 17).Run(policy);
}

}  // namespace

class HedgingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HedgingTest);
  CPPUNIT_TEST(CutsTheTailWithinTheLimit);
  CPPUNIT_TEST(DoesNoHarmNearTheCapacity);
  CPPUNIT_TEST(FleetStaysWithinTheLimitInAnyWindow);
  CPPUNIT_TEST(QuantilesFollowTheResponses);
  CPPUNIT_TEST(SecondRequestsAreWithheld);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a decision that spends extra work without cutting the slowest responses. The
  // latency objective is 250 ms at a mean of 80 ms.
  void CutsTheTailWithinTheLimit() {
    const auto none = RunModel(Policy::kNone, 0.4);
    const auto limited = RunModel(Policy::kLimited, 0.4);
    CPPUNIT_ASSERT(limited.extra_share_ <= 0.1 + 0.002);
    CPPUNIT_ASSERT(limited.p99_ms_ < 0.85 * none.p99_ms_);
    CPPUNIT_ASSERT(limited.p999_ms_ < 0.6 * none.p999_ms_);
    CPPUNIT_ASSERT(limited.in_objective_share_ > none.in_objective_share_);
  }

  // Guards against second requests that take the slots of first ones when there are few left.
  void DoesNoHarmNearTheCapacity() {
    const auto none = RunModel(Policy::kNone, 0.6);
    const auto limited = RunModel(Policy::kLimited, 0.6);
    CPPUNIT_ASSERT(limited.extra_share_ <= 0.1 + 0.002);
    CPPUNIT_ASSERT(limited.in_objective_share_ > none.in_objective_share_ - 0.01);
  }

  // Guards against hosts that save up their allowance, or get a new one by a restart.
  void FleetStaysWithinTheLimitInAnyWindow() {
    constexpr int kHosts = 148;
    constexpr int kRequestsPerHost = 40;
    constexpr double kShare = 0.05;
    std::vector<HedgeBudget> hosts(kHosts);
    HedgeInputs inputs;
    inputs.max_share_ = kShare;
    inputs.retry_tokens_ = 2;
    const auto count_hedges = [&] {
      int hedges = 0;
      for (HedgeBudget& budget : hosts) {
        for (int request = 0; request < kRequestsPerHost; ++request) {
          EarnHedge(budget, kShare);
          if (DecideHedge(inputs, budget) != HedgeDecision::kSend) continue;
          ConsumeHedge(budget);
          ++hedges;
        }
      }
      return hedges;
    };
    const double allowed = kShare * kHosts * kRequestsPerHost;
    CPPUNIT_ASSERT(count_hedges() <= allowed);
    for (HedgeBudget& budget : hosts) {
      for (int request = 0; request < 1000; ++request) EarnHedge(budget, kShare);
    }
    CPPUNIT_ASSERT(count_hedges() <= allowed + kHosts);
    for (HedgeBudget& budget : hosts) budget = {};  // All hosts restart.
    CPPUNIT_ASSERT(count_hedges() <= allowed);
  }

  void QuantilesFollowTheResponses() {
    ResponseTimes times;
    const double assumed = ResponseTimeQuantile(times, 0.95);
    CPPUNIT_ASSERT(assumed > 1.4 && assumed < 2);
    for (int i = 0; i < 300; ++i) {
      RecordResponseTime(times, milliseconds(i % 10 == 0 ? 700 : 90), milliseconds(100));
    }
    CPPUNIT_ASSERT(ResponseTimeQuantile(times, 0.5) < 1.2);
    CPPUNIT_ASSERT(ResponseTimeQuantile(times, 0.95) > 6);
    RecordResponseTime(times, milliseconds(1), Duration(0));
    const Duration delay = LimitedHedgeDelay(times, 0.2, milliseconds(100), milliseconds(1000));
    CPPUNIT_ASSERT(delay >= milliseconds(130) && delay < milliseconds(200));
    CPPUNIT_ASSERT(LimitedHedgeDelay(times, 0.01, milliseconds(100), milliseconds(250)) ==
                   Duration(milliseconds(250)));
  }

  void SecondRequestsAreWithheld() {
    HedgeInputs inputs;
    CPPUNIT_ASSERT(DecideHedge(inputs, {}) == HedgeDecision::kSend);
    inputs.max_share_ = 0.05;
    inputs.retry_tokens_ = 2;
    inputs.service_time_ = milliseconds(80);
    const HedgeBudget full = {1};
    CPPUNIT_ASSERT(DecideHedge(inputs, full) == HedgeDecision::kSend);
    CPPUNIT_ASSERT(DecideHedge(inputs, {0.9}) == HedgeDecision::kOverLimit);
    inputs.retry_tokens_ = 1.4;
    CPPUNIT_ASSERT(DecideHedge(inputs, full) == HedgeDecision::kRetryReserve);
    inputs.refused_per_second_ = 1;
    CPPUNIT_ASSERT(DecideHedge(inputs, full) == HedgeDecision::kOverload);
    inputs.time_left_ = milliseconds(79);
    CPPUNIT_ASSERT(DecideHedge(inputs, full) == HedgeDecision::kNoTimeLeft);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HedgingTest);

}  // namespace monsoonshelf::gateway
