#!/usr/bin/env bash
# Runs the driver of a case: run-case.sh NAME FOLDER. Exits with 1 if the rule
# was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
set -uo pipefail
name=$1
folder=$2
root=$(cd "$(dirname "$0")/../.." && pwd)
program=$root/out/review-2/$name
daemon=$root/target/bin/medlarloftd
if [ ! -x "$program" ] || [ ! -x "$daemon" ]; then
  echo "build the deploy file, then review/build-2.sh" >&2
  exit 2
fi
work=$(mktemp -d)
end_daemons() {
  [ -f "$work/pids" ] || return 0
  while read -r pid; do
    [ "$(readlink "/proc/$pid/exe" 2> /dev/null)" = "$daemon" ] &&
      kill -KILL "$pid" 2> /dev/null
  done < "$work/pids"
  : > "$work/pids"
}
trap 'end_daemons; rm -rf "$work"' EXIT
code=2
# The loopback networks 127.NET.x.y to 127.(NET+2).x.y may be in use.
for ((try = 0; try < 3; ++try)); do
  net=$((100 + ($$ + RANDOM) % 45 * 3))
  timeout --signal=KILL 116 "$program" --daemon="$daemon" --folder="$work" \
    --record="$folder/record.txt" --trouble="${TROUBLE:-1}" --net="$net"
  code=$?
  end_daemons
  case $code in 0 | 1 | 2) exit $code ;; 137) exit 2 ;; esac
done
exit 2
