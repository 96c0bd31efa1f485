#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

#include "coordination/tests/node_harness.h"

namespace monsoonshelf::coordination {

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(OrderOfUpdatesDoesNotChangeMembers);
  CPPUNIT_TEST(RefutesSuspicionOfItself);
  CPPUNIT_TEST(OldIncarnationDoesNotReplaceNewOne);
  CPPUNIT_TEST(NumberOfUpdatesInAckIsLimited);
  CPPUNIT_TEST(ConfigurationIsPulledFromAnotherHostIfOneDoesNotAnswer);
  CPPUNIT_TEST_SUITE_END();

  static MemberUpdate MakeUpdate(int host, Incarnation incarnation, std::uint32_t state_version,
                                 MemberState state) {
    const std::string number = std::to_string(host + 10);
    return {"m" + number,
            incarnation,
            state_version,
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
  // Guards against hosts whose views of the members stay different because they received the same
  // updates in different orders.
  void OrderOfUpdatesDoesNotChangeMembers() {
    const bool ok = rc::check("updates in any order", [](std::uint64_t seed) {
      Random random(seed);
      std::vector<MemberUpdate> updates;
      updates.reserve(12);
      for (int i = 0; i < 12; ++i) {
        updates.push_back(MakeUpdate(static_cast<int>(random() % 3), 1 + random() % 2,
                                     static_cast<std::uint32_t>(random() % 3),
                                     static_cast<MemberState>(random() % 3)));
      }
      NodeHarness first;
      NodeHarness second;
      for (const auto& update : updates)
        first.ReceiveMessage("x", "10.0.9.9:1", Ack{0, {}, {update}, ""});
      std::shuffle(updates.begin(), updates.end(), random);
      for (const auto& update : updates)
        second.ReceiveMessage("x", "10.0.9.9:1", Ack{0, {}, {update}, ""});
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

  // Guards against a running host that others consider gone because packets were lost.
  void RefutesSuspicionOfItself() {
    NodeHarness host;
    auto self = *FindMember(*host.node_, "a");
    self.state_ = MemberState::kSuspected;
    host.ReceiveMessage("x", "10.0.9.9:1", Ack{0, {}, {self}, ""});
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, FindMember(*host.node_, "a")->state_version_);
    CPPUNIT_ASSERT(StateOf(host, "a") == MemberState::kAlive);
  }

  // Guards against updates about an earlier process that replace those about a later process with
  // the same name.
  void OldIncarnationDoesNotReplaceNewOne() {
    NodeHarness host;
    const auto receive = [&](const MemberUpdate& update) {
      host.ReceiveMessage("x", "10.0.9.9:1", Ack{0, {}, {update}, ""});
    };
    receive(MakeUpdate(1, 1, 5, MemberState::kSuspected));
    receive(MakeUpdate(1, 2, 0, MemberState::kAlive));
    receive(MakeUpdate(1, 1, 9, MemberState::kGone));
    CPPUNIT_ASSERT(StateOf(host, "m11") == MemberState::kAlive);
    CPPUNIT_ASSERT_EQUAL(Incarnation{2}, FindMember(*host.node_, "m11")->incarnation_);
  }

  // Guards against a change that is late because hosts that can send but not receive are asked for
  // it one after the other, with all attempts for each.
  void ConfigurationIsPulledFromAnotherHostIfOneDoesNotAnswer() {
    NodeHarness host;
    const ConfigurationDigest newer = {5, 17};
    const auto count_pulls = [&host](const std::string& address) {
      return std::count_if(host.sent_.begin(), host.sent_.end(), [&](const auto& message) {
        return message.address_ == address && std::holds_alternative<ConfigPull>(message.body_);
      });
    };
    host.ReceiveMessage("x", "10.0.9.8:1", Ping{1, newer, {}, ""});
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, count_pulls("10.0.9.8:1"));
    host.ReceiveMessage("y", "10.0.9.9:1", Ping{1, newer, {}, ""});
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, count_pulls("10.0.9.9:1"));
    host.RunFor(std::chrono::milliseconds(600));
    host.ReceiveMessage("x", "10.0.9.8:1", Ping{2, newer, {}, ""});
    host.ReceiveMessage("y", "10.0.9.9:1", Ping{2, newer, {}, ""});
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, count_pulls("10.0.9.9:1"));
  }

  // Guards against messages whose size grows with the number of members.
  void NumberOfUpdatesInAckIsLimited() {
    NodeHarness host;
    std::vector<MemberUpdate> updates;
    updates.reserve(60);
    for (int i = 0; i < 60; ++i) updates.push_back(MakeUpdate(i, 1, 0, MemberState::kAlive));
    host.ReceiveMessage("x", "10.0.9.9:1", Ack{0, {}, updates, ""});
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
