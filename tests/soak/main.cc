#include <boost/program_options.hpp>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "tests/soak/caller.h"
#include "tests/soak/hosts.h"
#include "tests/soak/store.h"
#include "tests/soak/target.h"

namespace monsoonshelf::soak {

namespace {

namespace options = boost::program_options;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kZones = 2;
constexpr int kHostsPerZone = 3;
constexpr int kTargetsPerZone = 4;
constexpr int kCallersPerZone = 4;
// Time from a change in the store, or from the end of the faults, until the change must be in
// effect: 3 s until a host has reconnected to the store, and 2 s for the change.
constexpr Duration kPropagationTime = seconds(5);
constexpr Duration kStartTime = seconds(2);
constexpr Duration kRecoveryTime = seconds(6);
// Share of the requests sent after the recovery time that must be answered.
constexpr double kMinAnsweredShare = 0.9;

// Runs entry hosts as processes of the real program, injects random faults, and checks the
// guarantees from what callers and targets observe.
class Soak {
 public:
  Soak(const std::string& program, std::uint64_t seed, const std::string& folder) : random_(seed) {
    WriteConfiguration();
    for (int zone = 0; zone < kZones; ++zone) {
      const std::string name = "z" + std::to_string(zone);
      for (int i = 0; i < kTargetsPerZone; ++i) {
        targets_.push_back(std::make_unique<Target>("t-" + name + "-" + std::to_string(i), name,
                                                    store_, results_, random_()));
      }
      std::vector<std::string> directories;
      for (int i = 0; i < kHostsPerZone; ++i) {
        hosts_.push_back(std::make_unique<Host>(program, "h-" + name + "-" + std::to_string(i),
                                                name, store_.GetAddress(), folder));
        directories.push_back(hosts_.back()->DirectoryAddress());
      }
      directories_.push_back(directories);
    }
    for (const auto& host : hosts_) host->Start();
  }

  bool Run(std::uint64_t seed, Duration length) {
    RunFor(kStartTime);
    for (int zone = 0; zone < kZones; ++zone) {
      for (int i = 0; i < kCallersPerZone; ++i) {
        callers_.push_back(std::make_unique<Caller>(
            "c" + std::to_string(zone) + "." + std::to_string(i),
            directories_[static_cast<std::size_t>(zone)], results_, random_()));
      }
    }
    const Time end = Now() + length;
    while (Now() < end) {
      InjectFault();
      RunFor(milliseconds(std::uniform_int_distribution<int>(100, 900)(random_)));
    }
    EndFaults();
    RunFor(kRecoveryTime);
    for (const auto& caller : callers_) caller->StartCountingRecovery();
    RunFor(seconds(2));
    for (const auto& caller : callers_) caller->Stop();
    RunFor(seconds(2));
    return ReportResults(seed);
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
    while (Now() < end) {
      if (g_main_context_iteration(nullptr, FALSE) == FALSE) g_usleep(300);
      if (++loop_iterations_ % 64 != 0) continue;
      for (const auto& host : hosts_) {
        const std::string failure = host->CheckProcess(Now());
        if (!failure.empty()) results_.violations_.push_back(failure);
      }
    }
  }

  Host& RandomHost() { return *hosts_[random_() % hosts_.size()]; }
  Target& RandomTarget() { return *targets_[random_() % targets_.size()]; }

  void InjectFault() {
    ++faults_;
    switch (random_() % 14) {
      case 0:
        return RandomHost().Terminate();
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
        return RandomTarget().Proxy().SetState(static_cast<LinkState>(random_() % 4));
      case 8:
        return RandomTarget().Proxy().ResetConnections();
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
    for (const auto& host : hosts_) {
      host->Resume();
      host->StoreProxy().SetState(LinkState::kHealthy);
      host->StoreProxy().ResetConnections();
    }
    for (const auto& target : targets_) {
      target->SetMode(TargetMode::kHealthy);
      target->Proxy().SetState(LinkState::kHealthy);
      target->Proxy().ResetConnections();
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

  bool ReportResults(std::uint64_t seed) {
    for (const std::string& id : results_.refused_) {
      if (results_.executions_[id] > 0)
        results_.violations_.push_back("refused but executed: " + id);
    }
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
    std::cout << "soak seed=" << seed
              << " result=" << (results_.violations_.empty() ? "ok" : "failed")
              << " faults=" << faults_ << " requests=" << results_.sent_.size()
              << " answered=" << results_.answered_ << " refused=" << results_.refused_.size()
              << " unknown=" << results_.unknown_ << " lost=" << results_.without_response_
              << " violations=" << results_.violations_.size() << std::endl;
    return results_.violations_.empty();
  }

  std::mt19937_64 random_;
  Store store_;
  SoakResults results_;
  std::vector<std::unique_ptr<Target>> targets_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<std::vector<std::string>> directories_;
  std::vector<std::unique_ptr<Caller>> callers_;
  int config_version_ = 0;
  int faults_ = 0;
  unsigned loop_iterations_ = 0;
};

int Main(int argc, char** argv) {
  options::options_description description("Options");
  std::string program;
  std::string logs;
  std::uint64_t seed = 1;
  int length = 8;
  description.add_options()("help,h", "print this help")(
      "program", options::value(&program)->required(), "the monsoonshelf program")(
      "seed", options::value(&seed), "seed of the random faults")(
      "seconds", options::value(&length), "time for which faults are injected")(
      "logs", options::value(&logs), "folder for the logs of the hosts; it is kept");
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
  const bool keep = !logs.empty();
  if (!keep) {
    std::string pattern = std::filesystem::temp_directory_path() / "soak.XXXXXX";
    if (mkdtemp(pattern.data()) == nullptr) return 1;
    logs = pattern;
  }
  std::filesystem::create_directories(logs);
  bool ok = false;
  {
    Soak soak(program, seed, logs);
    ok = soak.Run(seed, seconds(length));
  }
  if (ok && !keep) {
    std::filesystem::remove_all(logs);
  } else {
    std::cout << "logs=" << logs << "\n";
  }
  return ok ? 0 : 1;
}

}  // namespace
}  // namespace monsoonshelf::soak

int main(int argc, char** argv) { return monsoonshelf::soak::Main(argc, argv); }
