#include "dispatch/dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>

#include "dispatch/tests/harness.h"

namespace monsoonshelf::dispatch::tests {

using records::CallClass;

// Selection, queue, admission, health and edge cases.
class DispatcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatcherTest);
  CPPUNIT_TEST(SpreadsCallsAndQueuesTheRest);
  CPPUNIT_TEST(QueueOrder);
  CPPUNIT_TEST(QueueIsBounded);
  CPPUNIT_TEST(BatchWaitsUntilItsDeadline);
  CPPUNIT_TEST(BulkLeavesASlotToInteractive);
  CPPUNIT_TEST(RefusesCallsThatCannotFinish);
  CPPUNIT_TEST(ShedsByTheSlotsThatRespond);
  CPPUNIT_TEST(DeadlineIsCheckedAtSending);
  CPPUNIT_TEST(FailFastTargetIsLeftAndFoundAgain);
  CPPUNIT_TEST(FailuresOfNestedCallsAreNotHeldAgainstTargets);
  CPPUNIT_TEST(SlowTargetIsLeft);
  CPPUNIT_TEST(SlowerSlotServesALongQueue);
  CPPUNIT_TEST(LongCallDoesNotBlockItsTarget);
  CPPUNIT_TEST(ContradictedReportsAreDistrusted);
  CPPUNIT_TEST(ReportsLoseWeightWithAge);
  CPPUNIT_TEST(NoTargetsAtAll);
  CPPUNIT_TEST(AllDraining);
  CPPUNIT_TEST(LeavingTargetGetsNoNewWork);
  CPPUNIT_TEST(TimeThatJumps);
  CPPUNIT_TEST(NextTickComesDue);
  CPPUNIT_TEST(LateResultsAreIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against calls that collide at one target while another is idle.
  void SpreadsCallsAndQueuesTheRest() {
    Harness harness({"a", "b"});
    for (int call = 0; call < 2; ++call) harness.Arrive();
    CPPUNIT_ASSERT_EQUAL(1, harness.InFlight("a"));
    CPPUNIT_ASSERT_EQUAL(1, harness.InFlight("b"));
    for (int call = 0; call < 3; ++call) harness.Arrive();
    CPPUNIT_ASSERT_EQUAL(2, harness.InFlight("a"));
    CPPUNIT_ASSERT_EQUAL(2, harness.InFlight("b"));
    CPPUNIT_ASSERT_EQUAL(CallHandle{5}, harness.Finish(1).at(0).call_);
  }

  // Class first, then priority, then deadline.
  void QueueOrder() {
    Harness harness({"a"}, 1);
    harness.Arrive();
    const Call batch = harness.MakeCall(CallClass::kBatch);
    const Call bulk = harness.MakeCall(CallClass::kBulk);
    const Call transactional = harness.MakeCall(CallClass::kTransactional);
    Call late = harness.MakeCall();
    late.deadline_ += milliseconds(1);
    const Call early = harness.MakeCall();
    Call first = harness.MakeCall();
    first.priority_ = 1;
    first.deadline_ += milliseconds(2);
    for (const Call& call : {batch, bulk, transactional, late, early, first}) harness.Arrive(call);
    CallHandle running = 1;
    for (const Call& call : {first, early, late, transactional, bulk, batch}) {
      const Actions actions = harness.Finish(running);
      running = call.handle_;
      CPPUNIT_ASSERT_EQUAL(running, actions.at(0).call_);
    }
  }

  // Guards against a queue that grows without limit, and against a batch call that keeps an
  // interactive one out.
  void QueueIsBounded() {
    Harness harness({"a"}, 1);
    harness.settings_.max_queue_ = 2;
    OnSettingsChanged(*harness.dispatcher_, harness.settings_, harness.now_, harness.random_);
    harness.Arrive();
    harness.Arrive();
    const Call batch = harness.MakeCall(CallClass::kBatch);
    harness.Arrive(batch);
    const Actions replaced = harness.Arrive();
    CPPUNIT_ASSERT_EQUAL(batch.handle_, replaced.at(0).call_);
    CPPUNIT_ASSERT(replaced.at(0).code_ == ResultCode::kOverloaded);
    const Actions full = harness.Arrive();
    CPPUNIT_ASSERT(full.at(0).code_ == ResultCode::kQueueFull);
    CPPUNIT_ASSERT(full.at(0).outcome_ == CallOutcome::kNotRun);
    CPPUNIT_ASSERT_EQUAL(2, harness.Queued());
  }

  // Guards against a batch call that is dropped without an answer, and against one that is refused
  // because of its expected wait.
  void BatchWaitsUntilItsDeadline() {
    Harness harness({"a"});
    harness.Teach(CallClass::kBatch);
    harness.Arrive();
    harness.Arrive();
    Call batch = harness.MakeCall(CallClass::kBatch);
    batch.deadline_ = harness.now_ + milliseconds(14);
    CPPUNIT_ASSERT(harness.Arrive(batch).empty());
    CPPUNIT_ASSERT(NextTick(*harness.dispatcher_, harness.now_) <= batch.deadline_);
    harness.now_ = batch.deadline_;
    const Actions actions = harness.Tick();
    CPPUNIT_ASSERT_EQUAL(batch.handle_, actions.at(0).call_);
    CPPUNIT_ASSERT(actions.at(0).code_ == ResultCode::kDeadlinePassed);
  }

  void BulkLeavesASlotToInteractive() {
    Harness harness({"a"});
    harness.Arrive();
    harness.Finish(1);
    for (int call = 0; call < 3; ++call) harness.Arrive(CallClass::kBulk);
    CPPUNIT_ASSERT_EQUAL(1, harness.InFlight("a"));
    CPPUNIT_ASSERT_EQUAL(1, Count(harness.Arrive(), ActionKind::kSend));
    Harness idle({"a"});
    for (int call = 0; call < 3; ++call) idle.Arrive(CallClass::kBulk);
    CPPUNIT_ASSERT_EQUAL(2, idle.InFlight("a"));
  }

  void RefusesCallsThatCannotFinish() {
    Harness harness({"a"});
    const auto arrive_with = [&](int remaining_ms) {
      Call call = harness.MakeCall();
      call.deadline_ = harness.now_ + milliseconds(remaining_ms);
      return harness.Arrive(call);
    };
    harness.Arrive();
    harness.Arrive();
    CPPUNIT_ASSERT(arrive_with(1).empty());  // No evidence yet: never refused.
    harness.Finish(1);
    harness.now_ += milliseconds(1);
    harness.Finish(2);
    harness.Teach();
    for (int call = 0; call < 6; ++call) harness.Arrive();
    const Actions refused = arrive_with(20);  // The expected wait is 25 ms.
    CPPUNIT_ASSERT(refused.at(0).code_ == ResultCode::kDeadlineTooShort);
    CPPUNIT_ASSERT(refused.at(0).outcome_ == CallOutcome::kNotRun);
    CPPUNIT_ASSERT(arrive_with(200).empty());
    CPPUNIT_ASSERT(arrive_with(0).at(0).code_ == ResultCode::kDeadlinePassed);
  }

  // Guards against a queue that stays as long when targets stop responding.
  void ShedsByTheSlotsThatRespond() {
    const auto queue_with = [](const std::vector<std::string>& targets) {
      Harness harness(targets);
      for (int call = 0; call < 200; ++call) {
        for (const Action& action : harness.Arrive()) {
          if (action.kind_ != ActionKind::kRefuse) continue;
          CPPUNIT_ASSERT(action.code_ == ResultCode::kOverloaded);
        }
      }
      return harness.Queued();
    };
    CPPUNIT_ASSERT_EQUAL(2 * queue_with({"a"}), queue_with({"a", "b"}));
  }

  void DeadlineIsCheckedAtSending() {
    Harness harness({"a"}, 1);
    harness.Teach();
    harness.Arrive();
    Call call = harness.MakeCall();
    call.deadline_ = harness.now_ + milliseconds(30);
    CPPUNIT_ASSERT(harness.Arrive(call).empty());
    harness.now_ += milliseconds(28);
    const Actions actions = harness.Finish(harness.sent_.begin()->first);
    CPPUNIT_ASSERT(actions.at(0).kind_ == ActionKind::kRefuse);
    CPPUNIT_ASSERT(actions.at(0).code_ == ResultCode::kDeadlineTooShort);
  }

  // A target that fails in 1 ms is idle most of the time, which must not attract calls.
  void FailFastTargetIsLeftAndFoundAgain() {
    Harness harness({"a", "b"});
    int at_bad = 0;
    const auto run = [&](bool bad_fails) {
      at_bad = 0;
      for (int call = 0; call < 300; ++call) {
        Call request = harness.MakeCall();
        request.attempts_left_ = 1;
        const Actions actions = harness.Arrive(request);
        const bool bad = actions.at(0).target_ == "a";
        at_bad += bad ? 1 : 0;
        harness.now_ += milliseconds(bad && bad_fails ? 1 : 10);
        harness.Finish(request.handle_,
                       bad && bad_fails ? SendResult::kFailed : SendResult::kAnswered);
      }
    };
    run(true);
    CPPUNIT_ASSERT(at_bad < 40);
    harness.now_ += std::chrono::seconds(10);
    run(false);
    CPPUNIT_ASSERT(at_bad > 100);
  }

  void FailuresOfNestedCallsAreNotHeldAgainstTargets() {
    Harness harness({"a", "b"});
    for (int call = 0; call < 100; ++call) {
      const Action sent = harness.Arrive().at(0);
      harness.now_ += milliseconds(10);
      OnRetryBudgetReturned(*harness.dispatcher_, sent.call_, 0);
      harness.Finish(sent.call_, sent.target_ == "a" ? SendResult::kFailed : SendResult::kAnswered);
      CPPUNIT_ASSERT(harness.finished_);  // The budget came back as 0, so there is no retry.
    }
    CPPUNIT_ASSERT_EQUAL(4, Summarize(*harness.dispatcher_, harness.now_).free_slots_);
  }

  void SlowTargetIsLeft() {
    Harness harness({"a", "b"});
    int at_slow = 0;
    for (int call = 0; call < 200; ++call) {
      const Action sent = harness.Arrive().at(0);
      const bool slow = sent.target_ == "a";
      at_slow += slow ? 1 : 0;
      harness.now_ += milliseconds(slow ? 100 : 10);
      harness.Finish(sent.call_);
    }
    CPPUNIT_ASSERT(at_slow < 40);
    // Both slots of the fast target are taken; its next slot comes sooner than the slow answer.
    for (int call = 0; call < 2; ++call) harness.Arrive();
    CPPUNIT_ASSERT_EQUAL(2, harness.InFlight("b"));
    CPPUNIT_ASSERT(harness.Arrive().empty());
  }

  // Guards against calls that go to a slower free slot although waiting is quicker, and against a
  // slower slot that stays idle while many wait.
  void SlowerSlotServesALongQueue() {
    Harness harness({"a", "b"});
    for (int call = 0; call < 100; ++call) {
      const Action sent = harness.Arrive().at(0);
      harness.now_ += milliseconds(sent.target_ == "a" ? 25 : 10);
      harness.Finish(sent.call_);
    }
    for (int call = 0; call < 3; ++call) harness.Arrive();
    CPPUNIT_ASSERT_EQUAL(2, harness.InFlight("b"));
    CPPUNIT_ASSERT_EQUAL(0, harness.InFlight("a"));
    for (int call = 0; call < 7; ++call) harness.Arrive();
    CPPUNIT_ASSERT(harness.InFlight("a") > 0);
  }

  // Guards against a free slot that stays idle beside a long call, for want of a faster target.
  void LongCallDoesNotBlockItsTarget() {
    Harness harness({"a"});
    harness.Teach();
    harness.Arrive();
    harness.now_ += milliseconds(500);
    CPPUNIT_ASSERT_EQUAL(1, Count(harness.Arrive(), ActionKind::kSend));
  }

  // Guards against a target that is passed over because of reports that missed calls seen there.
  void ContradictedReportsAreDistrusted() {
    const auto next_after = [](int reported) {
      Harness harness({"a"}, 4);
      const CallHandle older = harness.Arrive().at(0).call_;
      for (int call = 0; call < 6; ++call) {
        harness.now_ += milliseconds(1);
        harness.Finish(harness.Arrive().at(0).call_, SendResult::kAnswered,
                       Harness::Report(TargetPhase::kReady, 1, reported));
      }
      const CallHandle last = harness.Arrive().at(0).call_;
      // While "a" is full, a waiting call makes the dispatcher confirm "b".
      const CallHandle more[] = {harness.Arrive().at(0).call_, harness.Arrive().at(0).call_};
      OnTargetSnapshots(*harness.dispatcher_, {{"b", TargetPhase::kReady, 1}}, harness.now_);
      harness.SetTargets({"a", "b"});
      harness.Confirm();
      for (const CallHandle call : more) {
        harness.Finish(call, SendResult::kAnswered, std::nullopt);
      }
      harness.Finish(older, SendResult::kAnswered, std::nullopt);
      harness.Finish(last, SendResult::kAnswered, Harness::Report(TargetPhase::kReady, 1, 4));
      harness.Arrive();
      return harness.Arrive().at(0).target_ == harness.sent_.begin()->second.target_;
    };
    CPPUNIT_ASSERT(next_after(2));   // Trusted: "a" seems busy, so "b" gets both calls.
    CPPUNIT_ASSERT(!next_after(0));  // Distrusted: each target gets one.
  }

  // Guards against collisions with calls of other hosts, and against reports that count for ever.
  void ReportsLoseWeightWithAge() {
    Harness harness({"a", "b"}, 4);
    const auto busy = Harness::Report(TargetPhase::kReady, 1, 3);
    const CallHandle first = harness.Arrive().at(0).call_;
    const std::string reporter = harness.sent_.at(first).target_;
    harness.Finish(first, SendResult::kAnswered, busy);  // Calls of other hosts at this target.
    CPPUNIT_ASSERT(harness.Arrive().at(0).target_ != reporter);
    harness.now_ += milliseconds(500);  // The report has aged.
    CPPUNIT_ASSERT_EQUAL(reporter, harness.Arrive().at(0).target_);
  }

  void NoTargetsAtAll() {
    Harness harness;
    CPPUNIT_ASSERT(harness.Arrive().at(0).code_ == ResultCode::kNoTarget);
    CPPUNIT_ASSERT(harness.Tick().empty());
    CPPUNIT_ASSERT(NextTick(*harness.dispatcher_, harness.now_) > harness.now_);
  }

  void AllDraining() {
    Harness harness({"a"});
    harness.Arrive();
    harness.Finish(1, SendResult::kAnswered, Harness::Report(TargetPhase::kDraining));
    CPPUNIT_ASSERT(harness.Arrive().at(0).code_ == ResultCode::kNoTarget);
  }

  // Guards against new work on a leaving target, waiting calls included.
  void LeavingTargetGetsNoNewWork() {
    Harness harness({"a"}, 1);
    harness.Arrive();
    harness.Arrive();
    const Actions actions = harness.SetTargets({"a"}, false);
    CPPUNIT_ASSERT_EQUAL(CallHandle{2}, actions.at(0).call_);
    CPPUNIT_ASSERT(actions.at(0).code_ == ResultCode::kNoTarget);
    harness.Finish(1);
    CPPUNIT_ASSERT(harness.Arrive().at(0).code_ == ResultCode::kNoTarget);
    harness.SetTargets({"a"});
    CPPUNIT_ASSERT(harness.PhaseOf("a") == TargetPhase::kCold);
  }

  // Guards against decisions on a clock that runs backwards, and against calls sent after a pause
  // of the process.
  void TimeThatJumps() {
    Harness harness({"a"}, 1);
    harness.Arrive();
    const Call waiting = harness.MakeCall();
    harness.Arrive(waiting);
    harness.now_ += std::chrono::hours(1);
    const Actions actions = harness.Finish(1);
    CPPUNIT_ASSERT(actions.at(0).code_ == ResultCode::kDeadlinePassed);
    harness.now_ -= std::chrono::hours(2);
    CPPUNIT_ASSERT(harness.Arrive().at(0).code_ == ResultCode::kDeadlinePassed);
  }

  // Guards against a tick that is never due for an owner that asks again at the time it was told.
  void NextTickComesDue() {
    Harness harness({"a"}, 1);
    harness.Tick();
    harness.Arrive();
    const Call waiting = harness.MakeCall();
    harness.Arrive(waiting);
    int ticks = 0;
    while (harness.Queued() > 0 && ticks < 1000) {
      const Time next = NextTick(*harness.dispatcher_, harness.now_);
      CPPUNIT_ASSERT(next > harness.now_);
      harness.now_ = next;
      CPPUNIT_ASSERT(NextTick(*harness.dispatcher_, harness.now_) <= harness.now_);
      harness.Tick();
      ++ticks;
    }
    CPPUNIT_ASSERT(harness.now_ == waiting.deadline_);
  }

  // Guards against slots that are freed twice.
  void LateResultsAreIgnored() {
    Harness harness({"a"}, 1);
    harness.Arrive();
    const std::string target = harness.sent_.at(1).target_;
    harness.Finish(1);
    harness.Arrive();
    bool finished = false;
    OnSendFinished(*harness.dispatcher_, 1, target, SendResult::kAnswered, std::nullopt,
                   harness.now_, harness.random_, &finished);
    OnSendFinished(*harness.dispatcher_, 2, "other", SendResult::kAnswered, std::nullopt,
                   harness.now_, harness.random_, &finished);
    CPPUNIT_ASSERT(harness.Arrive().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherTest);

}  // namespace monsoonshelf::dispatch::tests
