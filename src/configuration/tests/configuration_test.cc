#include "configuration/configuration.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

#include "configuration/tests/record_texts.h"

namespace monsoonshelf::configuration {

class ConfigurationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationTest);
  CPPUNIT_TEST(RecordsInAnyOrderNeverRevert);
  CPPUNIT_TEST(RejectedRecordKeepsLastValidOne);
  CPPUNIT_TEST(RejectsRecordWithNameOfAnotherKey);
  CPPUNIT_TEST(StaleListDeletesOnlyOlderRecords);
  CPPUNIT_TEST(ChangesInPartsAreComplete);
  CPPUNIT_TEST_SUITE_END();

  static MergeOutcome MergeInto(Configuration& configuration, const RecordVersion& record) {
    return MergeRecord(configuration, record, nullptr);
  }
  static Version VersionOf(const Configuration& configuration, const RecordVersion& record) {
    const auto found = configuration.entries_.find(record.key_);
    return found == configuration.entries_.end() ? 0 : found->second.version_;
  }

 public:
  // Guards against a record that reverts to an older version, and against configurations that
  // differ after hosts received the same versions, deletions and invalid texts in different orders.
  void RecordsInAnyOrderNeverRevert() {
    const bool ok = rc::check("records in any order", [](std::uint64_t seed) {
      Random random(seed);
      std::vector<RecordVersion> records;
      for (Version version = 1; version <= 30; ++version) {
        const std::string name = "z" + std::to_string(random() % 4);
        records.push_back(ZoneRecord(name, version, random() % 2 == 0 ? "in" : "out"));
        if (random() % 4 == 0) records.back().text_.reset();
        if (random() % 5 == 0) records.back().text_ = "{}";
      }
      Configuration in_order;
      for (const auto& record : records) MergeInto(in_order, record);
      std::shuffle(records.begin(), records.end(), random);
      Configuration shuffled;
      for (const auto& record : records) {
        const Version before = VersionOf(shuffled, record);
        MergeInto(shuffled, record);
        RC_ASSERT(VersionOf(shuffled, record) >= before);
      }
      RC_ASSERT(in_order.digest_ == shuffled.digest_);
      RC_ASSERT(in_order.highest_version_ == shuffled.highest_version_);
      RC_ASSERT(in_order.rejected_.size() == shuffled.rejected_.size());
    });
    CPPUNIT_ASSERT(ok);
  }

  // Guards against an invalid record that replaces the last valid one, or whose rejection is not
  // reported.
  void RejectedRecordKeepsLastValidOne() {
    Configuration configuration;
    CPPUNIT_ASSERT(MergeInto(configuration, ZoneRecord("a", 5)) == MergeOutcome::kAccepted);
    const auto unknown_schema = RecordText("zone", "a", R"({"region":"r1"})", 99);
    std::string reason;
    const RecordVersion invalid{{records::Kind::kZone, "a"}, 7, unknown_schema};
    CPPUNIT_ASSERT(MergeRecord(configuration, invalid, &reason) == MergeOutcome::kRejected);
    CPPUNIT_ASSERT(!reason.empty());
    CPPUNIT_ASSERT(MergeInto(configuration, invalid) == MergeOutcome::kStale);
    CPPUNIT_ASSERT(MergeInto(configuration, ZoneRecord("a", 6, "out")) == MergeOutcome::kStale);
    CPPUNIT_ASSERT_EQUAL(Version{5}, VersionOf(configuration, invalid));
    CPPUNIT_ASSERT_EQUAL(Version{7}, configuration.rejected_.at(invalid.key_).version_);
    // A peer with a newer schema still gets the rejected text.
    const auto changes = ChangesAfter(configuration, 0, 1 << 20);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.size());
    CPPUNIT_ASSERT_EQUAL(unknown_schema, *changes.front().text_);
    CPPUNIT_ASSERT(MergeInto(configuration, ZoneRecord("a", 8)) == MergeOutcome::kAccepted);
    CPPUNIT_ASSERT(configuration.rejected_.empty());
  }

  // Guards against a record that takes effect under another key than its own.
  void RejectsRecordWithNameOfAnotherKey() {
    Configuration configuration;
    auto record = ZoneRecord("a", 1);
    record.key_.second = "b";
    CPPUNIT_ASSERT(MergeInto(configuration, record) == MergeOutcome::kRejected);
  }

  // Guards against a stale list that deletes newer records or restores deleted ones.
  void StaleListDeletesOnlyOlderRecords() {
    Configuration configuration;
    MergeInto(configuration, ZoneRecord("old", 3));
    MergeInto(configuration, ZoneRecord("listed", 4));
    MergeInto(configuration, ZoneRecord("newer", 12));
    MergeInto(configuration, Tombstone(records::Kind::kZone, "gone", 11));
    const auto deleted = FindDeletedRecords(configuration, {{records::Kind::kZone, "listed"}}, 10);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, deleted.size());
    CPPUNIT_ASSERT_EQUAL(std::string("old"), deleted.front().key_.second);
    CPPUNIT_ASSERT_EQUAL(Version{10}, deleted.front().version_);
    CPPUNIT_ASSERT(MergeInto(configuration, ZoneRecord("gone", 9)) == MergeOutcome::kStale);
  }

  // Guards against changes that are lost when the size limit splits them into several parts.
  void ChangesInPartsAreComplete() {
    Configuration source;
    for (Version version = 1; version <= 40; ++version) {
      MergeInto(source, ZoneRecord("z" + std::to_string(version), version));
    }
    MergeInto(source, Tombstone(records::Kind::kZone, "z7", 41));
    Configuration copy;
    Version after = 0;
    for (bool more = true; more;) {
      const auto changes = ChangesAfter(source, after, 500, &more);
      CPPUNIT_ASSERT(!changes.empty());
      for (const auto& change : changes) MergeInto(copy, change);
      after = changes.back().version_;
    }
    CPPUNIT_ASSERT_EQUAL(source.digest_, copy.digest_);
    CPPUNIT_ASSERT(copy.entries_.at({records::Kind::kZone, "z7"}).record_ == nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);

}  // namespace monsoonshelf::configuration
