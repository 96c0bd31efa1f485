#include <algorithm>
#include <atomic>
#include <boost/program_options.hpp>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

#include "bench/scenario.h"

namespace monsoonshelf::bench {

namespace {

namespace options = boost::program_options;

// Selects the runs; an empty text matches all.
struct RunFilter {
  std::string shape_;
  std::string fault_;
  std::string policy_;
  double load_ = 0;  // 0: all loads.
  int seeds_ = 3;
  unsigned threads_ = 4;
};

std::vector<Shape> Shapes() {
  using std::chrono::milliseconds;
  return {{"velebit", {6, 6, 7, 11}, milliseconds(1), milliseconds(2), 14},
          {"cordillera", {6, 7, 9, 13}, milliseconds(3), milliseconds(6), 16}};
}

std::vector<double> LoadsForFault(Fault fault) {
  switch (fault) {
    case Fault::kNone:
      return {0.5, 0.7, 0.85, 0.95, 1.2};
    case Fault::kZoneOutage:
      return {0.55};  // The two remaining zones run at a load of 0.83 during the outage.
    case Fault::kFailingTargets:
      return {0.4};  // Corresponds to a load of 0.57 on the targets that do not fail.
    default:
      return {0.85};
  }
}

bool MatchesFilter(const std::string& filter, std::string_view name) {
  return filter.empty() || filter == name;
}

std::vector<RunSettings> SelectRuns(const RunFilter& filter) {
  std::vector<RunSettings> runs;
  for (const Shape& shape : Shapes()) {
    if (!MatchesFilter(filter.shape_, shape.name_)) continue;
    for (const auto& [fault, fault_name] : kFaultNames) {
      if (!MatchesFilter(filter.fault_, fault_name)) continue;
      for (const double load : LoadsForFault(fault)) {
        if (filter.load_ != 0 && filter.load_ != load) continue;
        for (const auto& [policy, policy_name] : kPolicyNames) {
          // The central queue needs the end time of each call, which nested calls leave unknown.
          if (fault == Fault::kFailingTargets && policy == PolicyKind::kCentralQueue) continue;
          if (MatchesFilter(filter.policy_, policy_name))
            runs.push_back({shape, fault, load, policy, 0});
        }
      }
    }
  }
  return runs;
}

double MedianOf(const std::vector<RunResult>& results, double RunResult::*field) {
  std::vector<double> values;
  values.reserve(results.size());
  for (const RunResult& result : results) values.push_back(result.*field);
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

double MaxOf(const std::vector<RunResult>& results, double RunResult::*field) {
  double highest = 0;
  for (const RunResult& result : results) highest = std::max(highest, result.*field);
  return highest;
}

// Formats one output line. Figures that have a limit (probes, cold overruns) are the highest of all
// seeds, all others the median.
std::string FormatResultLine(const RunSettings& run, const std::vector<RunResult>& results) {
  std::ostringstream line;
  line << std::fixed;
  const auto add = [&](const char* key, double value, int digits) {
    line << ' ' << key << '=' << std::setprecision(digits) << value;
  };
  line << "bench shape=" << run.shape_.name_ << " fault=" << NameOf(kFaultNames, run.fault_);
  add("load", run.load_, 2);
  line << " policy=" << NameOf(kPolicyNames, run.policy_);
  add("p50_ms", MedianOf(results, &RunResult::p50_ms_), 1);
  add("p99_ms", MedianOf(results, &RunResult::p99_ms_), 1);
  add("p999_ms", MedianOf(results, &RunResult::p999_ms_), 1);
  add("p99_transactional_ms", MedianOf(results, &RunResult::p99_transactional_ms_), 1);
  add("goodput", MedianOf(results, &RunResult::goodput_), 3);
  add("refused", MedianOf(results, &RunResult::refused_share_), 5);
  add("failed", MedianOf(results, &RunResult::failed_share_), 5);
  add("measure_per_s", MedianOf(results, &RunResult::probes_per_target_per_s_), 2);
  add("crosszone", MedianOf(results, &RunResult::cross_zone_share_), 3);
  add("probe_max", MaxOf(results, &RunResult::max_probes_in_one_second_), 0);
  if (run.load_ > 1) {
    add("after_p99_ms", MedianOf(results, &RunResult::p99_after_overload_ms_), 1);
    add("after_answered", MedianOf(results, &RunResult::answered_share_after_overload_), 4);
  }
  if (run.fault_ == Fault::kRestarts || run.fault_ == Fault::kZoneOutage) {
    add("cold_over", MaxOf(results, &RunResult::known_cold_overruns_), 0);
    add("cold_blind", MaxOf(results, &RunResult::unknown_cold_overruns_), 0);
  }
  if (run.fault_ == Fault::kFailingTargets) {
    add("amplification", MedianOf(results, &RunResult::retry_amplification_), 3);
  }
  return line.str();
}

void RunAll(const RunFilter& filter) {
  const std::vector<RunSettings> runs = SelectRuns(filter);
  const auto seeds = static_cast<std::size_t>(filter.seeds_);
  std::vector<std::vector<RunResult>> results(runs.size(), std::vector<RunResult>(seeds));
  std::atomic<std::size_t> next = 0;
  const auto run_jobs = [&] {
    for (std::size_t job = next++; job < runs.size() * seeds; job = next++) {
      RunSettings run = runs[job / seeds];
      run.seed_ = job % seeds + 1;
      results[job / seeds][job % seeds] = RunScenario(run);
    }
  };
  {
    std::vector<std::jthread> threads;
    for (unsigned thread = 0; thread < filter.threads_; ++thread) threads.emplace_back(run_jobs);
  }
  for (std::size_t run = 0; run < runs.size(); ++run) {
    std::cout << FormatResultLine(runs[run], results[run]) << '\n';
  }
}

int Main(int argc, char** argv) {
  RunFilter filter;
  options::options_description description("monsoonshelf_bench");
  auto add = description.add_options();
  add("help", "show this text");
  add("shape", options::value(&filter.shape_), "run only this fleet shape");
  add("fault", options::value(&filter.fault_), "run only this fault");
  add("policy", options::value(&filter.policy_), "run only this policy");
  add("load", options::value(&filter.load_), "run only this load");
  add("seeds", options::value(&filter.seeds_), "runs per output line, with the seeds 1 to N");
  add("threads", options::value(&filter.threads_), "runs that execute at the same time");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << "monsoonshelf_bench: " << error.what() << '\n';
    return 2;
  }
  if (values.contains("help") || filter.seeds_ < 1) {
    std::cout << description;
    return filter.seeds_ < 1 ? 2 : 0;
  }
  RunAll(filter);
  return 0;
}

}  // namespace

}  // namespace monsoonshelf::bench

int main(int argc, char** argv) { return monsoonshelf::bench::Main(argc, argv); }
