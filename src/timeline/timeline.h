#pragma once

#include <iosfwd>
#include <string>

#include "timeline/timeline_types.h"

namespace monsoonshelf::timeline {

// Adds the events of one log to `timeline`. Lines that cannot be parsed as events are counted and
// skipped. `source` is used as the host of lines without a host.
void ReadLog(std::istream& log, const std::string& source, Timeline& timeline);

// Sorts the events by time and adds a `log_ends` event for each host process that did not log
// `stopped`: after its last event before the next start, or at the end of the log. A process that
// was killed writes no event of its own. Call it once, after the last ReadLog.
void FinishTimeline(Timeline& timeline);

// Returns a copy of the timeline with only the events of the call `call_id`.
Timeline FilterByCall(const Timeline& timeline, const std::string& call_id);

// Writes one line per event, then a line with the number of events, lines and malformed lines.
void WriteText(const Timeline& timeline, std::ostream& out);

// Writes a self-contained HTML page: an SVG chart with one lane per host, and a table of all events
// except answered calls. Events beyond the size limits of the page are omitted.
void WriteHtml(const Timeline& timeline, std::ostream& out);

}  // namespace monsoonshelf::timeline
