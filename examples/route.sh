#!/usr/bin/env bash
# Live comparison of routing policies: the same seeded load through the local system
# under each, with load reports a second late, one slow and one stalled engine.
# Usage: examples/route.sh [SECONDS] [RATES]; set BN_BIN to a release build.
set -uo pipefail
bin=${BN_BIN:-target/release/buckthornnotch}
seconds=${1:-8}
rates=${2:-"100 170 240"}
for policy in predicted two_choices least_reported round_robin random; do
  BN_POLICY=$policy BN_CAPACITY=4 BN_SLOW=n3 BN_BIN=$bin examples/run.sh >/dev/null 2>&1 &
  system=$!
  until "$bin" demo --backends 19 >/dev/null 2>&1; do sleep 1; done
  for rate in $rates; do
    echo "== $policy, $rate requests/s"
    (sleep $((seconds / 2)); curl -s -d 2000 127.0.0.1:7508/fake/stall >/dev/null) &
    "$bin" bench load --rate "$rate" --seconds "$seconds" --tokens 64
    sleep 2
  done
  kill -TERM $system
  wait $system
done
