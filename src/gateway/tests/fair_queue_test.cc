#include "gateway/fair_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace monsoonshelf::gateway {

namespace {

using std::chrono::milliseconds;

struct Arrival {
  int priority_ = 0;
  std::string team_;
};

// Replays requests that arrive faster than a service takes them at one host, whose queue is
// bounded. Counts the served requests of each team and priority.
class QueueReplay {
 public:
  explicit QueueReplay(std::size_t max_queued) : max_queued_(max_queued) {}

  void Arrive(const Arrival& arrival) {
    ++arrived_[arrival.team_];
    ++arrived_at_priority_[arrival.priority_];
    const WaitingRequest request = {arrival.priority_, RecentTeamUse(use_, arrival.team_, now_),
                                    now_};
    if (queue_.size() >= max_queued_) {
      const auto victim = SelectVictim(Describe(), request);
      if (!victim) return;
      queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(*victim));
    }
    queue_.push_back({arrival, now_});
  }
  void ServeNext() {
    const auto next = SelectNext(Describe(), turn_);
    if (!next) return;
    ++turn_;
    const Arrival arrival = queue_[*next].first;
    queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(*next));
    RecordTeamUse(use_, arrival.team_, now_);
    ++served_[arrival.team_];
    ++served_at_priority_[arrival.priority_];
  }
  void Advance(Duration duration) { now_ += duration; }
  double ServedShare(const std::string& team) const {
    return static_cast<double>(served_.at(team)) / arrived_.at(team);
  }
  double ServedShare(int priority) const {
    return static_cast<double>(served_at_priority_.at(priority)) /
           arrived_at_priority_.at(priority);
  }

 private:
  std::vector<WaitingRequest> Describe() const {
    std::vector<WaitingRequest> queue;
    for (const auto& [arrival, arrived_at] : queue_) {
      queue.push_back({arrival.priority_, RecentTeamUse(use_, arrival.team_, now_), arrived_at});
    }
    return queue;
  }

  std::size_t max_queued_;
  Time now_ = Time(milliseconds(1000));
  std::uint64_t turn_ = 0;
  TeamUse use_;
  std::vector<std::pair<Arrival, Time>> queue_;
  std::map<std::string, int> arrived_;
  std::map<std::string, int> served_;
  std::map<int, int> arrived_at_priority_;
  std::map<int, int> served_at_priority_;
};

}  // namespace

class FairQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FairQueueTest);
  CPPUNIT_TEST(HotTeamDoesNotStarveTheOthers);
  CPPUNIT_TEST(UrgentRequestsGoFirstAndOthersAreNotStarved);
  CPPUNIT_TEST(OrderIgnoresSmallDifferencesInUse);
  CPPUNIT_TEST(LessUrgentRequestsYieldOnlyUnderPressure);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a team that sends ten times as much as each of the others, and gets all places
  // of a full queue: without its use, each team is served in proportion to what it sends.
  void HotTeamDoesNotStarveTheOthers() {
    QueueReplay replay(4);
    std::mt19937_64 random(7);
    for (int step = 0; step < 2000; ++step) {
      // Twenty arrivals in the time of five responses; ten of them are of the hot team.
      std::vector<Arrival> arrivals(10, Arrival{0, "hot"});
      for (int i = 0; i < 10; ++i) arrivals.push_back({0, "team" + std::to_string(i)});
      std::shuffle(arrivals.begin(), arrivals.end(), random);
      for (std::size_t i = 0; i < arrivals.size(); ++i) {
        replay.Arrive(arrivals[i]);
        if (i % 4 == 3) replay.ServeNext();
        replay.Advance(milliseconds(5));
      }
    }
    for (int i = 0; i < 10; ++i) {
      const double share = replay.ServedShare("team" + std::to_string(i));
      CPPUNIT_ASSERT(share > 0.25 / 4);
      CPPUNIT_ASSERT(share > 2 * replay.ServedShare("hot"));
    }
  }

  // Guards against urgent requests that wait behind less urgent ones, and against less urgent ones
  // that are never served while there are urgent ones.
  void UrgentRequestsGoFirstAndOthersAreNotStarved() {
    QueueReplay replay(4);
    for (int step = 0; step < 3000; ++step) {
      replay.Arrive({2, "a"});
      replay.Arrive({0, "a"});
      replay.Arrive({0, "b"});
      replay.ServeNext();
      replay.ServeNext();
      replay.Advance(milliseconds(20));
    }
    CPPUNIT_ASSERT(replay.ServedShare(0) > 0.8);
    CPPUNIT_ASSERT(replay.ServedShare(2) > 0.05);
    CPPUNIT_ASSERT(replay.ServedShare(2) < replay.ServedShare(0));
  }

  void OrderIgnoresSmallDifferencesInUse() {
    const Time now = Time(milliseconds(1000));
    CPPUNIT_ASSERT(IsServedBefore({0, 1.9, now}, {0, 0, now + milliseconds(1)}));
    CPPUNIT_ASSERT(!IsServedBefore({0, 4.1, now}, {0, 0, now + milliseconds(1)}));
    CPPUNIT_ASSERT(IsServedBefore({0, 9, now}, {1, 0, now - milliseconds(9)}));
    CPPUNIT_ASSERT(!SelectNext({}, 0));
    CPPUNIT_ASSERT(!SelectVictim({}, {}));
    TeamUse use;
    RecordTeamUse(use, "a", now);
    RecordTeamUse(use, "a", now);
    CPPUNIT_ASSERT_EQUAL(2.0, RecentTeamUse(use, "a", now));
    CPPUNIT_ASSERT(RecentTeamUse(use, "a", now + std::chrono::seconds(30)) < 0.01);
    CPPUNIT_ASSERT_EQUAL(0.0, RecentTeamUse(use, "b", now));
  }

  // Guards against less urgent requests that are refused although there is room.
  void LessUrgentRequestsYieldOnlyUnderPressure() {
    CPPUNIT_ASSERT(!YieldsToUrgent(0, 0.99));
    CPPUNIT_ASSERT(YieldsToUrgent(1, 0.99));
    CPPUNIT_ASSERT(!YieldsToUrgent(5, 0.1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueTest);

}  // namespace monsoonshelf::gateway
