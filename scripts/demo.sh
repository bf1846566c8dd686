#!/usr/bin/env bash
# Starts a small deployment on loopback, sends model requests and service calls, and prints the results.
# Usage: demo.sh [BUILD]. The exit code is 0 only if every request was answered or refused, with none lost or duplicated.
# DEMO_KEEP=1 keeps the deployment running after the demo until Ctrl-C, to try out commands.
set -euo pipefail
build=${1:-build}
cd "$(dirname "$0")/.."
bin=$build/bin
work=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop_all EXIT

start() {  # NAME COMMAND...: starts a background process and logs its output
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
}

# The ports must lie below the ephemeral range: connections that were closed shortly before may still hold ports there.
ports=30
first_ephemeral=$(cut -f1 /proc/sys/net/ipv4/ip_local_port_range)
base=${DEMO_PORT:-$((10000 + RANDOM % (first_ephemeral - 10000 - ports)))}
if [ $((base + ports)) -gt "$first_ephemeral" ]; then
  echo "ports $base to $((base + ports)) overlap the ephemeral ports, which start at $first_ephemeral: choose a lower DEMO_PORT"
  exit 2
fi
platform=127.0.0.1:$base
secret=demo-secret

echo "== 1. fake platform on $platform"
start platform "$bin/fake-platform" --listen "$platform"

echo "== 2. endpoints: two prefill, two decode, one plain service, each with an agent"
zones=(sofia-a sofia-b sofia-c)
next=10
endpoint() {  # NAME ROLE POOL ZONE
  local name=$1 role=$2 pool=$3 zone=$4
  local target=127.0.0.1:$((base + next)) agent=127.0.0.1:$((base + next + 1))
  next=$((next + 2))
  if [ "$role" = service ]; then
    start "$name" "$bin/fake-service" --listen "$target" --name "$name"
  else
    start "$name" "$bin/fake-engine" --listen "$target" --name "$name" --roles "$role"
  fi
  cat >"$work/$name.ini" <<INI
[process]
name = $name
zone = $zone
[listen]
channel = $agent
[endpoint]
kind = $([ "$role" = service ] && echo service || echo engine)
$([ "$role" = service ] && echo service || echo engine) = $target
[platform]
table_servers = $platform
[peers]
secret = $secret
[trace]
file = $work/traces.jsonl
INI
  start "$name-agent" "$bin/persimmon-agent" --config "$work/$name.ini"
  cat >"$work/endpoint-$name.json" <<JSON
{"kind":"endpoint","name":"$name","schema":2,"pool":"$pool","roles":["$role"],"address":"$agent","zone":"$zone"}
JSON
}
endpoint prefill-1 prefill savetnik-llm sofia-a
endpoint prefill-2 prefill savetnik-llm sofia-b
endpoint decode-1 decode savetnik-llm sofia-a
endpoint decode-2 decode savetnik-llm sofia-c
endpoint kurs-app-1 service kurs-app sofia-b

echo "== 3. router"
http=127.0.0.1:$((base + 1))
cat >"$work/router.ini" <<INI
[process]
name = router-1
zone = ${zones[0]}
[listen]
http = $http
channel = 127.0.0.1:$((base + 2))
datagram = 127.0.0.1:$((base + 3))
[platform]
table_servers = $platform
[peers]
secret = $secret
[trace]
file = $work/traces.jsonl
INI
"$bin/persimmon-router" --config "$work/router.ini" --check
start router "$bin/persimmon-router" --config "$work/router.ini"

echo "== 4. records"
api_key=demo-key
key_hash=$(printf %s "$api_key" | sha256sum | cut -d' ' -f1)
cat >"$work/pool-model.json" <<JSON
{"kind":"pool","name":"savetnik-llm","schema":2,"type":"model","targets":{"first_token_ms":1300,"token_interval_ms":58}}
JSON
cat >"$work/pool-service.json" <<JSON
{"kind":"pool","name":"kurs-app","schema":1,"type":"service","path_prefix":"/kurs"}
JSON
cat >"$work/model.json" <<JSON
{"kind":"model","name":"savetnik","schema":2,"pool":"savetnik-llm","versions":["2026-11"]}
JSON
cat >"$work/account.json" <<JSON
{"kind":"account","name":"governors","schema":2,"api_key_sha256":"$key_hash","limits":{"tokens_per_second":0,"burst_tokens":0,"connections":0}}
JSON
ctl() { "$bin/persimmonctl" --platform "$platform" --secret "$secret" "$@"; }
ctl put "$work"/pool-*.json "$work/model.json" "$work/account.json" "$work"/endpoint-*.json
revision=$(ctl list --json | python3 -c 'import json,sys; print(json.load(sys.stdin)["revision"])')
wait_ready() {
  for _ in $(seq 200); do
    if curl -sf "http://$http/readyz" >/dev/null; then return 0; fi
    sleep 0.1
  done
  echo "the router did not become ready"
  return 1
}
wait_ready
ctl wait "$revision" --timeout_ms 20000
ctl status

echo "== 5. one request, streamed"
curl -sN "http://$http/v1/completions" -H "Authorization: Bearer $api_key" -H "X-Request-Id: demo-request" \
  -d '{"model":"savetnik","prompt":"May a governor vote on a school budget by proxy ?","max_tokens":8,"stream":true}'

echo "== 6. load of model requests and service calls"
rc=0
"$bin/persimmon-load" --targets "$http" --api_key "$api_key" --model savetnik --service_path /kurs/quiz \
  --service_share 0.4 --rate 30 --duration_s 10 --prompt_tokens 20-3000 >"$work/load.txt" 2>"$work/load.log" || rc=$?
cat "$work/load.txt" | sed '$d'

echo "== 7. trace of the request demo-request"
sleep 1
python3 scripts/print_trace.py "$work/traces.jsonl" demo-request
tail -1 "$work/load.txt"
if [ "$rc" -ne 0 ]; then tail -20 "$work"/*.log; fi
if [ -n "${DEMO_KEEP:-}" ]; then
  echo "the deployment keeps running: send requests to http://$http with API key $api_key; settings and logs are in $work"
  echo "example: $bin/persimmonctl --platform $platform --secret $secret status"
  while true; do sleep 3600 & wait $!; done
fi
exit "$rc"
