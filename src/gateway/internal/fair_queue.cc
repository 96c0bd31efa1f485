#include "gateway/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>

namespace monsoonshelf::gateway {

namespace {

// A host of a large fleet sees a few requests of a team in this time.
constexpr std::chrono::duration<double> kUseDecayTime(3.0);
// Counts below this are dropped when there are more than kMaxTeams.
constexpr double kMinCount = 0.05;
constexpr std::size_t kMaxTeams = 2000;
// Differences in use below this many requests do not change the order.
constexpr double kUseStep = 2;
// One of so many requests that leave the queue is one of the least urgent.
constexpr std::uint64_t kTurnsPerLeastUrgent = 8;
// Refusals of more urgent requests in the last second below which nobody yields.
constexpr double kMinRefused = 0.3;
// Share of the less urgent requests that do not yield.
constexpr double kUnyieldingShare = 0.25;

double Decayed(const TeamUse::Count& count, Time now) {
  const std::chrono::duration<double> elapsed = now - count.updated_;
  return count.requests_ * std::exp(-std::max(0.0, elapsed / kUseDecayTime));
}

// Returns the oldest of the least urgent requests.
auto OldestLeastUrgent(const std::vector<WaitingRequest>& queue) {
  return std::min_element(queue.begin(), queue.end(),
                          [](const WaitingRequest& left, const WaitingRequest& right) {
                            return std::tuple(-left.priority_, left.arrived_at_) <
                                   std::tuple(-right.priority_, right.arrived_at_);
                          });
}

auto ServiceOrder(const WaitingRequest& request) {
  return std::tuple(request.priority_, std::floor(request.team_use_ / kUseStep),
                    request.arrived_at_);
}

}  // namespace

void RecordTeamUse(TeamUse& use, const std::string& team, Time now) {
  if (use.counts_.size() > kMaxTeams) {
    std::erase_if(use.counts_,
                  [now](const auto& item) { return Decayed(item.second, now) < kMinCount; });
  }
  TeamUse::Count& count = use.counts_[team];
  count = {Decayed(count, now) + 1, now};
}

double RecentTeamUse(const TeamUse& use, const std::string& team, Time now) {
  const auto found = use.counts_.find(team);
  return found == use.counts_.end() ? 0 : Decayed(found->second, now);
}

bool IsServedBefore(const WaitingRequest& left, const WaitingRequest& right) {
  return ServiceOrder(left) < ServiceOrder(right);
}

std::optional<std::size_t> SelectNext(const std::vector<WaitingRequest>& queue,
                                      std::uint64_t turn) {
  if (queue.empty()) return std::nullopt;
  const auto next = turn % kTurnsPerLeastUrgent == kTurnsPerLeastUrgent - 1
                        ? OldestLeastUrgent(queue)
                        : std::min_element(queue.begin(), queue.end(), IsServedBefore);
  return static_cast<std::size_t>(std::distance(queue.begin(), next));
}

std::optional<std::size_t> SelectVictim(const std::vector<WaitingRequest>& queue,
                                        const WaitingRequest& arriving) {
  // Otherwise urgent requests would push out the others before their turn.
  const auto kept = OldestLeastUrgent(queue);
  auto last = queue.end();
  for (auto request = queue.begin(); request != queue.end(); ++request) {
    if (request == kept && queue.size() > 1) continue;
    if (last == queue.end() || IsServedBefore(*last, *request)) last = request;
  }
  if (last == queue.end() || !IsServedBefore(arriving, *last)) return std::nullopt;
  return static_cast<std::size_t>(std::distance(queue.begin(), last));
}

bool YieldsToUrgent(double refused_more_urgent, double random) {
  return refused_more_urgent >= kMinRefused && random >= kUnyieldingShare;
}

}  // namespace monsoonshelf::gateway
