#!/usr/bin/env bash
# Runs the history checks of at-most-once execution, configuration and membership
# with fresh seeds. Argument: schedules of each check, 20,000 if absent.
set -euo pipefail
cd "$(dirname "$0")/.."
schedules=${1:-20000}
seed=$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')
echo "seed $seed, $schedules schedules"
RAPID_SEED=$seed RAPID_CHECKS=$schedules go test -timeout 60m -count=1 -v -run TestHistories ./toucanonce
go test ./toucanconfig -timeout 60m -count=1 -v -run TestSchedules -rapid.seed="$seed" -rapid.checks="$schedules"
go test ./toucanmember -timeout 60m -count=1 -v -run TestRandomSchedules -rapid.seed="$seed" -rapid.checks="$schedules"
