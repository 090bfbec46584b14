#!/usr/bin/env bash
# A region loses the store, and with it the fleet's leader, for 54 s. Exits
# with 1 if a tenant got more than its quota, 0 if not, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
record=$PWD/review/6/record.txt
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
[ -x target/review-2/stale_leader ] || exit 2
target/review-2/stale_leader "$work" "$record" >"$work/output" 2>&1
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
