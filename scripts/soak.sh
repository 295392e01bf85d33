#!/usr/bin/env bash
# Runs real nodes under faults for a list of seeds and checks the promises: scripts/soak.sh [SEED...].
# Without seeds, those of soak/seeds.txt. SECONDS_OF_FAULTS, NODES and SOAKS_AT_ONCE set the size;
# logs stay in SOAK_FOLDER for seeds that broke a promise. Exit 0 only if every seed kept them all.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
folder=${SOAK_FOLDER:-$(mktemp -d)}
if [ $# -gt 0 ]; then seeds=("$@"); else mapfile -t seeds < <(grep -o '^[0-9]\+' soak/seeds.txt); fi
mkdir -p "$folder/bin"
# A build in the meantime must not change what runs.
cp "$build_dir/bin/soak" "$build_dir/bin/jasminepathd" "$folder/bin/"

run_one() {
  if "$1/bin/soak" --program "$1/bin/jasminepathd" --folder "$1/$2" --seed "$2" \
    --seconds "${SECONDS_OF_FAULTS:-40}" --nodes "${NODES:-6}" \
    --memory-mb "${NODE_MEMORY_MB:-260}"; then
    rm -rf "${1:?}/$2"
  else
    echo "seed $2 broke a promise; logs in $1/$2"
    return 1
  fi
}
export -f run_one
printf '%s\n' "${seeds[@]}" | xargs -P "${SOAKS_AT_ONCE:-4}" -I{} bash -c "run_one '$folder' {}"
echo "soak: all ${#seeds[@]} seeds kept the promises"
