# Functions that start a site on loopback. Sourced by scripts/demo.sh and bench/overhead.sh, which set `bin`, `work`
# and `log` and call stop_all on exit. It ends the processes started here by their process ids.
#
# Processes have the names that examples/README.md gives them, but listen on free ports.

pids=()
declare -A pid_of=()

stop_all() {
  local status=$? pid
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
  exit "$status"
}

# start NAME COMMAND...: runs the command in the background.
start() {
  local name=$1
  shift
  "$@" >"$log/$name.out" 2>"$log/$name.err" &
  pids+=($!)
  pid_of[$name]=$!
}

# wait_until SECONDS WHAT COMMAND...: repeats the command until it succeeds.
wait_until() {
  local end=$((SECONDS + $1)) what=$2
  shift 2
  until "$@"; do
    if [ "$SECONDS" -ge "$end" ]; then
      echo "timed out waiting for $what" >&2
      return 1
    fi
    sleep 0.05
  done
}

# start_standin NAME KIND [OPTION...]: starts a stand-in, which writes its port to $work/NAME.port.
start_standin() {
  local name=$1 kind=$2
  shift 2
  start "$name" "$bin/standin" "$kind" --port-file "$work/$name.port" "$@"
}

port_of() { cat "$work/$1.port"; }

# http METHOD URL [BODY]: prints the body; fails on a status of 400 or more.
http() {
  curl -sf -m 10 -X "$1" "$2" ${3:+-H 'Content-Type: application/json' -d "$3"}
}

# write_models SERVICE_FILE: prints the model file of the engine stand-ins.
write_models() {
  jq '{models: [.models[] | {model: .id, weights_bytes, memory_ms: .memory_load_ms,
                             disk_ms: .disk_load_ms, remote_ms: .remote_load_ms}]}' "$1"
}

# set_endpoint_addresses SERVICE_FILE: sets each endpoint's address to the port of the stand-in with the endpoint's id.
set_endpoint_addresses() {
  local file=$1 id
  for id in $(jq -r '.endpoints[].id' "$file"); do
    jq --arg id "$id" --arg address "127.0.0.1:$(port_of "$id")" \
      '(.endpoints[] | select(.id == $id) | .address) = $address' "$file" >"$file.placed"
    mv "$file.placed" "$file"
  done
}

# list_vms VM...: registers the VMs as live with the platform stand-in.
list_vms() {
  jq -nc '{vms: [$ARGS.positional[] | {vm: ., state: "live"}]}' --args "$@" >"$work/vms.json"
  http POST "http://$platform/standin/vms" "$(cat "$work/vms.json")" >/dev/null
}

# start_node N ZONE: starts node N on free ports; it writes its addresses to $work/node-N.ports.
start_node() {
  local name=node-$1
  jq -n --arg vm "vm-$name" --arg zone "$2" --arg platform "$platform" \
    --arg token "$operator_digest" --arg ports "$work/$name.ports" \
    '{vm: $vm, zone: $zone, region: ($zone | sub("-[a-z]$"; "")), caller_listen: "127.0.0.1:0",
      admin_listen: "127.0.0.1:0", mesh_listen: "127.0.0.1:0", platform_address: $platform,
      operator_token_sha256: $token, port_file: $ports, limits: {lame_duck_ms: 500}}' >"$work/$name.json"
  start "$name" "$bin/jasminepathd" --settings "$work/$name.json"
}

caller_address_of() { jq -r .caller "$work/node-$1.ports"; }

node_is_ready() { curl -sf -m 2 -o /dev/null "http://$(caller_address_of "$1")/readyz"; }
