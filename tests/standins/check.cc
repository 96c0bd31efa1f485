#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "base/key_value.h"
#include "tests/standins/http_util.h"
#include "tests/standins/options.h"
#include "tests/standins/subcommands.h"

namespace monsoonshelf::standins {

namespace {

struct CheckResult {
  std::int64_t double_runs_ = 0;
  std::int64_t false_not_run_ = 0;  // Reported as not run although a target executed the call.
  std::int64_t missing_runs_ = 0;   // Reported as answered although no target executed the call.
  std::int64_t late_zone_work_ = 0;
  std::int64_t cold_overruns_ = 0;
  std::int64_t probe_overruns_ = 0;
  std::int64_t probes_ = 0;
  std::int64_t executions_ = 0;
  std::int64_t outcomes_ = 0;
};

// Reads lines of the form `call=ID outcome=NAME`. Returns false on a malformed line or read error.
bool ReadOutcomes(const std::string& path, std::map<std::string, std::string>& outcomes) {
  std::ifstream file(path);
  std::string line;
  while (std::getline(file, line)) {
    const auto fields = ParseKeyValues(line);
    if (!fields || fields->size() != 2) {
      std::cerr << path << ": expected 'call=ID outcome=NAME', found: " << line << "\n";
      return false;
    }
    outcomes[(*fields)[0].second] = (*fields)[1].second;
  }
  return file.eof();
}

// Fetches /control/report of a target process and adds its ledger and counters.
bool AddTargetReport(const std::string& address, std::map<std::string, int>& ledger,
                     CheckResult& result) {
  int status = 0;
  const std::string text = FetchText("GET", "http://" + address + "/control/report", &status);
  const auto report = nlohmann::json::parse(text, nullptr, false);
  if (status != 200 || !report.is_object()) {
    std::cerr << "no valid report from target " << address << "\n";
    return false;
  }
  for (const auto& [id, runs] : report["ledger"].items()) ledger[id] += runs.get<int>();
  result.late_zone_work_ += report["late_zone_work"].get<std::int64_t>();
  result.cold_overruns_ += report["cold_overruns"].get<std::int64_t>();
  result.probe_overruns_ += report["probe_overruns"].get<std::int64_t>();
  result.probes_ += report["probes"].get<std::int64_t>();
  result.executions_ += report["executions"].get<std::int64_t>();
  return true;
}

void CompareOutcomes(const std::map<std::string, std::string>& outcomes,
                     const std::map<std::string, int>& ledger, CheckResult& result) {
  for (const auto& [id, runs] : ledger) result.double_runs_ += runs > 1 ? 1 : 0;
  for (const auto& [id, outcome] : outcomes) {
    const bool ran = ledger.count(id) != 0;
    if (outcome == "not_run" && ran) ++result.false_not_run_;
    if (outcome == "answered" && !ran) ++result.missing_runs_;
  }
  result.outcomes_ = static_cast<std::int64_t>(outcomes.size());
}

}  // namespace

int RunCheck(const std::vector<std::string>& args) {
  namespace po = boost::program_options;
  std::vector<std::string> files;
  std::vector<std::string> targets;
  po::options_description description("check options");
  auto add = description.add_options();
  add("outcomes", po::value(&files)->multitoken()->required(), "outcome files written by callers");
  add("targets", po::value(&targets)->multitoken()->required(),
      "address of one target in each target process");
  if (!ParseOptions(args, description)) return 2;
  std::map<std::string, std::string> outcomes;
  std::map<std::string, int> ledger;
  CheckResult result;
  for (const auto& file : files) {
    if (!ReadOutcomes(file, outcomes)) return 1;
  }
  for (const auto& target : targets) {
    if (!AddTargetReport(target, ledger, result)) return 1;
  }
  CompareOutcomes(outcomes, ledger, result);
  const bool ok = result.double_runs_ == 0 && result.false_not_run_ == 0 &&
                  result.missing_runs_ == 0 && result.late_zone_work_ == 0 &&
                  result.cold_overruns_ == 0 && result.probe_overruns_ == 0 && result.outcomes_ > 0;
  std::cout << FormatKeyValues({{"event", "check"},
                                {"result", ok ? "ok" : "failed"},
                                {"non_idempotent", std::to_string(result.outcomes_)},
                                {"executions", std::to_string(result.executions_)},
                                {"double_runs", std::to_string(result.double_runs_)},
                                {"false_not_run", std::to_string(result.false_not_run_)},
                                {"missing_runs", std::to_string(result.missing_runs_)},
                                {"late_zone_work", std::to_string(result.late_zone_work_)},
                                {"cold_overruns", std::to_string(result.cold_overruns_)},
                                {"probes", std::to_string(result.probes_)},
                                {"probe_overruns", std::to_string(result.probe_overruns_)}})
            << std::endl;
  return ok ? 0 : 1;
}

}  // namespace monsoonshelf::standins
