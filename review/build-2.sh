#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, with every stand-in that they use, into target/review/. Run
# it after the build of deploy/system.toml, whose libraries it uses.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Ireview/stage-2 -Iplatform/tests
       -Ipackages/base/include -Ipackages/http/include -Ipackages/config/include)
shared=(review/stage-2/stage.cc platform/tests/platform_standin.cc)
objects=()
for source in "${shared[@]}"; do
  object=$out/$(basename "$source" .cc).o
  g++ "${flags[@]}" -c "$source" -o "$object"
  objects+=("$object")
done
library() { find target/packages -name "libjasminepath_$1.a"; }
for case in review/6 review/7 review/8 review/9 review/10; do
  [ -f "$case/case.cc" ] || continue
  g++ "${flags[@]}" "$case/case.cc" "${objects[@]}" "$(library config)" "$(library http)" "$(library base)" \
    -lPocoJSON -lPocoFoundation -lpthread -o "$out/case-$(basename "$case")"
done
