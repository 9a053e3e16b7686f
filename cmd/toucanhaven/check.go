package main

import (
	"fmt"

	"toucanhaven/toucanclass"
)

// checkReply is the JSON output of check.
type checkReply struct {
	Service  string                `json:"service,omitempty"`
	Classes  []checkedClass        `json:"classes,omitempty"`
	Problems []toucanclass.Problem `json:"problems,omitempty"`
}

type checkedClass struct {
	Name string           `json:"name"`
	Rank toucanclass.Rank `json:"rank"`
}

// checkCommand checks a class file without calling a node.
func checkCommand() command {
	var name string
	var asJSON, canonical bool
	flags := newCommand("check", "check a class file", "check ordini.toml")
	flags.AddPositionalValue(&name, "FILE", 1, true, "class file")
	flags.Bool(&asJSON, "j", "json", "print the result as JSON")
	flags.Bool(&canonical, "c", "canonical", "print the class file in its canonical form")
	return command{flags: flags, run: func() int {
		_, file, exit := readClassFile(name, asJSON)
		if exit != exitOK {
			return exit
		}
		ordered, _ := toucanclass.ParseFile(name, file.Canonical())
		reply := checkReply{Service: file.Service}
		for _, class := range ordered.Classes {
			reply.Classes = append(reply.Classes, checkedClass{Name: class.Name, Rank: class.Rank()})
		}
		switch {
		case canonical:
			fmt.Printf("%s", file.Canonical())
		case asJSON:
			printJSON(reply)
		default:
			fmt.Printf("%s: service %s, %d classes, served in this order under overload:\n", name, file.Service, len(ordered.Classes))
			for _, class := range ordered.Classes {
				fmt.Printf("  %s\n", class.Name)
			}
		}
		return exitOK
	}}
}
