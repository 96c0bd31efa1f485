#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/base_types.h"
#include "base/key_value.h"
#include "base/result.h"
#include "logging/logging_types.h"

namespace monsoonshelf::logging {

// Opens the log of this process. Events logged before this call are discarded. Fails with
// kFileUnreadable if the log file cannot be opened for writing.
Result<void> SetUpLogging(const LogSettings& settings, const HostName& host);

// Flushes and closes the log. Later events are discarded.
void TearDownLogging();

// Writes buffered lines to standard output without blocking. Must be called a few times per second
// if LogSettings::non_blocking_stdout_ is set; has no effect otherwise.
void FlushLog();

// Returns whether events of the level are written, so that code can skip computing their fields.
bool IsLogged(LogLevel level);

// Writes one event as one line of key=value pairs. Thread-safe.
void LogEvent(LogLevel level, std::string_view event, const KeyValues& fields = {});

// Writes an event whose name is the value of the first pair, as in NodeOutput::events_. Does
// nothing if there are no pairs.
void LogEvent(LogLevel level, const KeyValues& event_and_fields);

// Formats one log line without a line end, such as
// `time=2026-01-31T12:00:00.000000Z host=h level=info event=e key=value`.
std::string FormatEvent(std::int64_t wall_microseconds, const HostName& host, LogLevel level,
                        std::string_view event, const KeyValues& fields);

// Formats microseconds since the Unix epoch as UTC, such as `2026-01-31T12:00:00.000000Z`.
std::string FormatWallTime(std::int64_t wall_microseconds);

}  // namespace monsoonshelf::logging
