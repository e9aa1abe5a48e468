#!/usr/bin/env bash
# Usage: run.sh FOLDER CLASS
# Runs a case after the build of the deploy file and review/build-2.sh. Exits with 1 if
# the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
set -u
folder=$(cd "$1" && pwd)
root=$(cd "$folder/../.." && pwd)
if [ ! -f "$root/target/bilberryvalve-entry.jar" ] || [ ! -d "$root/target/review-2/rig" ]; then
  echo "build with the command of deploy/system.toml and review/build-2.sh first"
  exit 2
fi
timeout -k 3 112 java -Xmx1g -Drecord="$folder/record.txt" -Droot="$root" -cp "$root/target/review-2" "rig.$2" &
child=$!
trap 'kill "$child" 2>/dev/null' TERM INT
wait "$child"
code=$?
# A signal ends the first wait early.
wait "$child" 2>/dev/null
[ "$code" -le 1 ] || code=2
exit "$code"
