#include "logging/internal/bounded_appender.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <log4cplus/logger.h>
#include <unistd.h>

#include <array>
#include <string>

namespace monsoonshelf::logging {

// Logs to a pipe that is read only by the test itself.
class BoundedAppenderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BoundedAppenderTest);
  CPPUNIT_TEST(WritesLinesInOrder);
  CPPUNIT_TEST(DoesNotBlockOnASlowReader);
  CPPUNIT_TEST(ReservesRateForWarnings);
  CPPUNIT_TEST(LimitsLineRate);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    CPPUNIT_ASSERT_EQUAL(0, pipe2(pipe_.data(), O_CLOEXEC));
    CPPUNIT_ASSERT(fcntl(pipe_[0], F_SETFL, O_NONBLOCK) == 0);
    appender_ = new BoundedAppender(pipe_[1]);
    logger_ = log4cplus::Logger::getInstance("bounded_appender_test");
    logger_.removeAllAppenders();
    logger_.setAdditivity(false);
    logger_.addAppender(log4cplus::SharedAppenderPtr(appender_.get()));
  }
  void tearDown() override {
    logger_.removeAllAppenders();
    appender_ = {};
    close(pipe_[0]);
    close(pipe_[1]);
  }

  void WritesLinesInOrder() {
    Log("first");
    Log("second");
    appender_->Flush();
    CPPUNIT_ASSERT_EQUAL(std::string("first\nsecond\n"), Read());
  }

  // Guards against requests that block while the reader of the log is slow; this test would then
  // hang. Dropped lines must be counted, and the count must be logged once there is room.
  void DoesNotBlockOnASlowReader() {
    const std::string line(4000, 'x');
    for (int i = 0; i < 500; ++i) Log(line);
    appender_->Flush();
    CPPUNIT_ASSERT(appender_->DroppedLines() > 0);
    while (!Read().empty()) appender_->Flush();
    Log("after");
    appender_->Flush();
    const std::string text = Read();
    CPPUNIT_ASSERT(text.find("event=log_lines_dropped count=" +
                             std::to_string(appender_->DroppedLines())) != std::string::npos);
    CPPUNIT_ASSERT(text.find("after\n") != std::string::npos);
  }

  // Guards against losing the warning of a failed request after a burst of lines about changed
  // targets has used up the rate limit.
  void ReservesRateForWarnings() {
    for (int i = 0; i < 5000; ++i) Log("time=1 host=h level=info event=target_known");
    Read();
    logger_.log(log4cplus::WARN_LOG_LEVEL, "time=2 host=h level=warning event=request_done");
    appender_->Flush();
    const std::string text = Read();
    CPPUNIT_ASSERT(text.find("event=request_done\n") != std::string::npos);
    // The line with the count has the same leading fields as other lines.
    CPPUNIT_ASSERT(text.find("time=2 host=h level=warning event=log_lines_dropped count=") !=
                   std::string::npos);
  }

  // Guards against a log volume that grows with the load.
  void LimitsLineRate() {
    for (int i = 0; i < 5000; ++i) Log("short");
    CPPUNIT_ASSERT(appender_->DroppedLines() > 3000);
  }

 private:
  void Log(const std::string& line) { logger_.log(log4cplus::INFO_LOG_LEVEL, line); }

  std::string Read() {
    std::string text;
    std::array<char, 65536> buffer{};
    ssize_t count = 0;
    while ((count = read(pipe_[0], buffer.data(), buffer.size())) > 0) {
      text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return text;
  }

  std::array<int, 2> pipe_{};
  log4cplus::helpers::SharedObjectPtr<BoundedAppender> appender_;
  log4cplus::Logger logger_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BoundedAppenderTest);

}  // namespace monsoonshelf::logging
