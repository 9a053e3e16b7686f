package toucanonce

import (
	"fmt"
	"testing"

	"github.com/anishathalye/porcupine"

	"toucanhaven/toucancall"
)

// rejectedDesign is a small model of a design that was rejected. Two lease holders A
// and B each take their steps in order; the lease may expire at any point.
type rejectedDesign struct {
	leaseHolder string          // holder of the lease in the KV, "" if none
	hasRun      map[string]bool // holders that ran the request
	checkPassed map[string]bool // holders that passed their check
	step        int64
	runs        int
	history     []porcupine.Operation
}

// leasedPartitions takes a step of a design in which a home runs the keys of the
// partition whose lease it holds. It checks the lease, then writes to the backend
// server. The next holder reads the runs from the KV, which records finished runs
// only.
func leasedPartitions(d *rejectedDesign, holder, step string) {
	switch step {
	case "acquire":
		if d.leaseHolder == "" {
			d.leaseHolder = holder
		}
	case "check":
		d.checkPassed[holder] = d.leaseHolder == holder && len(d.hasRun) == 0
	case "write":
		d.runRequest(holder)
	}
}

// reassignedClaims takes a step of a design in which an entry claims the key for a
// home and forwards it. After the lease of the claim has expired, another entry
// claims the key for another home.
func reassignedClaims(d *rejectedDesign, holder, step string) {
	switch step {
	case "acquire":
		if d.leaseHolder == "" {
			d.leaseHolder = holder
		}
	case "check":
		d.checkPassed[holder] = d.leaseHolder == holder // the entry forwards to its own home
	case "write":
		if !d.hasRun[holder] { // the home knows its own runs
			d.runRequest(holder)
		}
	}
}

// runRequest records a run of the request at the backend server and the answer to the
// caller if the holder passed its check.
func (d *rejectedDesign) runRequest(holder string) {
	if !d.checkPassed[holder] {
		return
	}
	d.hasRun[holder] = true
	d.runs++
	r := result{toucancall.Answered, fmt.Sprintf("answer-%d", d.runs)}
	key := boundKey{text: "order-1"}
	d.history = append(d.history,
		porcupine.Operation{Input: operation{key, true}, Call: d.step, Output: r, Return: d.step},
		porcupine.Operation{Input: operation{key, false}, Call: 0, Output: r, Return: d.step + 1})
	d.step++
}

var holderSteps = []string{"acquire", "check", "write"}

// appendSchedules appends to all every order of the steps of A and B and the expiry
// of the lease, after a and b steps of A and B and the events in prefix.
func appendSchedules(a, b int, expired bool, prefix []string, all *[][]string) {
	if a == len(holderSteps) && b == len(holderSteps) && expired {
		*all = append(*all, prefix)
		return
	}
	next := func(event string) []string { return append(prefix[:len(prefix):len(prefix)], event) }
	if a < len(holderSteps) {
		appendSchedules(a+1, b, expired, next("A "+holderSteps[a]), all)
	}
	if b < len(holderSteps) {
		appendSchedules(a, b+1, expired, next("B "+holderSteps[b]), all)
	}
	if !expired {
		appendSchedules(a, b, true, next("lease expires"), all)
	}
}

// checkSchedules returns the number of schedules, the number of histories that the
// checker rejects, and the schedule and the history of the first rejected one.
func checkSchedules(design func(*rejectedDesign, string, string)) (total, rejected int, first []string, history []porcupine.Operation) {
	var all [][]string
	appendSchedules(0, 0, false, nil, &all)
	for _, schedule := range all {
		d := &rejectedDesign{hasRun: map[string]bool{}, checkPassed: map[string]bool{}}
		for _, event := range schedule {
			d.step += 2
			if event == "lease expires" {
				d.leaseHolder = ""
				continue
			}
			design(d, event[:1], event[2:])
		}
		if porcupine.CheckOperations(onceModel, d.history) {
			continue
		}
		if rejected == 0 {
			first, history = schedule, d.history
		}
		rejected++
	}
	return len(all), rejected, first, history
}

func printCheckedSchedules(design func(*rejectedDesign, string, string)) {
	total, rejected, first, history := checkSchedules(design)
	fmt.Printf("rejected %d of %d\n", rejected, total)
	for _, event := range first {
		fmt.Println(event)
	}
	fmt.Print(describe(history))
}

// The checker rejects leased partitions: a holder that is paused between its check
// and its write runs a key that the next holder runs too.
func Example_leasedPartitions() {
	printCheckedSchedules(leasedPartitions)
	// Output:
	// rejected 4 of 140
	// A acquire
	// A check
	// lease expires
	// B acquire
	// B check
	// A write
	// B write
	// [12] backend server runs order-1.0: answer-1
	// [0-13] call order-1.0: answered answer-1
	// [15] backend server runs order-1.0: answer-2
	// [0-16] call order-1.0: answered answer-2
}

// The checker rejects claims that are reassigned after their lease has expired: a
// home that is paused before its write runs a key that the second home runs too.
func Example_reassignedClaims() {
	printCheckedSchedules(reassignedClaims)
	// Output:
	// rejected 10 of 140
	// A acquire
	// A check
	// A write
	// lease expires
	// B acquire
	// B check
	// B write
	// [6] backend server runs order-1.0: answer-1
	// [0-7] call order-1.0: answered answer-1
	// [15] backend server runs order-1.0: answer-2
	// [0-16] call order-1.0: answered answer-2
}

// Guards against a checker that accepts wrong histories and against one that rejects
// correct histories.
func TestCheckerTellsHistoriesApart(t *testing.T) {
	key := boundKey{text: "k"}
	run := func(time int64, body string) porcupine.Operation {
		return porcupine.Operation{Input: operation{key, true}, Call: time, Output: result{body: body}, Return: time}
	}
	call := func(start, end int64, outcome toucancall.Outcome, body string) porcupine.Operation {
		return porcupine.Operation{Input: operation{key, false}, Call: start, Output: result{outcome, body}, Return: end}
	}
	tests := []struct {
		name    string
		history []porcupine.Operation
		want    bool
	}{
		{"answered_twice", []porcupine.Operation{run(2, "a"), call(1, 3, toucancall.Answered, "a"), call(4, 5, toucancall.Answered, "a")}, true},
		{"unknown_then_run", []porcupine.Operation{call(1, 2, toucancall.Unknown, ""), run(3, "a")}, true},
		{"not_run_twice", []porcupine.Operation{call(1, 2, toucancall.NotRun, ""), call(3, 4, toucancall.NotRun, "")}, true},
		{"two_runs", []porcupine.Operation{run(1, "a"), run(2, "b")}, false},
		{"not_run_then_run", []porcupine.Operation{call(1, 2, toucancall.NotRun, ""), run(3, "a")}, false},
		{"run_then_not_run", []porcupine.Operation{run(1, "a"), call(2, 3, toucancall.NotRun, "")}, false},
		{"answer_of_no_run", []porcupine.Operation{call(1, 2, toucancall.Answered, "a")}, false},
		{"another_answer", []porcupine.Operation{run(1, "a"), call(2, 3, toucancall.Answered, "b")}, false},
		{"answer_before_run", []porcupine.Operation{call(1, 2, toucancall.Answered, "a"), run(3, "a")}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := porcupine.CheckOperations(onceModel, tt.history); got != tt.want {
				t.Errorf("accepted = %v, want %v", got, tt.want)
			}
		})
	}
}
