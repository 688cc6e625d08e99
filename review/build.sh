#!/usr/bin/env bash
# Builds the project's programs as the deploy file says, and the stand-ins of the review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/...
go build -o target/ ./review/scenario
