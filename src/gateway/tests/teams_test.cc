#include "gateway/teams.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace monsoonshelf::gateway {

namespace {

using std::chrono::milliseconds;

Team MakeTeam(const std::string& name, const std::vector<std::string>& keys) {
  Team team;
  team.name_ = name;
  for (const std::string& key : keys) team.keys_.push_back(DigestKey(key));
  return team;
}

Credential KeyCredential(const std::string& key) {
  return {Credential::Kind::kKey, DigestKey(key)};
}

}  // namespace

class TeamsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TeamsTest);
  CPPUNIT_TEST(DigestsAreThoseOfSha256);
  CPPUNIT_TEST(FindsTheTeamOfAKey);
  CPPUNIT_TEST(AccessNeedsAKnownKey);
  CPPUNIT_TEST(KeysNeedAFreshProof);
  CPPUNIT_TEST(ManyKeysAreHeldCompactly);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against hosts of different versions that do not recognize each other's digests.
  void DigestsAreThoseOfSha256() {
    const KeyDigest digest = DigestKey("abc");
    CPPUNIT_ASSERT_EQUAL(std::string("ba7816bf8f01cfea414140de5dae2223"), FormatKeyDigest(digest));
    CPPUNIT_ASSERT(ParseKeyDigest(FormatKeyDigest(digest)) == digest);
    for (const char* text :
         {"", "ba78", "zz7816bf8f01cfea414140de5dae2223", "BA7816BF8F01CFEA414140DE5DAE2223",
          "ba7816bf8f01cfea414140de5dae222300"}) {
      CPPUNIT_ASSERT(!ParseKeyDigest(text));
    }
  }

  void FindsTheTeamOfAKey() {
    const TeamTable table(
        {MakeTeam("a", {"k1", "k2"}), MakeTeam("b", {"k3", "k1"}), MakeTeam("without keys", {})});
    CPPUNIT_ASSERT_EQUAL(std::string("a"), table.Find(DigestKey("k2"))->name_);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), table.Find(DigestKey("k3"))->name_);
    // A key that two teams share must not depend on the order of the index.
    CPPUNIT_ASSERT_EQUAL(std::string("a"), table.Find(DigestKey("k1"))->name_);
    CPPUNIT_ASSERT(table.Find(DigestKey("")) == nullptr);
    CPPUNIT_ASSERT(table.Find(DigestKey("k4")) == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, table.KeyCount());
    CPPUNIT_ASSERT(TeamTable().Find(DigestKey("k1")) == nullptr);
  }

  void AccessNeedsAKnownKey() {
    const TeamTable table({MakeTeam("a", {"k1"})});
    const Credential none;
    const Credential invalid = {Credential::Kind::kInvalid, DigestKey("k1")};
    const KeyAccess allowed = CheckAccess(table, KeyCredential("k1"), false, true);
    CPPUNIT_ASSERT(allowed.decision_ == AccessDecision::kAllowed);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), allowed.team_->name_);
    for (const bool anonymous : {false, true}) {
      for (const Credential& credential : {KeyCredential("unknown"), invalid}) {
        const KeyAccess access = CheckAccess(table, credential, anonymous, true);
        CPPUNIT_ASSERT(access.decision_ == AccessDecision::kUnauthorized);
        CPPUNIT_ASSERT(access.team_ == nullptr);
      }
    }
    CPPUNIT_ASSERT(CheckAccess(table, none, false, true).decision_ ==
                   AccessDecision::kUnauthorized);
    CPPUNIT_ASSERT(CheckAccess(table, none, true, false).decision_ == AccessDecision::kAllowed);
    CPPUNIT_ASSERT(CheckAccess(table, none, true, true).team_ == nullptr);
  }

  // Guards against a host without contact to the store that runs a request whose key was withdrawn,
  // and against a 401 for a key that was added since then.
  void KeysNeedAFreshProof() {
    const TeamTable table({MakeTeam("a", {"k1"})});
    for (const char* key : {"k1", "unknown"}) {
      CPPUNIT_ASSERT(CheckAccess(table, KeyCredential(key), true, false).decision_ ==
                     AccessDecision::kUnproven);
    }
    const Time start = Time(milliseconds(1000));
    CPPUNIT_ASSERT(IsProofFresh(start, milliseconds(5000), start + milliseconds(3999)));
    CPPUNIT_ASSERT(!IsProofFresh(start, milliseconds(5000), start + milliseconds(4000)));
    CPPUNIT_ASSERT(!IsProofFresh(Time{}, milliseconds(5000), Time(milliseconds(10))));
  }

  // Guards against an index that does not fit into a host of 112 MB.
  void ManyKeysAreHeldCompactly() {
    constexpr int kTeams = 1000;
    constexpr int kKeysPerTeam = 100;
    std::vector<Team> teams;
    for (int team = 0; team < kTeams; ++team) {
      std::vector<std::string> keys;
      keys.reserve(kKeysPerTeam);
      for (int key = 0; key < kKeysPerTeam; ++key) {
        keys.push_back(std::to_string(team) + "/" + std::to_string(key));
      }
      teams.push_back(MakeTeam("team " + std::to_string(team), keys));
    }
    const TeamTable table(std::move(teams));
    CPPUNIT_ASSERT_EQUAL(std::size_t{kTeams} * kKeysPerTeam, table.KeyCount());
    CPPUNIT_ASSERT_EQUAL(std::string("team 999"), table.Find(DigestKey("999/99"))->name_);
    std::size_t held_digests = 0;
    for (const Team& team : table.Teams()) held_digests += team.keys_.capacity();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, held_digests);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TeamsTest);

}  // namespace monsoonshelf::gateway
