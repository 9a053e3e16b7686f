#!/usr/bin/env bash
# Measures calls straight to a backend server and through two nodes, in turn, at
# several rates. Arguments: the rates.
. "$(dirname "$0")/fleet.sh"
start_kv
start_node entry
start_node node
start_backend ordini node
for rate in ${@:-200 1000 3000 8000}; do
	"$work/toucanstub" load --node "$work/entry.json" --straight "$backend" --rate "$rate" \
		--windows "${WINDOWS:-5}" --window "${WINDOW:-2s}" --process "entry=$entry_pid" --process "node=$node_pid"
done
