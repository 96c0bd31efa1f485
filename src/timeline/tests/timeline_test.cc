#include "timeline/timeline.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>
#include <string>

namespace monsoonshelf::timeline {

namespace {

Timeline Read(const std::string& log, const std::string& source = "file") {
  Timeline timeline;
  std::istringstream stream(log);
  ReadLog(stream, source, timeline);
  return timeline;
}

std::string Line(const std::string& second, const std::string& rest) {
  return "time=2026-01-31T12:00:" + second + "Z " + rest + "\n";
}

std::string Text(const Timeline& timeline) {
  std::ostringstream out;
  WriteText(timeline, out);
  return out.str();
}

std::string Html(const Timeline& timeline) {
  std::ostringstream out;
  WriteHtml(timeline, out);
  return out.str();
}

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

class TimelineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TimelineTest);
  CPPUNIT_TEST(MergesByTime);
  CPPUNIT_TEST(CountsMalformedLines);
  CPPUNIT_TEST(FollowsOneCall);
  CPPUNIT_TEST(ShowsKilledHosts);
  CPPUNIT_TEST(HtmlEscapesValues);
  CPPUNIT_TEST(HtmlShowsZoneKillAndStop);
  CPPUNIT_TEST(EmptyTimeline);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MergesByTime() {
    Timeline timeline = Read(Line("01.5", "host=h1 event=b") + Line("03", "host=h1 event=d"));
    std::istringstream other(Line("02.000001", "host=host-2 event=c x=\"1 2\"") +
                             Line("01", "event=a"));
    ReadLog(other, "second.log", timeline);
    FinishTimeline(timeline);
    CPPUNIT_ASSERT_EQUAL(std::string("2026-01-31T12:00:01.000000Z second.log a \n"
                                     "2026-01-31T12:00:01.500000Z h1         b \n"
                                     "2026-01-31T12:00:02.000001Z host-2     c x=\"1 2\"\n"
                                     "2026-01-31T12:00:03.000000Z h1         d \n"
                                     "events=4 lines=4 malformed_lines=0\n"),
                         Text(timeline));
  }

  // Guards against a log of a killed process, whose last line is cut, that stops the whole command.
  void CountsMalformedLines() {
    const Timeline timeline =
        Read(Line("01", "event=a") + "garbage\n\ntime=x event=a\nevent=a\n" +
             "time=2026-13-01T00:00:00Z event=a\n" + std::string("\0\xff\n", 3) +
             "time=2026-01-31T12:00:00Z event=a path=\"/cut");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, timeline.events_.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, timeline.malformed_line_count_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, timeline.line_count_);
  }

  void FollowsOneCall() {
    const Timeline timeline =
        Read(Line("01", "event=call_forward call=h1.1.2.abcdefgh") +
             Line("02", "event=call_end call=h1.1.2.abcdefgh outcome=answered") +
             Line("03", "event=call_end call=h1.1.2.abcdefg") +
             Line("04", "event=note other=h1.1.2.abcdefgh"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, FollowCall(timeline, "h1.1.2.abcdefgh").events_.size());
  }

  // Guards against a killed host that looks like an idle one.
  void ShowsKilledHosts() {
    Timeline timeline =
        Read(Line("01", "host=killed event=listening") + Line("02", "host=killed event=x") +
             Line("01", "host=again event=listening") + Line("09", "host=again event=listening") +
             Line("01", "host=stopped event=listening") + Line("02", "host=stopped event=stopped"));
    FinishTimeline(timeline);
    const std::string text = Text(timeline);
    CPPUNIT_ASSERT_MESSAGE(text, Has(text, "12:00:02.000000Z killed  log_ends"));
    CPPUNIT_ASSERT_MESSAGE(text, Has(text, "12:00:01.000000Z again   log_ends"));
    CPPUNIT_ASSERT_MESSAGE(text, !Has(text, "stopped log_ends"));
  }

  // Guards against a path of a caller that runs as a script in the reader's browser.
  void HtmlEscapesValues() {
    const std::string html = Html(Read(
        Line("01", "host=\"<b>\" event=\"<script>\" path=\"'\\\"&<script>alert(1)</script>\"")));
    CPPUNIT_ASSERT(!Has(html, "<script") && !Has(html, "<b>"));
    CPPUNIT_ASSERT(Has(html, "&lt;script&gt;alert(1)"));
  }

  void HtmlShowsZoneKillAndStop() {
    const std::string html =
        Html(Read(Line("01", "host=h event=record_in_effect kind=zone name=a state=out") +
                  Line("02", "host=h event=killed") + Line("03", "host=h event=stop_begun") +
                  Line("04", "host=h event=call_end outcome=unknown")));
    CPPUNIT_ASSERT(Has(html, "stroke-dasharray") &&
                   Has(html, "record_in_effect kind=zone name=a state=out"));
    CPPUNIT_ASSERT(Has(html, "<path d=\"M") && Has(html, "height=\"16\" fill=\"#f28e2b\""));
    CPPUNIT_ASSERT(Has(html, "fill=\"#ff0000\""));
    CPPUNIT_ASSERT(!Has(html, "src=") && !Has(html, "href="));
  }

  void EmptyTimeline() {
    Timeline timeline = Read("");
    FinishTimeline(timeline);
    CPPUNIT_ASSERT_EQUAL(std::string("events=0 lines=0 malformed_lines=0\n"), Text(timeline));
    CPPUNIT_ASSERT(Has(Html(timeline), "</html>"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TimelineTest);

}  // namespace monsoonshelf::timeline
