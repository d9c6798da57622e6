#!/usr/bin/env bash
# Starts the local system as separate processes, waits, runs the demo. With --check
# it then stops everything gracefully and exits 0 or 1; otherwise it runs on.
set -uo pipefail
bin=${BN_BIN:-target/debug/buckthornnotch}
rm -rf run && mkdir -p run
pids=()
start() { # name, arguments...
  local name=$1; shift
  "$bin" "$@" >"run/$name.log" 2>&1 &
  pids+=($!)
}
# Graceful: agents and fakes after the entries, since requests may be in flight.
stop() {
  trap - INT TERM EXIT
  local failed=0
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null; done
  for pid in "${pids[@]}"; do
    wait "$pid"
    code=$?
    # Fakes have no graceful stop: a signal ends them.
    [ $code = 0 ] || [ $code = 143 ] || { echo "process $pid ended with $code" >&2; failed=1; }
  done
  return $failed
}
trap 'stop; exit 130' INT TERM
for i in 1 2 3 4 5 6; do start "e$i" run --settings "examples/local/e$i.json"; done
for i in $(seq 19); do
  start "g$i" run --settings "examples/local/g$i.json"
  if [ "$i" -le 16 ]; then
    group=notice-$([ "$i" -le 8 ] && echo a || echo b)
    start "f$i" fake --kind engine --name "n$i" --service notice-gen --group "$group" \
      --rank $(((i - 1) % 8)) --listen "127.0.0.1:$((7500 + i))" --agent "127.0.0.1:$((7400 + i))" \
      --record "run/f$i.record" --lag-ms 1000
  else
    start "f$i" fake --kind plain --name "k$((i - 16))" --service kiosk-ctl \
      --listen "127.0.0.1:$((7500 + i))" --agent "127.0.0.1:$((7400 + i))" --record "run/f$i.record"
  fi
done
"$bin" demo --backends 19
result=$?
if [ "${1:-}" = --check ]; then
  stop || result=1
  [ $result = 0 ] && echo "demo: all as it should be" || echo "demo: failed; logs are in run/"
  exit $result
fi
echo "the system runs; Ctrl-C stops it"
wait
