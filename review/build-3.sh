#!/usr/bin/env bash
# Builds the stand-ins of the cases from review/11 on. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standins3"
GOWORK=off go build -buildvcs=false -o ../../target/review3 .
