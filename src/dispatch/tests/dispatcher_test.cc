#include "dispatch/dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>

#include "dispatch/tests/harness.h"

namespace monsoonshelf::dispatch::tests {

using records::CallClass;

// Target selection, queue, admission control, target health and edge cases.
class DispatcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatcherTest);
  CPPUNIT_TEST(SpreadsCallsAndQueuesTheRest);
  CPPUNIT_TEST(ServesQueueByClassPriorityAndDeadline);
  CPPUNIT_TEST(QueueIsBounded);
  CPPUNIT_TEST(BatchWaitsUntilItsDeadline);
  CPPUNIT_TEST(BulkLeavesASlotForInteractive);
  CPPUNIT_TEST(RefusesCallsThatWouldMissTheirDeadline);
  CPPUNIT_TEST(QueueLimitFollowsAvailableSlots);
  CPPUNIT_TEST(ChecksDeadlineBeforeSending);
  CPPUNIT_TEST(EjectsAndReadmitsFastFailingTarget);
  CPPUNIT_TEST(NestedFailuresDoNotEjectTargets);
  CPPUNIT_TEST(AvoidsSlowTarget);
  CPPUNIT_TEST(UsesSlowerTargetForALongQueue);
  CPPUNIT_TEST(LongCallDoesNotBlockItsTarget);
  CPPUNIT_TEST(ContradictedReportsLoseConfidence);
  CPPUNIT_TEST(LoadReportsDecayWithAge);
  CPPUNIT_TEST(RefusesCallsWithoutTargets);
  CPPUNIT_TEST(RefusesCallsIfAllTargetsDrain);
  CPPUNIT_TEST(LeavingTargetReceivesNoNewCalls);
  CPPUNIT_TEST(HandlesClockJumps);
  CPPUNIT_TEST(NextTickBecomesDue);
  CPPUNIT_TEST(IgnoresResultsOfEndedSends);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against several calls at one target while another target is idle.
  void SpreadsCallsAndQueuesTheRest() {
    Harness harness({"a", "b"});
    for (int call = 0; call < 2; ++call) harness.ArriveCall();
    CPPUNIT_ASSERT_EQUAL(1, harness.InFlight("a"));
    CPPUNIT_ASSERT_EQUAL(1, harness.InFlight("b"));
    for (int call = 0; call < 3; ++call) harness.ArriveCall();
    CPPUNIT_ASSERT_EQUAL(2, harness.InFlight("a"));
    CPPUNIT_ASSERT_EQUAL(2, harness.InFlight("b"));
    CPPUNIT_ASSERT_EQUAL(CallHandle{5}, harness.FinishSend(1).at(0).call_);
  }

  void ServesQueueByClassPriorityAndDeadline() {
    Harness harness({"a"}, 1);
    harness.ArriveCall();
    const Call batch = harness.MakeCall(CallClass::kBatch);
    const Call bulk = harness.MakeCall(CallClass::kBulk);
    const Call transactional = harness.MakeCall(CallClass::kTransactional);
    Call late = harness.MakeCall();
    late.deadline_ += milliseconds(1);
    const Call early = harness.MakeCall();
    Call first = harness.MakeCall();
    first.priority_ = 1;
    first.deadline_ += milliseconds(2);
    for (const Call& call : {batch, bulk, transactional, late, early, first})
      harness.ArriveCall(call);
    CallHandle running = 1;
    for (const Call& call : {first, early, late, transactional, bulk, batch}) {
      const Actions actions = harness.FinishSend(running);
      running = call.handle_;
      CPPUNIT_ASSERT_EQUAL(running, actions.at(0).call_);
    }
  }

  // Guards against a queue that grows without limit, and against queued batch calls that prevent an
  // interactive call from being queued.
  void QueueIsBounded() {
    Harness harness({"a"}, 1);
    harness.settings_.max_queue_ = 2;
    OnSettingsChanged(*harness.dispatcher_, harness.settings_, harness.now_, harness.random_);
    harness.ArriveCall();
    harness.ArriveCall();
    const Call batch = harness.MakeCall(CallClass::kBatch);
    harness.ArriveCall(batch);
    const Actions replaced = harness.ArriveCall();
    CPPUNIT_ASSERT_EQUAL(batch.handle_, replaced.at(0).call_);
    CPPUNIT_ASSERT(replaced.at(0).code_ == ResultCode::kOverloaded);
    const Actions full = harness.ArriveCall();
    CPPUNIT_ASSERT(full.at(0).code_ == ResultCode::kQueueFull);
    CPPUNIT_ASSERT(full.at(0).outcome_ == CallOutcome::kNotRun);
    CPPUNIT_ASSERT_EQUAL(2, harness.QueuedCalls());
  }

  // Guards against a batch call that is dropped without an answer or refused because of its
  // expected wait.
  void BatchWaitsUntilItsDeadline() {
    Harness harness({"a"});
    harness.LearnServiceTimes(CallClass::kBatch);
    harness.ArriveCall();
    harness.ArriveCall();
    Call batch = harness.MakeCall(CallClass::kBatch);
    batch.deadline_ = harness.now_ + milliseconds(14);
    CPPUNIT_ASSERT(harness.ArriveCall(batch).empty());
    CPPUNIT_ASSERT(NextTick(*harness.dispatcher_, harness.now_) <= batch.deadline_);
    harness.now_ = batch.deadline_;
    const Actions actions = harness.Tick();
    CPPUNIT_ASSERT_EQUAL(batch.handle_, actions.at(0).call_);
    CPPUNIT_ASSERT(actions.at(0).code_ == ResultCode::kDeadlinePassed);
  }

  void BulkLeavesASlotForInteractive() {
    Harness harness({"a"});
    harness.ArriveCall();
    harness.FinishSend(1);
    for (int call = 0; call < 3; ++call) harness.ArriveCall(CallClass::kBulk);
    CPPUNIT_ASSERT_EQUAL(1, harness.InFlight("a"));
    CPPUNIT_ASSERT_EQUAL(1, CountActions(harness.ArriveCall(), ActionKind::kSend));
    Harness idle({"a"});
    for (int call = 0; call < 3; ++call) idle.ArriveCall(CallClass::kBulk);
    CPPUNIT_ASSERT_EQUAL(2, idle.InFlight("a"));
  }

  void RefusesCallsThatWouldMissTheirDeadline() {
    Harness harness({"a"});
    const auto arrive_with = [&](int remaining_ms) {
      Call call = harness.MakeCall();
      call.deadline_ = harness.now_ + milliseconds(remaining_ms);
      return harness.ArriveCall(call);
    };
    harness.ArriveCall();
    harness.ArriveCall();
    CPPUNIT_ASSERT(arrive_with(1).empty());  // Not refused, because no service times are known.
    harness.FinishSend(1);
    harness.now_ += milliseconds(1);
    harness.FinishSend(2);
    harness.LearnServiceTimes();
    for (int call = 0; call < 6; ++call) harness.ArriveCall();
    const Actions refused = arrive_with(20);  // The expected wait is 25 ms.
    CPPUNIT_ASSERT(refused.at(0).code_ == ResultCode::kDeadlineTooShort);
    CPPUNIT_ASSERT(refused.at(0).outcome_ == CallOutcome::kNotRun);
    CPPUNIT_ASSERT(arrive_with(200).empty());
    CPPUNIT_ASSERT(arrive_with(0).at(0).code_ == ResultCode::kDeadlinePassed);
  }

  // Guards against a queue limit that does not depend on the number of available slots.
  void QueueLimitFollowsAvailableSlots() {
    const auto queue_with = [](const std::vector<std::string>& targets) {
      Harness harness(targets);
      for (int call = 0; call < 200; ++call) {
        for (const Action& action : harness.ArriveCall()) {
          if (action.kind_ != ActionKind::kRefuse) continue;
          CPPUNIT_ASSERT(action.code_ == ResultCode::kOverloaded);
        }
      }
      return harness.QueuedCalls();
    };
    CPPUNIT_ASSERT_EQUAL(2 * queue_with({"a"}), queue_with({"a", "b"}));
  }

  void ChecksDeadlineBeforeSending() {
    Harness harness({"a"}, 1);
    harness.LearnServiceTimes();
    harness.ArriveCall();
    Call call = harness.MakeCall();
    call.deadline_ = harness.now_ + milliseconds(30);
    CPPUNIT_ASSERT(harness.ArriveCall(call).empty());
    harness.now_ += milliseconds(28);
    const Actions actions = harness.FinishSend(harness.sent_.begin()->first);
    CPPUNIT_ASSERT(actions.at(0).kind_ == ActionKind::kRefuse);
    CPPUNIT_ASSERT(actions.at(0).code_ == ResultCode::kDeadlineTooShort);
  }

  // A target that fails each call in 1 ms is idle most of the time. Guards against a preference for
  // such a target, and against an ejection that does not end after the target has recovered.
  void EjectsAndReadmitsFastFailingTarget() {
    Harness harness({"a", "b"});
    int at_bad = 0;
    const auto run_calls = [&](bool bad_fails) {
      at_bad = 0;
      for (int call = 0; call < 300; ++call) {
        Call request = harness.MakeCall();
        request.attempts_left_ = 1;
        const Actions actions = harness.ArriveCall(request);
        const bool bad = actions.at(0).target_ == "a";
        at_bad += bad ? 1 : 0;
        harness.now_ += milliseconds(bad && bad_fails ? 1 : 10);
        harness.FinishSend(request.handle_,
                           bad && bad_fails ? SendResult::kFailed : SendResult::kAnswered);
      }
    };
    run_calls(true);
    CPPUNIT_ASSERT(at_bad < 40);
    harness.now_ += std::chrono::seconds(10);
    run_calls(false);
    CPPUNIT_ASSERT(at_bad > 100);
  }

  void NestedFailuresDoNotEjectTargets() {
    Harness harness({"a", "b"});
    for (int call = 0; call < 100; ++call) {
      const Action sent = harness.ArriveCall().at(0);
      harness.now_ += milliseconds(10);
      OnRetryBudgetReturned(*harness.dispatcher_, sent.call_, 0);
      harness.FinishSend(sent.call_,
                         sent.target_ == "a" ? SendResult::kFailed : SendResult::kAnswered);
      CPPUNIT_ASSERT(harness.call_finished_);  // A returned retry budget of 0 prevents a retry.
    }
    CPPUNIT_ASSERT_EQUAL(4, Summarize(*harness.dispatcher_, harness.now_).free_slots_);
  }

  void AvoidsSlowTarget() {
    Harness harness({"a", "b"});
    int at_slow = 0;
    for (int call = 0; call < 200; ++call) {
      const Action sent = harness.ArriveCall().at(0);
      const bool slow = sent.target_ == "a";
      at_slow += slow ? 1 : 0;
      harness.now_ += milliseconds(slow ? 100 : 10);
      harness.FinishSend(sent.call_);
    }
    CPPUNIT_ASSERT(at_slow < 40);
    // Both slots of the fast target are taken, but waiting for one is faster than the slow target.
    for (int call = 0; call < 2; ++call) harness.ArriveCall();
    CPPUNIT_ASSERT_EQUAL(2, harness.InFlight("b"));
    CPPUNIT_ASSERT(harness.ArriveCall().empty());
  }

  // Guards against calls to a slower target when waiting for the faster one takes less time, and
  // against a slower target that stays idle while many calls are queued.
  void UsesSlowerTargetForALongQueue() {
    Harness harness({"a", "b"});
    for (int call = 0; call < 100; ++call) {
      const Action sent = harness.ArriveCall().at(0);
      harness.now_ += milliseconds(sent.target_ == "a" ? 25 : 10);
      harness.FinishSend(sent.call_);
    }
    for (int call = 0; call < 3; ++call) harness.ArriveCall();
    CPPUNIT_ASSERT_EQUAL(2, harness.InFlight("b"));
    CPPUNIT_ASSERT_EQUAL(0, harness.InFlight("a"));
    for (int call = 0; call < 7; ++call) harness.ArriveCall();
    CPPUNIT_ASSERT(harness.InFlight("a") > 0);
  }

  // A long call makes its target look slow. Guards against a free slot of that target that stays
  // idle although there is no faster target.
  void LongCallDoesNotBlockItsTarget() {
    Harness harness({"a"});
    harness.LearnServiceTimes();
    harness.ArriveCall();
    harness.now_ += milliseconds(500);
    CPPUNIT_ASSERT_EQUAL(1, CountActions(harness.ArriveCall(), ActionKind::kSend));
  }

  // Guards against a target that is avoided because of load reports that do not include calls which
  // were in flight there.
  void ContradictedReportsLoseConfidence() {
    const auto next_after = [](int reported) {
      Harness harness({"a"}, 4);
      const CallHandle older = harness.ArriveCall().at(0).call_;
      for (int call = 0; call < 6; ++call) {
        harness.now_ += milliseconds(1);
        harness.FinishSend(harness.ArriveCall().at(0).call_, SendResult::kAnswered,
                           Harness::MakeReport(TargetPhase::kReady, 1, reported));
      }
      const CallHandle last = harness.ArriveCall().at(0).call_;
      // While "a" is full, a queued call makes the dispatcher confirm "b".
      const CallHandle more[] = {harness.ArriveCall().at(0).call_,
                                 harness.ArriveCall().at(0).call_};
      OnTargetSnapshots(*harness.dispatcher_, {{"b", TargetPhase::kReady, 1}}, harness.now_);
      harness.SetTargets({"a", "b"});
      harness.AnswerConfirmationProbes();
      for (const CallHandle call : more) {
        harness.FinishSend(call, SendResult::kAnswered, std::nullopt);
      }
      harness.FinishSend(older, SendResult::kAnswered, std::nullopt);
      harness.FinishSend(last, SendResult::kAnswered,
                         Harness::MakeReport(TargetPhase::kReady, 1, 4));
      harness.ArriveCall();
      return harness.ArriveCall().at(0).target_ == harness.sent_.begin()->second.target_;
    };
    CPPUNIT_ASSERT(next_after(2));   // The report counts: "a" appears busy, so "b" gets both calls.
    CPPUNIT_ASSERT(!next_after(0));  // The report has little weight: each target gets one.
  }

  // Guards against calls to a target that is busy with calls of other hosts, and against load
  // reports that never lose their weight.
  void LoadReportsDecayWithAge() {
    Harness harness({"a", "b"}, 4);
    const auto busy = Harness::MakeReport(TargetPhase::kReady, 1, 3);
    const CallHandle first = harness.ArriveCall().at(0).call_;
    const std::string reporter = harness.sent_.at(first).target_;
    harness.FinishSend(first, SendResult::kAnswered, busy);  // Includes calls of other hosts.
    CPPUNIT_ASSERT(harness.ArriveCall().at(0).target_ != reporter);
    harness.now_ += milliseconds(500);  // The report has aged.
    CPPUNIT_ASSERT_EQUAL(reporter, harness.ArriveCall().at(0).target_);
  }

  void RefusesCallsWithoutTargets() {
    Harness harness;
    CPPUNIT_ASSERT(harness.ArriveCall().at(0).code_ == ResultCode::kNoTarget);
    CPPUNIT_ASSERT(harness.Tick().empty());
    CPPUNIT_ASSERT(NextTick(*harness.dispatcher_, harness.now_) > harness.now_);
  }

  void RefusesCallsIfAllTargetsDrain() {
    Harness harness({"a"});
    harness.ArriveCall();
    harness.FinishSend(1, SendResult::kAnswered, Harness::MakeReport(TargetPhase::kDraining));
    CPPUNIT_ASSERT(harness.ArriveCall().at(0).code_ == ResultCode::kNoTarget);
  }

  // Guards against new or queued calls that are sent to a leaving target.
  void LeavingTargetReceivesNoNewCalls() {
    Harness harness({"a"}, 1);
    harness.ArriveCall();
    harness.ArriveCall();
    const Actions actions = harness.SetTargets({"a"}, false);
    CPPUNIT_ASSERT_EQUAL(CallHandle{2}, actions.at(0).call_);
    CPPUNIT_ASSERT(actions.at(0).code_ == ResultCode::kNoTarget);
    harness.FinishSend(1);
    CPPUNIT_ASSERT(harness.ArriveCall().at(0).code_ == ResultCode::kNoTarget);
    harness.SetTargets({"a"});
    CPPUNIT_ASSERT(harness.PhaseOf("a") == TargetPhase::kCold);
  }

  // Guards against calls that are sent after their deadline because the process was paused, and
  // against a clock that goes backwards.
  void HandlesClockJumps() {
    Harness harness({"a"}, 1);
    harness.ArriveCall();
    const Call waiting = harness.MakeCall();
    harness.ArriveCall(waiting);
    harness.now_ += std::chrono::hours(1);
    const Actions actions = harness.FinishSend(1);
    CPPUNIT_ASSERT(actions.at(0).code_ == ResultCode::kDeadlinePassed);
    harness.now_ -= std::chrono::hours(2);
    CPPUNIT_ASSERT(harness.ArriveCall().at(0).code_ == ResultCode::kDeadlinePassed);
  }

  // Guards against a tick time that moves forward with each query and is therefore never due.
  void NextTickBecomesDue() {
    Harness harness({"a"}, 1);
    harness.Tick();
    harness.ArriveCall();
    const Call waiting = harness.MakeCall();
    harness.ArriveCall(waiting);
    int ticks = 0;
    while (harness.QueuedCalls() > 0 && ticks < 1000) {
      const Time next = NextTick(*harness.dispatcher_, harness.now_);
      CPPUNIT_ASSERT(next > harness.now_);
      harness.now_ = next;
      CPPUNIT_ASSERT(NextTick(*harness.dispatcher_, harness.now_) <= harness.now_);
      harness.Tick();
      ++ticks;
    }
    CPPUNIT_ASSERT(harness.now_ == waiting.deadline_);
  }

  // Guards against slots that are released twice.
  void IgnoresResultsOfEndedSends() {
    Harness harness({"a"}, 1);
    harness.ArriveCall();
    const std::string target = harness.sent_.at(1).target_;
    harness.FinishSend(1);
    harness.ArriveCall();
    bool finished = false;
    OnSendFinished(*harness.dispatcher_, 1, target, SendResult::kAnswered, std::nullopt,
                   harness.now_, harness.random_, &finished);
    OnSendFinished(*harness.dispatcher_, 2, "other", SendResult::kAnswered, std::nullopt,
                   harness.now_, harness.random_, &finished);
    CPPUNIT_ASSERT(harness.ArriveCall().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherTest);

}  // namespace monsoonshelf::dispatch::tests
