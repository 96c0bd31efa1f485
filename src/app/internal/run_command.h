#pragma once

#include <string>
#include <vector>

namespace monsoonshelf::app {

// Runs an entry host until SIGTERM or SIGINT stops it. Returns the exit code.
int RunCommand(const std::vector<std::string>& arguments);

}  // namespace monsoonshelf::app
