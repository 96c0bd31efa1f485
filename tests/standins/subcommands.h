#pragma once

#include <string>
#include <vector>

namespace monsoonshelf::standins {

// Subcommands of monsoonshelf_standins. Each takes the arguments after its name and returns the
// exit code of the process.

// Serves the object API of the platform until SIGTERM or SIGINT.
int RunPlatform(const std::vector<std::string>& args);

// Runs targets with a fixed number of slots, cold starts and a ledger of executed calls until
// SIGTERM.
int RunTarget(const std::vector<std::string>& args);

// Sends calls at a fixed rate for a fixed time, either through the entry hosts of the directory or
// directly to one address, and prints counts and latency percentiles. Returns 1 if a response body
// was wrong.
int RunCaller(const std::vector<std::string>& args);

// Compares the outcomes recorded by callers with the ledgers of the targets and prints the result.
// Returns 1 if an invariant was violated.
int RunCheck(const std::vector<std::string>& args);

}  // namespace monsoonshelf::standins
