#include "base/result_codes.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>
#include <string>

namespace monsoonshelf {

class ResultCodesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResultCodesTest);
  CPPUNIT_TEST(CodesAreUniqueAndSorted);
  CPPUNIT_TEST(DocumentationListsEveryCode);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against two codes with the same number.
  void CodesAreUniqueAndSorted() {
    int previous = -1;
    for (const auto& entry : ResultCodes()) {
      CPPUNIT_ASSERT(static_cast<int>(entry.code_) > previous);
      previous = static_cast<int>(entry.code_);
    }
  }

  // Guards against a code that is missing in docs/result-codes.md, where operators look it up.
  void DocumentationListsEveryCode() {
    std::ifstream file(SOURCE_DIR "/docs/result-codes.md");
    std::stringstream text;
    text << file.rdbuf();
    for (const auto& entry : ResultCodes()) {
      const std::string row = "| " + std::to_string(static_cast<int>(entry.code_)) + " | `" +
                              std::string(entry.name_) + "` | " + std::string(entry.description_) +
                              " |";
      CPPUNIT_ASSERT_MESSAGE(row, text.str().find(row) != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResultCodesTest);

}  // namespace monsoonshelf
