#pragma once

#include <string>
#include <vector>

namespace monsoonshelf::app {

// Runs an entry host until it is stopped. Returns the exit code.
int RunCommand(const std::vector<std::string>& arguments);

}  // namespace monsoonshelf::app
