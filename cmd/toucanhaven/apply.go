package main

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"os"
)

// applyRequest is the body of POST /config/SERVICE.
type applyRequest struct {
	Replaces  uint64 `json:"replaces"`
	Author    string `json:"author"`
	Nonce     string `json:"nonce"`
	ClassFile string `json:"class_file"`
}

// applyCommand puts a class file in force.
func applyCommand() command {
	var admin adminFlags
	var file, author, nonce string
	var replaces = -1
	flags := newCommand("apply", "put a class file in force",
		"apply --admin 127.0.0.1:7702 --replaces 3 --author anna ordini.toml")
	admin.register(flags)
	flags.Int(&replaces, "r", "replaces", "revision that the file was made from; 0 for the first one")
	flags.String(&author, "u", "author", "your name, kept in the history")
	flags.String(&nonce, "n", "nonce", "nonce of an earlier apply with an unknown result, to repeat it safely")
	flags.AddPositionalValue(&file, "FILE", 1, true, "class file")
	return command{flags: flags, run: func() int {
		if replaces < 0 || author == "" {
			return fail(exitUsage, "apply needs --replaces and --author")
		}
		source, parsed, exit := readClassFile(file, admin.json)
		if exit != exitOK {
			return exit
		}
		if nonce == "" {
			nonce = rand.Text()
		}
		request := applyRequest{Replaces: uint64(replaces), Author: author, Nonce: nonce, ClassFile: string(source)}
		var reply documentReply
		exit = admin.callNode(http.MethodPost, "/config/"+parsed.Service, request, &reply)
		if exit == exitUnknown {
			fmt.Fprintf(os.Stderr, "Repeat the command with --nonce %s to find out; the change is not applied twice.\n", nonce)
		}
		if exit == exitOK && !admin.json {
			fmt.Printf("service %s: accepted as revision %d, the current revision is %d\n", reply.Service, replaces+1, reply.Revision)
		}
		return exit
	}}
}
