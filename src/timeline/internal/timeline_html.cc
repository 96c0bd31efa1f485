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

constexpr int kLeft = 160;    // Room for host names.
constexpr int kWidth = 1240;  // Of the time axis.
constexpr int kTop = 24;
constexpr int kLane = 26;
// Browsers become slow with more elements; rows of calls are left out first.
constexpr std::size_t kMaxMarks = 20'000;
constexpr std::size_t kMaxRows = 5'000;

struct Style {
  EventKind kind_;
  std::string_view colour_;
};

constexpr auto kStyles = std::to_array<Style>({{EventKind::kCall, "#4e79a7"},
                                               {EventKind::kZone, "#e15759"},
                                               {EventKind::kStart, "#59a14f"},
                                               {EventKind::kStop, "#f28e2b"},
                                               {EventKind::kKill, "#000000"},
                                               {EventKind::kMember, "#b07aa1"},
                                               {EventKind::kLease, "#edc948"},
                                               {EventKind::kRecord, "#76b7b2"},
                                               {EventKind::kOther, "#bab0ac"}});

std::string_view ColourOf(EventKind kind) {
  const auto style = std::find_if(kStyles.begin(), kStyles.end(),
                                  [kind](const Style& item) { return item.kind_ == kind; });
  return style->colour_;
}

std::string Escape(std::string_view text) {
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

std::string Describe(const Event& event) {
  return logging::FormatWallTime(event.time_) + " " + event.host_ + " " + event.name_ + " " +
         FormatKeyValues(event.fields_);
}

// Calls that were answered are the rule; the others are what a reader looks for.
bool IsAnsweredCall(const Event& event) {
  return event.kind_ == EventKind::kCall &&
         std::find(event.fields_.begin(), event.fields_.end(),
                   std::pair<std::string, std::string>("outcome", "answered")) !=
             event.fields_.end();
}

class Picture {
 public:
  Picture(const Timeline& timeline, std::ostream& out) : timeline_(timeline), out_(out) {
    std::set<std::string> hosts;
    for (const Event& event : timeline.events_) hosts.insert(event.host_);
    for (const std::string& host : hosts) {
      const int lane = static_cast<int>(lanes_.size());
      lanes_[host] = kTop + lane * kLane + kLane / 2;
    }
    if (timeline.events_.empty()) return;
    start_ = timeline.events_.front().time_;
    span_ = std::max<std::int64_t>(timeline.events_.back().time_ - start_, 1);
  }

  void Write() {
    const int bottom = kTop + static_cast<int>(lanes_.size()) * kLane;
    out_ << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kLeft + kWidth + 20
         << "\" height=\"" << bottom + 30 << "\" font-family=\"sans-serif\" font-size=\"12\">\n";
    for (const auto& [host, y] : lanes_) {
      out_ << "<text x=\"4\" y=\"" << y + 4 << "\">" << Escape(host) << "</text><line x1=\""
           << kLeft << "\" y1=\"" << y << "\" x2=\"" << kLeft + kWidth << "\" y2=\"" << y
           << "\" stroke=\"#dddddd\"/>\n";
    }
    WriteAxis(bottom);
    std::size_t marks = 0;
    for (const Event& event : timeline_.events_) {
      if (marks >= kMaxMarks && IsAnsweredCall(event)) continue;
      WriteMark(event, bottom);
      ++marks;
    }
    out_ << "</svg>\n";
  }

 private:
  double X(std::int64_t time) const {
    return kLeft + static_cast<double>(time - start_) / static_cast<double>(span_) * kWidth;
  }

  void WriteAxis(int bottom) {
    constexpr int kTicks = 5;
    for (int tick = 0; tick <= kTicks; ++tick) {
      const std::int64_t offset = span_ * tick / kTicks;
      const double x = X(start_ + offset);
      out_ << "<text x=\"" << x << "\" y=\"" << bottom + 16 << "\" text-anchor=\"middle\">+"
           << std::floor(static_cast<double>(offset) / 1e5) / 10 << " s</text>\n";
    }
  }

  void WriteMark(const Event& event, int bottom) {
    const double x = X(event.time_);
    const int y = lanes_.at(event.host_);
    const std::string_view colour = ColourOf(event.kind_);
    out_ << "<g><title>" << Escape(Describe(event)) << "</title>";
    switch (event.kind_) {
      case EventKind::kZone:  // Concerns all hosts: a line through all lanes.
        out_ << "<line x1=\"" << x << "\" y1=\"" << kTop << "\" x2=\"" << x << "\" y2=\"" << bottom
             << "\" stroke=\"" << colour << "\" stroke-width=\"2\" stroke-dasharray=\"4 2\"/>"
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
  std::map<std::string, int> lanes_;  // Height of the middle of each lane.
  std::int64_t start_ = 0;
  std::int64_t span_ = 1;
};

void WriteLegend(std::ostream& out) {
  out << "<p>";
  for (const Style& style : kStyles) {
    out << "<span style=\"color:" << style.colour_ << "\">&#9632;</span> "
        << NameOf(kEventKindNames, style.kind_) << " &nbsp; ";
  }
  out << "<span style=\"color:#ff0000\">&#9679;</span> call without an answer</p>\n"
      << "<p>Cross: a log that ends, or a process that was killed. Dashed line: a change of an "
         "availability zone. Bars: start and stop. Times are those of each host's clock.</p>\n";
}

void WriteTable(const Timeline& timeline, std::ostream& out) {
  std::size_t rows = 0;
  std::size_t left_out = 0;
  out << "<table>\n<tr><th>time</th><th>host</th><th>event</th><th>fields</th></tr>\n";
  for (const Event& event : timeline.events_) {
    if (IsAnsweredCall(event) || rows >= kMaxRows) {
      ++left_out;
      continue;
    }
    ++rows;
    out << "<tr><td>" << logging::FormatWallTime(event.time_) << "</td><td>" << Escape(event.host_)
        << "</td><td style=\"border-left:6px solid " << ColourOf(event.kind_) << "\">"
        << Escape(event.name_) << "</td><td>" << Escape(FormatKeyValues(event.fields_))
        << "</td></tr>\n";
  }
  out << "</table>\n<p>" << left_out << " events are not in the table.</p>\n";
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
  Picture(timeline, out).Write();
  WriteTable(timeline, out);
  out << "</body></html>\n";
}

}  // namespace monsoonshelf::timeline
