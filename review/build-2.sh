#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 and higher. The controllers are built by the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/stage ./review/stage
