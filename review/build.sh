#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers)
objects=()
for source in kit/*.cc; do
  object=bin/$(basename "${source%.cc}").o
  g++ "${flags[@]}" -c "$source" -o "$object" &
  objects+=("$object")
done
wait
for source in */case.cc; do
  g++ "${flags[@]}" "$source" "${objects[@]}" -o "bin/case-$(dirname "$source")" \
    -lboost_json -lpthread &
done
wait
for source in */case.cc; do test -x "bin/case-$(dirname "$source")"; done
