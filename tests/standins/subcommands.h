#pragma once

#include <string>
#include <vector>

namespace monsoonshelf::standins {

// Each takes the arguments behind its name and returns the exit code.

// Runs the platform's object API until a signal ends it.
int RunPlatform(const std::vector<std::string>& args);

// Runs targets with slots, cold starts and a ledger of executed calls until SIGTERM.
int RunTarget(const std::vector<std::string>& args);

// Sends calls at a fixed rate for a fixed time, through the entry hosts that the system names or
// directly to one address, and prints counts and latency percentiles. Returns 1 when a response
// was wrong.
int RunCaller(const std::vector<std::string>& args);

// Compares the outcomes that callers wrote with the ledger of the targets and prints the verdict.
int RunCheck(const std::vector<std::string>& args);

}  // namespace monsoonshelf::standins
