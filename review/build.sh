#!/usr/bin/env bash
# Builds the program of each case, review/N/case, with the stand-ins that they share. Needs the packages of the deploy
# file only.
set -euo pipefail
cd "$(dirname "$0")/.."
flags=(-std=c++20 -O1 -g -Wall -Wextra -pthread -I.)
g++ "${flags[@]}" -c review/standins.cc -o review/standins.o
pids=()
for source in review/[1-5]/case.cc; do
  g++ "${flags[@]}" "$source" review/standins.o -o "${source%.cc}" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
