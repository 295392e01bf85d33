#!/usr/bin/env bash
# A short fault soak with a fixed seed; scripts/soak.sh runs more of them.
set -euo pipefail
cd "$(dirname "$0")/.."
SECONDS_OF_FAULTS=20 NODES=4 scripts/soak.sh 1
