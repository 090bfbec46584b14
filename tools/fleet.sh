# Functions for scripts that run a small fleet on loopback. Source it after
# `cd` to the repository. Every process started here is ended by its id.
set -euo pipefail
bin=$(realpath "${BUILD_DIR:-build}")
work=$(mktemp -d)
declare -A pid_of=()

stop_all() {
  for pid in "${pid_of[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  for pid in "${pid_of[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for ((i = 0; i < 100; i++)); do
    local left=0
    for pid in "${pid_of[@]}"; do kill -0 "$pid" 2>/dev/null && left=1; done
    [ $left = 0 ] && break
    sleep 0.1
  done
  for pid in "${pid_of[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop_all EXIT

step() { printf '\n== %s\n' "$*"; }
fail() { printf 'FAILED: %s\n' "$*" >&2; exit 1; }
# wait_for SECONDS COMMAND...: runs COMMAND until it succeeds.
wait_for() {
  local tries=$(($1 * 10)); shift
  for ((i = 0; i < tries; i++)); do "$@" >/dev/null 2>&1 && return 0; sleep 0.1; done
  fail "did not come about: $*"
}
# start NAME COMMAND...: starts a process; its standard output goes to a file.
start() {
  local name=$1; shift
  : >"$work/$name.out"
  "$@" >"$work/$name.out" 2>>"$work/$name.log" &
  pid_of[$name]=$!
  wait_for 10 test -s "$work/$name.out"
}
# address NAME KEY: the address that a process printed behind KEY.
address() { awk -v key="$2" '$1 == key {print $2}' "$work/$1.out"; }
# start_instance I [PORTS]: starts instance entry-I.
start_instance() {
  cat >"$work/$1.json" <<JSON
{"name": "entry-$1", "failure_domain": "domain-$1", "entry": "${2:-127.0.0.1:0}",
 "operators": "127.0.0.1:0", "peer": "127.0.0.1:0", "platform": "$platform",
 "log_level": "${LOG_LEVEL:-warn}"}
JSON
  "$bin/jackdawd" --settings "$work/$1.json" --check-settings >/dev/null
  start "entry$1" "$bin/jackdawd" --settings "$work/$1.json"
}
ctl() { "$bin/jackdawctl" "$@"; }
# new_key ID WORKSPACE: creates a key and prints it.
new_key() { ctl key create "$1" --workspace "$2" --json | sed 's/.*"key":"\([^"]*\)".*/\1/'; }
# in_force VERSION COUNT: COUNT instances have VERSION in force.
in_force() { [ "$(ctl status --json | grep -o "\"config_version\":$1[,}]" | wc -l)" = "$2" ]; }
# faults ADDRESS JSON: switches faults of a stand-in.
faults() { curl -sf -X POST "http://$1/standin/faults" -d "$2" >/dev/null; }
# figure FILE NAME: a number of a JSON report.
figure() { grep -o "\"$2\":[0-9.eE+-]*" "$1" | head -1 | cut -d: -f2; }
