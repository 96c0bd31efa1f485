#include "peer/internal/replay_guard.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <set>

namespace monsoonshelf::peer::detail {

class ReplayGuardTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplayGuardTest);
  CPPUNIT_TEST(AcceptsEachSequenceNumberOnce);
  CPPUNIT_TEST(RejectsMessagesOfEarlierIncarnations);
  CPPUNIT_TEST(LimitsNumberOfSenders);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against accepting a repeated message or rejecting a new one. The guard is compared with
  // a set of all sequence numbers received.
  void AcceptsEachSequenceNumberOnce() {
    CPPUNIT_ASSERT(rc::check("against a set", [](const std::vector<std::uint16_t>& sequences) {
      ReplayGuard guard;
      std::set<std::uint64_t> seen;
      for (const std::uint64_t raw : sequences) {
        const std::uint64_t sequence = raw % 4000 + 1;
        const bool recent = seen.empty() || sequence + kReplayWindow > *seen.rbegin();
        const bool expected = recent && seen.insert(sequence).second;
        RC_ASSERT(RecordIfNew(guard, "h", 1, sequence, Time{}) == expected);
        RC_ASSERT(!RecordIfNew(guard, "h", 1, sequence, Time{}));
      }
    }));
  }

  // Guards against accepting messages that were recorded before a sender restarted, and against
  // rejecting the messages of the restarted sender.
  void RejectsMessagesOfEarlierIncarnations() {
    ReplayGuard guard;
    CPPUNIT_ASSERT(RecordIfNew(guard, "h", 5, 100, Time{}));
    CPPUNIT_ASSERT(RecordIfNew(guard, "h", 6, 1, Time{}));
    CPPUNIT_ASSERT(!RecordIfNew(guard, "h", 5, 101, Time{}));
    CPPUNIT_ASSERT(!RecordIfNew(guard, "h", 6, 1, Time{}));
    CPPUNIT_ASSERT(!RecordIfNew(guard, "h", 6, 0, Time{}));
    CPPUNIT_ASSERT(RecordIfNew(guard, "other", 1, 1, Time{}));
  }

  // Guards against memory that grows with the number of sender names. The most recent sender is
  // kept.
  void LimitsNumberOfSenders() {
    ReplayGuard guard;
    for (std::size_t i = 0; i < 2 * kMaxSenders; i++) {
      RecordIfNew(guard, std::to_string(i), 1, 1, Time(Duration(static_cast<std::int64_t>(i))));
    }
    CPPUNIT_ASSERT_EQUAL(kMaxSenders, guard.senders_.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, guard.senders_.count(std::to_string(2 * kMaxSenders - 1)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplayGuardTest);

}  // namespace monsoonshelf::peer::detail
