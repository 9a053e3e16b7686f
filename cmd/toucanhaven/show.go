package main

import (
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// showCommand prints the current class file of a service. The output can be edited
// and applied again, as the added lines are comments.
func showCommand() command {
	var admin adminFlags
	var service string
	flags := newCommand("show", "print the current class file of a service", "show --admin 127.0.0.1:7702 ordini > ordini.toml")
	admin.register(flags)
	flags.AddPositionalValue(&service, "SERVICE", 1, true, "service")
	return command{flags: flags, run: func() int {
		var reply documentReply
		exit := admin.callNode(http.MethodGet, "/config/"+url.PathEscape(service), nil, &reply)
		if exit != exitOK || admin.json {
			return exit
		}
		fmt.Printf("# service %s, revision %d by %s at %s; this node serves revision %d\n",
			reply.Service, reply.Revision, reply.Author, reply.Time.Format(time.RFC3339), reply.InForceRevision)
		if reply.Source == "node" {
			fmt.Println("# The key-value service does not answer; a later revision may exist.")
		}
		fmt.Print(reply.ClassFile)
		return exitOK
	}}
}
