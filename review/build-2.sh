#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, with all of their stand-ins, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review-2
for source in {6,7,8,9,10}/case.cc; do
  if [ ! -e "$source" ]; then continue; fi
  g++ -std=c++20 -O2 -Wall -Wextra -Wno-psabi -pthread "$source" -o "../target/review-2/case-${source%%/*}"
done
