#!/usr/bin/env bash
# Runs clang-tidy on every source file. Usage: lint.sh BUILD_DIR JOBS
# Skips files that passed before with the same text, project headers and checks. The results are
# cached per user and shared by all build folders.
set -euo pipefail
build=$1 jobs=$2
cache=${XDG_CACHE_HOME:-$HOME/.cache}/monsoonshelf/lint
mkdir -p "$cache"
export build cache
lint_one() {
  file=$1
  key=$( { cat .clang-tidy "$file"; g++ -std=c++20 -MM -MG -MT x -Isrc -I. -I"$build" "$file" 2>/dev/null \
      | tr ' \\' '\n\n' | grep -E '\.h$' | sort -u | xargs -r cat 2>/dev/null; } | sha256sum | cut -c1-40)
  [ -e "$cache/$key" ] && return 0
  if clang-tidy --quiet -p "$build" "$file" >"$cache/$key.$$" 2>/dev/null; then
    mv "$cache/$key.$$" "$cache/$key"
  else
    cat "$cache/$key.$$"; rm -f "$cache/$key.$$"; return 1
  fi
}
export -f lint_one
git ls-files '*.cc' | xargs -P "$jobs" -I{} bash -c 'lint_one {}' || { echo "lint failed"; exit 1; }
echo "lint passed: $(git ls-files '*.cc' | wc -l) files"
