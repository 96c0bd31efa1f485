// Parts that the cases on clients out of control share: a small deployment, its ordinary callers,
// and the measure of how they are served.
#pragma once

#include "standins-2.h"

namespace standins {

inline Deployment AddPlainSettings(Deployment deployment) {
  deployment.zones_ = {"zone-a", "zone-b", "zone-c"};
  deployment.contracts_ = {"base",    "drain",  "config", "cost",    "retry",
                           "recover", "health", "places", "platform"};
  deployment.bounds_ = {
      "seedLagS=3",         "reuseAfterS=2",         "contactMs=3000",   "ackMs=4000",
      "catchUpS=4",         "drainMs=2000",          "graceS=6",         "lostSlackMs=200",
      "configApplyMs=2000", "rollbackSlackMs=250",   "maxSkewMs=5000",   "retryBudgetRatio=0.2",
      "budgetWindowS=10",   "budgetExtraRetries=58", "warmupFactor=1.5", "warmupSlack=5",
      "evacuateMs=5000",    "recoveryS=15",          "ttl_max_s=5",      "probesPerS=60"};
  return deployment;
}

// One safe route, as the examples of messages show it.
inline void PutPlainConfiguration(Store& store) {
  store.Put("config", "main",
            {{"configVersion", 7},
             {"limits",
              {{"maxHeaderBytes", 16384},
               {"maxBodyBytes", 67108864},
               {"headerTimeoutMs", 3000},
               {"idleTimeoutMs", 15000}}},
             {"listeners",
              {{{"host", "door.example"},
                {"rules",
                 {{{"name", "r-1"},
                   {"kind", "safe"},
                   {"targetLatencyMs", 600},
                   {"priority", 2},
                   {"match", {{"pathPrefix", "/look/"}}},
                   {"action", {{"service", "look"}, {"timeoutMs", 2500}, {"maxAttempts", 2}}}}}}}}},
             {"clusters",
              {{{"name", "look"},
                {"healthPath", "/healthz"},
                {"maxConnections", 220},
                {"protocol", "h1"},
                {"tls", false},
                {"warmupS", 3.0},
                {"warmupPerS", 2.0}}}}});
}

struct SmallFleet {
  std::vector<HostPtr> hosts_;
  std::vector<std::unique_ptr<Worker>> workers_;
};

// One host and two workers in each of three zones.
inline void StartFleet(SmallFleet& fleet, Deployment& deployment, Store& store, Runs& runs) {
  int machine = 1;
  for (const std::string& zone : deployment.zones_) {
    fleet.hosts_.push_back(
        std::make_unique<Host>(deployment, "front-" + zone + "-1", MachineIp(machine++), zone));
    deployment.seeds_.push_back(fleet.hosts_.back()->Control().Text());
    for (int i = 0; i < 2; ++i) {
      fleet.workers_.push_back(std::make_unique<Worker>(store, runs,
                                                        "w-" + zone + "-" + std::to_string(i),
                                                        MachineIp(machine++), "look", zone, 4, 20));
    }
  }
  for (const HostPtr& host : fleet.hosts_) host->Start(true);
  if (!WaitUntilReady(fleet.hosts_, 20)) CannotRun("the hosts are not ready");
}

// What a span of the run showed.
struct SpanCounts {
  std::atomic<int> sent_{0};
  std::atomic<int> answered_{0};  // With success.
  std::atomic<int> refused_{0};   // Another status.
  std::atomic<int> silent_{0};    // No answer.
  std::atomic<int> asked_{0};     // Questions of the platform whether a host is ready.
  std::atomic<int> ready_{0};     // Of these, answered with 200 within a second.
};

// One request of an ordinary caller on a new connection: one second to be connected and 2.5 s in
// all, as the sheet of the deployment has it.
inline void SendOrdinary(const Address& address, SpanCounts& counts, int number) {
  char id[32];
  std::snprintf(id, sizeof(id), "%016x", number);
  ++counts.sent_;
  std::thread([address, &counts, id = std::string(id)] {
    const double sent_at = NowS();
    const Answer answer =
        Call(address, "GET", "/look/2f",
             {{"Host", "door.example"}, {"Attempt-Id", id}, {"Deadline-Ms", "2500"}}, {}, 2.5);
    ++(answer.status_ == 200 ? counts.answered_
       : answer.status_ != 0 ? counts.refused_
                             : counts.silent_);
    Record("ordinary request %s to %s: status %d after %.0f ms", id.c_str(), address.Text().c_str(),
           answer.status_, (NowS() - sent_at) * 1000);
  }).detach();
}

// Ten ordinary requests a second to each host, and one question a second whether it is ready. Ends
// when all of them are answered or given up.
inline void RunSpan(const char* name, const SmallFleet& fleet, double seconds, SpanCounts& counts) {
  static int number = 0;
  constexpr int kPerSecond = 10;
  const double begin = NowS();
  for (int i = 0; i < static_cast<int>(seconds * kPerSecond); ++i) {
    SleepUntil(begin + static_cast<double>(i) / kPerSecond);
    for (const HostPtr& host : fleet.hosts_) {
      SendOrdinary(host->Front(), counts, ++number);
      if (i % kPerSecond != 0) continue;
      ++counts.asked_;
      std::thread([&counts, &host] {
        const bool is_ready = host->IsReady();
        if (is_ready) ++counts.ready_;
        Record("%s is %s", host->Name().c_str(), is_ready ? "ready" : "not ready");
      }).detach();
    }
  }
  SleepUntil(begin + seconds + 3);
  Say("%s: ordinary requests sent %d, answered %d, refused %d, without any answer %d; ready %d of "
      "%d",
      name, counts.sent_.load(), counts.answered_.load(), counts.refused_.load(),
      counts.silent_.load(), counts.ready_.load(), counts.asked_.load());
}

// The most memory that the process had resident, in MB.
inline long PeakMemoryMb(const Host& host) {
  std::ifstream file("/proc/" + std::to_string(host.Pid()) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("VmHWM:")) return std::atol(line.c_str() + 6) / 1024;
  }
  return 0;
}

inline void ReportProcesses(const SmallFleet& fleet) {
  for (const HostPtr& host : fleet.hosts_) {
    Say("%s: %s, %ld MB at most", host->Name().c_str(),
        host->IsRunning() ? "runs" : "has ended by itself", PeakMemoryMb(*host));
  }
}

// Runs `body` in a child process, which ends with the program.
inline void StartChild(const std::function<void()>& body) {
  const pid_t pid = fork();
  if (pid < 0) CannotRun("fork failed");
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    signal(SIGTERM, SIG_DFL);
    signal(SIGINT, SIG_DFL);
    body();
    _exit(0);
  }
  const std::lock_guard<std::mutex> lock(ChildrenMutex());
  Children().insert(pid);
}

}  // namespace standins
