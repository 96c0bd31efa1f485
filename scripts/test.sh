#!/usr/bin/env bash
# Runs all CTest tests. Usage: test.sh BUILD_DIR JOBS
set -euo pipefail
build=$1 jobs=$2
# Tests listen on loopback ports chosen by the kernel and can therefore run in parallel.
ctest --test-dir "$build" --output-on-failure -j "$jobs" --no-tests=error
# Prints the tests that are known to fail.
if [ -e KNOWN-RED.txt ]; then grep '^red:' KNOWN-RED.txt || true; fi
