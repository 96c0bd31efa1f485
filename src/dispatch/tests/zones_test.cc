#include <cppunit/extensions/HelperMacros.h>

#include "dispatch/tests/harness.h"

namespace monsoonshelf::dispatch::tests {

// Retries and forwarding to other zones.
class ZonesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ZonesTest);
  CPPUNIT_TEST(RetriesIdempotentCallsAtAnotherTarget);
  CPPUNIT_TEST(RetriesNonIdempotentCallsOnlyIfNotRun);
  CPPUNIT_TEST(RetriesRespectAttemptsAndBudgets);
  CPPUNIT_TEST(RefusalOfAQueuedRetryIsUnknown);
  CPPUNIT_TEST(RefusedRetryIsUnknown);
  CPPUNIT_TEST(StaysInOwnZoneWhileItIsFaster);
  CPPUNIT_TEST(RaisesForwardShareGradually);
  CPPUNIT_TEST(CountsOnlyCallsServedEarlier);
  CPPUNIT_TEST(LowersForwardShareOnOverload);
  CPPUNIT_TEST(ZoneWithoutTargetsForwards);
  CPPUNIT_TEST(RemoteLoadStaysValidBetweenMessages);
  CPPUNIT_TEST(EndedForwardsDoNotCountAsLoad);
  CPPUNIT_TEST(RespectsZonePreferenceAndForwardLimit);
  CPPUNIT_TEST(PlacesRefusedForwardInAnotherZone);
  CPPUNIT_TEST(QueuesCallsWhileTheOtherZoneIsBlocked);
  CPPUNIT_TEST(EjectsOnlyTargetIfAnotherZoneHasTargets);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RetriesIdempotentCallsAtAnotherTarget() {
    Harness harness({"a", "b"});
    EarnRetryTokens(harness);
    const Action first = harness.ArriveCall().at(0);
    const Action second = harness.FinishSend(first.call_, SendResult::kFailed).at(0);
    CPPUNIT_ASSERT(!harness.call_finished_);
    CPPUNIT_ASSERT_EQUAL(first.call_, second.call_);
    CPPUNIT_ASSERT(first.target_ != second.target_);
    CPPUNIT_ASSERT_EQUAL(0, second.retry_budget_);
  }

  // Guards against a non-idempotent call that runs twice.
  void RetriesNonIdempotentCallsOnlyIfNotRun() {
    for (const auto& [result, name] : kSendResultNames) {
      Harness harness({"a", "b"});
      EarnRetryTokens(harness);
      Call call = harness.MakeCall();
      call.idempotent_ = false;
      harness.ArriveCall(call);
      const Actions actions = harness.FinishSend(call.handle_, result, std::nullopt);
      const bool not_run = result == SendResult::kRefused || result == SendResult::kUnreachable;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(name), not_run, !harness.call_finished_);
      CPPUNIT_ASSERT_EQUAL(not_run ? 1 : 0, CountActions(actions, ActionKind::kSend));
    }
  }

  void RetriesRespectAttemptsAndBudgets() {
    const auto retried = [](int attempts, int budget, bool tokens) {
      Harness harness({"a", "b"});
      if (tokens) EarnRetryTokens(harness);
      // A retry consumes a token. A new dispatcher has one, which this call uses up.
      if (!tokens) {
        const CallHandle spends = harness.ArriveCall().at(0).call_;
        harness.FinishSend(spends, SendResult::kFailed);
        harness.FinishSend(spends);
      }
      Call call = harness.MakeCall();
      call.attempts_left_ = attempts;
      call.retry_budget_ = budget;
      harness.ArriveCall(call);
      harness.FinishSend(call.handle_, SendResult::kFailed);
      return !harness.call_finished_;
    };
    CPPUNIT_ASSERT(retried(2, 1, true));
    CPPUNIT_ASSERT(!retried(1, 1, true));
    CPPUNIT_ASSERT(!retried(2, 0, true));
    CPPUNIT_ASSERT(!retried(2, 1, false));
  }

  // Guards against the outcome kNotRun for a queued retry whose first attempt may have run.
  void RefusalOfAQueuedRetryIsUnknown() {
    Harness harness({"a"}, 1);
    EarnRetryTokens(harness);
    const CallHandle call = harness.ArriveCall().at(0).call_;
    harness.ArriveCall();
    harness.ArriveCall();
    harness.FinishSend(call, SendResult::kLost, std::nullopt);
    CPPUNIT_ASSERT(!harness.call_finished_);
    harness.now_ += std::chrono::seconds(2);
    for (const Action& action : harness.Tick()) {
      const bool ran = action.call_ == call;
      CPPUNIT_ASSERT(action.outcome_ == (ran ? CallOutcome::kUnknown : CallOutcome::kNotRun));
    }
    CPPUNIT_ASSERT_EQUAL(0, harness.QueuedCalls());
  }

  // Guards against the outcome kNotRun for a call that the second target refused after the first
  // target may have run it.
  void RefusedRetryIsUnknown() {
    Harness harness({"a", "b"});
    EarnRetryTokens(harness);
    const CallHandle call = harness.ArriveCall().at(0).call_;
    harness.FinishSend(call, SendResult::kLost, std::nullopt);
    const Actions actions = harness.FinishSend(call, SendResult::kRefused, std::nullopt);
    CPPUNIT_ASSERT(!harness.call_finished_);
    CPPUNIT_ASSERT(actions.at(0).kind_ == ActionKind::kRefuse);
    CPPUNIT_ASSERT(actions.at(0).outcome_ == CallOutcome::kUnknown);
    CPPUNIT_ASSERT(actions.at(0).code_ == ResultCode::kTargetRefused);
  }

  void StaysInOwnZoneWhileItIsFaster() {
    Harness harness({"a"});
    harness.LearnServiceTimes();
    ReportRemoteLoad(harness, "z2", 10, 0);
    CPPUNIT_ASSERT_EQUAL(1, CountActions(harness.ArriveCall(), ActionKind::kSend));
    CPPUNIT_ASSERT_EQUAL(1, CountActions(harness.ArriveCall(), ActionKind::kSend));
    // The expected wait of 5 ms is shorter than the round trip of 8 ms to the other zone.
    CPPUNIT_ASSERT(harness.ArriveCall().empty());
  }

  // Guards against all calls moving to the other zone at once.
  void RaisesForwardShareGradually() {
    Harness harness({"a"});
    harness.LearnServiceTimes();
    harness.ArriveCall();
    harness.ArriveCall();
    const int early = CountForwards(harness, 10);
    CountForwards(harness, 300);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(early), early < 4);
    CPPUNIT_ASSERT(CountForwards(harness, 30) >= 25);
  }

  // Guards against interactive calls that are not forwarded because calls of later classes are
  // queued in the other zone.
  void CountsOnlyCallsServedEarlier() {
    Harness harness({"a"});
    harness.LearnServiceTimes();
    for (int call = 0; call < 2; ++call) harness.ArriveCall();
    int forwards = 0;
    for (int call = 0; call < 200; ++call) {
      harness.now_ += milliseconds(1);
      OnRemoteShardLoad(*harness.dispatcher_, {"z2", 0, 50, 5, milliseconds(4), 0}, harness.now_);
      forwards += CountActions(harness.ArriveCall(), ActionKind::kForward);
    }
    CPPUNIT_ASSERT(forwards > 50);
  }

  void LowersForwardShareOnOverload() {
    Harness harness({"a"});
    harness.LearnServiceTimes();
    harness.ArriveCall();
    harness.ArriveCall();
    CountForwards(harness, 400);
    for (int sign = 0; sign < 3; ++sign) ReportRemoteLoad(harness, "z2", 0, 100);
    CPPUNIT_ASSERT(CountForwards(harness, 20) < 10);
  }

  // Guards against refusals while a zone is out of service and others have slots, and against
  // forwarding all calls to one of them.
  void ZoneWithoutTargetsForwards() {
    Harness harness({"a"});
    ReportRemoteLoad(harness, "z2", 10, 0);
    ReportRemoteLoad(harness, "z3", 10, 0);
    harness.ArriveCall();
    harness.ArriveCall();
    harness.ArriveCall();  // Queued.
    CPPUNIT_ASSERT_EQUAL(1, CountActions(harness.SetTargets({"a"}, false), ActionKind::kForward));
    std::map<std::string, int> zones;
    for (int call = 0; call < 100; ++call) {
      const Actions actions = harness.ArriveCall();
      CPPUNIT_ASSERT(actions.at(0).kind_ == ActionKind::kForward);
      ++zones[actions.at(0).zone_];
    }
    CPPUNIT_ASSERT(zones["z2"] > 25 && zones["z3"] > 25);
  }

  // Peers send an unchanged load only every 20 s. Guards against refusals between two of these
  // messages.
  void RemoteLoadStaysValidBetweenMessages() {
    Harness harness;
    ReportRemoteLoad(harness, "z2", 10, 0);
    harness.now_ += std::chrono::seconds(40);
    CPPUNIT_ASSERT_EQUAL(1, CountActions(harness.ArriveCall(), ActionKind::kForward));
    harness.now_ += std::chrono::seconds(6);
    CPPUNIT_ASSERT(harness.ArriveCall().at(0).code_ == ResultCode::kNoTarget);
  }

  // Guards against a zone that appears increasingly loaded because ended calls still count.
  void EndedForwardsDoNotCountAsLoad() {
    Harness harness;
    ReportRemoteLoad(harness, "z2", 10, 0);
    for (int call = 0; call < 500; ++call) {
      const Action forward = harness.ArriveCall().at(0);
      CPPUNIT_ASSERT(forward.kind_ == ActionKind::kForward);
      harness.now_ += milliseconds(1);
      OnForwardFinished(*harness.dispatcher_, forward.call_, "z2", harness.now_, harness.random_);
    }
    ReportRemoteLoad(harness, "z3", 10, 0);
    int to_second = 0;
    for (int call = 0; call < 100; ++call) to_second += harness.ArriveCall().at(0).zone_ == "z2";
    CPPUNIT_ASSERT(to_second > 25);
  }

  void RespectsZonePreferenceAndForwardLimit() {
    Harness harness;
    ReportRemoteLoad(harness, "z2", 10, 0);
    Call own_only = harness.MakeCall();
    own_only.zone_preference_ = records::ZonePreference::kOwnOnly;
    CPPUNIT_ASSERT(harness.ArriveCall(own_only).at(0).code_ == ResultCode::kNoTarget);
    Call forwarded = harness.MakeCall();
    forwarded.forwarded_ = true;
    CPPUNIT_ASSERT(harness.ArriveCall(forwarded).at(0).code_ == ResultCode::kNoTarget);
    ReportRemoteLoad(harness, "z2", 0, 0, 0);  // That zone has no targets either.
    CPPUNIT_ASSERT(harness.ArriveCall().at(0).code_ == ResultCode::kNoTarget);
  }

  void PlacesRefusedForwardInAnotherZone() {
    Harness harness;
    ReportRemoteLoad(harness, "z2", 10, 0);
    const Action first = harness.ArriveCall().at(0);
    CPPUNIT_ASSERT_EQUAL(std::string("z2"), first.zone_);
    ReportRemoteLoad(harness, "z3", 10, 0);
    const Action second =
        OnForwardRefused(*harness.dispatcher_, first.call_, "z2", harness.now_, harness.random_)
            .at(0);
    CPPUNIT_ASSERT_EQUAL(std::string("z3"), second.zone_);
    harness.now_ += milliseconds(100);
    const Action last =
        OnForwardRefused(*harness.dispatcher_, first.call_, "z3", harness.now_, harness.random_)
            .at(0);
    CPPUNIT_ASSERT(last.kind_ == ActionKind::kRefuse);
    CPPUNIT_ASSERT(last.outcome_ == CallOutcome::kNotRun);
  }

  // Guards against refusals while the only other zone is blocked because it refused another call.
  void QueuesCallsWhileTheOtherZoneIsBlocked() {
    Harness harness;
    ReportRemoteLoad(harness, "z2", 10, 0);
    const CallHandle first = harness.ArriveCall().at(0).call_;
    OnForwardRefused(*harness.dispatcher_, first, "z2", harness.now_, harness.random_);
    CPPUNIT_ASSERT(harness.ArriveCall().empty());
    CPPUNIT_ASSERT(NextTick(*harness.dispatcher_, harness.now_) <= harness.now_ + milliseconds(20));
    harness.now_ += milliseconds(20);
    CPPUNIT_ASSERT_EQUAL(1, CountActions(harness.Tick(), ActionKind::kForward));
  }

  // Guards against the ejection of the only target if no other zone has targets, and against calls
  // to a failing target if another zone has targets.
  void EjectsOnlyTargetIfAnotherZoneHasTargets() {
    const auto forwards_with = [](bool other_zone) {
      Harness harness({"a"});
      int forwards = 0;
      for (int call = 0; call < 50; ++call) {
        if (other_zone) ReportRemoteLoad(harness, "z2", 10, 0);
        Call request = harness.MakeCall();
        request.attempts_left_ = 1;
        const Actions actions = harness.ArriveCall(request);
        harness.now_ += milliseconds(2);
        forwards += CountActions(actions, ActionKind::kForward);
        if (CountActions(actions, ActionKind::kSend) == 1) {
          harness.FinishSend(request.handle_, SendResult::kFailed);
        }
      }
      return forwards;
    };
    CPPUNIT_ASSERT(forwards_with(true) > 40);
    CPPUNIT_ASSERT_EQUAL(0, forwards_with(false));
  }

 private:
  static void EarnRetryTokens(Harness& harness) {
    for (int call = 0; call < 20; ++call) harness.FinishSend(harness.ArriveCall().at(0).call_);
  }

  // Sends calls at intervals of 1 ms and returns how many are forwarded to the idle zone z2.
  static int CountForwards(Harness& harness, int calls) {
    int forwards = 0;
    for (int call = 0; call < calls; ++call) {
      ReportRemoteLoad(harness, "z2", 10, 0);
      harness.now_ += milliseconds(1);
      forwards += CountActions(harness.ArriveCall(), ActionKind::kForward);
    }
    return forwards;
  }

  static void ReportRemoteLoad(Harness& harness, const std::string& zone, int free, int queued,
                               int ready = 5) {
    OnRemoteShardLoad(*harness.dispatcher_, {zone, free, queued, ready, milliseconds(4)},
                      harness.now_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZonesTest);

}  // namespace monsoonshelf::dispatch::tests
