#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start besides jackdawd, into target/:
# the project's stand-ins and the players of the cases. Run it after the build
# of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build target --target jackdaw-standin
out=${OUT:-target/review-3}
mkdir -p "$out"
flags=(-std=c++20 -O1 -w -DBOOST_ASIO_SEPARATE_COMPILATION
  -DBOOST_ASIO_NO_DEPRECATED -DSPDLOG_COMPILED_LIB -DSPDLOG_FMT_EXTERNAL
  -Isrc -I. -Ireview/kit-3 -isystem target/generated)
libraries=(target/libjackdaw.a -lboost_json -lxxhash -lcrypto -lprotobuf
  -lspdlog -lprometheus-cpp-core -lzmq -lfmt -lpthread -lz)
common=()
players=()
jobs=()
for source in review/kit-3/*.cc; do
  name=$(basename "$source" .cc)
  g++ "${flags[@]}" -c "$source" -o "$out/$name.o" &
  jobs+=($!)
  if grep -q '^int main' "$source"; then players+=("$name"); else common+=("$out/$name.o"); fi
done
for job in "${jobs[@]}"; do wait "$job"; done
for name in "${players[@]}"; do
  g++ "$out/$name.o" "${common[@]}" "${libraries[@]}" -o "$out/$name"
done
