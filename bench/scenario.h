#pragma once

#include "bench/bench_types.h"

namespace monsoonshelf::bench {

// Simulates one run with a fixed seed: arrivals and service times depend on the seed only.
RunResult Run(const RunSettings& settings);

}  // namespace monsoonshelf::bench
