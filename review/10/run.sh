#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves all
# disruptions out; TROUBLE=first and TROUBLE=second bring only one of the two stops.
cd "$(dirname "$0")/../.."
case_program=target/review/case-10
if [ ! -x "$case_program" ] || [ ! -x target/bin/jasminepathd ]; then
  echo "build as the deploy file says, then run review/build-2.sh" >&2
  exit 2
fi
TROUBLE=${TROUBLE:-1} timeout --kill-after=5 110 "$case_program" > review/10/record.txt
status=$?
tail -1 review/10/record.txt
[ "$status" -le 2 ] || exit 2
exit "$status"
