#!/usr/bin/env bash
# Checks the models exhaustively within their sizes, and that the invariants catch
# each mutation (a guard that is removed).
#   run_models.sh FOLDER    works in a new folder below FOLDER
# Up to MAX_JOBS (environment variable, default 4) searches run in parallel, each in
# its own folder; results are printed in the order of this script.
set -euo pipefail
spec=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$1"
work=$(mktemp -d "$1/models.XXXXXX")
trap 'rm -rf "$work"' EXIT

MAX_DEPTH=10000
MAX_MEMORY_MB=1500
# Of processor time, so that a busy machine doesn't change a verdict.
MAX_CPU_SECONDS=40
MAX_JOBS=${MAX_JOBS:-4}

searches=0

# search OPTIMISATION FOLDER MODEL DEFINES...: writes FOLDER/report
search() {
  local level=$1 model=$3
  cd "$2"
  shift 3
  spin "$@" -a "$spec/$model" > spin.log
  cc "$level" -DSAFETY -DNOREDUCE -DCOLLAPSE "-DMEMLIM=$MAX_MEMORY_MB" \
    -o pan pan.c
  (ulimit -t "$MAX_CPU_SECONDS" && exec ./pan "-m$MAX_DEPTH") > report 2>&1 || true
}

# Passes if every state was searched and no invariant was violated.
check_holds() {
  search -O1 "$@"
  shift
  if grep -q 'errors: 0' report &&
    ! grep -qE 'max search depth too small|out of memory|Search not completed' \
      report; then
    echo "holds   $* ($(grep -oE '[0-9]+ states, stored' report))" > verdict
  else
    echo "FAILED  $*" | cat - report > verdict
  fi
}

# Passes if an invariant is violated without the guard. Compiled with -O0: most
# violations are found early, so compiling takes longer than the search.
check_caught() {
  search -O0 "$@"
  shift
  if grep -q 'assertion violated' report; then
    echo "caught  $*" > verdict
  else
    echo "MISSED  $*" | cat - report > verdict
  fi
}

# start CHECK MODEL DEFINES...: waits until fewer than MAX_JOBS searches run
start() {
  local check=$1 folder
  shift
  while (($(jobs -rp | wc -l) >= MAX_JOBS)); do
    wait -n || true
  done
  searches=$((searches + 1))
  folder=$work/$searches
  mkdir "$folder"
  ("$check" "$folder" "$@") &
}
holds() { start check_holds "$@"; }
caught() { start check_caught "$@"; }

# Prints all verdicts. A search that ended without a verdict counts as failed.
report() {
  local failures=0 n
  wait
  for ((n = 1; n <= searches; ++n)); do
    cat "$work/$n/verdict" || echo "FAILED  search $n"
    grep -qE '^(holds|caught)' "$work/$n/verdict" || failures=$((failures + 1))
  done
  return $((failures > 0))
}

disks=(-DN=3 -DVOTERS=7 -DT=2 -DK=2 -DPERSIST -DLOSSES=0)
terms=(-DN=3 -DVOTERS=7 -DT=4 -DK=1 -DSTEPS_DOWN -DLOSSES=0)
changes=(-DN=4 -DVOTERS=15 -DT=2 -DK=2 -DCHANGES -DLOSSES=0)
losses=(-DN=4 -DVOTERS=7 -DT=2 -DK=3 -DCHANGES -DLOSSES=2)
holds replication.pml "${disks[@]}"
holds replication.pml "${terms[@]}"
holds replication.pml "${changes[@]}"
holds replication.pml "${losses[@]}"
for it in ACK_BEFORE_SYNC VOTE_BEFORE_SYNC VOTE_REQUEST_BEFORE_SYNC VOTE_FOR_ANY_LOG; do
  caught replication.pml "${disks[@]}" "-DMUTATION_$it"
done
for it in SAME_ID LOSE_BEFORE_REPAIR; do
  caught replication.pml "${losses[@]}" "-DMUTATION_$it"
done
caught replication.pml -DN=3 -DVOTERS=7 -DT=2 -DK=3 -DCHANGES -DLOSSES=0 \
  -DMUTATION_OVERLAPPING_CHANGES
caught replication.pml -DN=4 -DVOTERS=15 -DT=3 -DK=3 -DCHANGES -DLOSSES=0 \
  -DMUTATION_CHANGE_BEFORE_COMMIT
caught replication.pml "${terms[@]}" -DMUTATION_COMMIT_OLD_TERM

holds leases.pml
for it in LEASE_FROM_RECEIPT NO_BARRIER BARRIER_BEFORE_RENEWAL NO_WAIT \
  REPLY_WHILE_ENDING BARRIER_BEFORE_COMMIT NO_DRIFT_ALLOWANCE; do
  caught leases.pml "-DMUTATION_$it"
done

holds admission.pml
for it in DISPATCH_BEFORE_COMMIT DISPATCH_AFTER_NOT_RUN END_AS_NOT_RUN \
  ANY_ENTRY_CLOSES ADMIT_AFTER_END CLOSE_WITHOUT_GENERATION \
  UNKNOWN_IS_ADMITTED_AGAIN; do
  caught admission.pml "-DMUTATION_$it"
done

report
