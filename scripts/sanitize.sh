#!/usr/bin/env bash
# Builds the modules with sockets and threads with the address and undefined behaviour sanitizers and
# runs their tests. Usage: sanitize.sh BUILD_DIR JOBS
set -euo pipefail
build=$1-asan jobs=$2
modules=(platform peer control entry)
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Debug -DSANITIZE=address,undefined >/dev/null
cmake --build "$build" -j "$jobs" --target "${modules[@]/%/_tests}" >"$build/build.log" ||
  { tail -n 40 "$build/build.log"; exit 1; }
# GLib keeps type data and thread pools until the process ends, which is not a leak.
export ASAN_OPTIONS=detect_leaks=0 UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1
pattern=$(IFS='|'; echo "^(${modules[*]})$")
ctest --test-dir "$build" -R "$pattern" --output-on-failure -j 4 --no-tests=error
