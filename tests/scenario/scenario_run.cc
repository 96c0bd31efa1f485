#include <cstdlib>
#include <iostream>
#include <string>

#include "tests/scenario/script.h"

namespace {

using monsoonshelf::scenario::RunScript;
using monsoonshelf::scenario::ScriptResult;

void Print(const std::string& file, std::uint64_t seed, const ScriptResult& result, bool timeline) {
  if (timeline || !result.failures_.empty()) {
    for (const auto& line : result.timeline_) std::cout << line << '\n';
  }
  for (const auto& failure : result.failures_) std::cout << "failure: " << failure << '\n';
  std::cout << "scenario file=" << file << " seed=" << seed << " calls=" << result.calls_
            << " answered=" << result.answered_ << " not_run=" << result.not_run_
            << " unknown=" << result.unknown_
            << " result=" << (result.failures_.empty() ? "ok" : "failed") << '\n';
}

}  // namespace

// scenario_run SCRIPT [SEED [COUNT]]: without COUNT, runs a script with one seed and prints its
// timeline. With COUNT, runs it with COUNT seeds from SEED on and prints only failures; COUNT 0
// runs until the first failure.
int main(int argc, char** argv) {
  if (argc < 2) {
    std::cerr << "usage: scenario_run SCRIPT [SEED [COUNT]]\n";
    return 2;
  }
  const std::string file = argv[1];
  std::uint64_t seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
  if (argc < 4) {
    const auto result = RunScript(file, seed);
    Print(file, seed, result, true);
    return result.failures_.empty() ? 0 : 1;
  }
  const std::uint64_t count = std::strtoull(argv[3], nullptr, 10);
  std::uint64_t failed = 0;
  std::uint64_t done = 0;
  for (; count == 0 ? failed == 0 : done < count; ++done, ++seed) {
    const auto result = RunScript(file, seed);
    if (result.failures_.empty()) continue;
    ++failed;
    std::cout << "seed " << seed << ": " << result.failures_.front() << '\n';
  }
  std::cout << "schedules=" << done << " failed=" << failed << '\n';
  return failed == 0 ? 0 : 1;
}
