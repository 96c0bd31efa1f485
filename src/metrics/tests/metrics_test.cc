#include "metrics/metrics.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"

namespace monsoonshelf::metrics {

namespace {

// Returns whether the text has a line that begins with the name, contains the labels and ends with
// the value.
bool HasSample(const std::string& text, const std::string& name, const std::string& labels,
               const std::string& value) {
  std::size_t start = 0;
  while (start < text.size()) {
    const std::size_t end = std::min(text.find('\n', start), text.size());
    const std::string line = text.substr(start, end - start);
    if (line.starts_with("monsoonshelf_" + name + "{") && line.ends_with(" " + value) &&
        line.find(labels) != std::string::npos) {
      return true;
    }
    start = end + 1;
  }
  return false;
}

}  // namespace

class MetricsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MetricsTest);
  CPPUNIT_TEST(CountsCallsFromManyThreads);
  CPPUNIT_TEST(ReportsLatencyInSeconds);
  CPPUNIT_TEST(RemovesGaugesOfFormerDispatchers);
  CPPUNIT_TEST(IncreasesCountersToTotals);
  CPPUNIT_TEST(ReportsAgeOfConfiguration);
  CPPUNIT_TEST(ReportsAddressInUse);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { metrics_ = MakeMetrics("h1", "a", "west"); }

  // Guards against increments that are lost when several data tasks count at the same time.
  void CountsCallsFromManyThreads() {
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i) {
      threads.emplace_back([this] {
        for (int call = 0; call < 1000; ++call) {
          CountCall(*metrics_, CallOutcome::kNotRun, ResultCode::kQueueFull);
        }
      });
    }
    for (auto& thread : threads) thread.join();
    CountCall(*metrics_, CallOutcome::kAnswered, ResultCode::kOk);
    Expect("calls_total", R"(outcome="not_run",result="queue_full")", "4000");
    Expect("calls_total", R"(outcome="answered",result="ok")", "1");
  }

  void ReportsLatencyInSeconds() {
    ObserveLatency(*metrics_, Duration(710), Duration(12'000));
    ObserveLatency(*metrics_, Duration(-5), Duration(730));
    Expect("added_latency_seconds_bucket", R"(le="0.00072")", "2");
    Expect("added_latency_seconds_bucket", R"(le="0.00055")", "1");
    Expect("total_latency_seconds_bucket", R"(le="0.01")", "1");
  }

  // Guards against a shard that is reported with two dispatchers after its dispatcher has changed.
  void RemovesGaugesOfFormerDispatchers() {
    SetShards(*metrics_, {{"s", "a", "h1", true, 5, 2, 3}});
    Expect("shard_dispatcher", R"(dispatcher="h1",service="s",zone="a")", "1");
    Expect("shard_queued_calls", R"(service="s",zone="a")", "5");
    SetShards(*metrics_, {{"s", "a", "h2", false, 0, 0, 0}});
    const std::string text = FormatMetrics(*metrics_);
    CPPUNIT_ASSERT(text.find(R"(dispatcher="h1")") == std::string::npos);
    CPPUNIT_ASSERT(text.find("shard_queued_calls{") == std::string::npos);
    Expect("shard_dispatcher", R"(dispatcher="h2")", "1");
  }

  void IncreasesCountersToTotals() {
    ControlTotals totals;
    totals.bytes_sent_ = 100;
    totals.processor_time_ = std::chrono::milliseconds(1500);
    totals.peer_messages_dropped_[ResultCode::kPeerMessageReplayed] = 3;
    SetControlTotals(*metrics_, totals);
    totals.bytes_sent_ = 150;
    SetControlTotals(*metrics_, totals);
    Expect("control_bytes_total", R"(direction="sent")", "150");
    Expect("control_processor_seconds", "", "1.5");
    Expect("peer_messages_dropped_total", R"(result="peer_message_replayed")", "3");
  }

  void ReportsAgeOfConfiguration() {
    CPPUNIT_ASSERT(FormatMetrics(*metrics_).find("configuration_age") == std::string::npos);
    SetConfiguration(*metrics_, 77, Now());
    Expect("configuration_revision", "", "77");
    CPPUNIT_ASSERT(FormatMetrics(*metrics_).find("configuration_age_seconds{") !=
                   std::string::npos);
  }

  void ReportsAddressInUse() {
    const auto start = [](Metrics& metrics, const std::string& address) {
      return Recover([&] { return StartEndpoint(metrics, address); },
                     [](const Error& error) { return -static_cast<int>(error.code_); });
    };
    const int port = start(*metrics_, "127.0.0.1:0");
    CPPUNIT_ASSERT(port > 0);
    const auto other = MakeMetrics("h2", "a", "west");
    CPPUNIT_ASSERT_EQUAL(-static_cast<int>(ResultCode::kListenFailed),
                         start(*other, "127.0.0.1:" + std::to_string(port)));
  }

 private:
  void Expect(const std::string& name, const std::string& labels, const std::string& value) {
    const std::string text = FormatMetrics(*metrics_);
    CPPUNIT_ASSERT_MESSAGE(name + labels + " " + value + " in\n" + text,
                           HasSample(text, name, labels, value));
  }

  MetricsPtr metrics_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

}  // namespace monsoonshelf::metrics
