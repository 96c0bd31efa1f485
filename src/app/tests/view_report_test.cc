#include "app/internal/view_report.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <iterator>
#include <string>

#include "logging/logging.h"

namespace monsoonshelf::app {

class ViewReportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ViewReportTest);
  CPPUNIT_TEST(LogsZoneChangesAndSetsMetrics);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a zone state change that is missing from the log or logged repeatedly, and
  // against members and shards that are missing from the metrics.
  void LogsZoneChangesAndSetsMetrics() {
    const std::string file = "view-report-test.log";
    CPPUNIT_ASSERT(logging::SetUpLogging({logging::LogLevel::kInfo, file}, "h1"));
    const auto metrics = metrics::MakeMetrics("h1", "a", "r");
    ReportedState reported;
    for (const auto state :
         {records::ZoneState::kIn, records::ZoneState::kOut, records::ZoneState::kOut}) {
      ReportView(reported, *metrics, View(state), {{"s", "a", 3, 2, 1, {}}}, Time());
    }
    logging::TearDownLogging();
    std::ifstream stream(file);
    const std::string log{std::istreambuf_iterator<char>(stream), {}};
    std::remove(file.c_str());
    CPPUNIT_ASSERT_MESSAGE(log,
                           log.find("event=zone_state zone=a state=in") < log.find("state=out"));
    CPPUNIT_ASSERT_EQUAL(log.find("state=out"), log.rfind("state=out"));
    const std::string text = metrics::FormatMetrics(*metrics);
    for (const char* sample :
         {"state=\"gone\"} 1\n", "dispatcher=\"h2\",service=\"s\",zone=\"a\"} 1\n",
          "shard_queued_calls{host=\"h1\",region=\"r\",zone_of_host=\"a\"", "zone=\"a\"} 2\n"}) {
      CPPUNIT_ASSERT_MESSAGE(sample, text.find(sample) != std::string::npos);
    }
  }

 private:
  static control::ControlView View(records::ZoneState state) {
    auto snapshot = std::make_shared<configuration::Snapshot>();
    snapshot->zones_["a"].state_ = state;
    snapshot->highest_version_ = state == records::ZoneState::kIn ? 1 : 2;
    auto placements = std::make_shared<control::Placements>();
    coordination::MemberUpdate other;
    other.name_ = "h2";
    other.state_ = coordination::MemberState::kGone;
    (*placements)[{"s", "a"}].dispatcher_ = other;
    control::ControlView view;
    view.snapshot_ = snapshot;
    view.placements_ = placements;
    view.members_ = {other};
    view.has_configuration_ = true;
    return view;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ViewReportTest);

}  // namespace monsoonshelf::app
