#!/usr/bin/env bash
# Two instances are turned away seven times; an engine leaves after it. Exits with 1 if a
# request reached an engine too late after it had said that it leaves, 0 if none
# did, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
record=$PWD/review/6/record.txt
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
[ -x target/review-2/own_outage ] || exit 2
target/review-2/own_outage "$work" "$record" >"$work/output" 2>&1
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
