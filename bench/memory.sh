#!/usr/bin/env bash
# Measures the resident memory of a node for several numbers of open caller connections.
# Arguments: the numbers of connections, by default 200 700 1400 2800.
. "$(dirname "$0")/fleet.sh"
start_kv
for connections in ${@:-200 700 1400 2800}; do
	start_node entry
	start_node node
	start_backend ordini node
	"$work/toucanstub" load --node "$work/entry.json" --connections "$connections" \
		--process "entry=$entry_pid" --process "node=$node_pid"
	for pid in "$entry_pid" "$node_pid"; do kill -KILL "$pid" && wait "$pid" 2>/dev/null || true; done
	rm "$work/entry.json" "$work/node.json"
	start_kv
done
