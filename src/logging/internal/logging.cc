#include "logging/logging.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <ctime>
#include <fstream>

#include "base/clock.h"
#include "logging/internal/bounded_appender.h"

namespace monsoonshelf::logging {

namespace {

log4cplus::LogLevel ToLog4cplusLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

// Set by SetUpLogging before other threads start, and only read until TearDownLogging.
struct LogState {
  log4cplus::Logger logger_;
  HostName host_;
  bool open_ = false;
  log4cplus::helpers::SharedObjectPtr<BoundedAppender> bounded_appender_;
};

LogState& GlobalLogState() {
  static LogState state;
  return state;
}

log4cplus::SharedAppenderPtr MakeAppender(const LogSettings& settings) {
  log4cplus::SharedAppenderPtr appender;
  // The console and file appenders flush after each event, so that the last lines before the
  // process is killed are not lost.
  if (settings.non_blocking_stdout_) {
    GlobalLogState().bounded_appender_ = new BoundedAppender(STDOUT_FILENO);
    appender = log4cplus::SharedAppenderPtr(GlobalLogState().bounded_appender_.get());
  } else if (settings.file_.empty()) {
    appender = new log4cplus::ConsoleAppender(false, true);
  } else {
    appender = new log4cplus::FileAppender(settings.file_, std::ios_base::app, true);
  }
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  return appender;
}

}  // namespace

Result<void> SetUpLogging(const LogSettings& settings, const HostName& host) {
  // log4cplus does not return an error for a file that it cannot open; it only prints a message to
  // standard error.
  if (!settings.file_.empty() && !std::ofstream(settings.file_, std::ios::app)) {
    return Fail(ResultCode::kFileUnreadable,
                "cannot open log file " + settings.file_ + " for writing");
  }
  static log4cplus::Initializer initializer;
  LogState& state = GlobalLogState();
  state.logger_ = log4cplus::Logger::getInstance("monsoonshelf");
  state.logger_.removeAllAppenders();
  state.logger_.setAdditivity(false);
  state.logger_.addAppender(MakeAppender(settings));
  state.logger_.setLogLevel(ToLog4cplusLevel(settings.level_));
  state.host_ = host;
  state.open_ = true;
  return {};
}

void TearDownLogging() {
  LogState& state = GlobalLogState();
  if (!state.open_) return;
  state.open_ = false;
  state.logger_.removeAllAppenders();
  if (state.bounded_appender_.get() != nullptr) state.bounded_appender_->close();
  state.bounded_appender_ = {};
}

void FlushLog() {
  LogState& state = GlobalLogState();
  if (state.bounded_appender_.get() != nullptr) state.bounded_appender_->Flush();
}

bool IsLogged(LogLevel level) {
  const LogState& state = GlobalLogState();
  return state.open_ && state.logger_.isEnabledFor(ToLog4cplusLevel(level));
}

void LogEvent(LogLevel level, std::string_view event, const KeyValues& fields) {
  if (!IsLogged(level)) return;
  LogState& state = GlobalLogState();
  state.logger_.log(ToLog4cplusLevel(level),
                    FormatEvent(WallMicroseconds(), state.host_, level, event, fields));
}

void LogEvent(LogLevel level, const KeyValues& event_and_fields) {
  if (event_and_fields.empty()) return;
  const KeyValues fields(event_and_fields.begin() + 1, event_and_fields.end());
  LogEvent(level, event_and_fields.front().second, fields);
}

std::string FormatEvent(std::int64_t wall_microseconds, const HostName& host, LogLevel level,
                        std::string_view event, const KeyValues& fields) {
  KeyValues all = {{"time", FormatWallTime(wall_microseconds)},
                   {"host", host},
                   {"level", std::string(NameOf(kLogLevelNames, level))},
                   {"event", std::string(event)}};
  all.insert(all.end(), fields.begin(), fields.end());
  return FormatKeyValues(all);
}

std::string FormatWallTime(std::int64_t wall_microseconds) {
  constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
  std::time_t seconds = wall_microseconds / kMicrosecondsPerSecond;
  std::int64_t rest = wall_microseconds % kMicrosecondsPerSecond;
  if (rest < 0) {
    rest += kMicrosecondsPerSecond;
    --seconds;
  }
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, 16> fraction{};
  std::snprintf(fraction.data(), fraction.size(), ".%06dZ", static_cast<int>(rest));
  return std::string(text.data(), length) + fraction.data();
}

}  // namespace monsoonshelf::logging
