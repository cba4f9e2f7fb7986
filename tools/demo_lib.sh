#!/usr/bin/env bash
# Functions of tools/demo.sh that start stand-ins and routers, wait for log
# lines and read results. To be sourced. The caller sets `root` (the
# repository), `work` (a directory for logs and settings), `bin` (the build
# directory) and `operator_token`, and declares the associative arrays `pids`,
# `address`, `operators` and `peer_port`.

started_pids=()

# Terminates all processes that this script started and waits until they have
# ended.
stop_all() {
  local pid
  for pid in "${started_pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  for pid in "${started_pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  started_pids=()
}

# Starts a program in the background and sets pids[NAME]. Writes its output to
# $work/NAME.log and its errors to $work/NAME.err.
start() { # NAME PROGRAM ARGUMENT...
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>"$work/$name.err" &
  started_pids+=($!)
  pids[$name]=$!
}

# Waits until a line of FILE matches PATTERN and prints the first such line.
# Fails after SECONDS.
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

# Prints the string value of KEY in the line of JSON on standard input.
json_text() { # KEY
  sed -E "s/.*\"$1\":\"([^\"]*)\".*/\1/"
}

# Prints the integer value of KEY in the line of JSON on standard input.
json_number() { # KEY
  sed -E "s/.*\"$1\":(-?[0-9]+).*/\1/"
}

# Starts a stand-in, waits until it is ready and sets address[NAME].
start_standin() { # NAME ARGUMENT...
  local name=$1
  shift
  start "$name" "$bin/papaya_standin" --name="$name" "$@"
  address[$name]=$(wait_for_line "$work/$name.log" '"ready":true' 10 |
    json_text address)
}

# Writes the settings file of a router, starts the router and waits until it
# listens. Sets address[NAME], the address for callers, and operators[NAME], the
# address for operators.
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

# Prints a free port below the system's range of ephemeral ports.
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

# Prints the settings of a router: settings/skokan.ini with the addresses, token
# and directories of this run, and with shorter times for release notes.
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
