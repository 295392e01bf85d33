#!/usr/bin/env bash
# Configures and builds into build/ (or BUILD_DIR) with JOBS parallel jobs.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
build_dir=${BUILD_DIR:-build}
cmake -G Ninja -B "$build_dir" -S . ${CMAKE_ARGS:-} >&2
ninja -C "$build_dir" -j "${JOBS:-$(nproc)}"
