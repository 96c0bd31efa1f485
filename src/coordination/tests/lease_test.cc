#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include "coordination/tests/node_harness.h"

namespace monsoonshelf::coordination {

using std::chrono::milliseconds;
using std::chrono::seconds;

class LeaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaseTest);
  CPPUNIT_TEST(LeaseIsMeasuredFromSendingOfRenewal);
  CPPUNIT_TEST(PausedHolderLosesItsAssignments);
  CPPUNIT_TEST(SessionSurvivesLostResponseToRenewal);
  CPPUNIT_TEST(FencedHolderDropsItsAssignments);
  CPPUNIT_TEST(EarlierClaimIsNotTakenForLaterOne);
  CPPUNIT_TEST_SUITE_END();

  // Gives the node a service with a target in its zone, confirms its session and lets it read the
  // assignments of the zone, after which it writes a claim for the shard.
  static void ConfigureShard(NodeHarness& host) {
    const auto list = host.TakeRequest(PlatformOperation::kList, "service");
    host.Answer(
        list, ResultCode::kOk,
        {{"service", "s", 1, false, R"({"kind":"service","schema":1,"name":"s","spec":{}})"},
         {"target", "t", 2, false,
          R"({"kind":"target","schema":1,"name":"t","spec":{"service":"s","zone":"z",)"
          R"("address":"127.0.0.1:80","state":"active"}})"}},
        2);
    host.RunFor(milliseconds(600));
    host.ConfirmWrite(host.TakeRequest(PlatformOperation::kPut, "sessions"), 10);
    host.RunFor(milliseconds(600));
    host.Answer(host.TakeRequest(PlatformOperation::kGet, "assignments"),
                ResultCode::kPlatformNotFound, {});
  }
  static bool HoldsAssignment(const NodeHarness& host) {
    return !HeldAssignments(*host.node_, host.now_).empty();
  }

 public:
  // Guards against a holder that measures its lease from the response to a renewal. Its lease would
  // end later than the hosts that observe its session expect.
  void LeaseIsMeasuredFromSendingOfRenewal() {
    NodeHarness host;
    ConfigureShard(host);
    host.ConfirmWrite(host.TakeRequest(PlatformOperation::kPut, "assignments"), 11);
    CPPUNIT_ASSERT(HoldsAssignment(host));
    host.RunFor(milliseconds(1500));
    const auto renewal = host.TakeRequest(PlatformOperation::kPut, "sessions");
    const Time sent = host.now_;
    host.RunFor(milliseconds(800));
    host.ConfirmWrite(renewal, 12);
    const auto held = HeldAssignments(*host.node_, host.now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, held.size());
    CPPUNIT_ASSERT(held.front().held_until_ <= sent + seconds(6));
  }

  // Guards against a holder that uses its limits after a pause of the process. Another host may
  // have claimed them during the pause.
  void PausedHolderLosesItsAssignments() {
    NodeHarness host;
    ConfigureShard(host);
    host.ConfirmWrite(host.TakeRequest(PlatformOperation::kPut, "assignments"), 11);
    host.now_ += seconds(7);
    CPPUNIT_ASSERT(!HoldsAssignment(host));
    host.RunFor(milliseconds(10));
    CPPUNIT_ASSERT(!HoldsAssignment(host));
  }

  // Guards against a host that gives up its session because the response to a successful renewal
  // was lost.
  void SessionSurvivesLostResponseToRenewal() {
    NodeHarness host;
    ConfigureShard(host);
    host.ConfirmWrite(host.TakeRequest(PlatformOperation::kPut, "assignments"), 11);
    host.RunFor(milliseconds(1500));
    const auto renewal = host.TakeRequest(PlatformOperation::kPut, "sessions");
    host.Answer(renewal, ResultCode::kPlatformTimeout, {});
    const auto read = host.TakeRequest(PlatformOperation::kGet, "sessions");
    host.Answer(read, ResultCode::kOk, {{"sessions", "a", 13, false, renewal.body_}});
    host.RunFor(seconds(2));
    CPPUNIT_ASSERT(HoldsAssignment(host));
    const auto next = host.TakeRequest(PlatformOperation::kPut, "sessions");
    CPPUNIT_ASSERT_EQUAL(Version{13}, next.version_);
  }

  // Guards against a holder that replaces the fence of its successor by a renewal and keeps its
  // assignments.
  void FencedHolderDropsItsAssignments() {
    NodeHarness host;
    ConfigureShard(host);
    host.ConfirmWrite(host.TakeRequest(PlatformOperation::kPut, "assignments"), 11);
    host.RunFor(milliseconds(1500));
    const auto renewal = host.TakeRequest(PlatformOperation::kPut, "sessions");
    const std::string fence = R"({"host":"b","incarnation":1,"nonce":"1","fenced":"x"})";
    host.Answer(renewal, ResultCode::kPlatformConflict, {{"sessions", "a", 20, false, fence}});
    CPPUNIT_ASSERT(!HoldsAssignment(host));
    host.RunFor(milliseconds(200));
    const auto next = host.TakeRequest(PlatformOperation::kPut, "sessions");
    CPPUNIT_ASSERT_EQUAL(Version{20}, next.version_);
    host.ConfirmWrite(next, 21);
    CPPUNIT_ASSERT(!HoldsAssignment(host));
  }

  // Guards against a host that takes its earlier claim for the present one. A stale read can hide
  // the earlier claim, and a release that is still in flight may end it.
  void EarlierClaimIsNotTakenForLaterOne() {
    NodeHarness host;
    ConfigureShard(host);
    const auto first = host.TakeRequest(PlatformOperation::kPut, "assignments");
    host.Answer(first, ResultCode::kPlatformTimeout, {});
    host.RunFor(seconds(1));
    host.Answer(host.TakeRequest(PlatformOperation::kGet, "assignments"),
                ResultCode::kPlatformNotFound, {});
    const auto second = host.TakeRequest(PlatformOperation::kPut, "assignments");
    const auto epoch = [](const PlatformRequest& put) {
      return nlohmann::json::parse(put.body_)["shards"]["s"]["epoch"].get<int>();
    };
    CPPUNIT_ASSERT(epoch(second) > epoch(first));
    host.Answer(second, ResultCode::kPlatformConflict,
                {{"assignments", "z", 30, false, first.body_}});
    CPPUNIT_ASSERT(!HoldsAssignment(host));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseTest);

}  // namespace monsoonshelf::coordination
