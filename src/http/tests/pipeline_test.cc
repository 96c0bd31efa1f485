#include "http/pipeline.h"

#include <cppunit/extensions/HelperMacros.h>

namespace monsoonshelf::http {

namespace {

using std::chrono::milliseconds;

PipelineState Started(std::size_t count) {
  PipelineState pipeline;
  pipeline.started_ = count;
  pipeline.max_buffered_bytes_ = 1000;
  return pipeline;
}

}  // namespace

class PipelineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PipelineTest);
  CPPUNIT_TEST(SafeRequestsOverlapUpToTheLimit);
  CPPUNIT_TEST(OtherRequestsRunAlone);
  CPPUNIT_TEST(NothingStartsBehindAClose);
  CPPUNIT_TEST(HeldBytesStopFurtherRequests);
  CPPUNIT_TEST(ArrivalTimesFollowTheBytes);
  CPPUNIT_TEST(ArrivalTimesMergeSmallReads);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Load: a caller that sends its next look-ups without waiting for the response to the first.
  void SafeRequestsOverlapUpToTheLimit() {
    CPPUNIT_ASSERT(MayStartRequest(Started(0), true));
    CPPUNIT_ASSERT(MayStartRequest(Started(kMaxPipelinedRequests - 1), true));
    CPPUNIT_ASSERT(!MayStartRequest(Started(kMaxPipelinedRequests), true));
  }

  void OtherRequestsRunAlone() {
    CPPUNIT_ASSERT(MayStartRequest(Started(0), false));
    CPPUNIT_ASSERT(!MayStartRequest(Started(1), false));
    PipelineState pipeline = Started(1);
    pipeline.allows_overlap_ = false;
    CPPUNIT_ASSERT(!MayStartRequest(pipeline, true));
  }

  void NothingStartsBehindAClose() {
    PipelineState pipeline = Started(1);
    pipeline.closes_ = true;
    CPPUNIT_ASSERT(!MayStartRequest(pipeline, true));
    // During a stop, a request on an idle connection is started and closes it.
    pipeline.started_ = 0;
    CPPUNIT_ASSERT(MayStartRequest(pipeline, true));
  }

  void HeldBytesStopFurtherRequests() {
    PipelineState pipeline = Started(1);
    pipeline.held_bytes_ = kMaxHeldResponseBytes;
    CPPUNIT_ASSERT(!MayStartRequest(pipeline, true));
    pipeline.held_bytes_ = 0;
    pipeline.buffered_bytes_ = pipeline.max_buffered_bytes_;
    CPPUNIT_ASSERT(!MayStartRequest(pipeline, true));
    // The limit of all connections never keeps the first request of one from its start.
    pipeline.started_ = 0;
    CPPUNIT_ASSERT(MayStartRequest(pipeline, true));
  }

  void ArrivalTimesFollowTheBytes() {
    const Time start = Time{} + std::chrono::hours(1);
    ArrivalTimes times;
    CPPUNIT_ASSERT(times.First(start) == start);
    times.Add(10, start);
    times.Add(5, start + milliseconds(100));
    times.Remove(9);
    CPPUNIT_ASSERT(times.First(start + milliseconds(300)) == start);
    times.Remove(1);
    CPPUNIT_ASSERT(times.First(start + milliseconds(300)) == start + milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, times.Remaining());
    times.Remove(5);
    CPPUNIT_ASSERT(times.First(start + milliseconds(300)) == start + milliseconds(300));
  }

  // Guards against a mark for each byte of a caller that sends single bytes.
  void ArrivalTimesMergeSmallReads() {
    const Time start = Time{} + std::chrono::hours(1);
    ArrivalTimes times;
    for (int i = 0; i < 4; ++i) times.Add(1, start + milliseconds(i));
    times.Remove(3);
    CPPUNIT_ASSERT(times.First(start + milliseconds(50)) == start);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PipelineTest);

}  // namespace monsoonshelf::http
