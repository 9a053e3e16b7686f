package main

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"toucanhaven/toucanclock"
	"toucanhaven/toucanconfig"
	"toucanhaven/toucankv"
	"toucanhaven/toucankvtest"
)

// TestSessions guards against changes to what operators and their programs read:
// texts, JSON and exit statuses.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/session",
		Setup: startNode,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"fault": setFault, "exits": checkExit,
		},
		UpdateScripts: os.Getenv("UPDATE_SCRIPTS") != "",
	})
}

// startNode serves the admin API of a node that uses a key-value service with fault
// injection.
func startNode(env *testscript.Env) error {
	kv := httptest.NewServer(&toucankvtest.Server{})
	env.Defer(kv.Close)
	client := toucankv.NewClient(strings.TrimPrefix(kv.URL, "http://"), toucankv.WithTimeout(200*time.Millisecond))
	var mu sync.Mutex
	var store toucanconfig.Store
	admin := toucanconfig.Admin{
		KV:      client,
		Clock:   toucanclock.NewManual(time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)),
		Timeout: time.Second,
		InForce: func(service string) (toucanconfig.Document, bool) {
			mu.Lock()
			defer mu.Unlock()
			return store.Get(service)
		},
		Distribute: func(_ context.Context, d toucanconfig.Document) {
			mu.Lock()
			defer mu.Unlock()
			store.Install(d)
		},
	}
	mux := http.NewServeMux()
	admin.Register(mux)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, `{"node":"127.0.0.1:7701","services":[{"service":"ordini","revision":2}]}`)
	})
	mux.HandleFunc("POST /drain", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, `{"leaving":true}`) })
	node := httptest.NewServer(mux)
	env.Defer(node.Close)
	env.Setenv("ADMIN", strings.TrimPrefix(node.URL, "http://"))
	env.Setenv("KV", kv.URL)
	return nil
}

// setFault implements "fault JSON". It sets the faults of the key-value service.
func setFault(ts *testscript.TestScript, _ bool, args []string) {
	request, err := http.NewRequest(http.MethodPut, ts.Getenv("KV")+"/test/faults", strings.NewReader(args[0]))
	ts.Check(err)
	response, err := http.DefaultClient.Do(request)
	ts.Check(err)
	response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		ts.Fatalf("fault %s: status %d", args[0], response.StatusCode)
	}
}

// checkExit implements "exits STATUS COMMAND...". It runs a command and checks its
// exit status.
func checkExit(ts *testscript.TestScript, _ bool, args []string) {
	got := "0"
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		got = strings.TrimPrefix(err.Error(), "exit status ")
	}
	if got != args[0] {
		ts.Fatalf("exit status %s, want %s", got, args[0])
	}
}
