#!/usr/bin/env bash
# Builds the stand-ins of the scripts of review/11 and later into
# target/review-3/. The nodes are those of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o target/review-3/stage review/stage-3/main.cc
