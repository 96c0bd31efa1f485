#include <cppunit/extensions/HelperMacros.h>

#include "dispatch/tests/harness.h"

namespace monsoonshelf::dispatch::tests {

// Retries and other zones.
class ZonesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ZonesTest);
  CPPUNIT_TEST(RetriesIdempotentCallsAtAnotherTarget);
  CPPUNIT_TEST(RepeatsOtherCallsOnlyAfterProvenNotRun);
  CPPUNIT_TEST(RetriesKeepAttemptsAndBudgets);
  CPPUNIT_TEST(RefusalAfterARetryIsUnknown);
  CPPUNIT_TEST(RefusedRetryIsUnknown);
  CPPUNIT_TEST(StaysInItsZoneWhileItHasSlots);
  CPPUNIT_TEST(SpillsOverByARisingShare);
  CPPUNIT_TEST(CountsOnlyCallsAhead);
  CPPUNIT_TEST(ShareFallsFast);
  CPPUNIT_TEST(ZoneWithoutTargetsForwards);
  CPPUNIT_TEST(UnchangedStateOfAnotherZoneStaysValid);
  CPPUNIT_TEST(EndedForwardsDoNotLoadAnotherZone);
  CPPUNIT_TEST(RespectsZonePreferenceAndHops);
  CPPUNIT_TEST(RefusedForwardIsPlacedElsewhere);
  CPPUNIT_TEST(WaitsWhileTheOtherZonePauses);
  CPPUNIT_TEST(SingleFailingTargetYieldsToOtherZone);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RetriesIdempotentCallsAtAnotherTarget() {
    Harness harness({"a", "b"});
    EarnTokens(harness);
    const Action first = harness.Arrive().at(0);
    const Action second = harness.Finish(first.call_, SendResult::kFailed).at(0);
    CPPUNIT_ASSERT(!harness.finished_);
    CPPUNIT_ASSERT_EQUAL(first.call_, second.call_);
    CPPUNIT_ASSERT(first.target_ != second.target_);
    CPPUNIT_ASSERT_EQUAL(0, second.retry_budget_);
  }

  // Guards against a call that is not idempotent and runs twice.
  void RepeatsOtherCallsOnlyAfterProvenNotRun() {
    for (const auto& [result, name] : kSendResultNames) {
      Harness harness({"a", "b"});
      EarnTokens(harness);
      Call call = harness.MakeCall();
      call.idempotent_ = false;
      harness.Arrive(call);
      const Actions actions = harness.Finish(call.handle_, result, std::nullopt);
      const bool not_run = result == SendResult::kRefused || result == SendResult::kUnreachable;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(name), not_run, !harness.finished_);
      CPPUNIT_ASSERT_EQUAL(not_run ? 1 : 0, Count(actions, ActionKind::kSend));
    }
  }

  void RetriesKeepAttemptsAndBudgets() {
    const auto retried = [](int attempts, int budget, bool tokens) {
      Harness harness({"a", "b"});
      if (tokens) EarnTokens(harness);
      // Every retry needs a token; without new calls there is one.
      if (!tokens) {
        const CallHandle spends = harness.Arrive().at(0).call_;
        harness.Finish(spends, SendResult::kFailed);
        harness.Finish(spends);
      }
      Call call = harness.MakeCall();
      call.attempts_left_ = attempts;
      call.retry_budget_ = budget;
      harness.Arrive(call);
      harness.Finish(call.handle_, SendResult::kFailed);
      return !harness.finished_;
    };
    CPPUNIT_ASSERT(retried(2, 1, true));
    CPPUNIT_ASSERT(!retried(1, 1, true));
    CPPUNIT_ASSERT(!retried(2, 0, true));
    CPPUNIT_ASSERT(!retried(2, 1, false));
  }

  // Guards against "not run" for a call whose first attempt ran.
  void RefusalAfterARetryIsUnknown() {
    Harness harness({"a"}, 1);
    EarnTokens(harness);
    const CallHandle call = harness.Arrive().at(0).call_;
    harness.Arrive();
    harness.Arrive();
    harness.Finish(call, SendResult::kLost, std::nullopt);
    CPPUNIT_ASSERT(!harness.finished_);
    harness.now_ += std::chrono::seconds(2);
    for (const Action& action : harness.Tick()) {
      const bool ran = action.call_ == call;
      CPPUNIT_ASSERT(action.outcome_ == (ran ? CallOutcome::kUnknown : CallOutcome::kNotRun));
    }
    CPPUNIT_ASSERT_EQUAL(0, harness.Queued());
  }

  // Guards against "not run" for a call whose second target refused it after the first ran it.
  void RefusedRetryIsUnknown() {
    Harness harness({"a", "b"});
    EarnTokens(harness);
    const CallHandle call = harness.Arrive().at(0).call_;
    harness.Finish(call, SendResult::kLost, std::nullopt);
    const Actions actions = harness.Finish(call, SendResult::kRefused, std::nullopt);
    CPPUNIT_ASSERT(!harness.finished_);
    CPPUNIT_ASSERT(actions.at(0).kind_ == ActionKind::kRefuse);
    CPPUNIT_ASSERT(actions.at(0).outcome_ == CallOutcome::kUnknown);
    CPPUNIT_ASSERT(actions.at(0).code_ == ResultCode::kTargetRefused);
  }

  void StaysInItsZoneWhileItHasSlots() {
    Harness harness({"a"});
    harness.Teach();
    ShowRemote(harness, "z2", 10, 0);
    CPPUNIT_ASSERT_EQUAL(1, Count(harness.Arrive(), ActionKind::kSend));
    CPPUNIT_ASSERT_EQUAL(1, Count(harness.Arrive(), ActionKind::kSend));
    // The expected wait of 5 ms is below the cost of the other zone, 8 ms.
    CPPUNIT_ASSERT(harness.Arrive().empty());
  }

  // Guards against a herd that moves to the other zone at once.
  void SpillsOverByARisingShare() {
    Harness harness({"a"});
    harness.Teach();
    harness.Arrive();
    harness.Arrive();
    const int early = ForwardsOf(harness, 10);
    ForwardsOf(harness, 300);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(early), early < 4);
    CPPUNIT_ASSERT(ForwardsOf(harness, 30) >= 25);
  }

  // Guards against interactive calls that stay because later classes wait in the other zone.
  void CountsOnlyCallsAhead() {
    Harness harness({"a"});
    harness.Teach();
    for (int call = 0; call < 2; ++call) harness.Arrive();
    int forwards = 0;
    for (int call = 0; call < 200; ++call) {
      harness.now_ += milliseconds(1);
      OnRemoteShardLoad(*harness.dispatcher_, {"z2", 0, 50, 5, milliseconds(4), 0}, harness.now_);
      forwards += Count(harness.Arrive(), ActionKind::kForward);
    }
    CPPUNIT_ASSERT(forwards > 50);
  }

  void ShareFallsFast() {
    Harness harness({"a"});
    harness.Teach();
    harness.Arrive();
    harness.Arrive();
    ForwardsOf(harness, 400);
    for (int sign = 0; sign < 3; ++sign) ShowRemote(harness, "z2", 0, 100);
    CPPUNIT_ASSERT(ForwardsOf(harness, 20) < 10);
  }

  // Guards against refusals while a zone is out and others have slots, against a herd to one of
  // them, and against forwards after the zone is back.
  void ZoneWithoutTargetsForwards() {
    Harness harness({"a"});
    ShowRemote(harness, "z2", 10, 0);
    ShowRemote(harness, "z3", 10, 0);
    harness.Arrive();
    harness.Arrive();
    harness.Arrive();  // Waits.
    CPPUNIT_ASSERT_EQUAL(1, Count(harness.SetTargets({"a"}, false), ActionKind::kForward));
    std::map<std::string, int> zones;
    for (int call = 0; call < 100; ++call) {
      const Actions actions = harness.Arrive();
      CPPUNIT_ASSERT(actions.at(0).kind_ == ActionKind::kForward);
      ++zones[actions.at(0).zone_];
    }
    CPPUNIT_ASSERT(zones["z2"] > 25 && zones["z3"] > 25);
  }

  // Guards against refusals between two messages of a zone whose state does not change: peers send
  // it only every 20 s.
  void UnchangedStateOfAnotherZoneStaysValid() {
    Harness harness;
    ShowRemote(harness, "z2", 10, 0);
    harness.now_ += std::chrono::seconds(40);
    CPPUNIT_ASSERT_EQUAL(1, Count(harness.Arrive(), ActionKind::kForward));
    harness.now_ += std::chrono::seconds(6);
    CPPUNIT_ASSERT(harness.Arrive().at(0).code_ == ResultCode::kNoTarget);
  }

  // Guards against a zone that looks ever busier because calls that ended still count.
  void EndedForwardsDoNotLoadAnotherZone() {
    Harness harness;
    ShowRemote(harness, "z2", 10, 0);
    for (int call = 0; call < 500; ++call) {
      const Action forward = harness.Arrive().at(0);
      CPPUNIT_ASSERT(forward.kind_ == ActionKind::kForward);
      harness.now_ += milliseconds(1);
      OnForwardFinished(*harness.dispatcher_, forward.call_, "z2", harness.now_, harness.random_);
    }
    ShowRemote(harness, "z3", 10, 0);
    int to_second = 0;
    for (int call = 0; call < 100; ++call) to_second += harness.Arrive().at(0).zone_ == "z2";
    CPPUNIT_ASSERT(to_second > 25);
  }

  void RespectsZonePreferenceAndHops() {
    Harness harness;
    ShowRemote(harness, "z2", 10, 0);
    Call own_only = harness.MakeCall();
    own_only.zone_preference_ = records::ZonePreference::kOwnOnly;
    CPPUNIT_ASSERT(harness.Arrive(own_only).at(0).code_ == ResultCode::kNoTarget);
    Call forwarded = harness.MakeCall();
    forwarded.forwarded_ = true;
    CPPUNIT_ASSERT(harness.Arrive(forwarded).at(0).code_ == ResultCode::kNoTarget);
    ShowRemote(harness, "z2", 0, 0, 0);  // That zone is out too.
    CPPUNIT_ASSERT(harness.Arrive().at(0).code_ == ResultCode::kNoTarget);
  }

  void RefusedForwardIsPlacedElsewhere() {
    Harness harness;
    ShowRemote(harness, "z2", 10, 0);
    const Action first = harness.Arrive().at(0);
    CPPUNIT_ASSERT_EQUAL(std::string("z2"), first.zone_);
    ShowRemote(harness, "z3", 10, 0);
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

  // Guards against refusals while the only other zone pauses after it refused another call.
  void WaitsWhileTheOtherZonePauses() {
    Harness harness;
    ShowRemote(harness, "z2", 10, 0);
    const CallHandle first = harness.Arrive().at(0).call_;
    OnForwardRefused(*harness.dispatcher_, first, "z2", harness.now_, harness.random_);
    CPPUNIT_ASSERT(harness.Arrive().empty());
    CPPUNIT_ASSERT(NextTick(*harness.dispatcher_, harness.now_) <= harness.now_ + milliseconds(20));
    harness.now_ += milliseconds(20);
    CPPUNIT_ASSERT_EQUAL(1, Count(harness.Tick(), ActionKind::kForward));
  }

  // A zone with a single target: its failures move the calls only if another zone has targets.
  void SingleFailingTargetYieldsToOtherZone() {
    const auto forwards_with = [](bool other_zone) {
      Harness harness({"a"});
      int forwards = 0;
      for (int call = 0; call < 50; ++call) {
        if (other_zone) ShowRemote(harness, "z2", 10, 0);
        Call request = harness.MakeCall();
        request.attempts_left_ = 1;
        const Actions actions = harness.Arrive(request);
        harness.now_ += milliseconds(2);
        forwards += Count(actions, ActionKind::kForward);
        if (Count(actions, ActionKind::kSend) == 1) {
          harness.Finish(request.handle_, SendResult::kFailed);
        }
      }
      return forwards;
    };
    CPPUNIT_ASSERT(forwards_with(true) > 40);
    CPPUNIT_ASSERT_EQUAL(0, forwards_with(false));
  }

 private:
  static void EarnTokens(Harness& harness) {
    for (int call = 0; call < 20; ++call) harness.Finish(harness.Arrive().at(0).call_);
  }

  // Calls that go to an idle zone z2, of calls that arrive 1 ms apart.
  static int ForwardsOf(Harness& harness, int calls) {
    int forwards = 0;
    for (int call = 0; call < calls; ++call) {
      ShowRemote(harness, "z2", 10, 0);
      harness.now_ += milliseconds(1);
      forwards += Count(harness.Arrive(), ActionKind::kForward);
    }
    return forwards;
  }

  static void ShowRemote(Harness& harness, const std::string& zone, int free, int queued,
                         int ready = 5) {
    OnRemoteShardLoad(*harness.dispatcher_, {zone, free, queued, ready, milliseconds(4)},
                      harness.now_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZonesTest);

}  // namespace monsoonshelf::dispatch::tests
