#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off go build -buildvcs=false -o ../../target/review2 .
