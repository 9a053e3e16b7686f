// Command toucanstub runs stand-ins for tests: the key-value service, a backend
// server, a caller and a load generator. It also runs a demo that sends nodes through
// an overload.
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

// command is a subcommand. Its run function returns the exit status.
type command struct {
	flags *flaggy.Subcommand
	run   func() int
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	parser := flaggy.NewParser("toucanstub")
	parser.Description = "stand-ins for tests of toucanhaven"
	parser.ShowCompletion = false
	commands := []command{kvCommand(), backendCommand(), callerCommand(), loadCommand(), demoCommand()}
	for _, c := range commands {
		parser.AttachSubcommand(c.flags, 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		return exitUsage
	}
	for _, c := range commands {
		if c.flags.Used {
			return c.run()
		}
	}
	parser.ShowHelp()
	return exitUsage
}

// fail prints err to standard error and returns exitError.
func fail(err error) int {
	fmt.Fprintln(os.Stderr, "toucanstub:", err)
	return exitError
}

const (
	addressesTimeout      = 10 * time.Second
	addressesPollInterval = 5 * time.Millisecond
)

// readAddresses waits until a node has written its addresses to file, which it does
// as soon as it listens, and returns them.
func readAddresses(file string) (a toucannode.Addresses, err error) {
	for end := time.Now().Add(addressesTimeout); ; time.Sleep(addressesPollInterval) {
		var text []byte
		if text, err = os.ReadFile(file); err == nil {
			return a, json.Unmarshal(text, &a)
		}
		if time.Now().After(end) {
			return a, fmt.Errorf("read the addresses of the node: %w", err)
		}
	}
}
