package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/integrii/flaggy"
)

// Defaults and bounds of the demo's flags.
const (
	defaultDemoSeconds = 30
	minDemoSeconds     = 4
	maxDemoSeconds     = 300
	defaultDemoSurge   = 5
)

// demoPhase is a part of the demo with its own load and faults.
type demoPhase struct {
	name      string
	timeShare float64 // share of the length of the load
	surge     bool    // the least urgent class sends the surge
	slow      bool    // the deep service is slow
}

var demoPhases = []demoPhase{
	{name: "before", timeShare: 0.25},
	{name: "surge", timeShare: 0.25, surge: true},
	{name: "slow", timeShare: 0.15, surge: true, slow: true},
	{name: "after", timeShare: 0.35},
}

// demo is one run of the demonstration.
type demo struct {
	seconds int
	surge   float64 // demand of the least urgent class as a multiple of demoCapacityPerSecond
	seed    int
	out     io.Writer
}

func demoCommand() command {
	d := &demo{seconds: defaultDemoSeconds, surge: defaultDemoSurge, seed: 1, out: os.Stdout}
	flags := flaggy.NewSubcommand("demo")
	flags.Description = "run nodes and stand-ins in one process through an overload"
	flags.Int(&d.seconds, "", "seconds", "length of the load in seconds")
	flags.Float64(&d.surge, "", "surge", "demand of the least urgent class in the surge, as a multiple of the capacity")
	flags.Int(&d.seed, "", "seed", "seed of the load")
	return command{flags: flags, run: func() int {
		if d.seconds < minDemoSeconds || d.seconds > maxDemoSeconds || d.surge < 0 || d.surge > 20 {
			fmt.Fprintf(os.Stderr, "toucanstub demo: want --seconds from %d to %d and --surge from 0 to 20\n", minDemoSeconds, maxDemoSeconds)
			return exitUsage
		}
		result, err := d.run(context.Background())
		if err != nil {
			return fail(err)
		}
		if len(result.disagreements) > 0 {
			return exitError
		}
		return exitOK
	}}
}

// demoResult is the result of comparing the outcomes at callers with the runs.
type demoResult struct {
	requests      int
	runs          int
	disagreements []string
}

// run starts the fleet, sends the load and compares the outcomes with the runs.
func (d *demo) run(ctx context.Context) (result demoResult, err error) {
	fleet, err := newDemoFleet()
	if err != nil {
		return result, fmt.Errorf("demo: %w", err)
	}
	defer fleet.close()
	if err := fleet.start(ctx); err != nil {
		return result, fmt.Errorf("demo: %w", err)
	}
	load, err := newDemoLoad(fleet, uint64(d.seed))
	if err != nil {
		return result, fmt.Errorf("demo: %w", err)
	}
	report := &demoReport{out: d.out, load: load}
	report.printIntro(d)
	load.startSenders(d)
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for second := range d.seconds {
		phase := d.phaseAt(time.Duration(second) * time.Second)
		fleet.setSlow(phase.slow)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
		report.printSecond(second, phase.name)
	}
	fleet.setSlow(false)
	load.awaitSenders()
	if err := fleet.stop(); err != nil {
		fmt.Fprintln(d.out, "a node did not stop whole:", err)
	}
	result = compareWithRuns(load.requests(), fleet)
	report.printSummary(d, result)
	return result, nil
}

// phaseAt returns the phase at a time since the start of the load.
func (d *demo) phaseAt(at time.Duration) demoPhase {
	for i, phase := range demoPhases {
		if begin, end := d.phaseBounds(i); at >= begin && at < end {
			return phase
		}
	}
	return demoPhases[len(demoPhases)-1]
}

// phaseBounds returns the begin and the end of a phase as times since the start of
// the load. Both are whole seconds.
func (d *demo) phaseBounds(i int) (begin, end time.Duration) {
	sum := 0.0
	for _, p := range demoPhases[:i] {
		sum += p.timeShare
	}
	wholeSeconds := func(share float64) time.Duration { return time.Duration(share*float64(d.seconds)+0.5) * time.Second }
	return wholeSeconds(sum), wholeSeconds(sum + demoPhases[i].timeShare)
}
