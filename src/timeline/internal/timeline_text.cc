#include <algorithm>
#include <ostream>

#include "logging/logging.h"
#include "timeline/timeline.h"

namespace monsoonshelf::timeline {

void WriteText(const Timeline& timeline, std::ostream& out) {
  std::size_t width = 0;
  for (const Event& event : timeline.events_) width = std::max(width, event.host_.size());
  for (const Event& event : timeline.events_) {
    out << logging::FormatWallTime(event.time_us_) << " " << event.host_
        << std::string(width - event.host_.size(), ' ') << " " << event.name_ << " "
        << FormatKeyValues(event.fields_) << "\n";
  }
  out << "events=" << timeline.events_.size() << " lines=" << timeline.line_count_
      << " malformed_lines=" << timeline.malformed_line_count_ << "\n";
}

}  // namespace monsoonshelf::timeline
