#pragma once

#include "bench/bench_types.h"

namespace monsoonshelf::bench {

// Simulates one run. Arrivals and service times depend only on the seed, not on the policy.
RunResult RunScenario(const RunSettings& settings);

}  // namespace monsoonshelf::bench
