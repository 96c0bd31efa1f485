#include "logging/logging.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

namespace monsoonshelf::logging {

class LoggingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoggingTest);
  CPPUNIT_TEST(FormatsWallTime);
  CPPUNIT_TEST(KeepsEventsOnOneLine);
  CPPUNIT_TEST(WritesEventsAtOrAboveTheLevel);
  CPPUNIT_TEST(RejectsUnwritableFile);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FormatsWallTime() {
    CPPUNIT_ASSERT_EQUAL(std::string("2026-01-31T12:00:00.000007Z"),
                         FormatWallTime(1'769'860'800'000'007));
    CPPUNIT_ASSERT_EQUAL(std::string("1969-12-31T23:59:59.999999Z"), FormatWallTime(-1));
  }

  // Guards against log injection: a value from a request, such as a path, must not be able to forge
  // a second event.
  void KeepsEventsOnOneLine() {
    const std::string line = FormatEvent(0, "h", LogLevel::kInfo, "call",
                                         {{"path", "/a\r\ntime=x event=forged"}, {"empty", ""}});
    CPPUNIT_ASSERT_EQUAL(std::string::npos, line.find_first_of("\r\n"));
    const auto fields = ParseKeyValues(line);
    CPPUNIT_ASSERT(fields.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, fields->size());
    CPPUNIT_ASSERT_EQUAL(std::string("call"), fields->at(3).second);
  }

  void WritesEventsAtOrAboveTheLevel() {
    std::string path = "/tmp/monsoonshelf-logging-XXXXXX";
    close(mkstemp(path.data()));
    LogEvent(LogLevel::kError, "before_set_up");
    SetUp({LogLevel::kInfo, path});
    LogEvent(LogLevel::kDebug, "hidden");
    LogEvent(LogLevel::kInfo, "shown", {{"percent", "%m%n"}});
    LogEvent(LogLevel::kWarning, KeyValues{{"event", "from_node"}, {"a", "1"}});
    TearDownLogging();
    LogEvent(LogLevel::kError, "after_tear_down");
    std::stringstream text;
    text << std::ifstream(path).rdbuf();
    unlink(path.c_str());
    std::string line;
    std::getline(text, line);
    CPPUNIT_ASSERT_MESSAGE(line, line.ends_with("host=h1 level=info event=shown percent=%m%n"));
    std::getline(text, line);
    CPPUNIT_ASSERT_MESSAGE(line, line.ends_with("level=warning event=from_node a=1"));
    CPPUNIT_ASSERT(!std::getline(text, line));
  }

  void RejectsUnwritableFile() {
    CPPUNIT_ASSERT(!SetUp({LogLevel::kInfo, "/nonexistent/folder/log"}));
    CPPUNIT_ASSERT(!IsLogged(LogLevel::kError));
  }

 private:
  static bool SetUp(const LogSettings& settings) {
    return Recover(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(SetUpLogging(settings, "h1"));
          return true;
        },
        [](const Error& error) {
          CPPUNIT_ASSERT(error.code_ == ResultCode::kFileUnreadable);
          return false;
        });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoggingTest);

}  // namespace monsoonshelf::logging
