#!/usr/bin/env bash
# Measures the resident memory of an entry host while bodies of 100 MB pass through it.
# Usage: bench_body.sh BUILD_DIR
set -euo pipefail
build=$1
product=$build/src/app/monsoonshelf
standins=$build/tests/standins/monsoonshelf_standins
base=${BENCH_PORT:-25000}
bytes=100000000
out=$(mktemp -d)
started=()

# Ends what this script started, by process id.
cleanup() {
  for pid in "${started[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$out"
}
trap cleanup EXIT

resident_kb() { awk '/^VmRSS/ { print $2 }' "/proc/$1/status"; }
call() { # NAME PATH
  "$standins" caller --entry "127.0.0.1:$((base + 1))" --zone a --rate 1 --seconds 1.5 --deadline-ms 30000 \
    --call "summit-pages,GET,$2,1" >"$out/$1.log"
  grep -o 'answered=[0-9]*\|wrong_answers=[0-9]*' "$out/$1.log" | paste -sd' '
}

scripts/demo_records.sh "$((base + 100))" | sed 's/"deadline_ms":10000/"deadline_ms":60000/' >"$out/records.json"
"$standins" platform --port "$base" --records "$out/records.json" >"$out/platform.log" 2>&1 &
started+=($!)
"$standins" target --service-ms 0 --cold-answers 0 \
  --target "summit-pages-a1,a,$((base + 100))" "summit-pages-a2,a,$((base + 101))" >"$out/target.log" 2>&1 &
started+=($!)
cat >"$out/host.toml" <<TOML
name = "host"
zone = "a"
region = "adriatic"
[listen]
calls = "127.0.0.1:$((base + 1))"
peers = "127.0.0.1:$((base + 2))"
metrics = "127.0.0.1:$((base + 3))"
[platform]
address = "127.0.0.1:$base"
[[peers.keys]]
id = "bench"
secret = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
[log]
file = "$out/host.log"
TOML
"$product" run "$out/host.toml" >"$out/host.out" 2>&1 &
host=$!
started+=("$host")
sleep 3
call small /pack/1000000 >/dev/null
before=$(resident_kb "$host")
result=$(call large "/pack/$bytes")
# VmHWM is the highest resident size so far.
peak=$(awk '/^VmHWM/ { print $2 }' "/proc/$host/status")
awk -v before="$before" -v peak="$peak" -v after="$(resident_kb "$host")" -v bytes="$bytes" \
  -v result="$result" 'BEGIN {
    printf "bench=body bytes=%d %s resident_before_mb=%.1f peak_growth_mb=%.1f growth_after_mb=%.1f\n",
      bytes, result, before / 1024, (peak - before) / 1024, (after - before) / 1024
  }'
