#pragma once

#include <string>
#include <vector>

namespace monsoonshelf::standins {

// Runs targets with slots, cold starts and a ledger of executed calls until SIGTERM.
int RunTarget(std::vector<std::string> args);

}  // namespace monsoonshelf::standins
