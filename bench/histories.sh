#!/usr/bin/env bash
# Runs the randomized tests of at-most-once execution, configuration and membership
# with a new seed. Argument: the number of schedules of each test, by default 20,000.
set -euo pipefail
cd "$(dirname "$0")/.."
schedules=${1:-20000}
seed=$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')
echo "seed $seed, $schedules schedules"
RAPID_SEED=$seed RAPID_CHECKS=$schedules go test -timeout 60m -count=1 -v -run TestHistories ./toucanonce
go test ./toucanconfig -timeout 60m -count=1 -v -run TestSchedules -rapid.seed="$seed" -rapid.checks="$schedules"
go test ./toucanmember -timeout 60m -count=1 -v -run TestRandomSchedules -rapid.seed="$seed" -rapid.checks="$schedules"
