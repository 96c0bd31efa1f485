#include "base/result_codes.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>
#include <string>

namespace monsoonshelf {

class ResultCodesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResultCodesTest);
  CPPUNIT_TEST(NumbersIncrease);
  CPPUNIT_TEST(DocumentListsEveryCode);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a number that is given twice.
  void NumbersIncrease() {
    int previous = -1;
    for (const auto& entry : ResultCodes()) {
      CPPUNIT_ASSERT(static_cast<int>(entry.code_) > previous);
      previous = static_cast<int>(entry.code_);
    }
  }

  // Guards against a code that operators cannot look up.
  void DocumentListsEveryCode() {
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
