package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"sync/atomic"
	"time"

	"github.com/integrii/flaggy"

	"toucanhaven/toucanclass"
	"toucanhaven/toucanconfig"
	"toucanhaven/toucanresponse"
)

const (
	defaultAdmin = "127.0.0.1:7702"
	// adminTimeout is longer than a node takes to apply a change. The node then
	// reports an unknown result before the command times out.
	adminTimeout  = 20 * time.Second
	maxReplyBytes = 4 << 20
)

// adminFlags are the flags of the commands that call the admin API of a node.
type adminFlags struct {
	address string
	json    bool
}

func (a *adminFlags) register(flags *flaggy.Subcommand) {
	a.address = defaultAdmin
	flags.String(&a.address, "a", "admin", "admin address of a node")
	flags.Bool(&a.json, "j", "json", "print the node's answer as JSON")
}

// documentReply is the reply to show and to an accepted apply.
type documentReply struct {
	Service          string    `json:"service"`
	Revision         uint64    `json:"revision"`
	PreviousRevision uint64    `json:"previous_revision"`
	Author           string    `json:"author"`
	Time             time.Time `json:"time"`
	ClassFile        string    `json:"class_file"`
	Source           string    `json:"source"`
	InForceRevision  uint64    `json:"in_force_revision"`
}

// errorReply is the reply to a request that failed.
type errorReply struct {
	Error    string                `json:"error"`
	Reason   string                `json:"reason"`
	Problems []toucanclass.Problem `json:"problems"`
	Current  *toucanconfig.Change  `json:"current"`
	Nonce    string                `json:"nonce"`
}

// callNode sends a request to the node and decodes a response with status 200 into
// reply. It prints every error and returns its exit status. A write without a
// response has an unknown result, unless no connection to the node was obtained and
// the request was therefore never sent.
func (a *adminFlags) callNode(method, path string, body, reply any) (status int) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return fail(exitFailure, "%v", err)
	}
	request, err := http.NewRequest(method, "http://"+a.address+path, bytes.NewReader(encoded))
	if err != nil {
		return fail(exitUsage, "%v", err)
	}
	var sent atomic.Bool
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}))
	failNoReply := func(err error) int {
		if method != http.MethodGet && sent.Load() {
			return fail(exitUnknown, "result unknown, the node's answer was lost: %v", err)
		}
		return fail(exitFailure, "%v", err)
	}
	transport := toucanresponse.Checked(http.DefaultTransport.(*http.Transport).Clone())
	client := &http.Client{Timeout: adminTimeout, Transport: transport}
	response, err := client.Do(request)
	if err != nil {
		return failNoReply(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return failNoReply(err)
	}
	if a.json {
		fmt.Printf("%s\n", bytes.TrimSpace(data))
	}
	if response.StatusCode != http.StatusOK {
		return a.printError(response.StatusCode, data)
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return failNoReply(err)
	}
	return exitOK
}

// printError prints the reason in an error response and returns its exit status.
// With --json the response is already printed.
func (a *adminFlags) printError(status int, data []byte) int {
	var m errorReply
	if json.Unmarshal(data, &m) != nil || m.Error == "" {
		m = errorReply{Reason: fmt.Sprintf("node answered with status %d: %.200s", status, bytes.TrimSpace(data))}
	}
	exit := map[string]int{"invalid": exitUsage, "conflict": exitConflict, "unknown": exitUnknown}[m.Error]
	if exit == 0 {
		exit = exitFailure
	}
	if a.json {
		return exit
	}
	fail(exit, "%s", m.Reason)
	if m.Error == "conflict" && m.Current != nil {
		fmt.Fprintf(os.Stderr, "Read the current class file with show, and apply again with --replaces %d.\n", m.Current.Revision)
	}
	return exit
}

// fail prints an error to standard error and returns exit.
func fail(exit int, format string, args ...any) int {
	fmt.Fprintf(os.Stderr, "toucanhaven: "+format+"\n", args...)
	return exit
}

// readClassFile reads and checks a class file. It prints the problems that it
// finds.
func readClassFile(name string, asJSON bool) (source []byte, file toucanclass.File, exit int) {
	source, err := os.ReadFile(name)
	if err != nil {
		return nil, file, fail(exitUsage, "%v", err)
	}
	file, err = toucanclass.ParseFile(name, source)
	if err == nil {
		return source, file, exitOK
	}
	var rejected *toucanclass.FileError
	if asJSON && errors.As(err, &rejected) {
		printJSON(checkReply{Problems: rejected.Problems})
	} else {
		fmt.Fprintln(os.Stderr, err)
	}
	return nil, file, exitUsage
}

func printJSON(v any) {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetEscapeHTML(false)
	encoder.Encode(v)
}
