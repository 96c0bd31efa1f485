#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace monsoonshelf::scenario {

struct ScriptResult {
  std::vector<std::string> failures_;  // Script errors, unmet expectations and violations.
  std::vector<std::string> timeline_;
  int calls_ = 0;
  int answered_ = 0;
  int not_run_ = 0;
  int unknown_ = 0;
};

// Runs a Lua scenario. The same file and seed give the same run.
ScriptResult RunScript(const std::string& file, std::uint64_t seed);

}  // namespace monsoonshelf::scenario
