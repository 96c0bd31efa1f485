#include "http/memory_pressure.h"

#include <cppunit/extensions/HelperMacros.h>

namespace monsoonshelf::http {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Indexes = std::vector<std::size_t>;

constexpr auto kIdle = ConnectionPhase::kIdle;
constexpr auto kWaiting = ConnectionPhase::kWaiting;
constexpr auto kRunning = ConnectionPhase::kRunning;

}  // namespace

// Guards against shedding that cuts a request at a target, or an upload that
// advances, while connections that do nothing hold the memory.
class MemoryPressureTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemoryPressureTest);
  CPPUNIT_TEST(PhasesAreShedInOrder);
  CPPUNIT_TEST(StalledUploadIsShedBeforeLargerOneThatAdvances);
  CPPUNIT_TEST(RunningRequestsAreShedOnlyIfRequired);
  CPPUNIT_TEST(NothingIsShedWithoutNeed);
  CPPUNIT_TEST(LongestIdleConnectionIsReplaced);
  CPPUNIT_TEST(ConnectionsInUseAreNotReplaced);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PhasesAreShedInOrder() {
    const std::vector<ConnectionLoad> loads = {
        {kRunning, 900, seconds(9)}, {kWaiting, 10, seconds(0)}, {kIdle, 1, seconds(0)}};
    CPPUNIT_ASSERT(Indexes({2, 1, 0}) == ChooseConnectionsToShed(loads, {12, 12}));
    CPPUNIT_ASSERT(Indexes({2, 1}) == ChooseConnectionsToShed(loads, {11, 11}));
    CPPUNIT_ASSERT(Indexes({2}) == ChooseConnectionsToShed(loads, {1, 1}));
  }

  void StalledUploadIsShedBeforeLargerOneThatAdvances() {
    const std::vector<ConnectionLoad> loads = {{kWaiting, 300, milliseconds(10)},
                                               {kWaiting, 200, seconds(2)},
                                               {kWaiting, 100, seconds(2)}};
    CPPUNIT_ASSERT(Indexes({1, 0, 2}) == ChooseConnectionsToShed(loads, {600, 600}));
  }

  void RunningRequestsAreShedOnlyIfRequired() {
    const std::vector<ConnectionLoad> loads = {{kRunning, 500, seconds(1)},
                                               {kWaiting, 100, seconds(0)}};
    CPPUNIT_ASSERT(Indexes({1}) == ChooseConnectionsToShed(loads, {100, 400}));
    CPPUNIT_ASSERT(Indexes({1, 0}) == ChooseConnectionsToShed(loads, {101, 400}));
  }

  void NothingIsShedWithoutNeed() {
    CPPUNIT_ASSERT(ChooseConnectionsToShed({{kIdle, 100, seconds(9)}}, {0, 0}).empty());
    CPPUNIT_ASSERT(ChooseConnectionsToShed({}, {100, 100}).empty());
  }

  void LongestIdleConnectionIsReplaced() {
    const std::vector<ConnectionLoad> loads = {{kWaiting, 1, seconds(9)},
                                               {kIdle, 1, seconds(2)},
                                               {kIdle, 1, seconds(3)},
                                               {kRunning, 1, seconds(9)}};
    CPPUNIT_ASSERT(std::size_t{2} == ChooseConnectionToReplace(loads));
  }

  void ConnectionsInUseAreNotReplaced() {
    const std::vector<ConnectionLoad> loads = {{kIdle, 1, kMinReplaceableIdleTime / 2},
                                               {kWaiting, 1, kMinReplaceableStallTime / 2},
                                               {kRunning, 1, seconds(99)}};
    CPPUNIT_ASSERT(!ChooseConnectionToReplace(loads));
    CPPUNIT_ASSERT(!ChooseConnectionToReplace({}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryPressureTest);

}  // namespace monsoonshelf::http
