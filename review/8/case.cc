// A machine is added while a team sends many times its usual. See claim.txt.
#include "../quota-2.h"

namespace {

using namespace standins;

constexpr int kTeams = 12;
constexpr int kHostsPerZone = 2;
constexpr int kWorkersPerZone = 4;
// A team sends less than its limit: "quota_x = 1.6" of the site files. A hot one sends 7.5 times
// its usual for 6.5 s.
constexpr double kLimitFactor = 1.6;
constexpr double kHotFactor = 7.5;
constexpr double kHotTime = 6.5;

}  // namespace

int main(int argc, char** argv) {
  const Deployment base = AddQuotaSettings(Begin(argc, argv));
  Deployment deployment = base;
  const bool trouble = HasTrouble();
  Store store(MachineIp(0));
  deployment.store_ = store.GetAddress();
  Runs runs;
  Requests requests;
  QuotaRule rule;
  rule.rate_ = 60;
  rule.burst_ = 60;

  std::vector<HostPtr> hosts;
  std::vector<std::string> names;
  int machine = 1;
  for (const std::string& zone : deployment.zones_) {
    for (int i = 1; i <= kHostsPerZone; ++i) {
      names.push_back("front-" + zone + "-" + std::to_string(i));
      hosts.push_back(std::make_unique<Host>(deployment, names.back(), MachineIp(machine++), zone));
    }
    deployment.seeds_.push_back(hosts.back()->Control().Text());
  }
  const std::string added = "front-zone-a-3";
  names.push_back(added);
  // Among a few teams there is one of which the added machine becomes the owner.
  std::string hot;
  for (int i = 0; i < kTeams && hot.empty(); ++i) {
    if (QuotaRanks(TeamName(i), names).front() == added) hot = TeamName(i);
  }
  if (hot.empty()) CannotRun("no team has the added machine as its owner");
  PutConfiguration(store, kTeams, hot, rule);
  std::vector<std::unique_ptr<Worker>> workers;
  for (const std::string& zone : deployment.zones_) {
    for (int i = 0; i < kWorkersPerZone; ++i) {
      workers.push_back(std::make_unique<Worker>(store, runs, "w-" + zone + "-" + std::to_string(i),
                                                 MachineIp(machine++), "look", zone, 8, 30));
    }
  }
  for (const HostPtr& host : hosts) host->Start(true);
  if (!WaitUntilReady(hosts, 20)) CannotRun("the hosts are not ready");
  // Traffic starts 8 s after the machines.
  const double traffic_at = NowS() + 8;
  const double add_at = traffic_at + 1;
  const double hot_at = traffic_at + 10;
  const double end = hot_at + kHotTime + 3;
  SleepUntil(traffic_at);
  Say("6 hosts are ready; %s has a limit of %.0f a second, burst %.0f", hot.c_str(), rule.rate_,
      rule.burst_);
  if (trouble) {
    hosts.push_back(std::make_unique<Host>(deployment, added, MachineIp(machine++), "zone-a"));
  }
  std::vector<std::unique_ptr<Callers>> callers;
  for (std::size_t i = 0; i < deployment.zones_.size(); ++i) {
    callers.push_back(std::make_unique<Callers>(hosts, deployment.zones_[i], requests, 100 + i));
  }

  bool is_added = false;
  double next_refresh = 0;
  double next_request = traffic_at;
  double next_others = traffic_at;
  std::size_t turn = 0;
  while (NowS() < end) {
    const double now = NowS();
    if (now >= next_refresh) {
      for (const auto& zone_callers : callers) zone_callers->Refresh();
      next_refresh = now + 2;
    }
    if (trouble && !is_added && now >= add_at) {
      is_added = true;
      hosts.back()->Start(false);
      Say("machine %s is added", added.c_str());
    }
    const bool is_hot = now >= hot_at && now < hot_at + kHotTime;
    const double per_second = rule.rate_ / kLimitFactor * (is_hot ? kHotFactor : 1);
    while (next_request <= now) {
      callers[turn++ % callers.size()]->Send(hot);
      next_request += 1 / per_second;
    }
    while (next_others <= now) {
      for (int i = 0; i < kTeams; ++i) {
        if (TeamName(i) != hot) callers[turn++ % callers.size()]->Send(TeamName(i));
      }
      next_others += 0.5;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  SleepUntil(end + 2);
  const WindowResult result = CountWindows(rule, hot, runs, requests);
  RecordSeconds(hot, runs, requests);
  Say("most runs of %s in %.0f s: %d, beginning %.3f s after it became hot; allowed %.0f",
      hot.c_str(), rule.window_s_, result.most_, result.begin_ - hot_at, rule.Allowed());
  const bool is_broken = result.most_ > rule.Allowed();
  Say("the rule %s", is_broken ? "was broken" : "held");
  Finish(deployment, is_broken ? 1 : 0);
}
