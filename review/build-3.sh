#!/usr/bin/env bash
# Builds the stand-ins of the cases review/11 to review/15. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review3 ./review/standins3
