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

// issueKeys writes keys of a service to a file: issuekeys addresses service
// count file.
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

// count returns how often each request id occurs in the lines of a file that
// hold a text.
func count(ts *testscript.TestScript, file, text string) map[string]int {
	counts := map[string]int{}
	for line := range strings.SplitSeq(ts.ReadFile(file), "\n") {
		if !strings.Contains(line, text) {
			continue
		}
		// The last field is the caller's; an answer may quote another one.
		if ids := requestIDField.FindAllStringSubmatch(line, -1); len(ids) > 0 {
			counts[ids[len(ids)-1][1]]++
		}
	}
	return counts
}

// agree checks what ran against what was said about it: agree runs log
// callers... Every order ran at most once, every run is logged once, and no order
// ran that a caller was told had not run. An order that was answered ran.
func agree(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 3 {
		ts.Fatalf("usage: agree runs log callers...")
	}
	runs, logged := count(ts, args[0], ""), count(ts, args[1], "event=request_run")
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
	logAnswered := count(ts, args[1], "outcome=answered")
	for id := range logAnswered {
		if runs[id] != 1 {
			ts.Fatalf("%s is logged as answered and did not run", id)
		}
	}
	for _, callers := range args[2:] {
		for id := range count(ts, callers, "outcome=not_run") {
			if runs[id] != 0 || logged[id] != 0 {
				ts.Fatalf("%s: a caller was told not_run: %s ran", callers, id)
			}
		}
		for id := range count(ts, callers, "outcome=answered") {
			if runs[id] != 1 {
				ts.Fatalf("%s: a caller got an answer: %s did not run", callers, id)
			}
		}
	}
	ts.Logf("%d orders ran, %d are logged, %d of them as answered", len(runs), len(logged), len(logAnswered))
}
