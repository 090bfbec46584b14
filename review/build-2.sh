#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start besides jackdawd, into target/:
# the project's stand-ins and the players of the cases. Run it after the build
# of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build target --target jackdaw-standin
out=${OUT:-target/review-2}
mkdir -p "$out"
flags=(-std=c++20 -O1 -w -DBOOST_ASIO_SEPARATE_COMPILATION
  -DBOOST_ASIO_NO_DEPRECATED -DSPDLOG_COMPILED_LIB -DSPDLOG_FMT_EXTERNAL
  -Isrc -I. -Ireview/kit-2 -isystem target/generated)
libraries=(target/libjackdaw.a -lboost_json -lxxhash -lcrypto -lprotobuf
  -lspdlog -lprometheus-cpp-core -lzmq -lfmt -lpthread -lz)
objects=()
for source in review/kit-2/*.cc; do
  name=$(basename "$source" .cc)
  g++ "${flags[@]}" -c "$source" -o "$out/$name.o" &
  grep -q '^int main' "$source" || objects+=("$out/$name.o")
done
failed=0
for job in $(jobs -p); do wait "$job" || failed=1; done
[ $failed = 0 ]
for source in $(grep -l '^int main' review/kit-2/*.cc); do
  name=$(basename "$source" .cc)
  g++ "$out/$name.o" "${objects[@]}" "${libraries[@]}" -o "$out/$name"
done
