package main

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestDemoOutcomesAgreeWithRuns guards against an outcome or a line of a request log
// that differs from what the backend servers ran while nodes are overloaded. It checks
// no rates or times.
func TestDemoOutcomesAgreeWithRuns(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	d := &demo{seconds: minDemoSeconds, surge: 2, seed: 7, out: &out}
	result, err := d.run(t.Context())
	is.NoErr(err)
	t.Log(out.String())
	is.Equal(len(result.disagreements), 0)
	is.True(result.runs > 0)
}

// TestDemoComparisonFindsDisagreements guards against a comparison that overlooks
// outcomes that differ from the runs.
func TestDemoComparisonFindsDisagreements(t *testing.T) {
	tests := []struct {
		name         string
		class        int
		outcome      demoOutcome
		root, deep   int
		log          string // outcome logged for the root run
		disagreement bool
	}{
		{"answered", 1, demoOK, 1, 1, "answered", false},
		{"answered_without_a_run", 1, demoOK, 0, 0, "", true},
		{"refused", 1, demoRefused, 0, 0, "", false},
		{"refused_but_ran", 1, demoRefused, 1, 0, "answered", true},
		{"order_ran_twice", 0, demoUnknown, 2, 0, "unknown", true},
		{"run_not_logged", 1, demoUnknown, 1, 0, "", true},
		{"logged_as_answered_without_a_run", 1, demoUnknown, 0, 0, "answered", true},
		{"unknown_that_did_not_begin", 1, demoUnknown, 0, 0, "unknown", false},
		{"other_answer", 1, demoWrong, 1, 1, "answered", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := &demoFleet{startedRuns: map[runKey]int{}, log: newRunLog()}
			service := demoClasses[tt.class].service
			f.startedRuns[runKey{"r", service}], f.startedRuns[runKey{"r", demoDeepService}] = tt.root, tt.deep
			logRun := func(service, outcome string) {
				f.log.Write([]byte("time=0 level=INFO event=request_run request_id=r service=" + service + " outcome=" + outcome + "\n"))
			}
			if tt.log != "" {
				logRun(service, tt.log)
			}
			for range tt.deep {
				logRun(demoDeepService, "answered")
			}
			result := compareWithRuns([]demoRequest{{class: tt.class, id: "r", outcome: tt.outcome}}, f)
			is.Equal(len(result.disagreements) > 0, tt.disagreement)
		})
	}
}
