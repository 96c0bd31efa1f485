#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

#include "coordination/tests/node_harness.h"

namespace monsoonshelf::coordination {

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(ReportsInAnyOrderGiveOneView);
  CPPUNIT_TEST(RefutesSuspicionOfItself);
  CPPUNIT_TEST(RestartReplacesOldIncarnation);
  CPPUNIT_TEST(MessagesCarryBoundedUpdates);
  CPPUNIT_TEST_SUITE_END();

  static MemberUpdate Update(int host, Incarnation incarnation, std::uint32_t counter,
                             MemberState state) {
    const std::string number = std::to_string(host + 10);
    return {"m" + number,
            incarnation,
            counter,
            state,
            "z",
            "10.0.0." + number + ":1",
            "10.0.0." + number + ":2"};
  }
  static MemberState StateOf(const NodeHarness& host, const HostName& name) {
    const auto member = FindMember(*host.node_, name);
    CPPUNIT_ASSERT(member.has_value());
    return member->state_;
  }

 public:
  // Guards against views that differ for ever after the same reports came in different orders.
  void ReportsInAnyOrderGiveOneView() {
    const bool ok = rc::check("any order", [](std::uint64_t seed) {
      Random random(seed);
      std::vector<MemberUpdate> updates;
      updates.reserve(12);
      for (int i = 0; i < 12; ++i) {
        updates.push_back(Update(static_cast<int>(random() % 3), 1 + random() % 2,
                                 static_cast<std::uint32_t>(random() % 3),
                                 static_cast<MemberState>(random() % 3)));
      }
      NodeHarness first;
      NodeHarness second;
      for (const auto& update : updates) first.Hear("x", "10.0.9.9:1", Ack{0, {}, {update}, ""});
      std::shuffle(updates.begin(), updates.end(), random);
      for (const auto& update : updates) second.Hear("x", "10.0.9.9:1", Ack{0, {}, {update}, ""});
      for (const auto& member : Members(*first.node_)) {
        const auto other = FindMember(*second.node_, member.name_);
        RC_ASSERT(other.has_value());
        RC_ASSERT(other->incarnation_ == member.incarnation_);
        RC_ASSERT(other->state_version_ == member.state_version_);
        RC_ASSERT(other->state_ == member.state_);
      }
    });
    CPPUNIT_ASSERT(ok);
  }

  // Guards against a live host that others drop because of lost packets.
  void RefutesSuspicionOfItself() {
    NodeHarness host;
    auto self = *FindMember(*host.node_, "a");
    self.state_ = MemberState::kSuspected;
    host.Hear("x", "10.0.9.9:1", Ack{0, {}, {self}, ""});
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, FindMember(*host.node_, "a")->state_version_);
    CPPUNIT_ASSERT(StateOf(host, "a") == MemberState::kAlive);
  }

  // Guards against an old process under the same name that displaces its successor.
  void RestartReplacesOldIncarnation() {
    NodeHarness host;
    const auto hear = [&](const MemberUpdate& update) {
      host.Hear("x", "10.0.9.9:1", Ack{0, {}, {update}, ""});
    };
    hear(Update(1, 1, 5, MemberState::kSuspected));
    hear(Update(1, 2, 0, MemberState::kAlive));
    hear(Update(1, 1, 9, MemberState::kGone));
    CPPUNIT_ASSERT(StateOf(host, "m11") == MemberState::kAlive);
    CPPUNIT_ASSERT_EQUAL(Incarnation{2}, FindMember(*host.node_, "m11")->incarnation_);
  }

  // Guards against messages that grow with the fleet.
  void MessagesCarryBoundedUpdates() {
    NodeHarness host;
    std::vector<MemberUpdate> updates;
    updates.reserve(60);
    for (int i = 0; i < 60; ++i) updates.push_back(Update(i, 1, 0, MemberState::kAlive));
    host.Hear("x", "10.0.9.9:1", Ack{0, {}, updates, ""});
    const auto output = OnPeerMessage(*host.node_, {"m10", 1, "10.0.0.10:1", Ping{1, {}, {}, ""}},
                                      host.now_, host.random_);
    for (const auto& send : output.peer_sends_) {
      const auto* ack = std::get_if<Ack>(&send.body_);
      if (ack != nullptr) CPPUNIT_ASSERT(ack->updates_.size() <= 7);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

}  // namespace monsoonshelf::coordination
