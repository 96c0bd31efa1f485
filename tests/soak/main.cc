#include <algorithm>
#include <boost/program_options.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "tests/soak/caller.h"
#include "tests/soak/hosts.h"
#include "tests/soak/persistent_caller.h"
#include "tests/soak/pipelining_caller.h"
#include "tests/soak/store.h"
#include "tests/soak/target.h"

namespace monsoonshelf::soak {

namespace {

namespace options = boost::program_options;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kZones = 2;
// Number of hosts for which one event at a time is injected; larger runs get more.
constexpr std::size_t kHostsPerEvent = 6;
// Time from a change in the store, or from the end of the faults, until the change must be in
// effect: 3 s until a host has reconnected to the store, and 2 s for the change.
constexpr Duration kPropagationTime = seconds(5);
// The soak does not run in a longer iteration of its main loop.
constexpr Duration kStallTime = milliseconds(50);
constexpr Duration kStartTime = seconds(2);
constexpr Duration kRecoveryTime = seconds(6);
// Time after a restore of the store in which the operator and the targets write again.
constexpr int kMaxWriteAgainMs = 2000;
// Share of the requests sent after the recovery time that must be answered.
constexpr double kMinAnsweredShare = 0.9;

struct SoakOptions {
  std::string program_;
  std::string logs_;
  std::uint64_t seed_ = 1;
  int seconds_ = 8;
  int planned_seconds_ = 8;
  int hosts_per_zone_ = 3;
  int targets_per_zone_ = 4;
  int callers_per_zone_ = 4;
  int connections_per_host_ = 6;
};

// Runs entry hosts as processes of the real program, injects random faults, and checks the
// guarantees from what callers and targets observe.
class Soak {
 public:
  explicit Soak(SoakOptions options)
      : options_(std::move(options)), random_(options_.seed_), restore_random_(options_.seed_) {
    WriteConfiguration();
    for (int zone = 0; zone < kZones; ++zone) {
      const std::string name = "z" + std::to_string(zone);
      for (int i = 0; i < options_.targets_per_zone_; ++i) {
        targets_.push_back(std::make_unique<Target>("t-" + name + "-" + std::to_string(i), name,
                                                    store_, results_, random_()));
      }
      std::vector<std::string> directories;
      for (int i = 0; i < options_.hosts_per_zone_; ++i) {
        hosts_.push_back(std::make_unique<Host>(options_.program_,
                                                "h-" + name + "-" + std::to_string(i), name,
                                                store_.GetAddress(), options_.logs_));
        directories.push_back(hosts_.back()->DirectoryAddress());
      }
      directories_.push_back(directories);
    }
    for (const auto& host : hosts_) host->Start();
  }

  // First planned work only, so that lost requests are judged, then all faults at random.
  bool Run() {
    RunFor(kStartTime);
    for (int zone = 0; zone < kZones; ++zone) {
      for (int i = 0; i < options_.callers_per_zone_; ++i) {
        callers_.push_back(std::make_unique<Caller>(
            "c" + std::to_string(zone) + "." + std::to_string(i),
            directories_[static_cast<std::size_t>(zone)], results_, random_()));
      }
    }
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      persistent_callers_.push_back(
          std::make_unique<PersistentCaller>("p" + std::to_string(i), *hosts_[i],
                                             options_.connections_per_host_, results_, random_()));
      // Draws nothing from the random numbers that choose the events of a seed.
      pipelining_callers_.push_back(std::make_unique<PipeliningCaller>(
          "q" + std::to_string(i), *hosts_[i], results_, options_.seed_ + i));
    }
    InjectEvents(seconds(options_.planned_seconds_), [this] { DoPlannedWork(); });
    InjectEvents(seconds(options_.seconds_), [this] { InjectFault(); });
    EndFaults();
    for (const auto& caller : persistent_callers_) caller->Stop();
    for (const auto& caller : pipelining_callers_) caller->Stop();
    RunFor(kRecoveryTime);
    for (const auto& caller : callers_) caller->StartCountingRecovery();
    RunFor(seconds(2));
    for (const auto& caller : callers_) caller->Stop();
    RunFor(seconds(2));
    return ReportResults();
  }

 private:
  void WriteConfiguration() {
    const auto rule = [](const char* name, const char* kind) {
      return nlohmann::json{
          {"name", name},
          {"kind", kind},
          {"targetLatencyMs", 300},
          {"priority", 1},
          {"match", {{"pathPrefix", std::string("/") + name + "/"}}},
          {"action", {{"service", "s"}, {"timeoutMs", 1500}, {"maxAttempts", 2}}}};
    };
    store_.Put(
        "config", "main",
        {{"configVersion", ++config_version_},
         {"listeners",
          {{{"host", "h"}, {"rules", {rule("safe", "safe"), rule("once", "non_idempotent")}}}}},
         {"clusters",
          {{{"name", "s"},
            {"healthPath", "/healthz"},
            {"maxConnections", 200},
            {"warmupPerS", 2}}}}});
  }

  void RunFor(Duration time) {
    const Time end = Now() + time;
    for (Time now = Now(), last = now; now < end; last = now, now = Now()) {
      max_loop_gap_ = std::max(max_loop_gap_, now - last);
      results_.last_poll_ = last;
      if (now - last >= kStallTime) results_.stalled_ += now - last;
      if (g_main_context_iteration(nullptr, FALSE) == FALSE) g_usleep(300);
      RunDueSignals();
      if (now >= write_again_at_) WriteAgain();
      // The signal has to arrive within the first millisecond in which the process listens.
      for (const auto& host : hosts_) host->CheckListening();
      if (++loop_iterations_ % 64 != 0) continue;
      for (const auto& host : hosts_) {
        const std::string failure = host->CheckProcess(Now());
        if (!failure.empty()) results_.violations_.push_back(failure);
      }
    }
  }

  void InjectEvents(Duration length, const std::function<void()>& inject) {
    const Time end = Now() + length;
    while (Now() < end) {
      for (std::size_t i = 0; i < hosts_.size(); i += kHostsPerEvent) inject();
      RunFor(milliseconds(Random(100, 900)));
    }
  }

  int Random(int first, int last) {
    return std::uniform_int_distribution<int>(first, last)(random_);
  }

  // Sends a signal at a random time between two times from now, in milliseconds. With SIGHUP the
  // settings file changes too.
  void SignalLater(Host& host, int number, int first_ms, int last_ms) {
    signals_.emplace(Now() + milliseconds(Random(first_ms, last_ms)), std::pair(&host, number));
  }

  void RunDueSignals() {
    while (!signals_.empty() && signals_.begin()->first <= Now()) {
      const auto [host, number] = signals_.begin()->second;
      signals_.erase(signals_.begin());
      if (number == SIGHUP) host->ChangeSettings();
      host->Signal(number);
    }
  }

  // Stops and what may happen beside them without a loss: changes of settings, configuration and
  // targets. A kill may lose requests of its own host only.
  void DoPlannedWork() {
    ++faults_;
    constexpr int kStopMs = 6000;
    Host& host = RandomHost();
    switch (random_() % 10) {
      case 0:
      case 1:
        return host.Signal(SIGTERM);
      case 2:
        host.Signal(SIGTERM);
        SignalLater(host, SIGTERM, 0, kStopMs / 2);
        return SignalLater(host, SIGTERM, 0, kStopMs);
      case 3:
        SignalLater(host, SIGHUP, 0, 100);
        SignalLater(host, SIGTERM, 50, 150);
        return SignalLater(host, SIGHUP, 100, kStopMs);
      case 4:
        // At most half of the hosts, so that the others can serve.
        for (auto count = Random(1, static_cast<int>(hosts_.size()) / 2); count > 0; --count) {
          SignalLater(RandomHost(), SIGTERM, 0, 500);
        }
        return;
      case 5:
        host.SetStartSignal({random_() % 2 == 0 ? SIGTERM : SIGHUP, random_() % 2 == 0});
        return host.Signal(SIGTERM);
      case 6:
        return host.Kill();
      case 7:
        return WriteConfiguration();
      case 8:
        return SignalLater(host, SIGHUP, 0, 100);
      default:
        return RandomTarget().Register(random_() % 2 == 0);
    }
  }

  Host& RandomHost() { return *hosts_[random_() % hosts_.size()]; }
  Target& RandomTarget() { return *targets_[random_() % targets_.size()]; }

  // Goes back to a copy of the store at times. Draws nothing from the random numbers that choose
  // the events of a seed.
  void RestoreStoreAtTimes() {
    constexpr unsigned kFaultsPerRestore = 12;
    constexpr int kMaxCopyAgeMs = 5000;
    if (restore_random_() % kFaultsPerRestore != 0) return;
    store_.RestoreFromCopy(milliseconds(restore_random_() % kMaxCopyAgeMs));
    write_again_at_ = Now() + milliseconds(restore_random_() % kMaxWriteAgainMs);
  }

  // The operator and the targets write again what the store may have lost.
  void WriteAgain() {
    write_again_at_ = Time::max();
    WriteConfiguration();
    for (const auto& target : targets_) target->RegisterAgain();
  }

  void InjectFault() {
    ++faults_;
    RestoreStoreAtTimes();
    switch (random_() % 14) {
      case 0:
        return RandomHost().Signal(SIGTERM);
      case 1:
        return RandomHost().Kill();
      case 2:
        return RandomHost().Pause();
      case 3:
        for (const auto& host : hosts_) host->Resume();
        return;
      case 4:
        return RandomHost().Signal(SIGHUP);
      case 5:
        return RandomHost().StoreProxy().SetState(static_cast<LinkState>(random_() % 4));
      case 6:
        return RandomHost().StoreProxy().ResetConnections();
      case 7:
        return RandomTarget().SetLinkState(static_cast<LinkState>(random_() % 4));
      case 8:
        return RandomTarget().ResetConnections();
      case 9:
        return RandomTarget().SetMode(static_cast<TargetMode>(random_() % 5));
      case 10:
        return store_.SetUnavailable(random_() % 2 == 0);
      case 11:
        return store_.Compact();
      case 12:
        return WriteConfiguration();
      default:
        return RandomTarget().Register(random_() % 2 == 0);
    }
  }

  // Ends all faults, then drains one target and evacuates one zone. Neither may get requests once
  // the change is in effect.
  void EndFaults() {
    store_.SetUnavailable(false);
    if (write_again_at_ != Time::max()) WriteAgain();
    for (const auto& host : hosts_) {
      host->Resume();
      host->StoreProxy().SetState(LinkState::kHealthy);
      host->StoreProxy().ResetConnections();
    }
    for (const auto& target : targets_) {
      target->EndFaults();
      target->Register(false);
    }
    Target& leaving = *targets_.front();
    leaving.Register(true);
    store_.Put("evacuations", targets_.back()->Zone(), nlohmann::json::object());
    for (const auto& target : targets_) {
      if (target.get() == &leaving || target->Zone() == targets_.back()->Zone()) {
        target->SetNoRequestsAfter(Now() + kPropagationTime);
      }
    }
  }

  void CheckTargetNotices(const std::map<std::string, const Host*>& hosts) {
    std::map<std::string, const Target*> targets;
    for (const auto& target : targets_) targets[target->Name()] = target.get();
    const auto is_excused = [&](const GivenNotice& notice, Time until) {
      const Host& host = *hosts.at(notice.host_);
      // A process that stops is followed by another one, which knows nothing of the notice.
      const auto& signals = host.Stops().signals_;
      const bool is_restart = std::any_of(signals.begin(), signals.end(), [&](Time signal) {
        return signal >= notice.given_at_ - host.Stops().grace_ && signal <= until;
      });
      return is_restart || host.Faults().Overlaps(notice.given_at_, until) ||
             targets.at(notice.target_)->Faults().Overlaps(notice.given_at_ - seconds(1), until);
    };
    for (std::string& violation : CheckNotices(results_.notices_, results_.arrivals_, is_excused)) {
      results_.violations_.push_back(std::move(violation));
    }
  }

  bool ReportResults() {
    for (const std::string& id : results_.refused_) {
      if (results_.executions_[id] > 0)
        results_.violations_.push_back("refused but executed: " + id);
    }
    std::map<std::string, const Host*> hosts;
    for (const auto& host : hosts_) hosts[host->FrontAddress()] = host.get();
    for (const LostRequest& request : results_.lost_) {
      const Host& host = *hosts.at(request.address_);
      const std::string loss =
          CheckLoss(request, host.Faults(), host.Stops(), results_.work_[request.id_]);
      if (!loss.empty()) results_.violations_.push_back(loss);
    }
    CheckTargetNotices(hosts);
    const bool recovered =
        results_.sent_after_recovery_ > 0 &&
        results_.answered_after_recovery_ >=
            kMinAnsweredShare * static_cast<double>(results_.sent_after_recovery_);
    if (!recovered) {
      results_.violations_.push_back("not recovered: answered " +
                                     std::to_string(results_.answered_after_recovery_) + " of " +
                                     std::to_string(results_.sent_after_recovery_));
    }
    for (const std::string& violation : results_.violations_) std::cout << violation << "\n";
    std::cout << "soak seed=" << options_.seed_
              << " result=" << (results_.violations_.empty() ? "ok" : "failed")
              << " faults=" << faults_ << " requests=" << results_.sent_.size()
              << " answered=" << results_.answered_ << " refused=" << results_.refused_.size()
              << " unknown=" << results_.unknown_ << " lost=" << results_.without_response_
              << " notices=" << results_.notices_.size() << " abandoned=" << results_.abandoned_
              << " hosts=" << hosts_.size()
              << " loop_gap_ms=" << std::chrono::duration_cast<milliseconds>(max_loop_gap_).count()
              << " violations=" << results_.violations_.size() << std::endl;
    return results_.violations_.empty();
  }

  SoakOptions options_;
  std::mt19937_64 random_;
  std::mt19937_64 restore_random_;
  Time write_again_at_ = Time::max();
  Store store_;
  SoakResults results_;
  std::vector<std::unique_ptr<Target>> targets_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<std::vector<std::string>> directories_;
  std::vector<std::unique_ptr<Caller>> callers_;
  std::vector<std::unique_ptr<PersistentCaller>> persistent_callers_;
  std::vector<std::unique_ptr<PipeliningCaller>> pipelining_callers_;
  std::multimap<Time, std::pair<Host*, int>> signals_;
  int config_version_ = 0;
  int faults_ = 0;
  unsigned loop_iterations_ = 0;
  // Longest time in which callers and targets were not served, to judge the times in a violation.
  Duration max_loop_gap_{};
};

int Main(int argc, char** argv) {
  options::options_description description("Options");
  SoakOptions soak;
  description.add_options()("help,h", "print this help")(
      "program", options::value(&soak.program_)->required(), "the monsoonshelf program")(
      "seed", options::value(&soak.seed_), "seed of the random events")(
      "planned-seconds", options::value(&soak.planned_seconds_),
      "time of planned work: stops, reloads, changes of configuration")(
      "seconds", options::value(&soak.seconds_), "time for which all faults are injected after it")(
      "hosts-per-zone", options::value(&soak.hosts_per_zone_), "processes in each of two zones")(
      "targets-per-zone", options::value(&soak.targets_per_zone_), "targets in each zone")(
      "callers-per-zone", options::value(&soak.callers_per_zone_),
      "callers in each zone that follow the directory")(
      "connections-per-host", options::value(&soak.connections_per_host_),
      "connections to each host that stay until its process is gone")(
      "logs", options::value(&soak.logs_), "folder for the logs of the hosts; it is kept");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description), values);
    if (values.count("help") > 0) {
      std::cout << description;
      return 0;
    }
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << "monsoonshelf_soak: " << error.what() << "\n";
    return 2;
  }
  const bool keep = !soak.logs_.empty();
  if (!keep) {
    std::string pattern = std::filesystem::temp_directory_path() / "soak.XXXXXX";
    if (mkdtemp(pattern.data()) == nullptr) return 1;
    soak.logs_ = pattern;
  }
  std::filesystem::create_directories(soak.logs_);
  const bool ok = Soak(soak).Run();
  if (ok && !keep) {
    std::filesystem::remove_all(soak.logs_);
  } else {
    std::cout << "logs=" << soak.logs_ << "\n";
  }
  return ok ? 0 : 1;
}

}  // namespace
}  // namespace monsoonshelf::soak

int main(int argc, char** argv) { return monsoonshelf::soak::Main(argc, argv); }
