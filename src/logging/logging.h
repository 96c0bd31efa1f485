#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/base_types.h"
#include "base/key_value.h"
#include "base/result.h"
#include "logging/logging_types.h"

namespace monsoonshelf::logging {

// Opens the log of this process. Events before this call are dropped. Error: kFileUnreadable.
Result<void> SetUpLogging(const LogSettings& settings, const HostName& host);

// Writes out and closes the log.
void TearDownLogging();

// Writes out what a bounded log has gathered, without blocking. Call it a few times a second.
void FlushLog();

// Whether events of a level are written, for callers that would compute fields in vain.
bool IsLogged(LogLevel level);

// Writes one event as one line. Any thread may call this.
void LogEvent(LogLevel level, std::string_view event, const KeyValues& fields = {});

// Writes an event of another module: the first field is `event`, as in NodeOutput::events_.
void LogEvent(LogLevel level, const KeyValues& event_and_fields);

// `time=2026-01-31T12:00:00.000000Z host=h level=info event=e key=value`, without a line end.
std::string FormatEvent(std::int64_t wall_microseconds, const HostName& host, LogLevel level,
                        std::string_view event, const KeyValues& fields);

// `2026-01-31T12:00:00.000000Z`.
std::string FormatWallTime(std::int64_t wall_microseconds);

}  // namespace monsoonshelf::logging
