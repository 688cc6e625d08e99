#!/usr/bin/env bash
# Runs the case: exit status 0 if the rule held, 1 if it was broken, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
bash review/build.sh || exit 2
exec target/scenario stop "$folder/record.txt"
