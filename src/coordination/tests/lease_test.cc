#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include "coordination/tests/node_harness.h"

namespace monsoonshelf::coordination {

using std::chrono::milliseconds;
using std::chrono::seconds;

class LeaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaseTest);
  CPPUNIT_TEST(LeaseCountsFromSending);
  CPPUNIT_TEST(PausedHolderFindsItsLeaseEnded);
  CPPUNIT_TEST(LostResponseIsReadBack);
  CPPUNIT_TEST(FencedHolderDropsItsAssignments);
  CPPUNIT_TEST(ClaimOfStaleReadIsNotAdopted);
  CPPUNIT_TEST_SUITE_END();

  // Gives the node a service with a target in its zone and lets it claim the shard.
  static void Configure(NodeHarness& host) {
    const auto list = host.Next(PlatformOperation::kList, "service");
    host.Answer(
        list, ResultCode::kOk,
        {{"service", "s", 1, false, R"({"kind":"service","schema":1,"name":"s","spec":{}})"},
         {"target", "t", 2, false,
          R"({"kind":"target","schema":1,"name":"t","spec":{"service":"s","zone":"z",)"
          R"("address":"127.0.0.1:80","state":"active"}})"}},
        2);
    host.RunFor(milliseconds(600));
    host.Confirm(host.Next(PlatformOperation::kPut, "sessions"), 10);
    host.RunFor(milliseconds(600));
    host.Answer(host.Next(PlatformOperation::kGet, "assignments"), ResultCode::kPlatformNotFound,
                {});
  }
  static bool Holds(const NodeHarness& host) {
    return !HeldAssignments(*host.node_, host.now_).empty();
  }

 public:
  // Guards against a lease that is longer at the holder than for those who watch its session.
  void LeaseCountsFromSending() {
    NodeHarness host;
    Configure(host);
    host.Confirm(host.Next(PlatformOperation::kPut, "assignments"), 11);
    CPPUNIT_ASSERT(Holds(host));
    host.RunFor(milliseconds(1500));
    const auto renewal = host.Next(PlatformOperation::kPut, "sessions");
    const Time sent = host.now_;
    host.RunFor(milliseconds(800));
    host.Confirm(renewal, 12);
    const auto held = HeldAssignments(*host.node_, host.now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, held.size());
    CPPUNIT_ASSERT(held.front().held_until_ <= sent + seconds(6));
  }

  // Guards against a holder that wakes up and uses limits which another host may hold by then.
  void PausedHolderFindsItsLeaseEnded() {
    NodeHarness host;
    Configure(host);
    host.Confirm(host.Next(PlatformOperation::kPut, "assignments"), 11);
    host.now_ += seconds(7);
    CPPUNIT_ASSERT(!Holds(host));
    host.RunFor(milliseconds(10));
    CPPUNIT_ASSERT(!Holds(host));
  }

  // Guards against a session that is given up although its renewal took effect.
  void LostResponseIsReadBack() {
    NodeHarness host;
    Configure(host);
    host.Confirm(host.Next(PlatformOperation::kPut, "assignments"), 11);
    host.RunFor(milliseconds(1500));
    const auto renewal = host.Next(PlatformOperation::kPut, "sessions");
    host.Answer(renewal, ResultCode::kPlatformTimeout, {});
    const auto read = host.Next(PlatformOperation::kGet, "sessions");
    host.Answer(read, ResultCode::kOk, {{"sessions", "a", 13, false, renewal.body_}});
    host.RunFor(seconds(2));
    CPPUNIT_ASSERT(Holds(host));
    const auto next = host.Next(PlatformOperation::kPut, "sessions");
    CPPUNIT_ASSERT_EQUAL(Version{13}, next.version_);
  }

  // Guards against a holder that renews its session over the fence of its successor and goes on.
  void FencedHolderDropsItsAssignments() {
    NodeHarness host;
    Configure(host);
    host.Confirm(host.Next(PlatformOperation::kPut, "assignments"), 11);
    host.RunFor(milliseconds(1500));
    const auto renewal = host.Next(PlatformOperation::kPut, "sessions");
    const std::string fence = R"({"host":"b","incarnation":1,"nonce":"1","fenced":"x"})";
    host.Answer(renewal, ResultCode::kPlatformConflict, {{"sessions", "a", 20, false, fence}});
    CPPUNIT_ASSERT(!Holds(host));
    host.RunFor(milliseconds(200));
    const auto next = host.Next(PlatformOperation::kPut, "sessions");
    CPPUNIT_ASSERT_EQUAL(Version{20}, next.version_);
    host.Confirm(next, 21);
    CPPUNIT_ASSERT(!Holds(host));
  }

  // Guards against taking an earlier claim, which a stale read hid and a release may still end, for
  // the present one.
  void ClaimOfStaleReadIsNotAdopted() {
    NodeHarness host;
    Configure(host);
    const auto first = host.Next(PlatformOperation::kPut, "assignments");
    host.Answer(first, ResultCode::kPlatformTimeout, {});
    host.RunFor(seconds(1));
    host.Answer(host.Next(PlatformOperation::kGet, "assignments"), ResultCode::kPlatformNotFound,
                {});
    const auto second = host.Next(PlatformOperation::kPut, "assignments");
    const auto epoch = [](const PlatformRequest& put) {
      return nlohmann::json::parse(put.body_)["shards"]["s"]["epoch"].get<int>();
    };
    CPPUNIT_ASSERT(epoch(second) > epoch(first));
    host.Answer(second, ResultCode::kPlatformConflict,
                {{"assignments", "z", 30, false, first.body_}});
    CPPUNIT_ASSERT(!Holds(host));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseTest);

}  // namespace monsoonshelf::coordination
