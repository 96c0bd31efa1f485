// Parts that the cases on quotas share: a deployment with teams (tenants), their load, and the
// rule.
#pragma once

#include "standins-2.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace standins {

struct QuotaRule {
  double rate_ = 0;
  double burst_ = 0;
  double window_s_ = 5;
  double overage_ = 0.1;
  double slack_ = 20;
  double Allowed() const { return (rate_ * window_s_ + burst_) * (1 + overage_) + slack_; }
};

inline Deployment AddQuotaSettings(Deployment deployment) {
  deployment.zones_ = {"zone-a", "zone-b", "zone-c"};
  deployment.contracts_ = {"base",   "drain",  "config",  "cost",  "retry",   "recover",
                           "health", "places", "tenants", "quota", "platform"};
  deployment.bounds_ = {
      "seedLagS=3",         "reuseAfterS=2",        "contactMs=3000",   "ackMs=4000",
      "catchUpS=4",         "drainMs=2000",         "graceS=6",         "lostSlackMs=200",
      "configApplyMs=2000", "rollbackSlackMs=250",  "maxSkewMs=5000",   "strictRevocation=true",
      "revokeMs=5000",      "retryBudgetRatio=0.2", "budgetWindowS=10", "budgetExtraRetries=58",
      "quotaWindowS=5",     "quotaOverage=0.1",     "quotaSlack=20",    "warmupFactor=1.5",
      "warmupSlack=5",      "evacuateMs=5000",      "recoveryS=15",     "ttl_max_s=5",
      "probesPerS=60"};
  return deployment;
}

// Limit and burst of the teams that are not named.
inline constexpr double kOtherTeamsRate = 4;

inline std::string TeamName(int number) { return "team" + std::to_string(number); }
inline std::string KeyOf(const std::string& team) { return "key0of0" + team + "0x7f3a"; }

inline void PutConfiguration(Store& store, int teams, const std::string& hot,
                             const QuotaRule& rule) {
  Json tenants = Json::array();
  for (int i = 0; i < teams; ++i) {
    const std::string name = TeamName(i);
    const double rate = name == hot ? rule.rate_ : kOtherTeamsRate;
    const double burst = name == hot ? rule.burst_ : kOtherTeamsRate;
    tenants.push_back({{"name", name},
                       {"apiKeys", {KeyOf(name)}},
                       {"priority", 0},
                       {"ratePerS", rate},
                       {"burst", burst}});
  }
  store.Put("config", "main",
            {{"configVersion", 7},
             {"limits",
              {{"maxHeaderBytes", 16384},
               {"maxBodyBytes", 67108864},
               {"headerTimeoutMs", 3000},
               {"idleTimeoutMs", 15000}}},
             {"tenants", tenants},
             {"listeners",
              {{{"host", "door.example"},
                {"rules",
                 {{{"name", "r-1"},
                   {"kind", "safe"},
                   {"targetLatencyMs", 300},
                   {"priority", 0},
                   {"allowAnonymous", false},
                   {"match", {{"pathPrefix", "/look/"}}},
                   {"action", {{"service", "look"}, {"timeoutMs", 1500}, {"maxAttempts", 2}}}}}}}}},
             {"clusters",
              {{{"name", "look"},
                {"healthPath", "/healthz"},
                {"maxConnections", 1140},
                {"protocol", "h1"},
                {"tls", false},
                {"warmupS", 3.0},
                {"warmupPerS", 6.0}}}}});
}

// What the callers saw. A request is one attempt with its own Attempt-Id.
struct SentRequest {
  std::string team_;
  std::string host_;
  double sent_at_ = 0;
  int status_ = -1;  // -1: no answer yet; 0: the connection ended or the time passed.
};

struct Requests {
  std::mutex mutex_;
  std::map<std::string, SentRequest> sent_;
};

// The callers of one zone: they ask the directory of one of its hosts again when the time of the
// last answer has passed, and choose one of its addresses at random for each new connection.
class Callers {
 public:
  Callers(const std::vector<HostPtr>& hosts, std::string zone, Requests& requests,
          std::uint64_t seed)
      : zone_(std::move(zone)), requests_(requests), random_(seed) {
    for (const HostPtr& host : hosts) hosts_.push_back(host.get());
  }

  void Refresh() {
    std::vector<const Host*> order(hosts_.begin(), hosts_.end());
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      std::shuffle(order.begin(), order.end(), random_);
    }
    std::stable_partition(order.begin(), order.end(),
                          [this](const Host* host) { return host->Zone() == zone_; });
    for (std::size_t i = 0; i < std::min<std::size_t>(3, order.size()); ++i) {
      const auto addresses = Resolve(*order[i], "door.example", "region-a");
      if (addresses.empty()) continue;
      const std::lock_guard<std::mutex> lock(mutex_);
      addresses_ = addresses;
      failed_.clear();
      return;
    }
  }

  void Send(const std::string& team) {
    Address address;
    std::string id(16, '0');
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      std::vector<Address> usable;
      for (const Address& item : addresses_) {
        if (!failed_.contains(item.Text())) usable.push_back(item);
      }
      if (usable.empty()) usable = addresses_;
      if (usable.empty()) return;
      address = usable[random_() % usable.size()];
      for (char& digit : id) digit = "0123456789abcdef"[random_() % 16];
    }
    std::thread([this, team, address, id] {
      {
        const std::lock_guard<std::mutex> lock(requests_.mutex_);
        requests_.sent_[id] = {team, address.Text(), NowS(), -1};
      }
      const Answer answer = Call(address, "GET", "/look/2f",
                                 {{"Host", "door.example"},
                                  {"Attempt-Id", id},
                                  {"Deadline-Ms", "1500"},
                                  {"Authorization", "Bearer " + KeyOf(team)}},
                                 {}, 1.5);
      {
        const std::lock_guard<std::mutex> lock(requests_.mutex_);
        SentRequest& request = requests_.sent_[id];
        if (answer.sent_at_ > 0) request.sent_at_ = answer.sent_at_;
        request.status_ = answer.status_;
      }
      if (answer.status_ != 0) return;
      const std::lock_guard<std::mutex> lock(mutex_);
      failed_.insert(address.Text());
    }).detach();
  }

 private:
  std::vector<const Host*> hosts_;
  std::string zone_;
  Requests& requests_;
  std::mutex mutex_;
  std::vector<Address> addresses_;
  std::set<std::string> failed_;
  std::mt19937_64 random_;
};

// A team with the highest-ranked host `first` among `hosts`, and `second` behind it, if named. The
// rank is a hash of the names, so each pair of hosts has its teams; see RankQuotaOwners.
inline std::vector<std::string> QuotaRanks(const std::string& team,
                                           std::vector<std::string> hosts) {
  const auto hash = [&team](const std::string& host) {
    const std::string key = "quota " + team + " " + host;
    return XXH3_64bits(key.data(), key.size());
  };
  std::sort(hosts.begin(), hosts.end(), [&](const std::string& left, const std::string& right) {
    return hash(left) > hash(right);
  });
  return hosts;
}

// Counts the runs of the team in each span of the window's length: sent and run inside it.
struct WindowResult {
  int most_ = 0;
  double begin_ = 0;
};

inline WindowResult CountWindows(const QuotaRule& rule, const std::string& team, Runs& runs,
                                 Requests& requests) {
  std::vector<std::pair<double, double>> spans;  // Sent, run.
  {
    const std::scoped_lock lock(runs.mutex_, requests.mutex_);
    for (const Run& run : runs.runs_) {
      const auto sent = requests.sent_.find(run.id_);
      if (run.tenant_ != team || sent == requests.sent_.end()) continue;
      spans.emplace_back(sent->second.sent_at_, run.at_);
    }
  }
  std::sort(spans.begin(), spans.end());
  WindowResult result;
  for (std::size_t i = 0; i < spans.size(); ++i) {
    const double begin = spans[i].first;
    int count = 0;
    for (std::size_t j = i; j < spans.size() && spans[j].first <= begin + rule.window_s_; ++j) {
      if (spans[j].second <= begin + rule.window_s_) ++count;
    }
    if (count > result.most_) result = {count, begin};
  }
  return result;
}

// Writes one line a second and host to the record: what was sent there, how it was answered, and
// what ran.
inline void RecordSeconds(const std::string& team, Runs& runs, Requests& requests) {
  struct Counts {
    int sent_ = 0;
    int ok_ = 0;
    int over_quota_ = 0;
    int other_ = 0;
    int run_ = 0;
  };
  std::map<std::pair<int, std::string>, Counts> seconds;
  const std::scoped_lock lock(runs.mutex_, requests.mutex_);
  for (const auto& [id, request] : requests.sent_) {
    if (request.team_ != team) continue;
    Counts& counts = seconds[{static_cast<int>(request.sent_at_), request.host_}];
    ++counts.sent_;
    ++(request.status_ == 200   ? counts.ok_
       : request.status_ == 429 ? counts.over_quota_
                                : counts.other_);
  }
  for (const Run& run : runs.runs_) {
    const auto sent = requests.sent_.find(run.id_);
    if (run.tenant_ != team || sent == requests.sent_.end()) continue;
    ++seconds[{static_cast<int>(run.at_), sent->second.host_}].run_;
  }
  for (const auto& [key, counts] : seconds) {
    Record("%s, second %d, host %s: sent %d, answered 200 %d, 429 %d, other %d; run %d",
           team.c_str(), key.first, key.second.c_str(), counts.sent_, counts.ok_,
           counts.over_quota_, counts.other_, counts.run_);
  }
}

}  // namespace standins
