#pragma once

#include <string>
#include <vector>

namespace monsoonshelf::standins {

// Sends calls at a fixed rate for a fixed time, through the entry hosts that the system names or
// directly to one address, and prints counts and latency percentiles. Exit code 1 when a response
// was wrong.
int RunCaller(std::vector<std::string> args);

// Compares the outcomes that callers wrote with the ledger of the targets and prints the verdict.
int RunCheck(std::vector<std::string> args);

}  // namespace monsoonshelf::standins
