package main

import (
	"fmt"
	"net/http"
	"net/url"
	"os"
	"text/tabwriter"
	"time"

	"toucanhaven/toucanconfig"
)

// historyReply is the reply to GET /config/SERVICE/history.
type historyReply struct {
	Changes []toucanconfig.Change `json:"changes"`
	Source  string                `json:"source"`
}

// historyCommand prints the last changes of a service, newest first.
func historyCommand() command {
	var admin adminFlags
	var service string
	flags := newCommand("history", "print the last changes of a service", "history --admin 127.0.0.1:7702 ordini")
	admin.register(flags)
	flags.AddPositionalValue(&service, "SERVICE", 1, true, "service")
	return command{flags: flags, run: func() int {
		var reply historyReply
		exit := admin.callNode(http.MethodGet, "/config/"+url.PathEscape(service)+"/history", nil, &reply)
		if exit != exitOK || admin.json {
			return exit
		}
		table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "REVISION\tTIME\tAUTHOR\tNONCE")
		for i := len(reply.Changes) - 1; i >= 0; i-- {
			c := reply.Changes[i]
			fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", c.Revision, c.Time.Format(time.RFC3339), c.Author, c.Nonce)
		}
		table.Flush()
		return exitOK
	}}
}
