#!/usr/bin/env bash
# play.sh CASE RECORD: plays a case of the review with real processes of the system, which deploy/system.toml's build left in target/.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out, and
# KEEP=1 keeps the nodes' logs.
set -u
cd "$(dirname "$0")/.."
if [ ! -x target/ringstream ] || [ ! -x target/review-standins ]; then
  echo "target/ringstream or target/review-standins is missing: run the build of deploy/system.toml and review/build.sh"
  exit 2
fi
folder=$(mktemp -d)
started=()
end_all() {
  for process in "${started[@]}"; do kill -KILL "$process" 2>/dev/null; done
  wait 2>/dev/null
  if [ -n "${KEEP:-}" ]; then
    echo "settings and logs of the nodes: $folder"
  else
    rm -rf "$folder"
  fi
}
trap end_all EXIT
trap 'exit 2' INT TERM
target/review-standins "$1" "$folder" "$2" &
standins=$!
started+=("$standins")
until [ -e "$folder/start" ]; do
  kill -0 "$standins" 2>/dev/null || exit 2
  sleep 0.05
done
start_nodes() {
  for settings in "$folder"/*.yaml; do
    RINGSTREAM_SETTINGS="$settings" target/ringstream node >> "${settings%.yaml}.log" 2>&1 &
    started+=("$!")
    echo "$!" > "${settings%.yaml}.pid"
  done
}
start_nodes
while kill -0 "$standins" 2>/dev/null; do
  if [ -e "$folder/restart" ]; then # the stand-ins have ended all nodes
    rm "$folder/restart"
    sleep 0.3
    start_nodes
  fi
  sleep 0.1
done
wait "$standins"
exit $?
