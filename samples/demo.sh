#!/usr/bin/env bash
# Starts a small cluster on loopback addresses and shows the whole path:
# three control replicas in three zones, two plain entry hosts, three workers,
# three upstreams; a document, a batch job, a gang, idempotent and
# non-idempotent requests, the report, and a graceful stop.
#   samples/demo.sh BUILD_DIR
# Exits 0 only if every step worked. DEMO_KEEP=1 keeps the working folder.
set -euo pipefail
source "$(dirname "$0")/cluster.sh"

write_document() {
  cat > "$WORK/platform.toml" << EOF
[owners.booking]
weight = 3
[owners.planning]
weight = 1
quota = { milli_cpus = 64000, memory_mib = 131072, accelerators = 8 }
[sections.booking]
owner = "booking"
[sections.planning]
owner = "planning"
EOF
  token_tables >> "$WORK/platform.toml"
  cat > "$WORK/booking.toml" << EOF
[services.holds]
priority = "urgent"
timeout_ms = 10000
EOF
}

put_document() {
  write_document
  platform document put platform "$WORK/platform.toml" --base 0 --wait ||
    fail "put of the platform section"
  operator document put booking "$WORK/booking.toml" --base 0 --wait ||
    fail "put of the team's section"
  # A second operator with the same base version must lose.
  local code=0
  operator document put booking "$WORK/booking.toml" --base 0 || code=$?
  [ "$code" = 5 ] || fail "equal versions: exit code $code instead of 5"
  operator document get
}

start_samples() {
  local i
  for i in 0 1 2; do
    "$SAMPLES/fake_worker" "${ENTRIES[@]}" --token "$WORKER_TOKEN" \
      --id "worker-$i" --zone "${ZONES[$i]}" --rack "rack-$i" \
      --period-ms 200 --ledger "$WORK/workers.ledger" \
      > "$WORK/worker-$i.out" 2> "$WORK/worker-$i.err" &
    sample_pids+=($!)
    "$SAMPLES/fake_upstream" "${ENTRIES[@]}" --token "$WORKER_TOKEN" \
      --id "upstream-$i" --service holds --zone "${ZONES[$i]}" \
      --delay-ms 2 --ledger "$WORK/upstreams.ledger" \
      > "$WORK/upstream-$i.out" 2> "$WORK/upstream-$i.err" &
    sample_pids+=($!)
  done
  wait_until "three workers are live" has_live workers 3
  wait_until "three upstreams are live" has_live upstreams 3
}

job_is_done() { [ "$(operator jobs get "$1" --json | job_state)" = done ]; }

# The job's own state; states of tasks are indented further.
job_state() { grep -E '^  "state":' | sed 's/.*: *"//; s/".*//'; }

run_jobs() {
  operator jobs submit batch-1 --tasks 12 --milli-cpus 2000 \
    --payload '{"run_ms":200}' || fail "submit of the batch job"
  operator jobs submit gang-1 --kind gang --tasks 6 --milli-cpus 4000 \
    --payload '{"run_ms":300}' || fail "submit of the gang"
  wait_until "the batch job is done" job_is_done batch-1
  wait_until "the gang is done" job_is_done gang-1
  operator jobs get gang-1
  operator jobs
  if grep -q over-capacity "$WORK/workers.ledger"; then
    fail "a worker got more than it holds"
  fi
}

send_requests() {
  echo "idempotent:"
  "$SAMPLES/caller" "${ENTRIES[@]}" --token "$CALLER_TOKEN" --service holds \
    --mode idempotent --requests 300 --concurrency 8 --key-prefix quote \
    --ledger "$WORK/told.ledger" || fail "idempotent requests"
  echo "non-idempotent, by key:"
  "$SAMPLES/caller" "${ENTRIES[@]}" --token "$CALLER_TOKEN" --service holds \
    --mode keyed --requests 200 --concurrency 8 --key-prefix hold \
    --ledger "$WORK/told.ledger" || fail "non-idempotent requests"
  echo "the same keys again, which must give the same answers and run nothing:"
  "$SAMPLES/caller" "${ENTRIES[@]}" --token "$CALLER_TOKEN" --service holds \
    --mode keyed --requests 200 --concurrency 8 --key-prefix hold --used-keys \
    --ledger "$WORK/told.ledger" || fail "resent requests"
  check_ledgers
}

# Compares what callers were told with what upstreams ran.
check_ledgers() {
  local ran twice
  ran=$(grep -o 'key=hold[^ ]*' "$WORK/upstreams.ledger" | wc -l)
  twice=$(grep -o 'key=hold[^ ]*' "$WORK/upstreams.ledger" | sort | uniq -d |
    wc -l)
  echo "non-idempotent requests: $ran runs of 200 keys, $twice keys ran twice"
  [ "$ran" = 200 ] && [ "$twice" = 0 ] || fail "a key ran twice or never"
  if grep -q excess "$WORK/upstreams.ledger"; then
    fail "an upstream got more than its slots or connections"
  fi
}

stop_all() {
  # The callers go on while one plain entry host stops: nothing may be cut.
  "$SAMPLES/caller" --entry "${ADDRESSES[3]}:$HTTP_PORT" \
    --entry "${ADDRESSES[4]}:$HTTP_PORT" --token "$CALLER_TOKEN" \
    --service holds --requests 600 --concurrency 4 --key-prefix drain \
    --ledger "$WORK/told.ledger" > "$WORK/drain.out" &
  local load=$!
  wait_until "requests flow" grep -q tag=drain "$WORK/told.ledger"
  stop "entry-4" "${daemon_pids[3]}"
  wait "$load" || fail "requests during the stop: $(cat "$WORK/drain.out")"
  echo "requests during the stop of entry-4: $(head -n 1 "$WORK/drain.out")"
  stop "workers and upstreams" "${sample_pids[@]}"
  sample_pids=()
  cat "$WORK"/upstream-*.out
  stop "daemons" "${daemon_pids[@]:0:3}" "${daemon_pids[4]}"
  daemon_pids=()
}

main() {
  say "settings and processes"
  write_settings
  start_daemons
  say "cluster of three control replicas and two plain entry hosts"
  form_cluster
  say "document"
  put_document
  say "workers and upstreams"
  start_samples
  platform workers
  platform upstreams
  say "a batch job and a gang"
  run_jobs
  say "requests"
  send_requests
  say "report"
  platform report
  say "graceful stop"
  stop_all
  say "every step worked"
}

main
