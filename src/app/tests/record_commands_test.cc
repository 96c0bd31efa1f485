#include "app/internal/record_commands.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>
#include <string>

#include "app/tests/mocks/mock_record_store.h"
#include "records/record_file.h"
#include "records/records.h"

namespace monsoonshelf::app {

namespace {

using Fault = MockRecordStore::Fault;

const WriterInfo kWriter = {"ana", "n1"};
constexpr const char* kZone =
    R"({"kind":"zone","schema":1,"name":"a","spec":{"region":"r","state":"in"}})";

std::vector<records::Record> Parse(const std::string& text) {
  return Recover([&] { return records::ParseRecordFile(text); },
                 [](const Error& error) {
                   CPPUNIT_FAIL(error.message_);
                   return std::vector<records::Record>{};
                 });
}

int ExitCodeOf(const Result<int>& result) { return result ? *result : -1; }

}  // namespace

class RecordCommandsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecordCommandsTest);
  CPPUNIT_TEST(AppliesReferencedRecordsFirst);
  CPPUNIT_TEST(RepeatedApplyChangesNothing);
  CPPUNIT_TEST(ReportsConflictWithDifferences);
  CPPUNIT_TEST(ReportsConcurrentWriteAsConflict);
  CPPUNIT_TEST(RecognisesOwnWriteAfterLostResponse);
  CPPUNIT_TEST(RetriesLostRequest);
  CPPUNIT_TEST(ReportsUncertainWrite);
  CPPUNIT_TEST(PrintsReasonOfFailure);
  CPPUNIT_TEST(RecognisesOwnDeleteAfterLostResponse);
  CPPUNIT_TEST(SetsZoneStateAndKeepsUnknownFields);
  CPPUNIT_TEST(WatchContinuesAfterOutage);
  CPPUNIT_TEST(ListsInvalidRecords);
  CPPUNIT_TEST(RejectsFileWithInvalidElement);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AppliesReferencedRecordsFirst() {
    const int code = Apply(
        R"([{"kind":"target","schema":1,"name":"t","spec":{"service":"s","zone":"a","address":"10.0.0.1:1"}},
            {"kind":"service","schema":1,"name":"s","spec":{}},)" +
        std::string(kZone) + "]");
    CPPUNIT_ASSERT_EQUAL(0, code);
    CPPUNIT_ASSERT_EQUAL(std::string("zone/a created version=1\nservice/s created version=2\n"
                                     "target/t created version=3\n"),
                         out_.str());
  }

  void RepeatedApplyChangesNothing() {
    Apply(kZone);
    CPPUNIT_ASSERT_EQUAL(0, Apply(kZone));
    CPPUNIT_ASSERT_EQUAL(1, store_.writes_);
  }

  // Guards against an update that silently overwrites the change of another operator.
  void ReportsConflictWithDifferences() {
    Apply(kZone);
    const std::string seen = FormatWithVersion(store_.objects_[{"zone", "a"}].body_, 1);
    CPPUNIT_ASSERT_EQUAL(0, Zone(records::ZoneState::kOut));
    out_.str("");
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(kExitConflict), Apply(seen));
    CPPUNIT_ASSERT_EQUAL(std::string("zone/a conflict\n"
                                     "  the platform has version 2, written by ana\n"
                                     "  /spec/state: platform \"out\", new \"in\"\n"),
                         out_.str());
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(kExitConflict), Apply(kZone));
    CPPUNIT_ASSERT_EQUAL(2, store_.writes_);
    CPPUNIT_ASSERT_EQUAL(0, Apply(kZone, true));
  }

  // Guards against overwriting a record that changes between the read and the write.
  void ReportsConcurrentWriteAsConflict() {
    store_.faults_ = {Fault::kConcurrentWrite};
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(kExitConflict), Apply(kZone));
    CPPUNIT_ASSERT(out_.str().find("version 1, written by eva") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(0, store_.writes_);
  }

  // Guards against a conflict report for a write that took effect but whose response was lost: the
  // retry meets the record that the first attempt wrote.
  void RecognisesOwnWriteAfterLostResponse() {
    store_.faults_ = {Fault::kLostResponse};
    CPPUNIT_ASSERT_EQUAL(0, Apply(kZone));
    CPPUNIT_ASSERT_EQUAL(std::string("zone/a created version=1\n"), out_.str());
    CPPUNIT_ASSERT_EQUAL(1, store_.writes_);
  }

  void RetriesLostRequest() {
    store_.faults_ = {Fault::kLostRequest, Fault::kLostRequest, Fault::kLostResponse};
    CPPUNIT_ASSERT_EQUAL(0, Apply(kZone));
    CPPUNIT_ASSERT_EQUAL(1, store_.writes_);
  }

  void ReportsUncertainWrite() {
    store_.faults_.assign(4, Fault::kLostRequest);
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(kExitFailed), Apply(kZone));
    CPPUNIT_ASSERT(out_.str().find("zone/a uncertain") == 0);
  }

  // Guards against an error message that is lost when the error is handled and reported again.
  void PrintsReasonOfFailure() {
    store_.faults_ = {Fault::kBadAnswer};
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(kExitFailed), Apply(kZone));
    CPPUNIT_ASSERT_EQUAL(std::string("zone/a failed: bad answer\n"), out_.str());
  }

  void RecognisesOwnDeleteAfterLostResponse() {
    Apply(kZone);
    const auto remove = [this](Version version) {
      const auto report = DeleteRecord(store_, "zone", "a", version);
      CPPUNIT_ASSERT(report);
      return report->outcome_;
    };
    CPPUNIT_ASSERT(remove(7) == WriteOutcome::kConflict);
    store_.faults_ = {Fault::kLostRequest, Fault::kLostResponse};
    CPPUNIT_ASSERT(remove(1) == WriteOutcome::kDeleted);
    CPPUNIT_ASSERT_EQUAL(2, store_.writes_);
    CPPUNIT_ASSERT(store_.objects_.empty());
  }

  void SetsZoneStateAndKeepsUnknownFields() {
    Apply(R"({"kind":"zone","schema":1,"name":"a","spec":{"region":"r","added_later":5}})");
    CPPUNIT_ASSERT_EQUAL(0, Zone(records::ZoneState::kOut));
    CPPUNIT_ASSERT_EQUAL(0, Zone(records::ZoneState::kOut));
    CPPUNIT_ASSERT_EQUAL(2, store_.writes_);
    const std::string body = store_.objects_[{"zone", "a"}].body_;
    CPPUNIT_ASSERT_MESSAGE(body,
                           body.find(R"("added_later":5,"state":"out")") != std::string::npos);
    store_.faults_ = {Fault::kConcurrentWrite};
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(kExitConflict), Zone(records::ZoneState::kIn));
    store_.Set("zone", "a", R"({"kind":"service","schema":1,"name":"a","spec":{}})");
    CPPUNIT_ASSERT(!SetZoneState(store_, "a", records::ZoneState::kIn, kWriter, out_));
  }

  void WatchContinuesAfterOutage() {
    Apply(kZone);
    out_.str("");
    store_.faults_ = {Fault::kLostRequest};
    std::ostringstream errors;
    CPPUNIT_ASSERT_EQUAL(0, ExitCodeOf(WatchRecords(store_, 0, 1, out_, errors)));
    CPPUNIT_ASSERT_EQUAL(std::string("kind=zone name=a version=1 state=valid writer=ana\n"),
                         out_.str());
    CPPUNIT_ASSERT_EQUAL(std::string("watch: platform down\n"), errors.str());
  }

  void ListsInvalidRecords() {
    store_.Set("zone", "a", "{\"kind\":\"zone\"");
    CPPUNIT_ASSERT_EQUAL(0, ExitCodeOf(ListRecords(store_, {"zone"}, out_)));
    CPPUNIT_ASSERT(out_.str().find("state=\"record is not valid JSON") != std::string::npos);
  }

  void RejectsFileWithInvalidElement() {
    const Error error = Recover(
        [&]() -> Result<Error> {
          BOOST_LEAF_CHECK(records::ParseRecordFile("[" + std::string(kZone) + ",{}]"));
          return Error{ResultCode::kOk, ""};
        },
        [](const Error& failure) { return failure; });
    CPPUNIT_ASSERT_MESSAGE(error.message_,
                           error.message_.starts_with("element 2 of 2: record ?/?: "));
  }

 private:
  int Apply(const std::string& text, bool replace = false) {
    return ExitCodeOf(ApplyRecords(store_, Parse(text), replace, kWriter, out_));
  }
  int Zone(records::ZoneState state) {
    return ExitCodeOf(
        SetZoneState(store_, "a", state, {"ana", "z" + std::to_string(++zone_writes_)}, out_));
  }

  MockRecordStore store_;
  std::ostringstream out_;
  int zone_writes_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordCommandsTest);

}  // namespace monsoonshelf::app
