#!/usr/bin/env bash
# Writes review/5/record.txt: what was sent, answered and run. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run. TROUBLE=0: without the disturbance.
cd "$(dirname "$0")/../.." || exit 2
record=$PWD/review/5/record.txt
[ -x build-review/case_5 ] && [ -x target/bin/jasminepathd ] || exit 2
exec timeout -k 5 110 build-review/case_5 "$record"
