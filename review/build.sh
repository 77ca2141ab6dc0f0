#!/usr/bin/env bash
# Builds the cases with their stand-ins. The program itself is built by the build line of
# deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
for n in 1 2 3; do
  if [ -f "review/$n/main.go" ]; then
    go build -o "target/review/$n" "./review/$n"
  fi
done
