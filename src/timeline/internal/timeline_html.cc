#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <ostream>
#include <set>
#include <string_view>

#include "logging/logging.h"
#include "timeline/timeline.h"

namespace monsoonshelf::timeline {

namespace {

constexpr int kLeftMargin = 160;  // Space for host names.
constexpr int kAxisWidth = 1240;
constexpr int kTopMargin = 24;
constexpr int kLaneHeight = 26;
// Browsers become slow with more elements than these limits. After kMaxMarkers, answered calls get
// no marker. After kMaxRows, no further rows are added to the table.
constexpr std::size_t kMaxMarkers = 20'000;
constexpr std::size_t kMaxRows = 5'000;

struct KindStyle {
  EventKind kind_;
  std::string_view colour_;
};

constexpr auto kKindStyles = std::to_array<KindStyle>({{EventKind::kCall, "#4e79a7"},
                                                       {EventKind::kZone, "#e15759"},
                                                       {EventKind::kStart, "#59a14f"},
                                                       {EventKind::kStop, "#f28e2b"},
                                                       {EventKind::kKill, "#000000"},
                                                       {EventKind::kMember, "#b07aa1"},
                                                       {EventKind::kLease, "#edc948"},
                                                       {EventKind::kRecord, "#76b7b2"},
                                                       {EventKind::kOther, "#bab0ac"}});

std::string_view ColourOf(EventKind kind) {
  const auto style = std::find_if(kKindStyles.begin(), kKindStyles.end(),
                                  [kind](const KindStyle& item) { return item.kind_ == kind; });
  return style->colour_;
}

std::string EscapeHtml(std::string_view text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '&':
        out += "&amp;";
        break;
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '"':
        out += "&quot;";
        break;
      case '\'':
        out += "&#39;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

std::string FormatTooltip(const Event& event) {
  return logging::FormatWallTime(event.time_us_) + " " + event.host_ + " " + event.name_ + " " +
         FormatKeyValues(event.fields_);
}

// Answered calls are the normal case. They may be omitted, since a reader looks for the other
// calls.
bool IsAnsweredCall(const Event& event) {
  return event.kind_ == EventKind::kCall &&
         std::find(event.fields_.begin(), event.fields_.end(),
                   std::pair<std::string, std::string>("outcome", "answered")) !=
             event.fields_.end();
}

class SvgChart {
 public:
  SvgChart(const Timeline& timeline, std::ostream& out) : timeline_(timeline), out_(out) {
    std::set<std::string> hosts;
    for (const Event& event : timeline.events_) hosts.insert(event.host_);
    for (const std::string& host : hosts) {
      const int lane = static_cast<int>(lane_centres_.size());
      lane_centres_[host] = kTopMargin + lane * kLaneHeight + kLaneHeight / 2;
    }
    if (timeline.events_.empty()) return;
    start_us_ = timeline.events_.front().time_us_;
    duration_us_ = std::max<std::int64_t>(timeline.events_.back().time_us_ - start_us_, 1);
  }

  void Write() {
    const int bottom = kTopMargin + static_cast<int>(lane_centres_.size()) * kLaneHeight;
    out_ << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kLeftMargin + kAxisWidth + 20
         << "\" height=\"" << bottom + 30 << "\" font-family=\"sans-serif\" font-size=\"12\">\n";
    for (const auto& [host, y] : lane_centres_) {
      out_ << "<text x=\"4\" y=\"" << y + 4 << "\">" << EscapeHtml(host) << "</text><line x1=\""
           << kLeftMargin << "\" y1=\"" << y << "\" x2=\"" << kLeftMargin + kAxisWidth << "\" y2=\""
           << y << "\" stroke=\"#dddddd\"/>\n";
    }
    WriteAxis(bottom);
    std::size_t markers = 0;
    for (const Event& event : timeline_.events_) {
      if (markers >= kMaxMarkers && IsAnsweredCall(event)) continue;
      WriteMarker(event, bottom);
      ++markers;
    }
    out_ << "</svg>\n";
  }

 private:
  double TimeToX(std::int64_t time) const {
    return kLeftMargin +
           static_cast<double>(time - start_us_) / static_cast<double>(duration_us_) * kAxisWidth;
  }

  void WriteAxis(int bottom) {
    constexpr int kTicks = 5;
    for (int tick = 0; tick <= kTicks; ++tick) {
      const std::int64_t offset = duration_us_ * tick / kTicks;
      const double x = TimeToX(start_us_ + offset);
      out_ << "<text x=\"" << x << "\" y=\"" << bottom + 16 << "\" text-anchor=\"middle\">+"
           << std::floor(static_cast<double>(offset) / 1e5) / 10 << " s</text>\n";
    }
  }

  void WriteMarker(const Event& event, int bottom) {
    const double x = TimeToX(event.time_us_);
    const int y = lane_centres_.at(event.host_);
    const std::string_view colour = ColourOf(event.kind_);
    out_ << "<g><title>" << EscapeHtml(FormatTooltip(event)) << "</title>";
    switch (event.kind_) {
      case EventKind::kZone:  // A zone event concerns all hosts: draw a line across all lanes.
        out_ << "<line x1=\"" << x << "\" y1=\"" << kTopMargin << "\" x2=\"" << x << "\" y2=\""
             << bottom << "\" stroke=\"" << colour
             << "\" stroke-width=\"2\" stroke-dasharray=\"4 2\"/>"
             << "<rect x=\"" << x - 5 << "\" y=\"" << y - 5
             << "\" width=\"10\" height=\"10\" fill=\"" << colour << "\"/>";
        break;
      case EventKind::kKill:
        out_ << "<path d=\"M" << x - 6 << " " << y - 6 << "l12 12m0 -12l-12 12\" stroke=\""
             << colour << "\" stroke-width=\"3\"/>";
        break;
      case EventKind::kStart:
      case EventKind::kStop:
        out_ << "<rect x=\"" << x - 5 << "\" y=\"" << y - 8
             << "\" width=\"10\" height=\"16\" fill=\"" << colour << "\"/>";
        break;
      default:
        out_ << "<circle cx=\"" << x << "\" cy=\"" << y << "\" r=\"4\" fill=\""
             << (event.kind_ == EventKind::kCall && !IsAnsweredCall(event) ? "#ff0000" : colour)
             << "\" fill-opacity=\"0.7\"/>";
    }
    out_ << "</g>\n";
  }

  const Timeline& timeline_;
  std::ostream& out_;
  std::map<std::string, int> lane_centres_;  // Y coordinate of each lane's centre line, by host.
  std::int64_t start_us_ = 0;
  std::int64_t duration_us_ = 1;
};

void WriteLegend(std::ostream& out) {
  out << "<p>";
  for (const KindStyle& style : kKindStyles) {
    out << "<span style=\"color:" << style.colour_ << "\">&#9632;</span> "
        << NameOf(kEventKindNames, style.kind_) << " &nbsp; ";
  }
  out << "<span style=\"color:#ff0000\">&#9679;</span> call that was not answered</p>\n"
      << "<p>Cross: end of a log without a stop, or a killed process. Dashed line: state change of "
         "an availability zone. Bars: start and stop. Times are by the clock of each host.</p>\n";
}

void WriteTable(const Timeline& timeline, std::ostream& out) {
  std::size_t rows = 0;
  std::size_t omitted = 0;
  out << "<table>\n<tr><th>time</th><th>host</th><th>event</th><th>fields</th></tr>\n";
  for (const Event& event : timeline.events_) {
    if (IsAnsweredCall(event) || rows >= kMaxRows) {
      ++omitted;
      continue;
    }
    ++rows;
    out << "<tr><td>" << logging::FormatWallTime(event.time_us_) << "</td><td>"
        << EscapeHtml(event.host_) << "</td><td style=\"border-left:6px solid "
        << ColourOf(event.kind_) << "\">" << EscapeHtml(event.name_) << "</td><td>"
        << EscapeHtml(FormatKeyValues(event.fields_)) << "</td></tr>\n";
  }
  out << "</table>\n<p>" << omitted << " events are omitted from the table.</p>\n";
}

}  // namespace

void WriteHtml(const Timeline& timeline, std::ostream& out) {
  out << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
         "<title>monsoonshelf timeline</title>\n<style>body{font-family:sans-serif}"
         "table{border-collapse:collapse;font-size:12px}td,th{padding:2px 8px;text-align:left}"
         "</style></head><body>\n<h1>Timeline</h1>\n<p>"
      << timeline.events_.size() << " events, " << timeline.line_count_ << " lines, "
      << timeline.malformed_line_count_ << " malformed lines.</p>\n";
  WriteLegend(out);
  SvgChart(timeline, out).Write();
  WriteTable(timeline, out);
  out << "</body></html>\n";
}

}  // namespace monsoonshelf::timeline
