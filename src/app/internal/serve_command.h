#pragma once

#include <string>
#include <vector>

namespace monsoonshelf::app {

// Runs an entry host on the users' platform until it is stopped. Returns the exit code.
int ServeCommand(const std::vector<std::string>& arguments);

}  // namespace monsoonshelf::app
