#!/usr/bin/env bash
# The store turns the leader away, ten times, as an engine drains. Exits with 1 if a
# request reached an engine too late after it had said that it leaves, 0 if none
# did, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
record=$PWD/review/7/record.txt
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
[ -x target/review-2/late_news ] || exit 2
target/review-2/late_news "$work" "$record" >"$work/output" 2>&1
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
