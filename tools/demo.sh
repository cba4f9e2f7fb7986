#!/usr/bin/env bash
# Runs a complete fleet on the loopback interface: stand-ins for three model
# engines, two booking services and the platform, three routers, mixed traffic,
# and a release note that moves the traffic to a new version. Installs missing
# packages and builds the programs first.
#
# Usage: tools/demo.sh [--bad_version] [--skip_build] [--keep]
#   --bad_version  the new version fails 30% of its requests; the demo succeeds
#                  only if the note is rolled back
#   --skip_build   uses the programs in build/ without building them
#   --keep         keeps the directory with all logs
#
# Exits with 0 only if no response was wrong or cut, no booking ran more than
# once or contrary to the outcome that its caller received, the note ended in
# the expected state and, without --bad_version, all responses were complete.
# The last line gives the result.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
bin=$root/build
bad=0 skip_build=0 keep=0
for argument in "$@"; do
  case $argument in
    --bad_version) bad=1 ;;
    --skip_build) skip_build=1 ;;
    --keep) keep=1 ;;
    *) echo "usage: tools/demo.sh [--bad_version] [--skip_build] [--keep]" >&2
      exit 2 ;;
  esac
done

work=$(mktemp -d "${TMPDIR:-/tmp}/papaya-demo.XXXXXX")
declare -A pids address operators peer_port
source "$root/tools/demo_lib.sh"
operator_token=demo-operators
caller_token=skokan-hire-desk
reason="stopped early"
step_count=0

finish() {
  local status=$?
  stop_all
  if ((keep)); then
    echo "logs: $work"
  else
    rm -rf "$work"
  fi
  if ((status != 0)); then
    echo "demo: FAILED $reason"
  fi
  exit "$status"
}
trap finish EXIT
trap 'reason="interrupted"; exit 130' INT TERM

fail() {
  reason=$1
  exit 1
}

step() {
  printf '%2d. %s (%s s)\n' $((++step_count)) "$1" "$SECONDS"
}

build() {
  "$root/tools/install.sh"
  cmake -S "$root" -B "$bin" -G Ninja >/dev/null
  cmake --build "$bin" --target papayad papayactl papaya_standin papaya_load -- \
    --quiet
}

start_upstreams() {
  local engine_flags=(--role=engine --first_version=v1 --load_ms=300)
  if ((bad)); then
    engine_flags+=(--bad_version=v2 --bad_failing_permille=300)
  fi
  start_standin platform --role=platform \
    --vms=vm-r1,vm-r2,vm-r3,vm-e1,vm-e2,vm-e3,vm-b1,vm-b2
  start_standin engine-1 "${engine_flags[@]}" --seed=1 --token_ms=2
  start_standin engine-2 "${engine_flags[@]}" --seed=2 --token_ms=4
  start_standin engine-3 "${engine_flags[@]}" --seed=3 --token_ms=6
  start_standin booking-1 --role=service
  start_standin booking-2 --role=service --service_ms=15
}

start_routers() {
  local name
  for name in r1 r2 r3; do
    peer_port[$name]=$(free_port)
  done
  local seeds="127.0.0.1:${peer_port[r1]}, 127.0.0.1:${peer_port[r2]}"
  start_router r1 sk-west-a "$seeds"
  start_router r2 sk-west-b "$seeds"
  start_router r3 sk-west-c "$seeds"
}

wait_for_routers() {
  local name
  for name in r1 r2 r3; do
    wait_for_line "$work/$name.log" '"name":"router_ready"' 60 >/dev/null ||
      fail "router $name did not get ready"
  done
}

ctl() {
  "$bin/papayactl" \
    --router="${operators[r1]},${operators[r2]},${operators[r3]}" \
    --token_file="$work/operator_token" "$@"
}

# Prints the UTC time SECONDS from now in the format of release notes.
time_in() { # SECONDS
  date -u -d "+$1 seconds" +%Y-%m-%dT%H:%M:%SZ
}

# Prints the section of an upstream for a release note.
upstream_section() { # NAME VM ZONE KIND POOL GENERATION SLOTS
  cat <<EOF

[upstream $1]
vm = $2
address = ${address[$1]}
zone = $3
kind = $4
pool = $5
version = v1
generation = $6
slots = $7
checks_fencing = yes
refusal_means_not_run = yes
EOF
}

write_first_note() {
  {
    printf '[note]\nsummary = First fleet\ntraffic_by = %s\n' "$(time_in 300)"
    upstream_section engine-1 vm-e1 sk-west-a model_engine assistant g3 16
    upstream_section engine-2 vm-e2 sk-west-b model_engine assistant g2 16
    upstream_section engine-3 vm-e3 sk-west-c model_engine assistant g1 16
    upstream_section booking-1 vm-b1 sk-west-a plain_service booking g1 32
    upstream_section booking-2 vm-b2 sk-west-b plain_service booking g1 32
  } >"$work/first_fleet.ini"
}

write_move_note() {
  printf '[note]\nsummary = The assistant moves to v2\ntraffic_by = %s\nbake = 15s\n\n[pool assistant]\nversion = v2\n' \
    "$(time_in 150)" >"$work/move_to_v2.ini"
}

# Waits up to SECONDS until a note has ended and prints its state.
await_note() { # NOTE SECONDS
  ctl --watch_seconds="$2" note watch "$1" >"$work/watch-$1.txt" \
    2>"$work/watch-$1.err" || true
  ctl --json note show "$1" | json_text state
}

start_load() {
  local routers="${address[r1]},${address[r2]},${address[r3]}"
  start load "$bin/papaya_load" --routers="$routers" --token="$caller_token" \
    --ledgers="${address[booking-1]},${address[booking-2]}" \
    --seed=7 --seconds=400 --chat_rate=40 --report_rate=2 --booking_rate=10
}

# Stops the load, which first finishes the calls in progress, and sets
# load_status to its exit status.
stop_load() {
  kill "${pids[load]}"
  load_status=0
  wait "${pids[load]}" || load_status=$?
}

print_table() {
  local summary=$1 tier
  printf '\n%-12s %7s %7s %8s %8s %7s %6s %4s\n' tier sent whole not_run \
    unknown failed wrong cut
  for tier in critical interactive standard; do
    local row
    row=$(grep -oE "\"$tier\":\{[^}]*\}" <<<"$summary")
    printf '%-12s %7s %7s %8s %8s %7s %6s %4s\n' "$tier" \
      "$(json_number sent <<<"$row")" "$(json_number whole <<<"$row")" \
      "$(json_number not_run <<<"$row")" "$(json_number unknown <<<"$row")" \
      "$(json_number failed <<<"$row")" "$(json_number wrong <<<"$row")" \
      "$(json_number cut <<<"$row")"
  done
  printf '\nanswers by version, for each tenth of the run\n'
  print_versions "$summary"
}

print_versions() {
  grep -oE '\{"second":[^}]*\}' <<<"$1" | awk '
    function count(name,  start) {
      start = match($0, "\"" name "\":[0-9]+")
      return start ? substr($0, RSTART + length(name) + 3, \
                         RLENGTH - length(name) - 3) + 0 : 0
    }
    { second[NR] = count("second"); v1[NR] = count("v1"); v2[NR] = count("v2") }
    END {
      seconds_per_row = int((NR + 9) / 10)
      printf "%8s %7s %7s\n", "second", "v1", "v2"
      for (i = 1; i <= NR; i += seconds_per_row) {
        sum_v1 = sum_v2 = 0
        for (j = i; j < i + seconds_per_row && j <= NR; ++j) {
          sum_v1 += v1[j]
          sum_v2 += v2[j]
        }
        printf "%8d %7d %7d\n", second[i], sum_v1, sum_v2
      }
    }'
}

if ((!skip_build)); then
  step "install and build"
  build
fi
printf '%s' "$operator_token" >"$work/operator_token"
step "start stand-ins: 3 engines, 2 booking services, the platform"
start_upstreams
step "start 3 routers on an empty fleet"
start_routers
step "submit the release note that brings in the first fleet"
write_first_note
ctl note submit first_fleet "$work/first_fleet.ini" ||
  fail "the first release note was refused"
first_state=$(await_note first_fleet 60) || true
[[ $first_state == "done" ]] ||
  fail "the first release note ended as '$first_state', not as 'done'"
wait_for_routers
step "send mixed traffic over all routers"
start_load
step "submit the release note that moves the assistant from v1 to v2"
write_move_note
ctl note submit move_to_v2 "$work/move_to_v2.ini" ||
  fail "the second release note was refused"
move_state=$(await_note move_to_v2 180) || true
cat "$work/watch-move_to_v2.txt"
step "stop the traffic and count"
stop_load
summary=$(grep '"by_tier"' "$work/load.log") || fail "no summary of the load"
ledger=$(grep '"bookings_once"' "$work/load.log") || fail "no check of ledgers"
print_table "$summary"
echo
ctl note list
step "stop the routers gracefully"
for name in r1 r2 r3; do
  kill "${pids[$name]}"
done
for name in r1 r2 r3; do
  wait "${pids[$name]}" || fail "router $name did not end cleanly"
done

expected_state="done"
((!bad)) || expected_state=taken_back
once=$(json_number bookings_once <<<"$ledger")
calls=$(json_number calls <<<"$summary")
((load_status != 3)) || fail "a booking was not run as its caller was told: $ledger"
((once > 0)) || fail "no booking was made"
for kind in wrong cut; do
  ! grep -qE "\"$kind\":[1-9]" <<<"$summary" || fail "some answers were $kind"
done
if ((!bad)); then
  ((load_status == 0)) || fail "not every answer was whole"
fi
[[ $move_state == "$expected_state" ]] ||
  fail "the note ended as '$move_state', not as '$expected_state'"
echo "demo: ok $calls calls, $once bookings run once each, note $move_state, $SECONDS s"
