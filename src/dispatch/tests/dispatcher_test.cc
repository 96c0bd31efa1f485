#include "dispatch/dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>

namespace monsoonshelf::dispatch {

namespace {

constexpr Time At(int milliseconds) { return Time(std::chrono::milliseconds(milliseconds)); }

}  // namespace

class DispatcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatcherTest);
  CPPUNIT_TEST(SpreadsCallsAndQueuesTheRest);
  CPPUNIT_TEST(RefusesWithoutTargets);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    ShardSettings settings;
    settings.max_queue_ = 1;
    dispatcher_ = MakeDispatcher(settings, At(0));
    OnTargetKnowledge(*dispatcher_, {{"a", TargetPhase::kReady, 1}, {"b", TargetPhase::kReady, 1}},
                      At(0));
  }

  Actions Arrive(CallHandle handle) {
    Call call;
    call.handle_ = handle;
    call.deadline_ = At(1000);
    return OnCallArrived(*dispatcher_, call, At(0), random_);
  }

  // Guards against calls that collide at one target while another is idle, and against a queue
  // without bound.
  void SpreadsCallsAndQueuesTheRest() {
    OnTargetsChanged(*dispatcher_, {{"a"}, {"b"}}, At(0), random_);
    const std::string first = Arrive(1).at(0).target_;
    CPPUNIT_ASSERT(first != Arrive(2).at(0).target_);
    CPPUNIT_ASSERT(Arrive(3).at(0).target_ != Arrive(4).at(0).target_);
    CPPUNIT_ASSERT(Arrive(5).empty());
    CPPUNIT_ASSERT(Arrive(6).at(0).code_ == ResultCode::kQueueFull);
    bool finished = false;
    const Actions next = OnSendFinished(*dispatcher_, 1, first, SendResult::kAnswered, std::nullopt,
                                        At(5), random_, &finished);
    CPPUNIT_ASSERT(finished);
    CPPUNIT_ASSERT_EQUAL(CallHandle{5}, next.at(0).call_);
    CPPUNIT_ASSERT_EQUAL(first, next.at(0).target_);
  }

  // Guards against calls that wait although no target exists.
  void RefusesWithoutTargets() { CPPUNIT_ASSERT(Arrive(1).at(0).code_ == ResultCode::kNoTarget); }

 private:
  DispatcherPtr dispatcher_;
  Random random_{1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherTest);

}  // namespace monsoonshelf::dispatch
