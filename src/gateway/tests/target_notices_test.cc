#include "gateway/target_notices.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "gateway/tests/mocks/fake_target.h"
#include "gateway/tests/mocks/gateway_host.h"

namespace monsoonshelf::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::FakeTarget;
using tests::GatewayHost;
using Behaviour = FakeTarget::Behaviour;
using Response = GatewayHost::Response;

const http::Headers kLeaving = {{"Leaving", "1"}};
constexpr milliseconds kPause{800};
// Longer than the pause and what is added to it, and than the time for which a target that failed
// once is avoided.
constexpr milliseconds kAfterPause{1900};

http::Headers PauseHeaders() { return {{"Pause-Ms", std::to_string(kPause.count())}}; }

Time AtMs(int ms) { return Time(milliseconds(ms)); }

}  // namespace

// Targets that say in their responses that they leave or want a pause.
class TargetNoticesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetNoticesTest);
  CPPUNIT_TEST(PauseIsNeverShortened);
  CPPUNIT_TEST(PauseIsBounded);
  CPPUNIT_TEST(HostsReturnAtDifferentTimes);
  CPPUNIT_TEST(LeavingTargetGetsNoMoreRequests);
  CPPUNIT_TEST(TargetThatSaysInAProbeThatItLeavesGetsNoRequest);
  CPPUNIT_TEST(TargetThatLeavesDuringAStoreOutageGetsNoMoreRequests);
  CPPUNIT_TEST(LeavingTargetGetsRequestsAfterItStartedAgain);
  CPPUNIT_TEST(ResponseOfAnEarlierIncarnationChangesNothing);
  CPPUNIT_TEST(PausedTargetGetsNoRequests);
  CPPUNIT_TEST(RequestIsRejectedAtOnceIfAllTargetsWantAPause);
  CPPUNIT_TEST(CallerIsNotToldThatATargetLeaves);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tearDown() override {
    host_ = nullptr;
    targets_.clear();
  }

  void PauseIsNeverShortened() {
    TargetNotices notices;
    Random random(7);
    CPPUNIT_ASSERT(WantsRequests(notices, AtMs(0)));
    CPPUNIT_ASSERT(ApplyNotice(notices, Pause(seconds(4)), random, AtMs(1000)).paused_);
    CPPUNIT_ASSERT(!ApplyNotice(notices, Pause(seconds(1)), random, AtMs(1500)).paused_);
    CPPUNIT_ASSERT(!ApplyNotice(notices, Pause(seconds(0)), random, AtMs(1500)).paused_);
    CPPUNIT_ASSERT(!WantsRequests(notices, AtMs(4999)));
    CPPUNIT_ASSERT(WantsRequests(notices, AtMs(6001)));
  }

  // Guards against losing a target for hours because of one wrong header.
  void PauseIsBounded() {
    TargetNotices notices;
    Random random(7);
    ApplyNotice(notices, Pause(std::chrono::hours(24 * 365)), random, AtMs(0));
    CPPUNIT_ASSERT(!WantsRequests(notices, Time(kMaxTargetPause - milliseconds(1))));
    CPPUNIT_ASSERT(WantsRequests(notices, Time(kMaxTargetPause + seconds(2))));
  }

  // Guards against all hosts returning to the target at the same moment.
  void HostsReturnAtDifferentTimes() {
    int returned = 0;
    for (int host = 0; host < 100; ++host) {
      TargetNotices notices;
      Random random(host);
      ApplyNotice(notices, Pause(seconds(4)), random, AtMs(0));
      CPPUNIT_ASSERT(!WantsRequests(notices, AtMs(3999)));
      CPPUNIT_ASSERT(WantsRequests(notices, AtMs(5001)));
      if (WantsRequests(notices, AtMs(4500))) ++returned;
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(returned) + " of 100", returned > 30 && returned < 70);
  }

  void LeavingTargetGetsNoMoreRequests() {
    for (const Behaviour behaviour :
         {Behaviour::kResponds, Behaviour::kRejects, Behaviour::kReturnsError}) {
      Start(2);
      targets_[0]->behaviour_ = behaviour;
      targets_[0]->response_headers_ = kLeaving;
      CallUntilRequested(*targets_[0]);
      ExpectNoRequests(*targets_[0]);
      CPPUNIT_ASSERT(host_->HasMetric("target_notices_total", "leaving"));
    }
  }

  void TargetThatSaysInAProbeThatItLeavesGetsNoRequest() {
    Start(2);
    targets_[0]->probe_headers_ = kLeaving;
    ExpectNoRequests(*targets_[0]);
    CPPUNIT_ASSERT_EQUAL(0, targets_[0]->requests_received_);
  }

  // The store's record still says that the target is ready.
  void TargetThatLeavesDuringAStoreOutageGetsNoMoreRequests() {
    Start(2);
    host_->store_.status_ = StoreStatus::kUnreachable;
    host_->store_.ExpireWatches();
    targets_[0]->response_headers_ = kLeaving;
    CallUntilRequested(*targets_[0]);
    ExpectNoRequests(*targets_[0]);
  }

  void LeavingTargetGetsRequestsAfterItStartedAgain() {
    Start(2);
    targets_[0]->response_headers_ = kLeaving;
    CallUntilRequested(*targets_[0]);
    ExpectNoRequests(*targets_[0]);
    targets_[0]->response_headers_.clear();
    Restart(*targets_[0]);
    CallUntilRequested(*targets_[0]);
  }

  void ResponseOfAnEarlierIncarnationChangesNothing() {
    Start(1);
    FakeTarget& target = *targets_[0];
    target.behaviour_ = Behaviour::kHoldsRequest;
    target.response_headers_ = kLeaving;
    Response held;
    host_->Send("/safe/x", {}, held);
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return !target.held_.empty(); }));
    Restart(target);
    host_->loop_.RunFor(milliseconds(500));
    target.RespondToHeld(target.held_.begin()->first);
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] { return held.done_; }));
    CPPUNIT_ASSERT_EQUAL(200, held.status_);
    target.behaviour_ = Behaviour::kResponds;
    target.response_headers_.clear();
    CPPUNIT_ASSERT_EQUAL(200, host_->Call("/safe/x").status_);
  }

  void PausedTargetGetsNoRequests() {
    Start(2);
    targets_[0]->behaviour_ = Behaviour::kRejects;
    targets_[0]->response_headers_ = PauseHeaders();
    CallUntilRequested(*targets_[0]);
    const Time paused_at = Now();
    targets_[0]->behaviour_ = Behaviour::kResponds;
    const int requests = targets_[0]->requests_received_;
    const int probes = targets_[0]->probes_received_;
    CPPUNIT_ASSERT(host_->loop_.RunUntil([&] {
      if (Now() - paused_at < kPause) CPPUNIT_ASSERT_EQUAL(200, host_->Call("/safe/x").status_);
      return Now() - paused_at >= kPause - milliseconds(20);
    }));
    CPPUNIT_ASSERT_EQUAL(requests, targets_[0]->requests_received_);
    CPPUNIT_ASSERT_EQUAL(probes, targets_[0]->probes_received_);
    host_->loop_.RunFor(kAfterPause);
    CallUntilRequested(*targets_[0]);
  }

  // Guards against holding a request until its deadline although no target wants it, and against a
  // caller that returns while all of them still pause. Clock steps of the host don't matter,
  // because no time of day is used.
  void RequestIsRejectedAtOnceIfAllTargetsWantAPause() {
    Start(4);
    for (const auto& target : targets_) {
      target->behaviour_ = Behaviour::kRejects;
      target->response_headers_ = PauseHeaders();
    }
    const Time begin = Now();
    int calls = 0;
    while (TotalRequests() < 4) {
      CPPUNIT_ASSERT_EQUAL(503, host_->Call("/safe/x").status_);
      CPPUNIT_ASSERT(++calls <= 4);
    }
    for (int i = 0; i < 20; ++i) {
      const Time sent = Now();
      const Response response = host_->Call("/safe/x");
      CPPUNIT_ASSERT_EQUAL(503, response.status_);
      CPPUNIT_ASSERT(Now() - sent < milliseconds(100));
      const auto* retry_after = http::FindHeader(response.headers_, "Retry-After");
      CPPUNIT_ASSERT(retry_after != nullptr);
      const Duration left = begin + kPause - Now();
      // The header has a hundredth of a second as its unit.
      CPPUNIT_ASSERT(std::stod(*retry_after) + 0.01 >= std::chrono::duration<double>(left).count());
    }
    CPPUNIT_ASSERT(Now() - begin < kPause);
    CPPUNIT_ASSERT_EQUAL(4, TotalRequests());
    for (const auto& target : targets_) {
      target->behaviour_ = Behaviour::kResponds;
      target->response_headers_.clear();
    }
    host_->loop_.RunFor(kAfterPause);
    CPPUNIT_ASSERT_EQUAL(200, host_->Call("/safe/x").status_);
  }

  void CallerIsNotToldThatATargetLeaves() {
    Start(1);
    targets_[0]->response_headers_ = kLeaving;
    CPPUNIT_ASSERT_EQUAL(200, host_->Call("/safe/x").status_);
    // The only target has left; the request is rejected and not held.
    const Time sent = Now();
    CPPUNIT_ASSERT_EQUAL(503, host_->Call("/safe/x").status_);
    CPPUNIT_ASSERT(Now() - sent < milliseconds(100));
  }

 private:
  static TargetNotice Pause(Duration pause) { return {false, pause, {}}; }

  void Start(int targets) {
    host_ = nullptr;
    targets_.clear();
    host_ = std::make_unique<GatewayHost>();
    for (int i = 0; i < targets; ++i) {
      targets_.push_back(std::make_unique<FakeTarget>("t" + std::to_string(i), "z"));
      host_->AddTarget(targets_.back()->name_, targets_.back()->listener_->LocalAddress());
    }
    CPPUNIT_ASSERT(host_->Start());
  }

  // The target registers as a new incarnation with the same name and address.
  void Restart(FakeTarget& target) {
    TargetRecord record = target.MakeRecord("s");
    record.started_unix_ms_ = 1;
    host_->store_.Put(RecordKind::kTarget, {target.name_, 0, record, {}, {}});
    host_->loop_.RunFor(milliseconds(600));
  }

  int TotalRequests() const {
    int requests = 0;
    for (const auto& target : targets_) requests += target->requests_received_;
    return requests;
  }

  void CallUntilRequested(FakeTarget& target) {
    const int before = target.requests_received_;
    for (int i = 0; i < 100 && target.requests_received_ == before; ++i) host_->Call("/safe/x");
    CPPUNIT_ASSERT(target.requests_received_ > before);
  }

  void ExpectNoRequests(FakeTarget& target) {
    const int before = target.requests_received_;
    for (int i = 0; i < 30; ++i) CPPUNIT_ASSERT_EQUAL(200, host_->Call("/safe/x").status_);
    CPPUNIT_ASSERT_EQUAL(before, target.requests_received_);
  }

  std::unique_ptr<GatewayHost> host_;
  std::vector<std::unique_ptr<FakeTarget>> targets_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetNoticesTest);

}  // namespace monsoonshelf::gateway
