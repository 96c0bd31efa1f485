#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <string>
#include <vector>

#include "records/record_file.h"
#include "records/record_set.h"
#include "settings/settings.h"

namespace monsoonshelf::app {

namespace {

template <typename T>
T Require(const std::function<Result<T>()>& attempt) {
  return Recover(attempt, [](const Error& error) {
    CPPUNIT_FAIL(error.message_);
    return T{};
  });
}

}  // namespace

// Guards against example files that the program rejects: their records and settings are loaded.
class ExamplesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExamplesTest);
  CPPUNIT_TEST(RegistryIsValid);
  CPPUNIT_TEST(ShopIsValid);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RegistryIsValid() { CheckExample("registry", 6, 11, 30, 220); }
  void ShopIsValid() { CheckExample("shop", 6, 13, 35, 240); }

 private:
  static void CheckExample(const std::string& example, int min_targets, int max_targets,
                           int target_records, int connections) {
    const std::string folder = std::string(SOURCE_DIR) + "/examples/" + example + "/";
    std::vector<records::Record> all;
    for (const char* name : {"zones", "services", "rules", "targets"}) {
      std::ifstream file(folder + name + ".json");
      const std::string text{std::istreambuf_iterator<char>(file), {}};
      const auto file_records =
          Require<std::vector<records::Record>>([&] { return records::ParseRecordFile(text); });
      all.insert(all.end(), file_records.begin(), file_records.end());
    }
    for (const std::string& fault : records::CheckRecordSet(all)) CPPUNIT_FAIL(fault);
    std::map<std::string, int> targets;
    std::map<records::Kind, int> kinds;
    for (const auto& record : all) {
      ++kinds[record.kind_];
      if (const auto* target = std::get_if<records::Target>(&record.spec_)) {
        ++targets[target->service_];
      }
      if (const auto* service = std::get_if<records::Service>(&record.spec_)) {
        CPPUNIT_ASSERT_EQUAL(connections, service->max_connections_);
      }
    }
    CPPUNIT_ASSERT_EQUAL(3, kinds[records::Kind::kZone]);
    CPPUNIT_ASSERT_EQUAL(4, kinds[records::Kind::kService]);
    CPPUNIT_ASSERT_EQUAL(target_records, kinds[records::Kind::kTarget]);
    for (const auto& [service, count] : targets) {
      CPPUNIT_ASSERT_MESSAGE(service, count >= min_targets && count <= max_targets);
    }
    Require<settings::Settings>([&] { return settings::LoadSettings(folder + "entry-host.toml"); });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExamplesTest);

}  // namespace monsoonshelf::app
