#!/usr/bin/env bash
# Runs every measurement, one command per line. Usage: bench.sh BUILD_DIR
set -euo pipefail
build=$1
"$build/bench/monsoonshelf_bench"
"$(dirname "$0")/bench_control.sh" "$build"
"$build/bench/monsoonshelf_coordination_bench"
