#!/usr/bin/env bash
# Runs real nodes under injected faults for each seed and checks invariants: scripts/soak.sh [SEED...].
# Uses the seeds of soak/seeds.txt if none is given. SECONDS_OF_FAULTS, NODES and SOAKS_AT_ONCE set the
# size of the run. Logs of failed seeds are kept in SOAK_FOLDER. Exits with 0 only if no invariant was
# violated with any seed.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
folder=${SOAK_FOLDER:-$(mktemp -d)}
if [ $# -gt 0 ]; then seeds=("$@"); else mapfile -t seeds < <(grep -o '^[0-9]\+' soak/seeds.txt); fi
mkdir -p "$folder/bin"
# Copies the programs, so that a build during the run does not replace them.
cp "$build_dir/bin/soak" "$build_dir/bin/jasminepathd" "$folder/bin/"

run_one() {
  if "$1/bin/soak" --program "$1/bin/jasminepathd" --folder "$1/$2" --seed "$2" \
    --seconds "${SECONDS_OF_FAULTS:-62}" --nodes "${NODES:-6}" \
    --memory-mb "${NODE_MEMORY_MB:-260}"; then
    rm -rf "${1:?}/$2"
  else
    echo "seed $2 failed: an invariant was violated or the run could not start; logs in $1/$2"
    return 1
  fi
}
export -f run_one
printf '%s\n' "${seeds[@]}" | xargs -P "${SOAKS_AT_ONCE:-4}" -I{} bash -c "run_one '$folder' {}"
echo "soak: all ${#seeds[@]} seeds passed"
