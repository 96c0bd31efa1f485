#include "base/key_value.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace monsoonshelf {

class KeyValueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeyValueTest);
  CPPUNIT_TEST(QuotesOnlyWhereNeeded);
  CPPUNIT_TEST(RejectsMalformedLines);
  CPPUNIT_TEST(RoundTripsFieldValues);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against events that span several lines or are split into the wrong fields.
  void QuotesOnlyWhereNeeded() {
    CPPUNIT_ASSERT_EQUAL(std::string(R"(a=1 b="x y" c="" d="q\"\n")"),
                         FormatKeyValues({{"a", "1"}, {"b", "x y"}, {"c", ""}, {"d", "q\"\n"}}));
  }

  // Guards against reading past the end of a truncated line.
  void RejectsMalformedLines() {
    for (const char* line : {"novalue", "=x", "a=\"open", "a=\"x\\", "a b=1"}) {
      CPPUNIT_ASSERT_MESSAGE(line, !ParseKeyValues(line).has_value());
    }
  }

  // Guards against values that differ after they are formatted and parsed again.
  void RoundTripsFieldValues() {
    const bool ok = rc::check("round trip", [](const std::string& raw) {
      std::string value;
      for (const char c : raw) value += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
      const auto parsed = ParseKeyValues(FormatKeyValues({{"key", value}, {"next", "1"}}));
      RC_ASSERT(parsed.has_value());
      RC_ASSERT((*parsed)[0].second == value);
    });
    CPPUNIT_ASSERT(ok);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyValueTest);

}  // namespace monsoonshelf
