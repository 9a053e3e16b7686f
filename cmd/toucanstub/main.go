// Command toucanstub runs stand-ins for tests: the key-value service, a backend
// server and a caller.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"
)

// command is a subcommand with what it runs.
type command struct {
	flags *flaggy.Subcommand
	run   func() error
}

func main() {
	commands := []command{kvCommand()}
	parser := flaggy.NewParser("toucanstub")
	parser.Description = "stand-ins for tests"
	for _, c := range commands {
		parser.AttachSubcommand(c.flags, 1)
	}
	if err := parser.Parse(); err != nil {
		os.Exit(2)
	}
	for _, c := range commands {
		if c.flags.Used {
			if err := c.run(); err != nil {
				fmt.Fprintln(os.Stderr, "toucanstub:", err)
				os.Exit(1)
			}
			return
		}
	}
	parser.ShowHelp()
	os.Exit(2)
}
