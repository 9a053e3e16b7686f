#!/usr/bin/env bash
# Measures the resource usage of an idle node that follows several services, which is
# the cost of its control messages. Arguments: the numbers of services, by default
# 1 3 5 10. IDLE is the duration of a measurement, by default 60s. MEMBERS is the number
# of members of each service, by default 2.
. "$(dirname "$0")/fleet.sh"
start_kv
most=0
counts=${@:-1 3 5 10}
for count in $counts; do most=$((count > most ? count : most)); done
for i in $(seq "$most"); do
	for j in $(seq "${MEMBERS:-2}"); do
		start_node "node${i}_$j"
		start_backend "service$i" "node${i}_$j"
	done
done
loads=()
for count in $counts; do
	start_node "entry$count"
	entry="entry${count}_pid"
	services=$(seq -f 'service%g' -s , "$count")
	"$work/toucanstub" load --node "$work/entry$count.json" --service "$services" --idle "${IDLE:-60s}" \
		--process "entry=${!entry}" --process "member=$node1_1_pid" &
	loads+=($!)
done
for pid in "${loads[@]}"; do wait "$pid"; done
