#!/usr/bin/env bash
# Measures the latency of calls at several rates, alternately sent to a backend server
# directly and through two nodes. Arguments: the rates in calls per second, by default
# 200 1000 3000 8000. WINDOWS is the number of windows at each rate, by default 5. WINDOW
# is the length of a window, by default 2s.
. "$(dirname "$0")/fleet.sh"
start_kv
start_node entry
start_node node
start_backend ordini node
for rate in ${@:-200 1000 3000 8000}; do
	"$work/toucanstub" load --node "$work/entry.json" --straight "$backend" --rate "$rate" \
		--windows "${WINDOWS:-5}" --window "${WINDOW:-2s}" --process "entry=$entry_pid" --process "node=$node_pid"
done
