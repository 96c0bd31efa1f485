#!/usr/bin/env bash
# Measures the resident memory of an entry host while it forwards response bodies of 100 MB.
# Usage: bench_body.sh BUILD_DIR
set -euo pipefail
build=$1
product=$build/src/app/monsoonshelf
standins=$build/tests/standins/monsoonshelf_standins
base=${BENCH_PORT:-25000}
bytes=100000000
source "$(dirname "$0")/processes.sh"

# Sends calls for 1.5 s and prints their result counts. Usage: send_calls NAME PATH
send_calls() {
  "$standins" caller --entry "127.0.0.1:$((base + 1))" --zone a --rate 1 --seconds 1.5 --deadline-ms 30000 \
    --call "summit-pages,GET,$2,1" >"$out/$1.log"
  grep -o 'answered=[0-9]*\|wrong_answers=[0-9]*' "$out/$1.log" | paste -sd' '
}

scripts/demo_records.sh "$((base + 100))" | sed 's/"deadline_ms":10000/"deadline_ms":60000/' >"$out/records.json"
start platform.log "$standins" platform --port "$base" --records "$out/records.json"
start target.log "$standins" target --service-ms 0 --cold-answers 0 \
  --target "summit-pages-a1,a,$((base + 100))" "summit-pages-a2,a,$((base + 101))"
host_settings host a adriatic "$base" $((base + 1)) $((base + 2)) $((base + 3)) >"$out/host.toml"
start host.out "$product" run "$out/host.toml"
host_pid=$last_pid
sleep 3
send_calls small /pack/1000000 >/dev/null
before_kb=$(resident_kb "$host_pid")
result=$(send_calls large "/pack/$bytes")
# VmHWM is the peak resident size of the process.
peak_kb=$(awk '/^VmHWM/ { print $2 }' "/proc/$host_pid/status")
awk -v before="$before_kb" -v peak="$peak_kb" -v after="$(resident_kb "$host_pid")" -v bytes="$bytes" \
  -v result="$result" 'BEGIN {
    printf "bench=body bytes=%d %s resident_before_mb=%.1f peak_growth_mb=%.1f growth_after_mb=%.1f\n",
      bytes, result, before / 1024, (peak - before) / 1024, (after - before) / 1024
  }'
