#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace monsoonshelf::scenario {

struct ScriptResult {
  std::vector<std::string> failures_;  // Script errors, unmet expectations, violated invariants.
  std::vector<std::string> timeline_;
  int calls_ = 0;  // Call identifiers used.
  // Responses by outcome.
  int answered_ = 0;
  int not_run_ = 0;
  int unknown_ = 0;
};

// Runs a Lua script against a simulated world. The same file and seed give the same run.
ScriptResult RunScript(const std::string& file, std::uint64_t seed);

}  // namespace monsoonshelf::scenario
