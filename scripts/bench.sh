#!/usr/bin/env bash
# Runs all benchmarks. Usage: bench.sh BUILD_DIR
set -euo pipefail
build=$1
scripts=$(dirname "$0")
# Latency is measured first, before the other benchmarks load the machine.
for rate in 1000 3000 6000; do "$build/bench/entry_bench" "$rate" 10 2; done
"$build/bench/entry_bench" 1000 10 2 POST
"$scripts/bench_body.sh" "$build"
"$scripts/bench_control.sh" "$build"
"$scripts/bench_records.sh" "$build"
"$build/bench/monsoonshelf_coordination_bench"
"$build/bench/monsoonshelf_bench"
