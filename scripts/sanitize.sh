#!/usr/bin/env bash
# Runs the tests of the modules that use sockets or threads with sanitizers: once with the address
# and undefined behavior sanitizers and once with the thread sanitizer.
# Usage: sanitize.sh BUILD_DIR JOBS
set -euo pipefail
base=$1 jobs=$2
modules=(http gateway gateway_models platform store peer control entry)
# GLib keeps type data and thread pools until the process exits, which is not a leak but would be
# reported as one.
export ASAN_OPTIONS=detect_leaks=0 UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1
# GLib is not built with the thread sanitizer, so accesses protected by its locks would be reported
# as races.
export TSAN_OPTIONS=ignore_noninstrumented_modules=1
pattern=$(IFS='|'; echo "^(${modules[*]})$")

# Usage: run NAME SANITIZERS
run() {
  local build=$base-$1
  cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Debug -DSANITIZE="$2" >/dev/null
  cmake --build "$build" -j "$jobs" --target "${modules[@]/%/_tests}" >"$build/build.log" ||
    { tail -n 40 "$build/build.log"; exit 1; }
  ctest --test-dir "$build" -R "$pattern" --output-on-failure -j 4 --no-tests=error
}

run asan address,undefined
run tsan thread
