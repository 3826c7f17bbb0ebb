#!/usr/bin/env bash
# Measures what an entry costs a request: the latency of idempotent and of
# keyed requests through one plain entry, and of the same load sent straight to
# a fake upstream (the baseline of the same run), and the processor time of the
# entry per request.
#   samples/request_cost.sh BUILD_DIR [CONCURRENCY...]   (default: 1 8)
# REQUESTS (4000) is the number of requests of each row, ROUNDS (3) how often
# the rows are repeated.
set -euo pipefail
source "$(dirname "$0")/cluster.sh"
shift
readonly LEVELS=("${@:-}")
readonly REQUESTS=${REQUESTS:-4000}
readonly ROUNDS=${ROUNDS:-3}
readonly TICKS_PER_S=$(getconf CLK_TCK)

readonly UPSTREAMS=4
readonly UPSTREAM_PORT=18090
readonly ENTRY_INDEX=3 # the first plain entry, in zone-a
readonly ENTRY=${ADDRESSES[$ENTRY_INDEX]}:$HTTP_PORT
# An upstream of its own, that no entry uses, is called directly.
readonly DIRECT=127.77.1.$((UPSTREAMS + 1)):$UPSTREAM_PORT

# Processor time of the entry in ticks.
entry_ticks() {
  awk '{ print $14 + $15 }' "/proc/${daemon_pids[$ENTRY_INDEX]}/stat"
}
forwards() {
  grep -c 'what="*forward' "$WORK/${NAMES[$ENTRY_INDEX]}.err" || true
}

put_document() {
  {
    printf '[owners.booking]\nweight = 1\n[sections.booking]\n'
    printf 'owner = "booking"\n'
    token_tables
  } > "$WORK/platform.toml"
  printf '[services.holds]\ntimeout_ms = 10000\n' > "$WORK/booking.toml"
  platform document put platform "$WORK/platform.toml" --base 0 --wait
  operator document put booking "$WORK/booking.toml" --base 0 --wait
}

# start_upstream NUMBER SERVICE
start_upstream() {
  "$SAMPLES/fake_upstream" "${ENTRIES[@]}" --token "$WORKER_TOKEN" \
    --id "upstream-$1" --service "$2" --zone zone-a \
    --address "127.77.1.$1" --port "$UPSTREAM_PORT" \
    --ledger "$WORK/upstreams.ledger" \
    > "$WORK/upstream-$1.out" 2> "$WORK/upstream-$1.err" &
  sample_pids+=($!)
}

# load ROUND WAY MODE CONCURRENCY ADDRESS: prints one row.
load() {
  local round=$1 way=$2 mode=$3 concurrency=$4 address=$5
  local before began took ticks hops out code=0
  hops=$(forwards)
  before=$(entry_ticks)
  began=$(date +%s%N)
  out=$("$SAMPLES/caller" --entry "$address" --token "$CALLER_TOKEN" \
    --service holds --mode "$mode" --requests "$REQUESTS" \
    --concurrency "$concurrency" --key-prefix "$round-$way-$mode-$concurrency" \
    --ledger "$WORK/told.ledger") || code=$?
  took=$((($(date +%s%N) - began) / 1000))
  ticks=$(($(entry_ticks) - before))
  # Answers of the upstream itself tell no outcome: exit code 3.
  [ "$code" = 0 ] || [ "$way" = direct ] || fail "$way $mode: $out"
  printf 'round=%s way=%s mode=%s concurrency=%s per_s=%d entry_us=%d forwards=%d %s\n' \
    "$round" "$way" "$mode" "$concurrency" "$((REQUESTS * 1000000 / took))" \
    "$((ticks * 1000000 / TICKS_PER_S / REQUESTS))" "$(($(forwards) - hops))" \
    "$(echo "$out" | tr '\n' ' ')"
}

main() {
  local levels=("${LEVELS[@]}") n round
  [ -n "${levels[0]}" ] || levels=(1 8)
  write_settings
  start_daemons
  form_cluster > /dev/null
  put_document > /dev/null
  for n in $(seq "$UPSTREAMS"); do
    start_upstream "$n" holds
  done
  start_upstream "$((UPSTREAMS + 1))" direct
  wait_until "the upstreams are live" has_live upstreams "$((UPSTREAMS + 1))"
  load 0 entry idempotent 8 "$ENTRY" > /dev/null # so that slots come
  for round in $(seq "$ROUNDS"); do
    for n in "${levels[@]}"; do
      load "$round" direct idempotent "$n" "$DIRECT"
      load "$round" entry idempotent "$n" "$ENTRY"
      load "$round" entry keyed "$n" "$ENTRY"
    done
  done
  stop "daemons" "${daemon_pids[@]}"
  daemon_pids=()
}

main
