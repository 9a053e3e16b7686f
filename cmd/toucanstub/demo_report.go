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

// demoReport prints what the demo measured.
type demoReport struct {
	out  io.Writer
	load *demoLoad
	read int // requests of earlier lines
}

func (r *demoReport) intro(d *demo) {
	fmt.Fprintf(r.out, "%d nodes beside backend servers; vetrina and ordini call magazzino, which runs %.0f requests/s.\n",
		len(r.load.fleet.nodes), demoCapacity)
	fmt.Fprintf(r.out, "Load: %d s, seed %d. Surge: browse at %g times that capacity, with callers that retry.\n\n", d.seconds, d.seed, d.surge)
	fmt.Fprintln(r.out, "For each class: ok (answered whole with status 200), ref (refused as not run), bad (error")
	fmt.Fprintln(r.out, "status, failed or unknown), p99 of ok in ms against the latency target. Most urgent class first;")
	fmt.Fprintf(r.out, "last the learned concurrency limits beside magazzino, whose backend servers have %d slots each.\n", demoDeepSlots)
	fmt.Fprintln(r.out)
	line := fmt.Sprintf("%3s %-7s", "s", "phase")
	for i, c := range demoClasses {
		line += fmt.Sprintf(" | %-25s", fmt.Sprintf("%s %d", c.name, r.load.targets[i].Milliseconds()))
	}
	fmt.Fprintln(r.out, line+" | magazzino")
	fmt.Fprintln(r.out, fmt.Sprintf("%11s", "")+strings.Repeat(fmt.Sprintf(" | %5s %6s %5s %6s", "ok", "ref", "bad", "p99"), len(demoClasses))+" | limits")
}

// second prints one line for the requests that ended since the line before.
func (r *demoReport) second(second int, phase string) {
	all := r.load.requests()
	line := fmt.Sprintf("%3d %-7s", second+1, phase)
	for i := range demoClasses {
		c := countRequests(all[r.read:], i)
		line += fmt.Sprintf(" | %5d %6d %5d %6s", c.ok, c.refused, c.bad, p99Text(c.latencies))
	}
	r.read = len(all)
	fmt.Fprintln(r.out, line+" | "+strings.Join(r.load.fleet.deepLimits(), " "))
}

// demoCounts sums up requests of one class.
type demoCounts struct {
	ok, refused, bad int
	latencies        []time.Duration // of the ok ones
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

func p99Text(latencies []time.Duration) string {
	if len(latencies) == 0 {
		return "-"
	}
	slices.Sort(latencies)
	return fmt.Sprint(latencies[(len(latencies)*99-1)/100].Milliseconds())
}

// goodput is the rate of ok requests that ended in a span.
func goodput(all []demoRequest, begin, end time.Duration) float64 {
	ok := 0
	for _, q := range all {
		if q.outcome == demoOK && q.ended >= begin && q.ended < end {
			ok++
		}
	}
	return float64(ok) / (end - begin).Seconds()
}

const (
	recoveryShare  = 0.95
	recoveryWindow = time.Second
	recoveryStep   = 100 * time.Millisecond
)

// recovery returns the time from the end of the cause until a window of one
// second has recoveryShare of the earlier goodput, counted to the begin of that
// window.
func (d *demo) recovery(all []demoRequest, before float64) (time.Duration, bool) {
	begin, end := d.bounds(len(demoPhases) - 1)
	for at := begin; at+recoveryWindow <= end; at += recoveryStep {
		if goodput(all, at, at+recoveryWindow) >= recoveryShare*before {
			return at - begin, true
		}
	}
	return 0, false
}

func (r *demoReport) summary(d *demo, result demoResult) {
	all := r.load.requests()
	fmt.Fprintln(r.out)
	before := 0.0
	for i, phase := range demoPhases {
		begin, end := d.bounds(i)
		rate := goodput(all, begin, end)
		if i == 0 {
			before = rate
		}
		fmt.Fprintf(r.out, "goodput %-7s %6.1f requests/s\n", phase.name, rate)
	}
	if at, ok := d.recovery(all, before); ok {
		fmt.Fprintf(r.out, "recovery to %.0f%% of the goodput before, after the end of the overload: %.1f s\n", 100*recoveryShare, at.Seconds())
	} else {
		fmt.Fprintf(r.out, "recovery to %.0f%% of the goodput before: not reached\n", 100*recoveryShare)
	}
	surgeBegin, _ := d.bounds(1)
	_, surgeEnd := d.bounds(2)
	var during []demoRequest
	for _, q := range all {
		if q.ended >= surgeBegin && q.ended < surgeEnd {
			during = append(during, q)
		}
	}
	for i, class := range demoClasses {
		c := countRequests(during, i)
		fmt.Fprintf(r.out, "during the overload %-19s kept %5.1f%% (%d ok, %d refused, %d bad%s)\n",
			class.name, 100*float64(c.ok)/float64(max(1, c.ok+c.refused+c.bad)), c.ok, c.refused, c.bad, reasonsText(during, i))
	}
	if r.load.unsent > 0 {
		fmt.Fprintf(r.out, "surge requests not sent because %d were in flight: %d\n", maxSurgeInFlight, r.load.unsent)
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

// reasonsText lists the reasons of the requests of one class that were not
// answered.
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

// compareWithRuns checks the outcomes and the request log against what the
// backend servers ran.
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
		runs, deep := f.ran[runKey{q.id, c.service}], f.ran[runKey{q.id, demoDeepService}]
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
	for key, n := range f.ran {
		result.runs += n
		keys[key] = true
	}
	for key := range f.log.runs {
		keys[key] = true
	}
	for key := range keys {
		// A run that the log calls unknown may or may not have begun.
		ran, logged := f.ran[key], f.log.runs[key]
		sure := logged[toucancall.Answered] + logged[toucancall.Failed]
		if ran < sure || ran > sure+logged[toucancall.Unknown] {
			disagree("%s at %s: ran %d times, but the request log says %v", key.requestID, key.service, ran, logged)
		}
	}
	slices.Sort(result.disagreements)
	return result
}
