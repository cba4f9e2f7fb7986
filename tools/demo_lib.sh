#!/usr/bin/env bash
# Functions of tools/demo.sh: stand-ins, routers, waiting and reading results.
# Sourced, not run. Needs `work`, a directory, and `bin`, the build directory.

started=()

# Ends what this script started, each by its process id.
stop_all() {
  local pid
  for pid in "${started[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  for pid in "${started[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  started=()
}

# Starts a program in the background; its output goes to $work/NAME.log.
start() { # NAME PROGRAM ARGUMENT...
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>"$work/$name.err" &
  started+=($!)
  pids[$name]=$!
}

# Waits until a line of FILE matches PATTERN, and prints the first such line.
wait_for_line() { # FILE PATTERN SECONDS
  local deadline=$((SECONDS + $3))
  until grep -m1 -E "$2" "$1" 2>/dev/null; do
    if ((SECONDS >= deadline)); then
      echo "no line '$2' in ${1##*/} after $3 s" >&2
      return 1
    fi
    sleep 0.05
  done
}

# The text after "KEY":" in a line of JSON.
json_text() { # KEY
  sed -E "s/.*\"$1\":\"([^\"]*)\".*/\1/"
}

# The number after "KEY": in a line of JSON.
json_number() { # KEY
  sed -E "s/.*\"$1\":(-?[0-9]+).*/\1/"
}

# Starts a stand-in and sets address[NAME].
start_standin() { # NAME ARGUMENT...
  local name=$1
  shift
  start "$name" "$bin/papaya_standin" --name="$name" "$@"
  address[$name]=$(wait_for_line "$work/$name.log" '"ready":true' 10 |
    json_text address)
}

# Writes a router's settings file and starts it; sets address[NAME] for callers
# and operators[NAME].
start_router() { # NAME ZONE SEEDS
  local name=$1
  router_settings "$name" "$2" "$3" >"$work/$name.ini"
  start "$name" "$bin/papayad" --settings="$work/$name.ini"
  address[$name]=127.0.0.1:$(wait_for_line "$work/$name.log" \
    '"role":"callers"' 10 | json_text port)
  operators[$name]=127.0.0.1:$(wait_for_line "$work/$name.log" \
    '"role":"operators"' 10 | json_text port)
}

sha256_of() {
  printf %s "$1" | sha256sum | cut -d' ' -f1
}

# A free port below those that the system gives out by itself.
free_port() {
  local port
  while :; do
    port=$((20000 + RANDOM % 10000))
    if ! (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
      echo "$port"
      return
    fi
  done
}

# The settings of one router: those of settings/skokan.ini, with this run's
# addresses and tokens.
router_settings() { # NAME ZONE SEEDS
  sed -E \
    -e "s/^id = .*/id = $1/" \
    -e "s/^zone = .*/zone = $2/" \
    -e "s/^(caller|operator)_address = .*/\1_address = 127.0.0.1:0/" \
    -e "s/^peer_address = .*/peer_address = 127.0.0.1:${peer_port[$1]}/" \
    -e "s/^seeds = .*/seeds = $3/" \
    -e "s/^operator_token_sha256 = .*/operator_token_sha256 = $(sha256_of "$operator_token")/" \
    -e "s/^address = .*/address = ${address[platform]}/" \
    -e "s/^(; )?span_file = .*/span_file = ${work//\//\\/}\/$1.spans/" \
    -e "s/^shortest_move = .*/shortest_move = 30s/" \
    -e "s/^load_time = .*/load_time = 1s/" \
    -e "s/^drain_time = .*/drain_time = 2s/" \
    -e "s/^chart_directory = .*/chart_directory = ${root//\//\\/}\/charts/" \
    "$root/settings/skokan.ini"
}
