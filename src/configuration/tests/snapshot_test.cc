#include <cppunit/extensions/HelperMacros.h>

#include "configuration/configuration.h"
#include "configuration/tests/record_texts.h"

namespace monsoonshelf::configuration {

class SnapshotTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SnapshotTest);
  CPPUNIT_TEST(TargetsThatLeaveOrWhoseZoneIsOutAcceptNoWork);
  CPPUNIT_TEST(MostSpecificRuleApplies);
  CPPUNIT_TEST_SUITE_END();

  Configuration configuration_;
  Version version_ = 0;

  void AddRecord(records::Kind kind, const std::string& name, const std::string& spec) {
    const std::string kind_name(NameOf(records::kKindNames, kind));
    std::string reason;
    const auto outcome = MergeRecord(
        configuration_, {{kind, name}, ++version_, RecordText(kind_name, name, spec)}, &reason);
    CPPUNIT_ASSERT_MESSAGE(reason, outcome == MergeOutcome::kAccepted);
  }
  void AddTarget(const std::string& name, const std::string& zone, const std::string& state) {
    AddRecord(records::Kind::kTarget, name,
              R"({"service":"s","zone":")" + zone + R"(","address":"127.0.0.1:80","state":")" +
                  state + R"("})");
  }
  void AddRule(const std::string& name, const std::string& method, const std::string& prefix) {
    AddRecord(records::Kind::kRule, name,
              R"({"service":"s","method":")" + method + R"(","path_prefix":")" + prefix +
                  R"(","class":"interactive","deadline_ms":100,"idempotent":true})");
  }

 public:
  void setUp() override {
    configuration_ = {};
    version_ = 0;
    AddRecord(records::Kind::kService, "s", R"({"default_rule":"d"})");
  }

  // Guards against calls to targets that are leaving or whose zone is out of service.
  void TargetsThatLeaveOrWhoseZoneIsOutAcceptNoWork() {
    AddRecord(records::Kind::kZone, "a", R"({"region":"r","state":"in"})");
    AddRecord(records::Kind::kZone, "b", R"({"region":"r","state":"out"})");
    AddTarget("t1", "a", "active");
    AddTarget("t2", "a", "leaving");
    AddTarget("t3", "b", "active");
    const auto snapshot = BuildSnapshot(configuration_);
    const auto& targets = snapshot->services_.at("s").targets_;
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, targets.size());
    CPPUNIT_ASSERT(targets[0].accepts_work_);
    CPPUNIT_ASSERT(!targets[1].accepts_work_);
    CPPUNIT_ASSERT(!targets[2].accepts_work_);
  }

  // Guards against a call that gets the limits of a less specific rule. The longest path prefix
  // takes precedence, then a rule for the method, then the default rule.
  void MostSpecificRuleApplies() {
    AddRule("a", "", "/x");
    AddRule("b", "", "/x/y");
    AddRule("c", "POST", "/x/y");
    AddRule("d", "PUT", "/never");
    const auto snapshot = BuildSnapshot(configuration_);
    const auto& service = snapshot->services_.at("s");
    const auto name_of = [&](const std::string& method, const std::string& path) {
      const auto& found = FindRule(service, method, path);
      for (const auto& [name, rule] : service.rules_) {
        if (&rule == &found) return name;
      }
      return std::string();
    };
    CPPUNIT_ASSERT_EQUAL(std::string("a"), name_of("GET", "/x/z"));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), name_of("GET", "/x/y/z"));
    CPPUNIT_ASSERT_EQUAL(std::string("c"), name_of("POST", "/x/y/z"));
    CPPUNIT_ASSERT_EQUAL(std::string("d"), name_of("GET", "/other"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SnapshotTest);

}  // namespace monsoonshelf::configuration
