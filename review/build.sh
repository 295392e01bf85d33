#!/usr/bin/env bash
# Builds the stand-ins and cases of the review's scripts into build-review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -c review/harness/standins.cc -o build-review/standins.o
for file in review/*/case.cc; do
  number=$(basename "$(dirname "$file")")
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread "$file" build-review/standins.o -o "build-review/case_$number"
done
