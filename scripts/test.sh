#!/usr/bin/env bash
# Installs missing packages, builds, and runs every test. Exits with 0 only if all tests passed.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
ctest --test-dir "${BUILD_DIR:-build}" --output-on-failure -j "${TEST_JOBS:-4}"
