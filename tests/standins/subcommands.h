#pragma once

#include <string>
#include <vector>

namespace monsoonshelf::standins {

// Each runs one stand-in until a signal ends it and returns the exit code.
int RunPlatform(std::vector<std::string> args);

}  // namespace monsoonshelf::standins
