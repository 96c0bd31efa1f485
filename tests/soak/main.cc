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
// From a change at the store, or the end of what disturbed it, until it must be in effect: three
// seconds in which a host is not in touch yet, and two for the change.
constexpr Duration kEffectTime = seconds(5);
constexpr Duration kStartTime = seconds(2);
constexpr Duration kRecoveryTime = seconds(6);
// Of the requests after the recovery time this part must be answered.
constexpr double kRecoveredShare = 0.9;

// Hosts as processes of the real program, faults from outside, and the promises checked from what
// callers and targets see.
class Soak {
 public:
  Soak(const std::string& program, std::uint64_t seed, const std::string& folder) : random_(seed) {
    PutConfiguration();
    for (int zone = 0; zone < kZones; ++zone) {
      const std::string name = "z" + std::to_string(zone);
      for (int i = 0; i < kTargetsPerZone; ++i) {
        targets_.push_back(std::make_unique<Target>("t-" + name + "-" + std::to_string(i), name,
                                                    store_, ledger_, random_()));
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
            directories_[static_cast<std::size_t>(zone)], ledger_, random_()));
      }
    }
    const Time end = Now() + length;
    while (Now() < end) {
      InjectFault();
      RunFor(milliseconds(std::uniform_int_distribution<int>(100, 900)(random_)));
    }
    Heal();
    RunFor(kRecoveryTime);
    for (const auto& caller : callers_) caller->CountRecovery();
    RunFor(seconds(2));
    for (const auto& caller : callers_) caller->Stop();
    RunFor(seconds(2));
    return Report(seed);
  }

 private:
  void PutConfiguration() {
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
        {{"configVersion", ++version_},
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
      if (++turns_ % 64 != 0) continue;
      for (const auto& host : hosts_) {
        const std::string fault = host->Check(Now());
        if (!fault.empty()) ledger_.violations_.push_back(fault);
      }
    }
  }

  Host& AnyHost() { return *hosts_[random_() % hosts_.size()]; }
  Target& AnyTarget() { return *targets_[random_() % targets_.size()]; }

  void InjectFault() {
    ++faults_;
    switch (random_() % 14) {
      case 0:
        return AnyHost().Terminate();
      case 1:
        return AnyHost().Kill();
      case 2:
        return AnyHost().Pause();
      case 3:
        for (const auto& host : hosts_) host->Resume();
        return;
      case 4:
        return AnyHost().Signal(SIGHUP);
      case 5:
        return AnyHost().StoreLink().Set(static_cast<LinkState>(random_() % 4));
      case 6:
        return AnyHost().StoreLink().Reset();
      case 7:
        return AnyTarget().Proxy().Set(static_cast<LinkState>(random_() % 4));
      case 8:
        return AnyTarget().Proxy().Reset();
      case 9:
        return AnyTarget().SetMode(static_cast<TargetMode>(random_() % 5));
      case 10:
        return store_.SetBusy(random_() % 2 == 0);
      case 11:
        return store_.Compact();
      case 12:
        return PutConfiguration();
      default:
        return AnyTarget().Register(random_() % 2 == 0);
    }
  }

  // Ends all faults. One target leaves and one zone is emptied; both must get nothing once the
  // change is in effect.
  void Heal() {
    store_.SetBusy(false);
    for (const auto& host : hosts_) {
      host->Resume();
      host->StoreLink().Set(LinkState::kSound);
      host->StoreLink().Reset();
    }
    for (const auto& target : targets_) {
      target->SetMode(TargetMode::kSound);
      target->Proxy().Set(LinkState::kSound);
      target->Proxy().Reset();
      target->Register(false);
    }
    Target& leaving = *targets_.front();
    leaving.Register(true);
    store_.Put("evacuations", targets_.back()->Zone(), nlohmann::json::object());
    for (const auto& target : targets_) {
      if (target.get() == &leaving || target->Zone() == targets_.back()->Zone()) {
        target->SetClosedFrom(Now() + kEffectTime);
      }
    }
  }

  bool Report(std::uint64_t seed) {
    for (const std::string& id : ledger_.refused_) {
      if (ledger_.runs_[id] > 0) ledger_.violations_.push_back("refused but run: " + id);
    }
    const bool recovered =
        ledger_.late_sent_ > 0 &&
        ledger_.late_answered_ >= kRecoveredShare * static_cast<double>(ledger_.late_sent_);
    if (!recovered) {
      ledger_.violations_.push_back("not recovered: " + std::to_string(ledger_.late_answered_) +
                                    " of " + std::to_string(ledger_.late_sent_));
    }
    for (const std::string& violation : ledger_.violations_) std::cout << violation << "\n";
    std::cout << "soak seed=" << seed
              << " result=" << (ledger_.violations_.empty() ? "ok" : "failed")
              << " faults=" << faults_ << " requests=" << ledger_.sent_.size()
              << " answered=" << ledger_.answered_ << " refused=" << ledger_.refused_.size()
              << " unknown=" << ledger_.unknown_ << " lost=" << ledger_.lost_
              << " violations=" << ledger_.violations_.size() << std::endl;
    return ledger_.violations_.empty();
  }

  std::mt19937_64 random_;
  Store store_;
  Ledger ledger_;
  std::vector<std::unique_ptr<Target>> targets_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<std::vector<std::string>> directories_;
  std::vector<std::unique_ptr<Caller>> callers_;
  int version_ = 0;
  int faults_ = 0;
  unsigned turns_ = 0;
};

int Main(int argc, char** argv) {
  options::options_description description("Options");
  std::string program;
  std::string logs;
  std::uint64_t seed = 1;
  int length = 8;
  description.add_options()("help,h", "print this help")(
      "program", options::value(&program)->required(), "the program to run")(
      "seed", options::value(&seed), "seed of the faults")("seconds", options::value(&length),
                                                           "time in which faults are injected")(
      "logs", options::value(&logs), "folder for the logs of the hosts, kept");
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
