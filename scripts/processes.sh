# Functions for scripts that run processes on loopback. Sourced by the scripts.

out=$(mktemp -d)
started=()

# Kills the processes that the script started, by process id, and removes its files.
cleanup() {
  for pid in "${started[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$out"
}
trap cleanup EXIT

# Starts a command in the background and sets last_pid to its process id.
# Usage: start LOG_NAME COMMAND...
start() {
  local log=$1
  shift
  "$@" >"$out/$log" 2>&1 &
  last_pid=$!
  started+=("$last_pid")
}

# Prints the processor time of a process in clock ticks. The process name must not contain a space.
processor_ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
# Prints the resident memory of a process in kB.
resident_kb() { awk '/^VmRSS/ { print $2 }' "/proc/$1/status"; }

# Prints the settings of an entry host. The last four arguments are ports.
# Usage: host_settings NAME ZONE REGION PLATFORM CALLS PEERS METRICS
host_settings() {
  cat <<TOML
name = "$1"
zone = "$2"
region = "$3"
keep_seconds = 2
stop_seconds = 20
[listen]
calls = "127.0.0.1:$5"
peers = "127.0.0.1:$6"
metrics = "127.0.0.1:$7"
[platform]
address = "127.0.0.1:$4"
[[peers.keys]]
id = "bench"
secret = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
[log]
file = "$out/$1.log"
TOML
}
