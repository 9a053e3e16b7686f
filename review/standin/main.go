// Command standin plays the cases of the review that are scripts. It starts the nodes of
// toucanhaven as separate processes on loopback addresses, and it is itself the store,
// the backend servers and the clients.
//
// Usage: standin CASE RECORD. The environment variable TROUBLE=0 leaves the disruption
// out. The exit status is 0 if the rule held, 1 if it was broken and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime ends a case that hangs.
const maxRunTime = 115 * time.Second

// cases are the scripts by name. Each returns the violations of the rule that it saw.
var cases = map[string]func(d *deployment) (broken []string, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, recordFile string) int {
	rec, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	}
	d, err := newDeployment(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](d)
		done <- result{broken, err}
	}()
	status := exitNotRun
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			rec.printf("the case could not run: %v", r.err)
			fmt.Fprintln(os.Stderr, "standin:", r.err)
		case len(r.broken) > 0:
			status = exitBroken
			for _, b := range r.broken {
				rec.printf("BROKEN %s", b)
			}
			fmt.Printf("rule broken %d times, first: %s\n", len(r.broken), r.broken[0])
		default:
			status = exitHeld
			fmt.Println("rule held")
		}
	case <-time.After(maxRunTime):
		rec.printf("the case took longer than %v", maxRunTime)
	case s := <-signals:
		rec.printf("ended by %v", s)
	}
	d.close()
	rec.printf("exit status %d", status)
	rec.close()
	return status
}
