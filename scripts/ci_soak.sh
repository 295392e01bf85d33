#!/usr/bin/env bash
# Runs a short fault soak with a fixed seed; scripts/soak.sh runs longer ones with more seeds.
set -euo pipefail
cd "$(dirname "$0")/.."
SECONDS_OF_FAULTS=31 scripts/soak.sh 2
