#!/usr/bin/env bash
# Starts an example system (BN_EXAMPLE: local, the default, or ventilprova) as separate
# processes, waits, runs the demo. With --check it then stops everything gracefully and
# exits 0 or 1; otherwise it runs on.
set -uo pipefail
bin=${BN_BIN:-target/debug/buckthornnotch}
example=examples/${BN_EXAMPLE:-local}
. "$example/names.sh"
"$bin" check "$example"/*.json >/dev/null || exit 2
rm -rf run && mkdir -p run
pids=()
fakes=()
start() { # name, arguments...
  local name=$1; shift
  "$bin" "$@" >"run/$name.log" 2>&1 &
  if [ "$1" = fake ]; then fakes+=($!); else pids+=($!); fi
}
# Graceful for the system; the fakes stay until it has ended, since requests may be in
# flight, and are then ended by the signal.
stop() {
  trap - INT TERM EXIT
  local failed=0
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null; done
  for pid in "${pids[@]}"; do
    wait "$pid" || { echo "process $pid ended with $?" >&2; failed=1; }
  done
  for pid in "${fakes[@]}"; do kill -TERM "$pid" 2>/dev/null; done
  wait
  return $failed
}
trap 'stop; exit 130' INT TERM
settings=$example
if [ -n "${BN_POLICY:-}" ]; then
  # Another routing policy, for comparison.
  settings=run/settings
  mkdir -p $settings
  for file in "$example"/*.json; do
    sed "s/\"entry\": {/\"entry\": {\"policy\": \"$BN_POLICY\",/" "$file" >"$settings/$(basename "$file")"
  done
fi
for i in 1 2 3 4 5 6; do start "e$i" run --settings "$settings/e$i.json"; done
for i in $(seq 19); do
  start "g$i" run --settings "$settings/g$i.json"
  if [ "$i" -le 16 ]; then
    group=group-$([ "$i" -le 8 ] && echo a || echo b)
    start "f$i" fake --kind engine --name "n$i" --service "$engine" --group "$group" \
      --rank $(((i - 1) % 8)) --listen "127.0.0.1:$((7500 + i))" --agent "127.0.0.1:$((7400 + i))" \
      --record "run/f$i.record" --lag-ms 1000 --capacity "${BN_CAPACITY:-16}" \
      --step-ms "$([ "n$i" = "${BN_SLOW:-}" ] && echo 10 || echo 5)"
  else
    start "f$i" fake --kind plain --name "k$((i - 16))" --service "$plain" \
      --listen "127.0.0.1:$((7500 + i))" --agent "127.0.0.1:$((7400 + i))" --record "run/f$i.record"
  fi
done
"$bin" demo --backends 19 --engine "$engine" --plain "$plain"
result=$?
if [ "${1:-}" = --check ]; then
  stop || result=1
  [ $result = 0 ] && echo "demo: all as it should be" || echo "demo: failed; logs are in run/"
  exit $result
fi
echo "the system runs; Ctrl-C stops it"
wait
