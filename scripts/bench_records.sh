#!/usr/bin/env bash
# Measures memory and processor time of one idle entry host for growing numbers of records.
# Usage: bench_records.sh BUILD_DIR
# The host has no target in its region and therefore dispatches no shard. In a complete fleet it would
# dispatch 1/72 of the shards.
# Prints one line per number of targets. The last line has the design scale: 1,100 targets in 68
# services and 12 zones.
set -euo pipefail
build=$1
product=$build/src/app/monsoonshelf
standins=$build/tests/standins/monsoonshelf_standins
base=${BENCH_PORT:-24000} measure_s=${BENCH_RECORDS_S:-8}
source "$(dirname "$0")/processes.sh"

# Prints the records as a JSON array. Usage: print_records TARGET_COUNT
print_records() {
  awk -v targets="$1" 'BEGIN {
    printf "["
    for (zone = 1; zone <= 12; ++zone)
      printf "%s{\"kind\":\"zone\",\"schema\":1,\"name\":\"zone-%d\",\"spec\":{\"region\":\"region-%d\"}}\n", (zone > 1 ? "," : ""), zone, zone % 3
    services = targets > 0 ? 68 : 0
    for (service = 0; service < services; ++service) {
      printf ",{\"kind\":\"service\",\"schema\":1,\"name\":\"service-%d\",\"spec\":{\"default_rule\":\"rule-%d\"}}\n", service, service
      printf ",{\"kind\":\"rule\",\"schema\":1,\"name\":\"rule-%d\",\"spec\":{\"service\":\"service-%d\",\"idempotent\":true}}\n", service, service
    }
    for (target = 0; target < targets; ++target)
      printf ",{\"kind\":\"target\",\"schema\":1,\"name\":\"target-%d\",\"spec\":{\"service\":\"service-%d\",\"zone\":\"zone-%d\",\"address\":\"127.0.0.1:%d\"}}\n", target, target % 68, 1 + int(target / 68) % 12, 30000 + target
    printf "]\n"
  }'
}

index=0
for targets in 0 550 1100; do
  index=$((index + 1))
  platform=$((base + 10 * index))
  print_records "$targets" >"$out/records.json"
  start platform.log "$standins" platform --port "$platform" --records "$out/records.json"
  host_settings host elsewhere elsewhere "$platform" $((platform + 1)) $((platform + 2)) $((platform + 3)) \
    >"$out/host.toml"
  start host.out "$product" run "$out/host.toml"
  pid=$last_pid
  sleep 4
  grep -q 'event=configuration_received' "$out/host.log" || { echo "bench=records result=failed"; exit 1; }
  ticks_before=$(processor_ticks "$pid")
  sleep "$measure_s"
  awk -v before="$ticks_before" -v after="$(processor_ticks "$pid")" -v seconds="$measure_s" -v targets="$targets" \
    -v clock="$(getconf CLK_TCK)" '/^VmRSS/ {
      printf "bench=records targets=%d resident_mb=%.1f processor_percent=%.2f\n", targets, $2 / 1024,
        (after - before) / clock / seconds * 100
    }' "/proc/$pid/status"
  kill -TERM "$pid"
done
