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

// Guards against examples that the product refuses.
class ExamplesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExamplesTest);
  CPPUNIT_TEST(RegistryIsValid);
  CPPUNIT_TEST(ShopIsValid);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RegistryIsValid() { CheckUser("registry", 6, 11, 30, 220); }
  void ShopIsValid() { CheckUser("shop", 6, 13, 35, 240); }

 private:
  static void CheckUser(const std::string& user, int fewest, int most, int total, int connections) {
    const std::string folder = std::string(SOURCE_DIR) + "/examples/" + user + "/";
    std::vector<records::Record> all;
    for (const char* name : {"zones", "services", "rules", "targets"}) {
      std::ifstream file(folder + name + ".json");
      const std::string text{std::istreambuf_iterator<char>(file), {}};
      const auto some =
          Require<std::vector<records::Record>>([&] { return records::ParseRecordFile(text); });
      all.insert(all.end(), some.begin(), some.end());
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
    CPPUNIT_ASSERT_EQUAL(total, kinds[records::Kind::kTarget]);
    for (const auto& [service, count] : targets) {
      CPPUNIT_ASSERT_MESSAGE(service, count >= fewest && count <= most);
    }
    Require<settings::Settings>([&] { return settings::LoadSettings(folder + "entry-host.toml"); });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExamplesTest);

}  // namespace monsoonshelf::app
