#include "gateway/rollout.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "gateway/internal/rollout_messages.h"
#include "gateway/tests/rollout_model.h"

namespace monsoonshelf::gateway {

namespace {

using std::chrono::seconds;
using Load = RolloutModel::Load;
using Request = RolloutModel::Request;
using Result = RolloutModel::Result;
using Effect = RolloutModel::Effect;

constexpr int kSeeds = 5;

std::string Describe(const Result& result, int seed) {
  return "seed " + std::to_string(seed) + ", exposed " + std::to_string(result.exposed_) + " of " +
         std::to_string(result.requests_) + ", bad " + std::to_string(result.bad_) +
         ", before the verdict " + std::to_string(result.bad_until_condemned_) + ", late " +
         std::to_string(result.late_) + ", condemned at " + std::to_string(result.condemned_at_) +
         ": " + result.fault_;
}

void ExpectGood(const Load& load) {
  for (int seed = 1; seed <= kSeeds; ++seed) {
    const Result result = RolloutModel(load, seed).Run();
    CPPUNIT_ASSERT_MESSAGE(Describe(result, seed), result.fault_.empty());
    CPPUNIT_ASSERT_MESSAGE(Describe(result, seed), result.exposed_ > result.requests_ * 0.04);
  }
}

// Checks that the version is condemned before it gave 50 bad responses and gets nothing afterwards.
void ExpectCondemned(const Load& load) {
  for (int seed = 1; seed <= kSeeds; ++seed) {
    const Result result = RolloutModel(load, seed).Run();
    CPPUNIT_ASSERT_MESSAGE(Describe(result, seed), result.condemned_at_ >= 0);
    CPPUNIT_ASSERT_MESSAGE(Describe(result, seed), result.bad_until_condemned_ < 50);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Describe(result, seed), 0, result.late_);
    CPPUNIT_ASSERT_MESSAGE(Describe(result, seed), result.exposed_ <= result.requests_ * 0.1 + 50);
  }
}

}  // namespace

class RolloutTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutTest);
  CPPUNIT_TEST(GoodVersionIsNotCondemned);
  CPPUNIT_TEST(BurstDoesNotCondemn);
  CPPUNIT_TEST(NoisyMachineDoesNotCondemn);
  CPPUNIT_TEST(BadAtOnceIsCondemned);
  CPPUNIT_TEST(BadLaterIsCondemned);
  CPPUNIT_TEST(BadUnderLoadIsCondemned);
  CPPUNIT_TEST(BadOnOneRouteIsCondemned);
  CPPUNIT_TEST(ExposureStaysWithinTheBound);
  CPPUNIT_TEST(HostWithoutDeciderExposesNothing);
  CPPUNIT_TEST(RepeatedAndOldReportsCountOnce);
  CPPUNIT_TEST(StepsOfARollout);
  CPPUNIT_TEST(PhasesDecideWhoReceives);
  CPPUNIT_TEST(MessagesAreReadBack);
  CPPUNIT_TEST_SUITE_END();

 public:
  void GoodVersionIsNotCondemned() { ExpectGood({}); }

  // Guards against the burst being taken for a fault of the new version.
  void BurstDoesNotCondemn() {
    Load load;
    load.rate_factor_ = [](double now) { return now > 20 && now < 28 ? 4.0 : 1.0; };
    load.effect_ = [](const Request& request) {
      return request.at_ > 20 && request.at_ < 28 ? Effect{0.15, 3} : Effect{};
    };
    ExpectGood(load);
  }

  // Guards against a slow machine of the new version being taken for the version.
  void NoisyMachineDoesNotCondemn() {
    Load load;
    const int noisy = std::stoi(SelectExposedTargets("s", Candidates(load.targets_)).front());
    load.effect_ = [noisy](const Request& request) {
      return request.is_new_ && request.target_ == noisy ? Effect{0.05, 4} : Effect{};
    };
    ExpectGood(load);
  }

  void BadAtOnceIsCondemned() {
    Load load;
    load.effect_ = [](const Request& request) {
      return request.is_new_ ? Effect{0.3, 1} : Effect{};
    };
    ExpectCondemned(load);
    load.effect_ = [](const Request& request) {
      return request.is_new_ ? Effect{0.005, 4} : Effect{};
    };
    ExpectCondemned(load);
  }

  // Guards against the good time at first hiding what comes later.
  void BadLaterIsCondemned() {
    Load load;
    load.effect_ = [](const Request& request) {
      return request.is_new_ && request.at_ > 35 ? Effect{0.3, 1} : Effect{};
    };
    ExpectCondemned(load);
    load.effect_ = [](const Request& request) {
      const bool is_slow = request.at_ > 35 && static_cast<int>(request.at_ * 1000) % 10 < 4;
      return request.is_new_ && is_slow ? Effect{0.005, 4} : Effect{};
    };
    ExpectCondemned(load);
  }

  // Guards against requests that are spread so thinly that no target has two of them.
  void BadUnderLoadIsCondemned() {
    Load load;
    load.effect_ = [](const Request& request) {
      return request.is_new_ && request.running_ > 1 ? Effect{0.4, 1} : Effect{};
    };
    ExpectCondemned(load);
  }

  void BadOnOneRouteIsCondemned() {
    Load load;
    load.effect_ = [](const Request& request) {
      return request.is_new_ && request.route_ == 2 ? Effect{0.35, 1} : Effect{};
    };
    ExpectCondemned(load);
    // Too few of all responses to show among them.
    load.routes_ = 20;
    load.effect_ = [](const Request& request) {
      return request.is_new_ && request.route_ == 2 ? Effect{0.6, 1} : Effect{};
    };
    ExpectCondemned(load);
  }

  // Guards against hosts of few requests that each expose one more than their share.
  void ExposureStaysWithinTheBound() {
    for (const double duration : {5.0, 30.0}) {
      Load load;
      load.hosts_ = 136;
      load.rate_ = 136;
      load.loss_ = 0.4;
      load.seconds_ = duration;
      for (int seed = 1; seed <= kSeeds; ++seed) {
        const Result result = RolloutModel(load, seed).Run();
        CPPUNIT_ASSERT_MESSAGE(Describe(result, seed),
                               result.exposed_ <= result.requests_ * 0.1 + 10);
        CPPUNIT_ASSERT_MESSAGE(Describe(result, seed), result.exposed_ > 0);
      }
    }
  }

  // Guards against a host that is cut off and goes on with a version that is condemned.
  void HostWithoutDeciderExposesNothing() {
    const Time at = Time{} + seconds(100);
    CPPUNIT_ASSERT(!MayExpose({}, at));
    CPPUNIT_ASSERT(MayExpose(at, at + seconds(2)));
    CPPUNIT_ASSERT(!MayExpose(at, at + seconds(3)));
  }

  void RepeatedAndOldReportsCountOnce() {
    const Time now = Time{} + seconds(100);
    RolloutTally tally;
    RolloutReport first{1, {}, RolloutNotice::kGoOn};
    AddResponse(first.counts_["r"].old_, false, seconds(1));
    RolloutReport second = first;
    AddResponse(second.counts_["r"].new_["t"], true, seconds(1));
    for (const RolloutReport* report : {&first, &second, &second, &first}) {
      ApplyReport(tally, "host", *report, now);
    }
    CPPUNIT_ASSERT(CountRequests(tally) == std::make_pair(std::uint64_t{1}, std::uint64_t{1}));
    // The host has started again.
    first.epoch_ = 2;
    ApplyReport(tally, "host", first, now);
    ApplyReport(tally, "host", second, now);
    CPPUNIT_ASSERT(CountRequests(tally) == std::make_pair(std::uint64_t{1}, std::uint64_t{0}));
  }

  void StepsOfARollout() {
    RolloutView view;
    view.duration_ = seconds(60);
    CPPUNIT_ASSERT(NextStep(view) == RolloutStep::kRun);
    view.state_ = RolloutState::kRunning;
    view.new_requests_ = 100;
    view.elapsed_ = seconds(50);
    CPPUNIT_ASSERT(NextStep(view) == RolloutStep::kNone);
    view.elapsed_ = seconds(54);
    CPPUNIT_ASSERT(NextStep(view) == RolloutStep::kFinish);
    view.new_requests_ = 0;
    CPPUNIT_ASSERT(NextStep(view) == RolloutStep::kRollBack);
    view.notice_ = RolloutNotice::kFinish;
    view.finishing_for_ = seconds(2);
    CPPUNIT_ASSERT(NextStep(view) == RolloutStep::kNone);
    view.have_all_finished_ = true;
    CPPUNIT_ASSERT(NextStep(view) == RolloutStep::kSucceed);
    // A version that turns out bad in the end is still rolled back.
    view.notice_ = RolloutNotice::kCondemned;
    CPPUNIT_ASSERT(NextStep(view) == RolloutStep::kRollBack);
    view.state_ = RolloutState::kSucceeded;
    CPPUNIT_ASSERT(NextStep(view) == RolloutStep::kNone);
  }

  void PhasesDecideWhoReceives() {
    const auto exposing = PhaseOf(RolloutState::kRunning, RolloutNotice::kGoOn);
    CPPUNIT_ASSERT(MayReceive(exposing, RolloutSide::kNew, true, true));
    CPPUNIT_ASSERT(!MayReceive(exposing, RolloutSide::kNew, true, false));
    CPPUNIT_ASSERT(!MayReceive(exposing, RolloutSide::kOld, true, true));
    CPPUNIT_ASSERT(MayReceive(exposing, RolloutSide::kOld, false, false));
    const auto condemned = PhaseOf(RolloutState::kRunning, RolloutNotice::kCondemned);
    CPPUNIT_ASSERT(!MayReceive(condemned, RolloutSide::kNew, true, true));
    CPPUNIT_ASSERT(MayReceive(condemned, RolloutSide::kNew, false, false));
    // The state in the store precedes what was told before.
    const auto succeeded = PhaseOf(RolloutState::kSucceeded, RolloutNotice::kCondemned);
    CPPUNIT_ASSERT(!MayReceive(succeeded, RolloutSide::kOld, false, false));
    CPPUNIT_ASSERT(MayReceive(succeeded, RolloutSide::kOld, true, false));
  }

  // Guards against a report that does not fit into a datagram, and against malformed ones.
  void MessagesAreReadBack() {
    RolloutMessage message;
    message.sender_ = "host";
    message.service_ = "s";
    message.target_version_ = "v2";
    message.elapsed_ = seconds(3);
    message.report_.epoch_ = 7;
    message.report_.notice_ = RolloutNotice::kFinish;
    for (int i = 0; i < 300; ++i) {
      RouteCounts& counts = message.report_.counts_["route " + std::to_string(i % 6)];
      AddResponse(i % 3 == 0 ? counts.new_["t"] : counts.old_, i % 7 == 0,
                  std::chrono::milliseconds(1 + i * i));
    }
    RolloutTally tally;
    for (const RolloutMessage& part : SplitRolloutMessage(message)) {
      const std::string bytes = EncodeRolloutMessage(part);
      CPPUNIT_ASSERT(bytes.size() < 1400);
      const auto read = DecodeRolloutMessage(bytes);
      CPPUNIT_ASSERT(read.has_value());
      CPPUNIT_ASSERT(read->elapsed_ == message.elapsed_);
      CPPUNIT_ASSERT(read->report_.notice_ == RolloutNotice::kFinish);
      ApplyReport(tally, read->sender_, read->report_, Time{} + seconds(9));
      for (std::size_t i = 0; i < bytes.size(); ++i) {
        CPPUNIT_ASSERT(!DecodeRolloutMessage(bytes.substr(0, i)));
      }
    }
    CPPUNIT_ASSERT(CountRequests(tally) == std::make_pair(std::uint64_t{200}, std::uint64_t{100}));
  }

 private:
  static std::vector<ExposureCandidate> Candidates(int count) {
    std::vector<ExposureCandidate> candidates;
    candidates.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      candidates.push_back({std::to_string(i), std::string(1, static_cast<char>('a' + i % 3))});
    }
    return candidates;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutTest);

}  // namespace monsoonshelf::gateway
