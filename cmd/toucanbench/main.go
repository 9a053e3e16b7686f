// Command toucanbench simulates the overload scenarios in virtual time and prints
// their results as tables.
package main

import (
	"fmt"
	"os"
	"sync"

	"github.com/integrii/flaggy"

	"toucanhaven/toucanscenario"
)

// defaultSeed is a fixed value, so runs without flags are reproducible.
const defaultSeed = 1

// tradeComparison is the value of --scenario that selects the comparison of admission
// policies, which is not one of the scenarios.
const tradeComparison = "trade"

func main() {
	seed, name, topology, method := uint64(defaultSeed), "", "", ""
	flaggy.SetName("toucanbench")
	flaggy.SetDescription("plays the overload scenarios in virtual time and prints their tables")
	flaggy.UInt64(&seed, "", "seed", "seed of the random source")
	flaggy.String(&name, "", "scenario", "name of the only scenario to play, or trade")
	flaggy.String(&topology, "", "topology", "name of the only deployment to play")
	flaggy.String(&method, "", "method", "name of the only method to play")
	flaggy.Parse()

	methods := toucanscenario.Methods()
	if method != "" {
		methods = []toucanscenario.Method{toucanscenario.Method(method)}
	}
	var selected []toucanscenario.Scenario
	for _, t := range toucanscenario.Topologies() {
		for _, sc := range toucanscenario.Scenarios(t) {
			if (name == "" || name == sc.Name) && (topology == "" || topology == t.Name) {
				selected = append(selected, sc)
			}
		}
	}
	if len(selected) == 0 && name != tradeComparison {
		fmt.Fprintf(os.Stderr, "no scenario %q for deployment %q\n", name, topology)
		os.Exit(1)
	}
	for _, sc := range selected {
		toucanscenario.Print(os.Stdout, runAll(sc, methods, seed))
	}
	if name == tradeComparison || name == "" && topology == "" {
		toucanscenario.PrintPolicyTradeoff(os.Stdout, seed)
	}
}

// runAll simulates one scenario with all methods concurrently. The runs share no
// state, so each is reproducible.
func runAll(sc toucanscenario.Scenario, methods []toucanscenario.Method, seed uint64) []toucanscenario.Report {
	reports := make([]toucanscenario.Report, len(methods))
	var wg sync.WaitGroup
	for i, m := range methods {
		wg.Go(func() { reports[i] = toucanscenario.Run(sc, m, seed) })
	}
	wg.Wait()
	return reports
}
