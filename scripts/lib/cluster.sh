# Starts and stops small clusters of real processes on loopback. Source it,
# then call cluster_begin BUILD_DIR. Every process that was started is ended by
# its process id when the shell exits.

cluster_begin() {
  build=$1
  work=$(mktemp -d)
  # Blocks of 100 ports below the range that the kernel hands out itself.
  port_base=$((21000 + ($$ % 90) * 100))
  log_port=$port_base
  vm_port=$((port_base + 1))
  declare -gA pid_of=()
  trap cluster_end EXIT
}

cluster_end() {
  local name
  for name in "${!pid_of[@]}"; do
    kill -CONT "${pid_of[$name]}" 2>/dev/null
    kill -KILL "${pid_of[$name]}" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$work"
}

# Usage: start NAME PROGRAM [ARGUMENT...]
start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pid_of[$name]=$!
}

signal() { kill "-$1" "${pid_of[$2]}"; }

# Ends a process and waits for it. Returns its exit code.
stop() {
  kill "-${2:-TERM}" "${pid_of[$1]}" 2>/dev/null
  wait "${pid_of[$1]}" 2>/dev/null
  local status=$?
  unset "pid_of[$1]"
  return "$status"
}

# Waits until a command succeeds, at most $1 seconds.
wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$end" ]; then
      echo "gave up waiting for: $*" >&2
      return 1
    fi
    sleep 0.05
  done
}

caller_port() { echo $((port_base + 10 + $1 * 3)); }
peer_port() { echo $((port_base + 11 + $1 * 3)); }
operator_port() { echo $((port_base + 12 + $1 * 3)); }
upstream_port() { echo $((port_base + 40 + $1)); }

start_platform() {
  start log_service "$build/tools/fake_log_service" --port "$log_port" "$@"
  printf '{"vms":[]}' >"$work/vms.json"
  start vm_list "$build/tools/fake_vm_list" --port "$vm_port" --file "$work/vms.json"
  wait_for 10 curl -sf "http://127.0.0.1:$log_port/records?from=1&max=1&wait_ms=0"
  wait_for 10 curl -sf "http://127.0.0.1:$vm_port/vms"
}

# Usage: start_daemon NUMBER FAILURE_DOMAIN
start_daemon() {
  cat >"$work/d$1.settings.json" <<JSON
{"daemon_id": "d$1", "vm": "vm-d$1", "failure_domain": "$2",
 "caller_endpoint": "127.0.0.1:$(caller_port "$1")",
 "peer_endpoint": "127.0.0.1:$(peer_port "$1")",
 "operator_endpoint": "127.0.0.1:$(operator_port "$1")",
 "log_service_endpoint": "127.0.0.1:$log_port",
 "vm_list_endpoint": "127.0.0.1:$vm_port"}
JSON
  start "d$1" "$build/tools/bamboorackd" --settings "$work/d$1.settings.json"
}

# Usage: start_upstream NUMBER [OPTION...]
start_upstream() {
  local number=$1
  shift
  start "u$number" "$build/tools/fake_upstream" --port "$(upstream_port "$number")" \
    --id "u$number" --slots 6 "$@"
}

# Prints an inventory with daemons 0..$1-1, all in failure domain "east", and
# one service "reader" with upstreams 0..$2-1.
print_inventory() {
  local i separator=""
  printf '{"daemons": ['
  for ((i = 0; i < $1; i++)); do
    printf '%s{"id": "d%d", "vm": "vm-d%d", "failure_domain": "east", "peer_endpoint": "127.0.0.1:%d"}' \
      "$separator" "$i" "$i" "$(peer_port "$i")"
    separator=", "
  done
  printf '], "services": [{"name": "reader", "shard_count": 64, "upstreams": ['
  separator=""
  for ((i = 0; i < $2; i++)); do
    printf '%s{"id": "u%d", "vm": "vm-u%d", "endpoint": "127.0.0.1:%d", "failure_domain": "east", "slots": 6}' \
      "$separator" "$i" "$i" "$(upstream_port "$i")"
    separator=", "
  done
  printf ']}]}\n'
}

tool() { "$build/tools/bamboorack" --log "127.0.0.1:$log_port" "$@"; }

publish_inventory() {
  print_inventory "$1" "$2" >"$work/inventory.json"
  tool publish --inventory "$work/inventory.json"
}

# Usage: request DAEMON_NUMBER KEY [CURL_ARGUMENT...]: prints headers and body.
request() {
  local number=$1 key=$2
  shift 2
  curl -s -i -m 5 -H 'X-Rank: lookup' -H 'X-Deadline-Ms: 1000' "$@" \
    "http://127.0.0.1:$(caller_port "$number")/v1/reader/$key"
}

is_served() { request "$1" "$2" | grep -q 'X-Bamboorack-Outcome: done'; }

# Usage: owner_of DAEMON_NUMBER KEY: prints the upstream that serves the key.
owner_of() { request "$1" "$2" | sed -nE 's/.*"upstream":"(u[0-9]+)".*/\1/p'; }

# Prints the number of the daemon that holds the authority, of daemons 0 to 2.
# The status of a daemon is up to 200 ms old, so it may have to be asked again.
authority() {
  local i end=$((SECONDS + 5))
  while [ "$SECONDS" -lt "$end" ]; do
    for i in 0 1 2; do
      curl -s -m 2 "http://127.0.0.1:$(operator_port "$i")/status" |
        grep -qE '"token": ?[1-9]' && echo "$i" && return
    done
    sleep 0.05
  done
}

# Prints the value of a counter of a daemon; 0 if it is not there yet.
counter() {
  curl -s "http://127.0.0.1:$(operator_port "$1")/metrics" |
    awk -v name="$2" '$1 == name { value = $2 } END { print value + 0 }'
}
