#pragma once

#include <string>

#include "base/enum_names.h"

namespace monsoonshelf::logging {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

inline constexpr EnumNames<LogLevel, 4> kLogLevelNames = {{
    {LogLevel::kDebug, "debug"},
    {LogLevel::kInfo, "info"},
    {LogLevel::kWarning, "warning"},
    {LogLevel::kError, "error"},
}};

struct LogSettings {
  LogLevel level_ = LogLevel::kInfo;
  std::string file_;  // Empty: standard output.
  // Standard output is never waited for: lines are kept in a bounded buffer until FlushLog, and
  // dropped and counted beyond it.
  bool bounded_ = false;
};

}  // namespace monsoonshelf::logging
