#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
number=$(basename "$here")
case_program=$root/review/build/case$number
[ -x "$case_program" ] || exit 2
cd "$root" || exit 2
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout --kill-after=5 110 "$case_program" target/tools "$temporary" \
  "$here/record.txt"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
