// Command review3 runs the cases of review/11 to review/15 that are scripts: it starts nodes of a
// small deployment as processes, plays the store, the backends, the clients and the platform, and
// judges what these see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout ends a case that hangs.
const caseTimeout = 110 * time.Second

// verdict is the result of a case.
type verdict struct {
	broken bool
	why    string
}

// cases are the cases by name. trouble tells whether the disruption is played.
var cases = map[string]func(rec *record, trouble bool) (verdict, error){
	"large-bodies":       largeBodies,
	"closed-request":     closedRequest,
	"slow-readers":       slowReaders,
	"late-pings":         lateHeartbeats,
	"stop-beside-upload": stopBesideUpload,
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE RECORD")
		return exitNotRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "review3:", err)
		return exitNotRun
	}
	defer file.Close()
	rec := newRecord(file)
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case", "name", os.Args[1], "trouble", trouble)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		verdict
		err error
	}
	done := make(chan result, 1)
	go func() {
		v, err := cases[os.Args[1]](rec, trouble)
		done <- result{v, err}
	}()
	// The nodes end with this process, whichever way it ends.
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			rec.line("not run", "err", r.err)
			fmt.Fprintln(os.Stderr, "review3:", r.err)
			return exitNotRun
		case r.broken:
			rec.line("BROKEN", "why", r.why)
			fmt.Println("broken:", r.why)
			return exitBroken
		}
		rec.line("HELD", "why", r.why)
		fmt.Println("held:", r.why)
		return exitHeld
	case <-time.After(caseTimeout):
		rec.line("not run", "err", "timeout")
	case <-stop:
		rec.line("not run", "err", "interrupted")
	}
	return exitNotRun
}
