#!/usr/bin/env bash
# Measures what control costs: processor time and memory of each sassafrasd,
# and the bytes of heartbeats, at several numbers of workers whose tasks run
# until they are stopped. The first rows, without workers, are the baseline.
# The row with `starts` tells how long it took from the first start of a task
# to the last one, as the workers saw it.
#   samples/control_cost.sh BUILD_DIR [WORKERS...]   (default: 0 250 500 1000)
# PERIOD_MS (2000) is the time between a worker's heartbeats, TASKS (21) the
# number of tasks on each, SAMPLE_S (20) the length of each sample.
set -euo pipefail
source "$(dirname "$0")/cluster.sh"
shift
readonly SIZES=("${@:-}")
readonly PERIOD_MS=${PERIOD_MS:-2000}
readonly TASKS=${TASKS:-21}
readonly SAMPLE_S=${SAMPLE_S:-20}
readonly TICKS_PER_S=$(getconf CLK_TCK)

readonly LEASE_MS=10000

# Processor time of a process in ticks.
ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
memory_kib() { awk '/^VmRSS/ { print $2 }' "/proc/$1/status"; }

leader_index() {
  local leader i
  leader=$(platform cluster status | awk '$1 == "leader" { print $2 }')
  for i in "${!NAMES[@]}"; do
    [ "${NAMES[$i]}" != "$leader" ] || echo "$i"
  done
}

put_owner() {
  {
    printf '[owners.booking]\nweight = 1\n'
    token_tables
  } > "$WORK/platform.toml"
  platform document put platform "$WORK/platform.toml" --base 0 --wait \
    > /dev/null
}

running_tasks() {
  operator jobs | awk '$1 == "load" { print $7 }'
}

has_running() { [ "$(running_tasks)" = "$1" ]; }

# start_load WORKERS: one process for all workers, and one job that fills them.
start_load() {
  local workers=$1
  rm -f "$WORK/workers.ledger"
  "$SAMPLES/fake_worker" "${ENTRIES[@]}" --token "$WORKER_TOKEN" --id w \
    --count "$workers" --period-ms "$PERIOD_MS" --drain-ms 0 \
    --milli-cpus "$((TASKS * 125))" --ledger "$WORK/workers.ledger" \
    > "$WORK/workers.out" 2> "$WORK/workers.err" &
  sample_pids=($!)
  wait_until "$workers workers are live" has_live workers "$workers"
  operator jobs submit load --tasks "$((workers * TASKS))" --milli-cpus 100 \
    --memory-mib 100 --payload '{"usage_percent":80}' > /dev/null
  wait_until "every task runs" has_running "$((workers * TASKS))"
  report_starts "$workers"
}

# report_starts WORKERS: from the workers' ledger.
report_starts() {
  awk -v workers="$1" '
    $2 == "start" { n++; if ($1 > last) last = $1; if (!first) first = $1 }
    END { printf "workers=%d starts=%d spread_ms=%d\n", workers, n,
          (last - first) / 1000 }' "$WORK/workers.ledger"
}

# sample WORKERS: prints one row per process.
sample() {
  local workers=$1 leader i role before=() cpu memory
  sleep 2 # starts are over; the steady state is measured
  leader=$(leader_index)
  for i in "${!NAMES[@]}"; do
    before+=("$(ticks "${daemon_pids[$i]}")")
  done
  sleep "$SAMPLE_S"
  for i in "${!NAMES[@]}"; do
    role=entry
    [ "$i" -ge "$REPLICAS" ] || role=follower
    [ "$i" != "$leader" ] || role=leader
    cpu=$((($(ticks "${daemon_pids[$i]}") - before[i]) * 100000 / TICKS_PER_S \
      / SAMPLE_S))
    memory=$(memory_kib "${daemon_pids[$i]}")
    printf 'workers=%d role=%s cpu_percent=%d.%03d memory_mib=%d\n' \
      "$workers" "$role" "$((cpu / 1000))" "$((cpu % 1000))" \
      "$((memory / 1024))"
  done
}

stop_daemons() {
  stop "daemons" "${daemon_pids[@]}"
  daemon_pids=()
  rm -rf "$WORK"/*.data
}

measure() {
  local workers=$1
  start_daemons
  form_cluster > /dev/null
  put_owner
  [ "$workers" = 0 ] || start_load "$workers"
  sample "$workers"
  if [ "$workers" != 0 ]; then
    stop "workers" "${sample_pids[@]}"
    sample_pids=()
    echo "workers=$workers $(cat "$WORK/workers.out")"
  fi
  stop_daemons
}

main() {
  local sizes=("${SIZES[@]}") workers
  [ -n "${sizes[0]}" ] || sizes=(0 250 500 1000)
  EXTRA_SETTINGS="[timing]
worker_lease_ms = $LEASE_MS" write_settings
  echo "period_ms=$PERIOD_MS tasks_per_worker=$TASKS sample_s=$SAMPLE_S"
  for workers in "${sizes[@]}"; do
    measure "$workers"
  done
}

main
