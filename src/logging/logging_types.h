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
  std::string file_;  // Empty for standard output.
  // Writes to standard output without blocking, and ignores `file_`. Lines wait in a bounded buffer
  // until FlushLog; lines that do not fit are dropped and counted.
  bool non_blocking_stdout_ = false;
};

}  // namespace monsoonshelf::logging
