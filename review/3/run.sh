#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
runner=target/review/release/drain_after_outage
node=target/release/endive-sidecar
[ -x "$runner" ] && [ -x "$node" ] || { echo "not built"; exit 2; }
folder=$(mktemp -d) || exit 2
"$runner" "$node" "$folder" "$here/record.txt" &
runner_id=$!
trap 'kill "$runner_id" 2>/dev/null' INT TERM
wait "$runner_id"
result=$?
# The runner ends its nodes itself; this ends those of a runner that was killed.
for process in /proc/[0-9]*; do
    if grep -qs "ENDIVELANDING_SETTINGS=$folder/" "$process/environ"; then
        kill -9 "${process#/proc/}" 2>/dev/null
    fi
done
rm -rf "$folder"
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
