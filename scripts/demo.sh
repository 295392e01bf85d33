#!/usr/bin/env bash
# Installs missing packages, builds, starts eight nodes and stand-ins on loopback, and checks real requests.
# Prints the result of each check; exits with 0 only if all checks passed.
set -euo pipefail
cd "$(dirname "$0")/.."
export BUILD_DIR=${BUILD_DIR:-build}
scripts/build.sh >/dev/null

bin=$BUILD_DIR/bin
work=$(mktemp -d)
log=${DEMO_LOG:-$work/log}
mkdir -p "$log"
. scripts/local_site.sh
trap stop_all EXIT

node_count=8
engine_count=9
order_count=3
zones=(mids-a mids-b mids-c)
failures=0

# check NAME ANSWER COMMAND...: passes if the command succeeds.
check() {
  local name=$1 answer=$2
  shift 2
  if "$@"; then
    echo "passed: $name: ${answer:0:160}"
  else
    echo "FAILED: $name: ${answer:0:400}"
    failures=$((failures + 1))
  fi
}

# call NODE METHOD PATH [CURL OPTION...]: sets $body to the answer and $status to its status.
call() {
  local node=$1 method=$2 path=$3
  shift 3
  status=$(curl -s -N -m 60 -o "$work/body" -w '%{http_code}' -X "$method" "http://$(caller_address_of "$node")$path" "$@") ||
    status="incomplete after $status"
  body=$(cat "$work/body")
}

# call_until_admitted ...: like call, but retries every second after 429, because the token buckets of a new node
# are empty at first.
call_until_admitted() {
  local tries
  for tries in $(seq 20); do
    call "$@"
    if [ "$status" != 429 ]; then return 0; fi
    echo "  (429, retrying)"
    sleep 1
  done
}

chat_body() {
  jq -nc --arg model "$1" --arg text "$2" --argjson stream "$3" --argjson tokens "$4" \
    '{model: $model, stream: $stream, max_tokens: $tokens, messages: [{role: "user", content: $text}]}'
}

# stream_text FILE: prints the text of a complete stream, or nothing if it does not end with [DONE].
stream_text() {
  grep -q '^data: \[DONE\]' "$1" || return 0
  sed -n 's/^data: //p' "$1" | grep -v '^\[DONE\]' | jq -j '.choices[0].delta.content // ""'
}

# expected_text WORD COUNT: prints the text that the engine stand-in generates.
expected_text() {
  local i
  for ((i = 0; i < $2; i++)); do printf '%s-%d ' "$1" "$i"; done
}

# executions BODY: prints how often the order servers executed an order.
executions() {
  local n total=0 count
  for n in $(seq $order_count); do
    count=$(http GET "http://127.0.0.1:$(port_of "order-$n")/standin/executions" |
      jq --arg body "$1" '[.by_body[] | select(.text == $body) | .count] | add // 0')
    total=$((total + count))
  done
  echo "$total"
}

# endpoint_received TEXT: succeeds if an endpoint received the text in a header, path or body, or if a record
# cannot be read.
endpoint_received() {
  local name
  for name in $(seq -f 'engine-%g' $engine_count) $(seq -f 'order-%g' $order_count); do
    http GET "http://127.0.0.1:$(port_of "$name")/standin/requests" >"$work/record" || return 0
    if grep -qF -- "$1" "$work/record"; then return 0; fi
  done
  return 1
}

tool() { "$bin/jasminepath" "$@"; }
create_key() {
  tool key give --team "$1" --platform "$platform" --operator-token-file "$work/token" 2>>"$log/tool.err" |
    sed -n 's/^key: //p'
}

echo "== stand-ins"
site=$work/site
cp -r examples/threadwell "$site"
write_models "$site/assistant/assistant.service.json" >"$work/models.json"
start_standin platform platform
wait_until 20 "the platform stand-in" test -s "$work/platform.port"
platform=127.0.0.1:$(port_of platform)
for n in $(seq $engine_count); do
  fencing=()
  if [ $((n % 3)) -eq 0 ]; then fencing=(--ignore-fencing); fi
  start_standin "engine-$n" engine --models "$work/models.json" --store "$platform" \
    --memory-bytes 51539607552 --on-disk peyote-1 "${fencing[@]}"
done
for n in $(seq $order_count); do start_standin "order-$n" plain; done
for name in $(seq -f 'engine-%g' $engine_count) $(seq -f 'order-%g' $order_count); do
  wait_until 20 "$name" test -s "$work/$name.port"
done
set_endpoint_addresses "$site/assistant/assistant.service.json"
set_endpoint_addresses "$site/orders/orders.service.json"
jq --arg platform "$platform" '.platform_address = $platform' "$site/site.json" >"$work/site.json"
mv "$work/site.json" "$site/site.json"
list_vms $(seq -f 'vm-engine-%g' $engine_count) $(seq -f 'vm-order-%g' $order_count) \
  $(seq -f 'vm-node-%g' $node_count)

echo "== $node_count nodes"
od -An -N16 -tx1 /dev/urandom | tr -d ' \n' >"$work/token"
operator_digest=$(sha256sum <"$work/token" | cut -d' ' -f1)
for n in $(seq $node_count); do start_node "$n" "${zones[$((n % 3))]}"; done
for n in $(seq $node_count); do wait_until 30 "node $n" test -s "$work/node-$n.ports"; done

echo "== check, publish, keys"
answer=$(tool check "$site" 2>&1) && checked=0 || checked=$?
check "check" "$(tail -1 <<<"$answer")" test "$checked" -eq 0
answer=$(tool publish "$site" --platform "$platform" --operator-token-file "$work/token" 2>&1) && published=0 || published=$?
check "publish" "$(tail -1 <<<"$answer")" test "$published" -eq 0
for n in $(seq $node_count); do wait_until 30 "node $n to be ready" node_is_ready "$n"; done
care_key=$(create_key care-homes)
seller_key=$(create_key small-sellers)
check "two keys created" "care-homes ${care_key%%.*}, small-sellers ${seller_key%%.*}" test -n "$care_key" -a -n "$seller_key"

echo "== requests"
json=(-H 'Content-Type: application/json')
call_until_admitted 1 POST /v1/chat/completions "${json[@]}" -H "Authorization: Bearer $care_key" \
  -d "$(chat_body peyote-1 'Write up the pattern daisy' true 24)"
text=$(stream_text "$work/body")
check "streamed pattern, cold model" "$status ${text:-$body}" test "$text" = "$(expected_text daisy 24)"

call_until_admitted 5 POST /v1/chat/completions "${json[@]}" -H "X-Api-Key: $care_key" \
  -d "$(chat_body peyote-1 'Write up the pattern fern' false 8)"
text=$(jq -r '.choices[0].message.content' <<<"$body" 2>/dev/null || true)
check "complete answer from another node" "$status ${text:-$body}" test "$status $text" = "200 $(expected_text fern 8)"

order='{"item":"bead-7","count":12}'
call_until_admitted 2 POST /orders "${json[@]}" -H "Authorization: Bearer $seller_key" -H 'Idempotency-Key: demo-order-1' -d "$order"
first="$status $body"
call_until_admitted 3 POST /orders "${json[@]}" -H "Authorization: Bearer $seller_key" -H 'Idempotency-Key: demo-order-1' -d "$order"
check "order" "$first" test "${first%% *}" = 201
check "the same order again, on another node" "$status $body" test "$status $body" = "$first"
check "executions of the order" "$(executions "$order")" test "$(executions "$order")" = 1

is_refused_not_run() { test "$status" = "$1" -a "$(jq -r .run <<<"$body" 2>/dev/null || jq -r .error.run <<<"$body")" = not_run; }
call 4 POST /v1/chat/completions "${json[@]}" -H "Authorization: Bearer ${care_key%?}0x" \
  -d "$(chat_body peyote-1 'Write up the pattern rose' false 4)"
check "wrong key" "$status $body" is_refused_not_run 401
call 4 POST /orders "${json[@]}" -H "Authorization: Bearer $care_key" -d "$order"
check "key of a team without access to orders" "$status $body" is_refused_not_run 403
call 6 GET /stock/bead-7
check "open route without a key" "$status $body" test "$status" = 200

check "records contain requests" "searched for the body of the order" endpoint_received bead-7
check "no endpoint received a key" "searched $((engine_count + order_count)) records" \
  eval '! endpoint_received "${care_key#*.}" && ! endpoint_received "${seller_key#*.}"'

answer=$(tool key withdraw "${seller_key%%.*}" --platform "$platform" --operator-token-file "$work/token" 2>&1) && withdrawn=0 || withdrawn=$?
check "withdraw a key" "$(tail -1 <<<"$answer")" test "$withdrawn" -eq 0
call 7 POST /orders "${json[@]}" -H "Authorization: Bearer $seller_key" -d "$order"
check "withdrawn key" "$status $body" is_refused_not_run 401

echo "== graceful stop"
curl -s -N -m 60 -o "$work/long" "http://$(caller_address_of 1)/v1/chat/completions" "${json[@]}" \
  -H "Authorization: Bearer $care_key" -d "$(chat_body peyote-1 'Write up the pattern poppy' true 300)" &
stream_pid=$!
pids+=("$stream_pid")
wait_until 20 "the stream to begin" grep -qs 'poppy-0' "$work/long"
for n in $(seq $node_count); do kill -TERM "${pid_of[node-$n]}"; done
wait "$stream_pid" || true
text=$(stream_text "$work/long")
check "stream continues while its node stops" "${#text} characters" test "$text" = "$(expected_text poppy 300)"
for n in $(seq $node_count); do
  wait "${pid_of[node-$n]}" && code=0 || code=$?
  check "node $n stopped" "exit code $code" test "$code" -eq 0
done

overcommits=0
for n in $(seq $engine_count); do
  count=$(http GET "http://127.0.0.1:$(port_of "engine-$n")/standin/violations" | jq .overcommits)
  overcommits=$((overcommits + count))
done
check "orders that would have overcommitted memory" "$overcommits" test "$overcommits" -eq 0

if [ "$failures" -gt 0 ]; then
  echo "demo: $failures checks failed"
  exit 1
fi
echo "demo: all checks passed"
