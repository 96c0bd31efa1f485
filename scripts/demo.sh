#!/usr/bin/env bash
# Runs entry hosts, targets, callers and a platform stand-in as processes on loopback, takes a zone
# out of service and back, stops one entry host gracefully and kills another.
# Usage: demo.sh BUILD_DIR
# Prints one line with the result; exits with a non-zero status if an invariant was violated.
set -euo pipefail
build=$1
product=$build/src/app/monsoonshelf
standins=$build/tests/standins/monsoonshelf_standins
out=${DEMO_OUT:-out/demo}
seconds=24 rate=120
base=${DEMO_PORT:-21000}
platform=127.0.0.1:$base
first_target_port=$((base + 100))
started=()
declare -A host_pid
rm -rf "$out"; mkdir -p "$out"

# Kills the processes that this script started, by process id.
cleanup() { for pid in "${started[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done; }
trap cleanup EXIT
start() { local log=$1; shift; "$@" >"$out/$log" 2>&1 & started+=($!); last_pid=$!; }
report_step() { echo "demo step=\"$1\" elapsed_s=$((SECONDS - begin))"; }
# Logs an operator event for the timeline. Usage: log_event NAME [FIELD=VALUE]...
log_event() { echo "time=$(date -u +%Y-%m-%dT%H:%M:%S.%6NZ) host=operator event=$*" >>"$out/operator.log"; }
fail() { echo "demo result=failed reason=\"$1\""; exit 1; }
# Prints the dispatcher of a shard, which is the first host in the directory response.
# Usage: dispatcher_of SERVICE ZONE
dispatcher_of() {
  curl -fsS --max-time 3 "http://${entry[3]}/monsoonshelf/v1/entry-hosts?service=$1&zone=$2" |
    grep -o '"host":"[^"]*"' | head -1 | cut -d'"' -f4
}
request() { curl -fsS --max-time 3 "$1" >/dev/null; }

# Writes the settings file of an entry host. Usage: write_settings NAME ZONE INDEX
write_settings() {
  cat >"$out/$1.toml" <<TOML
name = "$1"
zone = "$2"
region = "adriatic"
keep_seconds = 2
stop_seconds = 20
data_tasks = 2
[listen]
calls = "127.0.0.1:$((base + 10 + $3))"
peers = "127.0.0.1:$((base + 30 + $3))"
metrics = "127.0.0.1:$((base + 50 + $3))"
[platform]
address = "$platform"
[peers]
seeds = ["127.0.0.1:$((base + 31 + ($3 % 6)))"]
[[peers.keys]]
id = "demo"
secret = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
[log]
file = "$out/$1.log"
TOML
}

begin=$SECONDS
scripts/demo_records.sh "$first_target_port" >"$out/records.json"
start platform.log "$standins" platform --port "$base" --records "$out/records.json"
targets=()
port=$first_target_port
for service in summit-pages work-orders; do
  for zone in a b c; do
    for number in 1 2; do targets+=("$service-$zone$number,$zone,$port"); port=$((port + 1)); done
  done
done
start targets.log "$standins" target --target "${targets[@]}" --service-ms 8
entry=()
index=0
for zone in a b c; do
  for number in 1 2; do
    index=$((index + 1))
    write_settings "host-$zone$number" "$zone" "$index"
    start "host-$zone$number.out" "$product" run "$out/host-$zone$number.toml"
    host_pid[host-$zone$number]=$last_pid
    entry+=("127.0.0.1:$((base + 10 + index))")
  done
done
for address in "${entry[@]}"; do
  ready=no
  for _ in $(seq 100); do
    if request "http://$address/monsoonshelf/v1/entry-hosts?service=summit-pages&zone=a" 2>/dev/null; then ready=yes; break; fi
    sleep 0.1
  done
  [ $ready = yes ] || fail "entry host $address is not ready"
done
sleep 2
report_step "all entry hosts are ready"

callers=() outcomes=()
for zone in a b c; do
  outcomes+=("$out/outcomes-$zone")
  start "caller-$zone.log" "$standins" caller --entry "${entry[@]}" --zone "$zone" --rate "$rate" \
    --seconds "$seconds" --outcomes "$out/outcomes-$zone" --seed "1$index" \
    --call summit-pages,GET,/page/1,6 work-orders,POST,/orders,3 summit-pages,GET,/pack/200000,0.2
  callers+=("$last_pid")
  index=$((index + 1))
done
control=http://127.0.0.1:$first_target_port/control
sleep 4
log_event zone_out name=b
"$product" zone out b --platform "$platform" >"$out/zone-out.txt"
request "$control/zone-out?zone=b"
report_step "zone b is out of service"
sleep 6
request "$control/cold?zone=b"
request "$control/zone-in?zone=b"
log_event zone_in name=b
"$product" zone in b --platform "$platform" >"$out/zone-in.txt"
report_step "zone b is in service again, with cold targets"
sleep 3
stopped=$(dispatcher_of summit-pages a)
log_event stop_requested "name=$stopped"
kill -TERM "${host_pid[$stopped]}"
report_step "$stopped received SIGTERM"
sleep 4
killed=$(dispatcher_of work-orders c)
log_event kill "name=$killed"
kill -KILL "${host_pid[$killed]}"
wait "${host_pid[$killed]}" 2>/dev/null || true
report_step "$killed was killed"
wait "${host_pid[$stopped]}" || fail "$stopped did not stop gracefully"
report_step "$stopped stopped"
for pid in "${callers[@]}"; do wait "$pid" || fail "a caller received a wrong response body"; done
report_step "all callers have finished"

"$standins" check --outcomes "${outcomes[@]}" --targets "127.0.0.1:$first_target_port" >"$out/check.txt" || true
unset "host_pid[$stopped]" "host_pid[$killed]"
kill -TERM "${host_pid[@]}"
for name in "${!host_pid[@]}"; do wait "${host_pid[$name]}" || fail "$name did not stop gracefully"; done
"$product" timeline "$out"/host-*.log "$out/operator.log" --html "$out/timeline.html" >"$out/timeline.txt"
sum_of_callers() { cat "$out"/caller-*.log | grep -o "\b$1=[0-9]*" | awk -F= '{ total += $2 } END { print total + 0 }'; }
check_value() { grep -o "\b$1=[a-z0-9]*" "$out/check.txt" | cut -d= -f2; }
result=$(check_value result)
wrong_answers=$(sum_of_callers wrong_answers)
[ "$wrong_answers" = 0 ] || result=failed
echo "demo result=$result calls=$(sum_of_callers calls) answered=$(sum_of_callers answered) not_run=$(sum_of_callers not_run)" \
  "unknown=$(sum_of_callers unknown) lost=$(sum_of_callers lost) wrong_answers=$wrong_answers double_runs=$(check_value double_runs)" \
  "false_not_run=$(check_value false_not_run) missing_runs=$(check_value missing_runs)" \
  "late_zone_work=$(check_value late_zone_work) cold_overruns=$(check_value cold_overruns)" \
  "probe_overruns=$(check_value probe_overruns) seconds=$((SECONDS - begin)) timeline=$out/timeline.html"
[ "$result" = ok ]
