#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, with all of their stand-ins, into review/build-2/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build-2
echo '*' > build-2/.gitignore
for source in {6,7,8,9,10}/case.cc; do
  if [ ! -e "$source" ]; then continue; fi
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -I. "$source" -o "build-2/case-${source%%/*}"
done
