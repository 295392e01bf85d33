#!/usr/bin/env bash
# Runs every fuzzer for a fixed number of inputs, with a fixed seed and the corpus in fuzz/corpus.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${FUZZ_BUILD_DIR:-build-fuzz}
runs=${FUZZ_RUNS:-20000}
seed=20261204
cmake -G Ninja -B "$build_dir" -S . -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_BUILD_TYPE=RelWithDebInfo \
  -DJASMINEPATH_FUZZERS=ON -DJASMINEPATH_SANITIZE=address,undefined \
  -DCMAKE_CXX_FLAGS=-fsanitize=fuzzer-no-link > /dev/null
fuzzers=()
for source in fuzz/*_fuzzer.cc; do fuzzers+=("$(basename "$source" .cc)"); done
ninja -C "$build_dir" -j "${JOBS:-$(nproc)}" "${fuzzers[@]}"
for fuzzer in "${fuzzers[@]}"; do
  echo "fuzz: $fuzzer runs=$runs seed=$seed"
  corpus=fuzz/corpus/${fuzzer%_fuzzer}
  # New inputs are written to a temporary folder; the committed corpus is not modified.
  scratch=$(mktemp -d)
  "$build_dir/bin/$fuzzer" -runs="$runs" -seed="$seed" -max_len=4096 -timeout=20 -print_final_stats=0 \
    -artifact_prefix="$build_dir/" "$scratch" "$corpus" > "$build_dir/$fuzzer.log" 2>&1 ||
    { tail -40 "$build_dir/$fuzzer.log"; exit 1; }
  rm -rf "$scratch"
done
echo "fuzz: all passed"
