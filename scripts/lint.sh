#!/usr/bin/env bash
# Runs clang-tidy on all sources, or on the given files, with the compile commands of BUILD_DIR.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
[ -f "$build_dir/compile_commands.json" ] || cmake -G Ninja -B "$build_dir" -S . >/dev/null
if [ $# -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files --cached --others --exclude-standard 'packages/*/src/*.cc' 'apps/*.cc'); fi
[ ${#files[@]} -eq 0 ] && exit 0
cache=${LINT_CACHE:-$HOME/.cache/jasminepath-lint}
mkdir -p "$cache"
configuration=$(cat .clang-tidy; clang-tidy --version)
headers=$(git ls-files --cached --others --exclude-standard 'packages/*.h' | xargs -r cat | sha256sum)

# Skips a file that passed before with the same content, headers and configuration.
lint_one() {
  local file=$1 stamp
  stamp=$cache/$( { cat "$file"; echo "$file $configuration $headers"; } | sha256sum | cut -d' ' -f1)
  [ -f "$stamp" ] && return 0
  clang-tidy -p "$build_dir" --quiet --extra-arg=-Wno-unknown-warning-option "$file" 2> "/tmp/lint.$$.${file//\//_}" && : > "$stamp" && rm -f "/tmp/lint.$$.${file//\//_}" && return 0
  grep -v 'warnings generated' "/tmp/lint.$$.${file//\//_}" >&2; rm -f "/tmp/lint.$$.${file//\//_}"; return 1
}
export -f lint_one; export cache configuration headers build_dir
printf '%s\n' "${files[@]}" | xargs -P "${JOBS:-$(nproc)}" -I{} bash -c 'lint_one {}'
