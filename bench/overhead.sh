#!/usr/bin/env bash
# Measures the overhead of a node: sends the same streamed calls directly to the engine stand-in and through one node,
# with 1, 32 and 512 concurrent streams, and samples the node's memory. Runs on loopback, takes about a minute and
# needs a build. Prints one line per run.
#
#   bench/overhead.sh
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BUILD_DIR:-build}/bin
work=$(mktemp -d)
log=${BENCH_LOG:-$work/log}
mkdir -p "$log"
. scripts/local_site.sh
trap stop_all EXIT

site=$work/site
mkdir -p "$site/assistant"
jq '.teams = [{id: "bench", rate_per_second: 100000000, burst: 100000000, weight: 1}] | .objectives = [] |
    .weights = {cold_start_second: 1000, idle_accelerator_hour: 0.001}' \
  examples/threadwell/site.json >"$site/site.json"
jq '.teams = ["bench"] | .endpoint_concurrency = 1024 | .queue_limit = 1024 | .endpoints = [.endpoints[0]] |
    .models = [.models[0]] | .models[0].adapters = []' \
  examples/threadwell/assistant/assistant.service.json >"$site/assistant/assistant.service.json"
model=$(jq -r '.models[0].id' "$site/assistant/assistant.service.json")
write_models "$site/assistant/assistant.service.json" >"$work/models.json"

start_standin platform platform
wait_until 20 "the platform stand-in" test -s "$work/platform.port"
platform=127.0.0.1:$(port_of platform)
start_standin engine-1 engine --models "$work/models.json" --memory-bytes 51539607552 --on-disk "$model" \
  --max-running 1024 --first-token-ms 20 --per-token-ms 40
wait_until 20 "the engine" test -s "$work/engine-1.port"
set_endpoint_addresses "$site/assistant/assistant.service.json"
jq --arg platform "$platform" '.platform_address = $platform' "$site/site.json" >"$work/site.json"
mv "$work/site.json" "$site/site.json"
list_vms vm-engine-1 vm-node-1
od -An -N16 -tx1 /dev/urandom | tr -d ' \n' >"$work/token"
operator_digest=$(sha256sum <"$work/token" | cut -d' ' -f1)
start_node 1 mids-a
wait_until 30 "the node" test -s "$work/node-1.ports"
"$bin/jasminepath" publish "$site" --platform "$platform" --operator-token-file "$work/token" >"$log/publish.out" 2>&1
wait_until 30 "the node to be ready" node_is_ready 1
key=$("$bin/jasminepath" key give --team bench --platform "$platform" --operator-token-file "$work/token" 2>>"$log/tool.err" |
  sed -n 's/^key: //p')

# Loads the model, so that none of the runs below is a cold start; the weights above keep it loaded.
"$bin/loadgen" --target "$(caller_address_of 1)" --key "$key" --model "$model" --label warm_up
for streams in 1 32 512; do
  calls=$((streams == 1 ? 20 : 4))
  for round in 1 2; do
    "$bin/loadgen" --target "127.0.0.1:$(port_of engine-1)" --model "$model" --streams $streams --calls $calls \
      --label "direct_$round"
    "$bin/loadgen" --target "$(caller_address_of 1)" --key "$key" --model "$model" --streams $streams --calls $calls \
      --process "${pid_of[node-1]}" --label "node_$round"
  done
done
