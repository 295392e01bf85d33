#!/usr/bin/env bash
# Installs what is missing, builds, and runs every test. Exit 0 only if all passed.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
ctest --test-dir "${BUILD_DIR:-build}" --output-on-failure -j "${TEST_JOBS:-4}"
