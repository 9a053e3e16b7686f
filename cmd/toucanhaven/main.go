// Command toucanhaven is the node daemon and the operators' command line.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"
)

// Exit statuses of all subcommands.
const (
	exitOK       = 0
	exitFailure  = 1 // nothing took effect
	exitUsage    = 2 // bad input, settings or usage
	exitConflict = 3 // another operator's change came first
	exitUnknown  = 4 // the change may be in force now or later
)

const exitHelp = "Exit status: 0 ok, 1 failure, 2 bad input or usage, 3 conflict, 4 result unknown."

// command is a subcommand. Its run function returns the exit status.
type command struct {
	flags *flaggy.Subcommand
	run   func() int
}

func main() { os.Exit(run(os.Args[1:])) }

// run executes the command line args and returns the exit status.
func run(args []string) int {
	commands := []command{
		nodeCommand(), meshCommand(),
		checkCommand(), applyCommand(), showCommand(), historyCommand(), statusCommand(), drainCommand(),
	}
	parser := flaggy.NewParser("toucanhaven")
	parser.Description = "overload control for service call graphs"
	parser.Version = "development"
	parser.AdditionalHelpAppend = exitHelp
	for _, c := range commands {
		parser.AttachSubcommand(c.flags, 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, "toucanhaven:", err)
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

// newCommand returns a subcommand whose help text ends with an example and the
// exit statuses.
func newCommand(name, description, example string) *flaggy.Subcommand {
	flags := flaggy.NewSubcommand(name)
	flags.Description = description
	flags.AdditionalHelpAppend = "Example: toucanhaven " + example + "\n" + exitHelp
	return flags
}
