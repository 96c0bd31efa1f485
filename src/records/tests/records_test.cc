#include "records/records.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "records/record_set.h"

namespace monsoonshelf::records {

namespace {

struct ErrorCase {
  std::string text_;
  ResultCode code_;
  std::string message_;  // Must be part of the error message.
};

Error ErrorOf(const std::string& text) {
  return Recover(
      [&]() -> Result<Error> {
        BOOST_LEAF_CHECK(ParseRecord(text));
        return Error{ResultCode::kOk, "accepted"};
      },
      [](const Error& error) { return error; });
}

Record Parse(const std::string& text) {
  return Recover([&] { return ParseRecord(text); },
                 [](const Error& error) {
                   CPPUNIT_FAIL(error.message_);
                   return Record{};
                 });
}

std::string RecordText(const std::string& kind, const std::string& name, const std::string& spec,
                       int schema = 1) {
  return R"({"kind":")" + kind + R"(","schema":)" + std::to_string(schema) + R"(,"name":")" + name +
         R"(","spec":)" + spec + "}";
}

std::string TargetText(const std::string& address) {
  return RecordText("target", "t1", R"({"service":"s","zone":"z","address":")" + address + R"("})");
}

void ExpectErrors(const std::vector<ErrorCase>& cases) {
  for (const ErrorCase& item : cases) {
    const Error error = ErrorOf(item.text_);
    const std::string shown = item.text_.substr(0, 200) + " -> " + error.message_;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, static_cast<int>(item.code_),
                                 static_cast<int>(error.code_));
    CPPUNIT_ASSERT_MESSAGE(shown, error.message_.find(item.message_) != std::string::npos);
  }
}

}  // namespace

class RecordsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecordsTest);
  CPPUNIT_TEST(ReadsEveryField);
  CPPUNIT_TEST(RejectsMalformedJson);
  CPPUNIT_TEST(RejectsInvalidTopLevelFields);
  CPPUNIT_TEST(RejectsInvalidSpecFields);
  CPPUNIT_TEST(RejectsAddressesOtherThanIpAndPort);
  CPPUNIT_TEST(KeepsUnknownFields);
  CPPUNIT_TEST(WritesChangedFields);
  CPPUNIT_TEST(SchemaOneIgnoresSchemaTwoFields);
  CPPUNIT_TEST(ReportsInconsistentRecordSets);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a field that is read into the wrong member or scaled wrongly.
  void ReadsEveryField() {
    const auto rule = std::get<Rule>(
        Parse(RecordText("rule", "r",
                         R"({"service":"s","method":"GET","path_prefix":"/a","class":"bulk",
          "deadline_ms":1500,"idempotent":true,"attempts":3,"zone_preference":"any","priority":7,
          "max_request_body_bytes":99,"shards_per_zone":2,"hedge_percent":2.5})",
                         2))
            .spec_);
    CPPUNIT_ASSERT_EQUAL(std::string("s GET /a"),
                         rule.service_ + " " + rule.method_ + " " + rule.path_prefix_);
    CPPUNIT_ASSERT(rule.class_ == CallClass::kBulk && rule.idempotent_ && rule.max_attempts_ == 3);
    CPPUNIT_ASSERT(rule.deadline_ == std::chrono::milliseconds(1500) && rule.priority_ == 7);
    CPPUNIT_ASSERT(rule.zone_preference_ == ZonePreference::kAny && rule.max_request_body_ == 99);
    CPPUNIT_ASSERT(rule.shards_per_zone_ == 2 && rule.hedge_percent_ == 2.5);
    const auto service = std::get<Service>(
        Parse(RecordText("service", "s", R"({"default_rule":"r","slots":4,"cold_limit":3,
          "connections":240,"probes_per_second":0.5})"))
            .spec_);
    CPPUNIT_ASSERT(service.default_rule_ == "r" && service.slots_ == 4 && service.cold_limit_ == 3);
    CPPUNIT_ASSERT(service.max_connections_ == 240 && service.probes_per_second_ == 0.5);
    const auto zone =
        std::get<Zone>(Parse(RecordText("zone", "z", R"({"region":"r","state":"out"})")).spec_);
    CPPUNIT_ASSERT(zone.region_ == "r" && zone.state_ == ZoneState::kOut);
  }

  // Guards against a crash, a hang or a silent choice between duplicate keys.
  void RejectsMalformedJson() {
    const std::string deep(5000, '[');
    ExpectErrors({
        {"", ResultCode::kRecordSyntax, "not valid JSON: parse error at line 1"},
        {"{\"kind\":", ResultCode::kRecordSyntax, "not valid JSON"},
        {"\xff\xfe", ResultCode::kRecordSyntax, "not valid JSON"},
        {std::string("{}\0", 3), ResultCode::kRecordSyntax, "not valid JSON"},
        {"[1]", ResultCode::kRecordSyntax, "record is [1], allowed: a JSON object"},
        {R"({"kind":"zone","kind":"rule"})", ResultCode::kRecordSyntax, "key \"kind\" twice"},
        {deep, ResultCode::kRecordSyntax, "not valid JSON"},
        {deep + std::string(5000, ']'), ResultCode::kRecordSyntax, "nested deeper than 16"},
        {std::string(kMaxRecordBytes + 1, ' '), ResultCode::kRecordTooLarge,
         "16385 bytes, allowed are at most 16384"},
    });
  }

  void RejectsInvalidTopLevelFields() {
    ExpectErrors({
        {R"({})", ResultCode::kRecordMissingField, "record ?/?: field kind is missing"},
        {RecordText("Zone", "z", "{}"), ResultCode::kRecordUnknownKind,
         "\"Zone\", allowed: one of"},
        {RecordText("zone", "z", "{}", 2), ResultCode::kRecordUnknownSchema,
         "schema is 2, allowed: 1"},
        {RecordText("rule", "r", "{}", 0), ResultCode::kRecordUnknownSchema, "from 1 to 2"},
        {RecordText("zone", "a b", "{}"), ResultCode::kRecordInvalidField,
         "name is \"a b\", allowed"},
        {RecordText("zone", "", "{}"), ResultCode::kRecordInvalidField, "name is \"\", allowed"},
        {RecordText("zone", std::string(65, 'a'), "{}"), ResultCode::kRecordInvalidField,
         "1 to 64"},
        {RecordText("zone", "z", "[]"), ResultCode::kRecordInvalidField, "spec is [], allowed"},
        {R"({"kind":"zone","schema":"1","name":"z","spec":{}})", ResultCode::kRecordUnknownSchema,
         "schema is \"1\""},
        {R"({"kind":"zone","schema":1.0,"name":"z","spec":{}})", ResultCode::kRecordUnknownSchema,
         "schema is 1.0"},
    });
  }

  // Guards against implicit conversions to an integer, for example of 2.0, "2", true or 2^64.
  void RejectsInvalidSpecFields() {
    const auto service = [](const char* spec) { return RecordText("service", "s", spec); };
    const auto rule = [](const std::string& field) {
      return RecordText("rule", "r", R"({"service":"s",)" + field + "}");
    };
    constexpr auto kInvalid = ResultCode::kRecordInvalidField;
    ExpectErrors({
        {service(R"({"slots":0})"), kInvalid,
         "record service/s: field spec.slots is 0, allowed: an integer from 1 to 1000"},
        {service(R"({"slots":2.0})"), kInvalid, "spec.slots is 2.0"},
        {service(R"({"slots":"2"})"), kInvalid, "spec.slots is \"2\""},
        {service(R"({"slots":true})"), kInvalid, "spec.slots is true"},
        {service(R"({"slots":null})"), kInvalid, "spec.slots is null"},
        {service(R"({"slots":18446744073709551615})"), kInvalid, "is 18446744073709551615"},
        {service(R"({"slots":-9223372036854775808})"), kInvalid, "is -9223372036854775808"},
        {service(R"({"cold_limit":3})"), kInvalid, "cold_limit is 3, allowed: an integer from 0"},
        {service(R"({"probes_per_second":1e999})"), ResultCode::kRecordSyntax, "number overflow"},
        {service(R"({"probes_per_second":100.5})"), kInvalid, "from 0.0 to 100.0"},
        {service(R"({"default_rule":"../x"})"), kInvalid, "spec.default_rule is \"../x\""},
        {RecordText("zone", "z", "{}"), ResultCode::kRecordMissingField, "spec.region is missing"},
        {RecordText("zone", "z", R"({"region":"r","state":"OUT"})"), kInvalid, "one of in, out"},
        {rule(R"("deadline_ms":300001)"), kInvalid, "an integer from 1 to 300000"},
        {rule(R"("method":"get")"), kInvalid, "spec.method is \"get\""},
        {rule(R"("path_prefix":"a")"), kInvalid, "spec.path_prefix is \"a\""},
        {rule(R"("path_prefix":"/a\r\nX: y")"), kInvalid, R"(is "/a\r\nX: y")"},
        {rule(R"("class":"urgent")"), kInvalid, "interactive, transactional, bulk, batch"},
        {rule(R"("idempotent":1)"), kInvalid, "is 1, allowed: true or false"},
    });
  }

  // Guards against host names, which would have to be resolved, and partly valid addresses.
  void RejectsAddressesOtherThanIpAndPort() {
    for (const char* address :
         {"", "localhost:80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536",
          "10.0.0.1:+80", "10.0.0.1:080", "10.0.0.256:80", "10.1:80", "::1:80", "[::1]", "[]:80",
          "[10.0.0.1]:80", "0.0.0.0:80", "[::]:80", "10.0.0.1:80 ", "10.0.0.1\\u0000:80"}) {
      const Error error = ErrorOf(TargetText(address));
      CPPUNIT_ASSERT_MESSAGE(address, error.code_ == ResultCode::kRecordInvalidField);
      CPPUNIT_ASSERT(error.message_.find("spec.address") != std::string::npos);
    }
    for (const char* address : {"10.0.0.1:80", "[2001:db8::1]:65535"}) {
      CPPUNIT_ASSERT_EQUAL(std::string(address),
                           std::get<Target>(Parse(TargetText(address)).spec_).address_);
    }
  }

  // Guards against an older version that removes fields written by a newer one.
  void KeepsUnknownFields() {
    const std::string text =
        R"({"owner":"ops","kind":"rule","schema":1,"name":"r","spec":{"shards_per_zone":"later",)"
        R"("service":"s","attempts":2,"notes":[1,{"a":null}]}})";
    CPPUNIT_ASSERT_EQUAL(text, FormatRecord(Parse(text)));
  }

  void WritesChangedFields() {
    Record record = Parse(RecordText("zone", "z", R"({"region":"r","x":1})"));
    std::get<Zone>(record.spec_).state_ = ZoneState::kOut;
    CPPUNIT_ASSERT_EQUAL(RecordText("zone", "z", R"({"region":"r","x":1,"state":"out"})"),
                         FormatRecord(record));
    record.text_.clear();
    CPPUNIT_ASSERT(std::get<Zone>(Parse(FormatRecord(record)).spec_).state_ == ZoneState::kOut);
  }

  // Guards against schema 2 fields that take effect in a schema 1 record.
  void SchemaOneIgnoresSchemaTwoFields() {
    const std::string spec = R"({"service":"s","hedge_percent":5})";
    CPPUNIT_ASSERT_EQUAL(
        0.0, std::get<Rule>(Parse(RecordText("rule", "r", spec, 1)).spec_).hedge_percent_);
    CPPUNIT_ASSERT_EQUAL(
        5.0, std::get<Rule>(Parse(RecordText("rule", "r", spec, 2)).spec_).hedge_percent_);
  }

  void ReportsInconsistentRecordSets() {
    const auto errors = CheckRecordSet(
        {Parse(TargetText("10.0.0.1:80")),
         Parse(RecordText("target", "t2", R"({"service":"s","zone":"y","address":"10.0.0.1:80"})")),
         Parse(RecordText("service", "s", R"({"default_rule":"r"})")),
         Parse(RecordText("rule", "r", R"({"service":"other"})")),
         Parse(RecordText("zone", "z", R"({"region":"r"})")),
         Parse(RecordText("zone", "z", R"({"region":"r"})"))});
    const std::vector<std::string> expected = {
        "record zone/z: occurs more than once",
        "record target/t2: field spec.zone names zone/y, which does not exist",
        "record target/t2: field spec.address is \"10.0.0.1:80\", which target/t1 has as well",
        R"(record service/s: field spec.default_rule names rule/r, which belongs to service "other")",
        "record rule/r: field spec.service names service/other, which does not exist"};
    CPPUNIT_ASSERT_EQUAL(expected.size(), errors.size());
    for (std::size_t i = 0; i < expected.size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(expected[i], errors[i]);
    }
    std::vector<Record> many(kMaxZones + 1, Parse(RecordText("zone", "z", R"({"region":"r"})")));
    for (std::size_t i = 0; i < many.size(); ++i) many[i].name_ = "z" + std::to_string(i);
    CPPUNIT_ASSERT_EQUAL(std::string("kind zone has 65 records, allowed are at most 64"),
                         CheckRecordSet(many).at(0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordsTest);

}  // namespace monsoonshelf::records
