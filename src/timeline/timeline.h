#pragma once

#include <iosfwd>
#include <string>

#include "timeline/timeline_types.h"

namespace monsoonshelf::timeline {

// Adds the events of one log. Lines that are no events are counted and skipped. `source` stands in
// for the host in lines that name none.
void ReadLog(std::istream& log, const std::string& source, Timeline& timeline);

// Orders the events by time and adds an event `log_ends` where a host's log ends, or its next start
// follows, without a `stopped` event: a process that was killed writes nothing. Call it once, after
// the last ReadLog.
void FinishTimeline(Timeline& timeline);

// Only the events that name a call identifier.
Timeline FollowCall(const Timeline& timeline, const std::string& call_id);

// One line for each event, then a summary line.
void WriteText(const Timeline& timeline, std::ostream& out);

// A page without references to other files: a picture with one lane for each host, and a table of
// all events except calls that were answered.
void WriteHtml(const Timeline& timeline, std::ostream& out);

}  // namespace monsoonshelf::timeline
