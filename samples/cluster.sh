# A cluster on loopback addresses, for the scripts beside this file: three
# control replicas in three zones and two plain entry hosts. To be sourced with
# the build folder as first argument. DEMO_KEEP=1 keeps the working folder.
# shellcheck shell=bash
set -euo pipefail

readonly BUILD=$(cd "${1:?usage: $0 BUILD_DIR}" && pwd)
readonly DAEMON="$BUILD/daemon/sassafrasd"
readonly CTL="$BUILD/ctl/sassafrasctl"
readonly SAMPLES="$BUILD/samples"
readonly WORK=$(mktemp -d)
readonly SECRET="demo-$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')"
readonly CALLER_TOKEN="caller-$SECRET"
readonly WORKER_TOKEN="worker-$SECRET"
readonly OPERATOR_TOKEN="operator-$SECRET"
readonly LIMIT_S=60

readonly NAMES=(entry-1 entry-2 entry-3 entry-4 entry-5)
readonly ZONES=(zone-a zone-b zone-c zone-a zone-b)
# Each process has a loopback address of its own, so that ports can't clash.
readonly ADDRESSES=(127.77.0.1 127.77.0.2 127.77.0.3 127.77.0.4 127.77.0.5)
readonly HTTP_PORT=${DEMO_HTTP_PORT:-18080}
readonly PEER_PORT=${DEMO_PEER_PORT:-18070}
readonly REPLICAS=3

daemon_pids=()
sample_pids=()

say() { printf '\n== %s\n' "$*"; }

fail() {
  echo "$0: $*" >&2
  for log in "$WORK"/*.err; do
    [ -s "$log" ] && { echo "-- $log"; tail -n 20 "$log"; } >&2
  done
  exit 1
}

# Ends what this script started, whatever happened.
clean_up() {
  local pid
  for pid in "${sample_pids[@]}" "${daemon_pids[@]}"; do
    kill -KILL "$pid" 2> /dev/null || true
  done
  [ "${DEMO_KEEP:-0}" = 1 ] && echo "kept $WORK" || rm -rf "$WORK"
}
trap clean_up EXIT

# wait_until WHAT COMMAND...: repeats the command until it succeeds.
wait_until() {
  local what=$1 deadline=$((SECONDS + LIMIT_S))
  shift
  until "$@" > /dev/null 2>&1; do
    [ "$SECONDS" -lt "$deadline" ] || fail "timed out: $what"
    sleep 0.1
  done
}

entry_options() {
  local address
  for address in "${ADDRESSES[@]}"; do
    printf -- '--entry\n%s:%s\n' "$address" "$HTTP_PORT"
  done
}
mapfile -t ENTRIES < <(entry_options)

ctl() { "$CTL" "${ENTRIES[@]}" --timeout-ms 20000 "$@"; }
platform() { SASSAFRAS_TOKEN=$SECRET ctl "$@"; }
operator() { SASSAFRAS_TOKEN=$OPERATOR_TOKEN ctl "$@"; }

write_settings() {
  local i k
  for i in "${!NAMES[@]}"; do
    {
      echo "[process]"
      echo "name = \"${NAMES[$i]}\""
      echo "zone = \"${ZONES[$i]}\""
      [ "$i" -ge "$REPLICAS" ] ||
        echo "data_folder = \"$WORK/${NAMES[$i]}.data\""
      echo "[http]"
      echo "address = \"${ADDRESSES[$i]}\""
      echo "port = $HTTP_PORT"
      echo "[peer]"
      echo "address = \"${ADDRESSES[$i]}\""
      echo "port = $PEER_PORT"
      echo "[grace]"
      echo "balancer_ms = 500"
      echo "${EXTRA_SETTINGS:-}"
      echo "[cluster]"
      echo "secret = \"$SECRET\""
      for k in "${!NAMES[@]}"; do
        echo "[[cluster.peers]]"
        echo "name = \"${NAMES[$k]}\""
        echo "zone = \"${ZONES[$k]}\""
        echo "address = \"${ADDRESSES[$k]}\""
        echo "port = $PEER_PORT"
      done
    } > "$WORK/${NAMES[$i]}.toml"
    "$DAEMON" --config "$WORK/${NAMES[$i]}.toml" --check-config > /dev/null ||
      fail "settings of ${NAMES[$i]} were refused"
  done
}

start_daemons() {
  local name
  for name in "${NAMES[@]}"; do
    "$DAEMON" --config "$WORK/$name.toml" \
      > "$WORK/$name.out" 2> "$WORK/$name.err" &
    daemon_pids+=($!)
  done
}

# A plain HTTP GET without other programs; prints the status line.
probe() {
  local address=$1 path=$2 status
  exec 3<> "/dev/tcp/$address/$HTTP_PORT" || return 1
  printf 'GET %s HTTP/1.1\r\nHost: demo\r\nConnection: close\r\n\r\n' \
    "$path" >&3
  IFS= read -r -t 5 status <&3 || return 1
  exec 3<&-
  [[ $status == *" 200 "* ]]
}

form_cluster() {
  local address name
  wait_until "the first process answers" probe "${ADDRESSES[0]}" /healthz
  SASSAFRAS_TOKEN=$SECRET "$CTL" --entry "${ADDRESSES[0]}:$HTTP_PORT" \
    cluster init || fail "cluster init"
  wait_until "a leader is elected" platform cluster status
  for name in "${NAMES[@]:1:$((REPLICAS - 1))}"; do
    platform cluster add "$name" --wait || fail "cluster add $name"
  done
  for address in "${ADDRESSES[@]}"; do
    wait_until "$address is ready" probe "$address" /readyz
  done
  platform cluster status
}

sha256() { printf '%s' "$1" | sha256sum | cut -d ' ' -f 1; }

# One token of each kind for the owner "booking", as tables of the document.
token_tables() {
  local role owner token
  while read -r role owner token; do
    printf '[[tokens]]\nsha256 = "%s"\nrole = "%s"\nname = "%s"\n' \
      "$(sha256 "$token")" "$role" "$role-1"
    [ "$owner" = - ] || printf 'owner = "%s"\n' "$owner"
  done << EOF
caller booking $CALLER_TOKEN
worker - $WORKER_TOKEN
operator booking $OPERATOR_TOKEN
EOF
}

has_live() {
  local n
  n=$(platform "$1" --json | grep -c '"is_live": true')
  [ "$n" -ge "$2" ]
}

# stop WHAT PID...: SIGTERM to each, and exit code 0 of each.
stop() {
  local what=$1 pid code
  shift
  kill -TERM "$@" || fail "$what have ended already"
  for pid in "$@"; do
    code=0
    wait "$pid" || code=$?
    [ "$code" = 0 ] || fail "$what: process $pid ended with exit code $code"
  done
}
