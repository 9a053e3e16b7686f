# Functions that start the processes of a measurement on the loopback interface. The
# other scripts in this directory source this file. At exit, every started process is
# killed by its id.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
work=$(mktemp -d)
pids=()
stop_all() {
	for pid in "${pids[@]}"; do
		kill -KILL "$pid" 2>/dev/null && wait "$pid" 2>/dev/null
	done || true
	rm -rf "$work"
}
trap stop_all EXIT
go build -o "$work/" ./cmd/toucanhaven ./cmd/toucanstub

# wait_word FILE COMMAND runs the sed command on the file until it prints a line, for at
# most 10 s, and prints the first one.
wait_word() {
	for _ in $(seq 200); do
		word=$(sed -n "$2" "$1" 2>/dev/null | head -1)
		if [ -n "$word" ]; then echo "$word"; return; fi
		sleep 0.05
	done
	echo "no address in $1" >&2
	return 1
}

# start_kv starts the key-value service and sets kv to its address.
start_kv() {
	rm -f "$work/kv.out"
	"$work/toucanstub" kv --address 127.0.0.1:0 >"$work/kv.out" 2>&1 &
	pids+=($!)
	kv=$(wait_word "$work/kv.out" 's/.*address=//p')
}

# start_node NAME starts a node and sets NAME_pid to its process id. The node writes its
# addresses to NAME.json.
start_node() {
	cat >"$work/$1.toml" <<-END
		caller_address = "127.0.0.1:0"
		peer_address = "127.0.0.1:0"
		control_address = "127.0.0.1:0"
		admin_address = "127.0.0.1:0"
		data_centre = "mi-1"
		region = "lombardia"
		kv_address = "$kv"
		pprof = true
	END
	"$work/toucanhaven" node --settings "$work/$1.toml" --addresses "$work/$1.json" 2>"$work/$1.log" &
	pids+=($!)
	eval "$1_pid=$!"
}

# start_backend SERVICE NODE starts a backend server beside a node and sets backend to
# its address.
start_backend() {
	rm -f "$work/backend-$2.out"
	"$work/toucanstub" backend --service "$1" --node "$work/$2.json" --time 0s --slots 1000 --queue 10000 --size 1024 \
		>"$work/backend-$2.out" 2>&1 &
	pids+=($!)
	backend=$(wait_word "$work/backend-$2.out" 's/.*address=\([^ ]*\).*/\1/p')
}
