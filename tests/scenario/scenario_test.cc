#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <filesystem>

#include "tests/scenario/script.h"

namespace monsoonshelf::scenario {

class ScenarioTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ScenarioTest);
  CPPUNIT_TEST(AllScriptsMeetTheirExpectations);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Runs every script with seeds 1 to 3. The first lines of a script name the failure that it
  // guards against.
  void AllScriptsMeetTheirExpectations() {
    std::vector<std::string> files;
    for (const auto& entry :
         std::filesystem::directory_iterator(SOURCE_DIR "/tests/scenario/scripts")) {
      files.push_back(entry.path().string());
    }
    std::sort(files.begin(), files.end());
    CPPUNIT_ASSERT(!files.empty());
    std::string failures;
    for (const auto& file : files) {
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        for (const auto& failure : RunScript(file, seed).failures_) {
          failures.append(file).append(" seed ").append(std::to_string(seed));
          failures.append(": ").append(failure).append("\n");
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), failures);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScenarioTest);

}  // namespace monsoonshelf::scenario
