package main

import (
	"fmt"
	"net/http"
)

// drainCommand makes a node stop sending new calls to its backend server. Running
// calls finish.
func drainCommand() command {
	var admin adminFlags
	flags := newCommand("drain", "stop new calls to the backend server beside a node", "drain --admin 127.0.0.1:7702")
	admin.register(flags)
	return command{flags: flags, run: func() int {
		var reply map[string]any
		exit := admin.callNode(http.MethodPost, "/drain", nil, &reply)
		if exit == exitOK && !admin.json {
			fmt.Println("draining: the backend server receives no new calls, running calls finish")
		}
		return exit
	}}
}
