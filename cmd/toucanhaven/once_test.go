package main

import (
	"encoding/json"
	"net/http"
	"os"
	"regexp"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"toucanhaven/toucannode"
)

// issueKeys implements "issuekeys addresses service count file". It asks the node
// with the given addresses file for idempotency keys of a service and writes them
// to file, one on each line.
func issueKeys(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 4 {
		ts.Fatalf("usage: issuekeys addresses service count file")
	}
	var addresses toucannode.Addresses
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[0])), &addresses))
	resp, err := http.Post("http://"+addresses.Caller+"/keys?service="+args[1]+"&count="+args[2], "", nil)
	ts.Check(err)
	defer resp.Body.Close()
	var answer struct{ Keys []string }
	ts.Check(json.NewDecoder(resp.Body).Decode(&answer))
	if len(answer.Keys) == 0 {
		ts.Fatalf("no keys were issued")
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[3]), []byte(strings.Join(answer.Keys, "\n")+"\n"), 0o644))
}

var requestIDField = regexp.MustCompile(`request_id=(\S+)`)

// countRequestIDs returns the number of lines of a file that contain text for each
// request id.
func countRequestIDs(ts *testscript.TestScript, file, text string) map[string]int {
	counts := map[string]int{}
	for line := range strings.SplitSeq(ts.ReadFile(file), "\n") {
		if !strings.Contains(line, text) {
			continue
		}
		// A caller's line may quote the request_id field of the answer. The
		// caller's own field is the last one.
		if ids := requestIDField.FindAllStringSubmatch(line, -1); len(ids) > 0 {
			counts[ids[len(ids)-1][1]]++
		}
	}
	return counts
}

// checkAtMostOnce implements "checkatmostonce runs log callers...". It compares the
// runs file of a backend server with the request log of its node and with the
// output of callers. Every order must have run at most once, and every run must be
// logged once. An order with outcome not_run at a caller must not have run, and an
// answered order must have run.
func checkAtMostOnce(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 3 {
		ts.Fatalf("usage: checkatmostonce runs log callers...")
	}
	runs, logged := countRequestIDs(ts, args[0], ""), countRequestIDs(ts, args[1], "event=request_run")
	for id, n := range runs {
		if n != 1 || logged[id] != 1 {
			ts.Fatalf("%s ran %d times and is logged %d times", id, n, logged[id])
		}
	}
	for id, n := range logged {
		if n != 1 {
			ts.Fatalf("%s is logged %d times", id, n)
		}
	}
	logAnswered := countRequestIDs(ts, args[1], "outcome=answered")
	for id := range logAnswered {
		if runs[id] != 1 {
			ts.Fatalf("%s is logged as answered and did not run", id)
		}
	}
	for _, callers := range args[2:] {
		for id := range countRequestIDs(ts, callers, "outcome=not_run") {
			if runs[id] != 0 || logged[id] != 0 {
				ts.Fatalf("%s: a caller was told not_run: %s ran", callers, id)
			}
		}
		for id := range countRequestIDs(ts, callers, "outcome=answered") {
			if runs[id] != 1 {
				ts.Fatalf("%s: a caller got an answer: %s did not run", callers, id)
			}
		}
	}
	ts.Logf("%d orders ran, %d are logged, %d of them as answered", len(runs), len(logged), len(logAnswered))
}
