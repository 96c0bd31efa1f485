#include "timeline/timeline.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>
#include <string>

namespace monsoonshelf::timeline {

namespace {

Timeline ReadTimeline(const std::string& log, const std::string& source = "file") {
  Timeline timeline;
  std::istringstream stream(log);
  ReadLog(stream, source, timeline);
  return timeline;
}

std::string LogLine(const std::string& second, const std::string& rest) {
  return "time=2026-01-31T12:00:" + second + "Z " + rest + "\n";
}

std::string ToText(const Timeline& timeline) {
  std::ostringstream out;
  WriteText(timeline, out);
  return out.str();
}

std::string ToHtml(const Timeline& timeline) {
  std::ostringstream out;
  WriteHtml(timeline, out);
  return out.str();
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

class TimelineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TimelineTest);
  CPPUNIT_TEST(MergesLogsByTime);
  CPPUNIT_TEST(CountsMalformedLines);
  CPPUNIT_TEST(FiltersByCall);
  CPPUNIT_TEST(AddsLogEndsEventForKilledHosts);
  CPPUNIT_TEST(HtmlEscapesValues);
  CPPUNIT_TEST(HtmlMarksZoneChangesKillsAndStops);
  CPPUNIT_TEST(WritesEmptyTimeline);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MergesLogsByTime() {
    Timeline timeline =
        ReadTimeline(LogLine("01.5", "host=h1 event=b") + LogLine("03", "host=h1 event=d"));
    std::istringstream other(LogLine("02.000001", "host=host-2 event=c x=\"1 2\"") +
                             LogLine("01", "event=a"));
    ReadLog(other, "second.log", timeline);
    FinishTimeline(timeline);
    CPPUNIT_ASSERT_EQUAL(std::string("2026-01-31T12:00:01.000000Z second.log a \n"
                                     "2026-01-31T12:00:01.500000Z h1         b \n"
                                     "2026-01-31T12:00:02.000001Z host-2     c x=\"1 2\"\n"
                                     "2026-01-31T12:00:03.000000Z h1         d \n"
                                     "events=4 lines=4 malformed_lines=0\n"),
                         ToText(timeline));
  }

  // Guards against a command that fails on malformed lines. The log of a killed process ends with a
  // truncated line.
  void CountsMalformedLines() {
    const Timeline timeline =
        ReadTimeline(LogLine("01", "event=a") + "garbage\n\ntime=x event=a\nevent=a\n" +
                     "time=2026-13-01T00:00:00Z event=a\n" + std::string("\0\xff\n", 3) +
                     "time=2026-01-31T12:00:00Z event=a path=\"/cut");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, timeline.events_.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, timeline.malformed_line_count_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, timeline.line_count_);
  }

  void FiltersByCall() {
    const Timeline timeline =
        ReadTimeline(LogLine("01", "event=call_forward call=h1.1.2.abcdefgh") +
                     LogLine("02", "event=call_end call=h1.1.2.abcdefgh outcome=answered") +
                     LogLine("03", "event=call_end call=h1.1.2.abcdefg") +
                     LogLine("04", "event=note other=h1.1.2.abcdefgh"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, FilterByCall(timeline, "h1.1.2.abcdefgh").events_.size());
  }

  // Guards against a timeline in which a killed host looks like an idle one.
  void AddsLogEndsEventForKilledHosts() {
    Timeline timeline = ReadTimeline(
        LogLine("01", "host=killed event=listening") + LogLine("02", "host=killed event=x") +
        LogLine("01", "host=again event=listening") + LogLine("09", "host=again event=listening") +
        LogLine("01", "host=stopped event=listening") +
        LogLine("02", "host=stopped event=stopped"));
    FinishTimeline(timeline);
    const std::string text = ToText(timeline);
    CPPUNIT_ASSERT_MESSAGE(text, Contains(text, "12:00:02.000000Z killed  log_ends"));
    CPPUNIT_ASSERT_MESSAGE(text, Contains(text, "12:00:01.000000Z again   log_ends"));
    CPPUNIT_ASSERT_MESSAGE(text, !Contains(text, "stopped log_ends"));
  }

  // Guards against script injection: a caller chooses the path of a request, which is logged.
  void HtmlEscapesValues() {
    const std::string html = ToHtml(ReadTimeline(
        LogLine("01", "host=\"<b>\" event=\"<script>\" path=\"'\\\"&<script>alert(1)</script>\"")));
    CPPUNIT_ASSERT(!Contains(html, "<script") && !Contains(html, "<b>"));
    CPPUNIT_ASSERT(Contains(html, "&lt;script&gt;alert(1)"));
  }

  void HtmlMarksZoneChangesKillsAndStops() {
    const std::string html = ToHtml(ReadTimeline(
        LogLine("01", "host=h event=record_in_effect kind=zone name=a state=out") +
        LogLine("02", "host=h event=killed") + LogLine("03", "host=h event=stop_begun") +
        LogLine("04", "host=h event=call_end outcome=unknown")));
    CPPUNIT_ASSERT(Contains(html, "stroke-dasharray") &&
                   Contains(html, "record_in_effect kind=zone name=a state=out"));
    CPPUNIT_ASSERT(Contains(html, "<path d=\"M") &&
                   Contains(html, "height=\"16\" fill=\"#f28e2b\""));
    CPPUNIT_ASSERT(Contains(html, "fill=\"#ff0000\""));
    CPPUNIT_ASSERT(!Contains(html, "src=") && !Contains(html, "href="));
  }

  void WritesEmptyTimeline() {
    Timeline timeline = ReadTimeline("");
    FinishTimeline(timeline);
    CPPUNIT_ASSERT_EQUAL(std::string("events=0 lines=0 malformed_lines=0\n"), ToText(timeline));
    CPPUNIT_ASSERT(Contains(ToHtml(timeline), "</html>"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TimelineTest);

}  // namespace monsoonshelf::timeline
