#!/usr/bin/env bash
# Plays a case of the second review: play-2.sh CASE FOLDER. Starts the stand-ins and, once they have written the nodes'
# settings, the nodes with the command of deploy/system.toml. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run.
set -uo pipefail
case_name=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."
[ -x target/ringstream ] && [ -x target/standins-2 ] || { echo "build first: deploy/system.toml and review/build-2.sh" >&2; exit 2; }
work=$(mktemp -d)
processes=()
finish() {
  for process in "${processes[@]}"; do kill -KILL "$process" 2>/dev/null; done
  wait 2>/dev/null
  [ -f "$work/record.txt" ] && cp "$work/record.txt" "$folder/record.txt"
  if [ -n "${LOGS:-}" ]; then cp "$work"/*.log "$LOGS"; fi
  rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM
target/standins-2 "$case_name" "$work" &
standins=$!
processes+=("$standins")
for _ in $(seq 100); do [ -s "$work/nodes" ] && break; sleep 0.05; done
[ -s "$work/nodes" ] || exit 2
while read -r node; do
  RINGSTREAM_SETTINGS="$work/$node.yaml" target/ringstream node > "$work/$node.log" 2>&1 &
  processes+=("$!")
  echo "$!" > "$work/$node.pid"
done < "$work/nodes"
wait "$standins"
verdict=$?
[ "$verdict" -le 1 ] || verdict=2
exit "$verdict"
