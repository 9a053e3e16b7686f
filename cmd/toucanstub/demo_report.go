package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"toucanhaven/toucancall"
)

// demoReport prints the measurements of the demo.
type demoReport struct {
	out          io.Writer
	load         *demoLoad
	printedCount int // finished requests that earlier lines count
}

func (r *demoReport) printIntro(d *demo) {
	fmt.Fprintf(r.out, "%d nodes beside backend servers; vetrina and ordini call magazzino, which runs %.0f requests/s.\n",
		len(r.load.fleet.nodes), demoCapacityPerSecond)
	fmt.Fprintf(r.out, "Load: %d s, seed %d. Surge: browse at %g times that capacity, with callers that retry.\n\n", d.seconds, d.seed, d.surge)
	fmt.Fprintln(r.out, "For each class: ok (answered whole with status 200), ref (refused as not run), bad (error")
	fmt.Fprintln(r.out, "status, failed or unknown), p99 of ok in ms against the latency target. Most urgent class first;")
	fmt.Fprintf(r.out, "last the learned concurrency limits beside magazzino, whose backend servers have %d slots each.\n", demoDeepSlots)
	fmt.Fprintln(r.out)
	line := fmt.Sprintf("%3s %-7s", "s", "phase")
	for i, c := range demoClasses {
		line += fmt.Sprintf(" | %-25s", fmt.Sprintf("%s %d", c.name, r.load.latencyTargets[i].Milliseconds()))
	}
	fmt.Fprintln(r.out, line+" | magazzino")
	fmt.Fprintln(r.out, fmt.Sprintf("%11s", "")+strings.Repeat(fmt.Sprintf(" | %5s %6s %5s %6s", "ok", "ref", "bad", "p99"), len(demoClasses))+" | limits")
}

// printSecond prints one line for the requests that finished since the previous line.
func (r *demoReport) printSecond(second int, phase string) {
	all := r.load.requests()
	line := fmt.Sprintf("%3d %-7s", second+1, phase)
	for i := range demoClasses {
		c := countRequests(all[r.printedCount:], i)
		line += fmt.Sprintf(" | %5d %6d %5d %6s", c.ok, c.refused, c.bad, p99Text(c.latencies))
	}
	r.printedCount = len(all)
	fmt.Fprintln(r.out, line+" | "+strings.Join(r.load.fleet.deepLimits(), " "))
}

// demoCounts counts requests of one class by outcome.
type demoCounts struct {
	ok, refused, bad int
	latencies        []time.Duration // of the ok requests
}

func countRequests(all []demoRequest, class int) (c demoCounts) {
	for _, q := range all {
		switch {
		case q.class != class:
		case q.outcome == demoOK:
			c.ok++
			c.latencies = append(c.latencies, q.latency)
		case q.outcome == demoRefused:
			c.refused++
		default:
			c.bad++
		}
	}
	return c
}

// p99Text returns the 99th percentile of latencies in milliseconds, or "-" if there
// are none.
func p99Text(latencies []time.Duration) string {
	if len(latencies) == 0 {
		return "-"
	}
	slices.Sort(latencies)
	return fmt.Sprint(latencies[(len(latencies)*99-1)/100].Milliseconds())
}

// goodput returns the number of ok requests per second that finished between begin
// and end.
func goodput(all []demoRequest, begin, end time.Duration) float64 {
	ok := 0
	for _, q := range all {
		if q.outcome == demoOK && q.endedAt >= begin && q.endedAt < end {
			ok++
		}
	}
	return float64(ok) / (end - begin).Seconds()
}

const (
	recoveredGoodputShare = 0.95
	recoveryWindow        = time.Second
	recoveryStep          = 100 * time.Millisecond
)

// recoveryTime returns the time from the end of the overload to the begin of the first
// window of one second with at least recoveredGoodputShare of the goodput before the
// overload. It reports whether there is such a window.
func (d *demo) recoveryTime(all []demoRequest, before float64) (time.Duration, bool) {
	begin, end := d.phaseBounds(len(demoPhases) - 1)
	for at := begin; at+recoveryWindow <= end; at += recoveryStep {
		if goodput(all, at, at+recoveryWindow) >= recoveredGoodputShare*before {
			return at - begin, true
		}
	}
	return 0, false
}

func (r *demoReport) printSummary(d *demo, result demoResult) {
	all := r.load.requests()
	fmt.Fprintln(r.out)
	before := 0.0
	for i, phase := range demoPhases {
		begin, end := d.phaseBounds(i)
		rate := goodput(all, begin, end)
		if i == 0 {
			before = rate
		}
		fmt.Fprintf(r.out, "goodput %-7s %6.1f requests/s\n", phase.name, rate)
	}
	if at, ok := d.recoveryTime(all, before); ok {
		fmt.Fprintf(r.out, "recovery to %.0f%% of the goodput before, after the end of the overload: %.1f s\n", 100*recoveredGoodputShare, at.Seconds())
	} else {
		fmt.Fprintf(r.out, "recovery to %.0f%% of the goodput before: not reached\n", 100*recoveredGoodputShare)
	}
	surgeBegin, _ := d.phaseBounds(1)
	_, surgeEnd := d.phaseBounds(2)
	var during []demoRequest
	for _, q := range all {
		if q.endedAt >= surgeBegin && q.endedAt < surgeEnd {
			during = append(during, q)
		}
	}
	for i, class := range demoClasses {
		c := countRequests(during, i)
		fmt.Fprintf(r.out, "during the overload %-19s kept %5.1f%% (%d ok, %d refused, %d bad%s)\n",
			class.name, 100*float64(c.ok)/float64(max(1, c.ok+c.refused+c.bad)), c.ok, c.refused, c.bad, reasonsText(during, i))
	}
	if r.load.unsentSurge > 0 {
		fmt.Fprintf(r.out, "surge requests not sent because %d were in flight: %d\n", maxSurgeInFlight, r.load.unsentSurge)
	}
	if len(result.disagreements) == 0 {
		fmt.Fprintf(r.out, "outcomes: all %d agree with the %d runs of the backend servers and with the request log\n", result.requests, result.runs)
		return
	}
	fmt.Fprintf(r.out, "outcomes: %d DISAGREE with what ran, of %d requests and %d runs\n", len(result.disagreements), result.requests, result.runs)
	for _, text := range result.disagreements[:min(20, len(result.disagreements))] {
		fmt.Fprintln(r.out, "  "+text)
	}
}

// reasonsText lists the outcomes and reasons of the requests of one class that have a
// reason, with their numbers.
func reasonsText(all []demoRequest, class int) (text string) {
	counts := map[string]int{}
	for _, q := range all {
		if q.class == class && q.reason != "" {
			counts[string(q.outcome)+"/"+string(q.reason)]++
		}
	}
	for i, name := range slices.Sorted(maps.Keys(counts)) {
		if i == 0 {
			text = ":"
		}
		text += fmt.Sprintf(" %s %d", name, counts[name])
	}
	return text
}

// compareWithRuns checks the outcomes at the callers and the request logs of the nodes
// against the runs of the backend servers.
func compareWithRuns(all []demoRequest, f *demoFleet) (result demoResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	disagree := func(format string, args ...any) {
		result.disagreements = append(result.disagreements, fmt.Sprintf(format, args...))
	}
	result.requests = len(all)
	for _, q := range all {
		c := demoClasses[q.class]
		runs, deep := f.startedRuns[runKey{q.id, c.service}], f.startedRuns[runKey{q.id, demoDeepService}]
		switch q.outcome {
		case demoWrong:
			disagree("%s: the answer is not the whole answer to this request", q.id)
		case demoOK, demoError, demoFailed:
			if runs == 0 {
				disagree("%s: outcome %s, but it did not run", q.id, q.outcome)
			}
		case demoRefused:
			if runs+deep > 0 {
				disagree("%s: refused as not run, but it ran %d times, and %d times at %s", q.id, runs, deep, demoDeepService)
			}
		}
		if q.outcome == demoOK && deep == 0 {
			disagree("%s: answered, but its child call did not run", q.id)
		}
		if c.atMostOnce && runs > 1 {
			disagree("%s: of an at-most-once class, but it ran %d times", q.id, runs)
		}
	}
	keys := map[runKey]bool{}
	for key, n := range f.startedRuns {
		result.runs += n
		keys[key] = true
	}
	for key := range f.log.runs {
		keys[key] = true
	}
	for key := range keys {
		// A run that is logged with outcome unknown may or may not have begun.
		ran, logged := f.startedRuns[key], f.log.runs[key]
		certain := logged[toucancall.Answered] + logged[toucancall.Failed]
		if ran < certain || ran > certain+logged[toucancall.Unknown] {
			disagree("%s at %s: ran %d times, but the request log says %v", key.requestID, key.service, ran, logged)
		}
	}
	slices.Sort(result.disagreements)
	return result
}
