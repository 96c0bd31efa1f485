#!/usr/bin/env bash
# Measures the cost of an idle entry host with 15 peers: runs 16 entry hosts and the platform
# stand-in as plain processes on loopback. Usage: bench_control.sh BUILD_DIR
# Prints one line for the first host and one with the highest value of each figure over all hosts.
set -euo pipefail
build=$1
product=$build/src/app/monsoonshelf
standins=$build/tests/standins/monsoonshelf_standins
hosts=16
warm_up_s=${BENCH_WARM_UP_S:-10} measure_s=${BENCH_CONTROL_S:-20}
base=${BENCH_PORT:-23000}
source "$(dirname "$0")/processes.sh"

# Prints the settings of a host. Usage: print_settings INDEX ZONE
print_settings() {
  host_settings "host-$1" "$2" adriatic "$base" $((base + 100 + $1)) $((base + 200 + $1)) $((base + 300 + $1))
  # The seed is the next host.
  printf '[peers]\nseeds = ["127.0.0.1:%d"]\n' $((base + 200 + $1 % hosts + 1))
}

# Prints the sum of the metrics whose names match a pattern. Usage: metric_sum HOST_INDEX PATTERN
metric_sum() {
  curl -fsS --max-time 3 "http://127.0.0.1:$((base + 300 + $1))/metrics" |
    awk -v pattern="$2" '$1 ~ pattern && $1 !~ /^#/ { sum += $2 } END { printf "%.6f\n", sum }'
}

scripts/demo_records.sh $((base + 400)) >"$out/records.json"
start platform.log "$standins" platform --port "$base" --records "$out/records.json"
pids=()
zones=(a b c)
for index in $(seq $hosts); do
  print_settings "$index" "${zones[index % 3]}" >"$out/host-$index.toml"
  start "host-$index.out" "$product" run "$out/host-$index.toml"
  pids+=("$last_pid")
done
sleep "$warm_up_s"

for index in $(seq $hosts); do
  # The cost is only valid if the host knows all its peers: a host without peers sends nothing.
  peers=$(grep -o 'event=member name=[^ ]*' "$out/host-$index.log" | sort -u | wc -l)
  if [ "$peers" != $((hosts - 1)) ]; then
    echo "bench=idle_entry_host result=failed host=host-$index peers=$peers" && exit 1
  fi
done

declare -a ticks_before bytes_before control_before
for index in $(seq $hosts); do
  ticks_before[index]=$(processor_ticks "${pids[index - 1]}")
  bytes_before[index]=$(metric_sum "$index" '^monsoonshelf_control_bytes')
  control_before[index]=$(metric_sum "$index" '^monsoonshelf_control_processor_seconds')
done
start=$(date +%s.%N)
sleep "$measure_s"
for index in $(seq $hosts); do
  now=$(date +%s.%N)
  echo "$start $now $(getconf CLK_TCK) ${ticks_before[index]} $(processor_ticks "${pids[index - 1]}")" \
    "${bytes_before[index]} $(metric_sum "$index" '^monsoonshelf_control_bytes')" \
    "${control_before[index]} $(metric_sum "$index" '^monsoonshelf_control_processor_seconds')" \
    "$(resident_kb "${pids[index - 1]}")"
done | awk -v hosts="$hosts" '
  {
    seconds = $2 - $1
    value["processor_percent"] = ($5 - $4) / $3 / seconds * 100
    value["control_percent"] = ($9 - $8) / seconds * 100
    value["control_bytes_per_s"] = ($7 - $6) / seconds
    value["resident_mb"] = $10 / 1024
    for (name in value) {
      if (NR == 1) first[name] = value[name]
      if (value[name] > highest[name]) highest[name] = value[name]
    }
  }
  function print_line(label, values) {
    printf "bench=idle_entry_host hosts=%d value=%s processor_percent=%.2f control_percent=%.2f", \
      hosts, label, values["processor_percent"], values["control_percent"]
    printf " control_bytes_per_s=%.0f resident_mb=%.1f\n", values["control_bytes_per_s"], \
      values["resident_mb"]
  }
  END { print_line("first_host", first); print_line("highest", highest) }'
