#!/usr/bin/env bash
# Builds the programs of the scripts in review/4 and later: the stand-ins and what plays the cases. The daemons come from
# the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/upstream ./review/rig/upstream
for number in 4 5 6 7 8; do
	go build -o target/review/$number ./review/$number
done
