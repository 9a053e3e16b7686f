// Command toucanhaven is the node daemon and the operators' command line.
package main

import (
	"os"

	"github.com/integrii/flaggy"

	"toucanhaven/toucannode"
)

// Exit statuses.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2 // wrong command line or settings
)

// command is one subcommand. Its run function returns the exit status.
type command struct {
	sub *flaggy.Subcommand
	run func() int
}

func main() { os.Exit(run(os.Args[1:], toucannode.Options{})) }

// run carries out one command line. Tests pass parts for the node.
func run(args []string, parts toucannode.Options) int {
	parser := flaggy.NewParser("toucanhaven")
	parser.Description = "overload control for service call graphs"
	parser.Version = "development"
	parser.ShowCompletion = false
	commands := []command{nodeCommand(parts)}
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
