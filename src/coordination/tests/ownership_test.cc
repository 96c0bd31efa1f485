#include "coordination/internal/ownership.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace monsoonshelf::coordination {

class OwnershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OwnershipTest);
  CPPUNIT_TEST(SpreadsShardsOverAllMembers);
  CPPUNIT_TEST(MovesOnlyShardsOfTheMemberThatLeft);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<MemberUpdate> MakeMembers(int count) {
    std::vector<MemberUpdate> members(count);
    for (int i = 0; i < count; ++i) members[i].name_ = "host" + std::to_string(i);
    return members;
  }
  static HostName DispatcherOfService(std::vector<MemberUpdate> members, int service) {
    internal::SortForShard(members, "service" + std::to_string(service), "zone");
    return members.front().name_;
  }

 public:
  // Guards against hashing that assigns most shards to one host.
  void SpreadsShardsOverAllMembers() {
    std::map<HostName, int> shards;
    for (int service = 0; service < 1000; ++service)
      ++shards[DispatcherOfService(MakeMembers(5), service)];
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, shards.size());
    for (const auto& [name, count] : shards) {
      CPPUNIT_ASSERT_MESSAGE(name, count > 140 && count < 260);
    }
  }

  // Guards against shards that move between the remaining hosts when a host leaves.
  void MovesOnlyShardsOfTheMemberThatLeft() {
    for (int service = 0; service < 200; ++service) {
      const HostName before = DispatcherOfService(MakeMembers(5), service);
      if (before == "host4") continue;
      CPPUNIT_ASSERT_EQUAL(before, DispatcherOfService(MakeMembers(4), service));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnershipTest);

}  // namespace monsoonshelf::coordination
