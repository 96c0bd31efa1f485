#!/usr/bin/env bash
# Runs every measurement, one command per line. Usage: bench.sh BUILD_DIR
set -euo pipefail
build=$1
scripts=$(dirname "$0")
# Latency first, while nothing else of this script has run.
for rate in 1000 3000 6000; do "$build/bench/entry_bench" "$rate" 10 2; done
"$build/bench/entry_bench" 1000 10 2 POST
"$scripts/bench_body.sh" "$build"
"$scripts/bench_control.sh" "$build"
"$scripts/bench_records.sh" "$build"
"$build/bench/monsoonshelf_coordination_bench"
"$build/bench/monsoonshelf_bench"
