// Command toucanstub runs stand-ins for tests: the key-value service, a backend
// server, a caller, a load generator, and a demo of nodes that survive an overload.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"toucanhaven/toucannode"
)

// Exit statuses.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// command is one subcommand. Its run function returns the exit status.
type command struct {
	sub *flaggy.Subcommand
	run func() int
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	parser := flaggy.NewParser("toucanstub")
	parser.Description = "stand-ins for tests of toucanhaven"
	parser.ShowCompletion = false
	commands := []command{kvCommand(), backendCommand(), callerCommand(), loadCommand(), demoCommand()}
	for _, c := range commands {
		parser.AttachSubcommand(c.sub, 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		return exitUsage
	}
	for _, c := range commands {
		if c.sub.Used {
			return c.run()
		}
	}
	parser.ShowHelp()
	return exitUsage
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "toucanstub:", err)
	return exitError
}

const (
	addressesWait = 10 * time.Second
	addressesPoll = 5 * time.Millisecond
)

// readAddresses waits for the file that a node writes when it listens.
func readAddresses(file string) (a toucannode.Addresses, err error) {
	for end := time.Now().Add(addressesWait); ; time.Sleep(addressesPoll) {
		var text []byte
		if text, err = os.ReadFile(file); err == nil {
			return a, json.Unmarshal(text, &a)
		}
		if time.Now().After(end) {
			return a, fmt.Errorf("addresses of the node: %w", err)
		}
	}
}
