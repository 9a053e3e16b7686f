package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
)

// statusCommand prints the status that a node reports at GET /status.
func statusCommand() command {
	var admin adminFlags
	flags := newCommand("status", "print the status of a node", "status --admin 127.0.0.1:7702")
	admin.register(flags)
	return command{flags: flags, run: func() int {
		var reply map[string]any
		exit := admin.callNode(http.MethodGet, "/status", nil, &reply)
		if exit == exitOK && !admin.json {
			printFields("", reply)
		}
		return exit
	}}
}

// printFields prints one line for each leaf value of a decoded JSON value. The
// names on the path to the value are joined with dots.
func printFields(prefix string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for _, name := range slices.Sorted(maps.Keys(v)) {
			printFields(prefix+"."+name, v[name])
		}
	case []any:
		for i, element := range v {
			printFields(fmt.Sprintf("%s.%d", prefix, i), element)
		}
	default:
		fmt.Printf("%s: %v\n", prefix[min(1, len(prefix)):], v)
	}
}
