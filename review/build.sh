#!/usr/bin/env bash
# Builds the programs of the cases into review/bin. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
flags=(-std=c++20 -O1 -g -Wall -Wextra -pthread -I.)
g++ "${flags[@]}" -c review/common/standins.cc -o review/bin/standins.o
for source in review/[1-5]/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" review/bin/standins.o -o "review/bin/case$number" &
done
wait
