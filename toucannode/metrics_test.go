package toucannode

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"toucanhaven/toucancall"
	"toucanhaven/toucankvtest"
)

// metricsPage returns the metrics page of a node.
func (f *testFleet) metricsPage(n *Node) string {
	f.t.Helper()
	resp, err := http.Get("http://" + n.Addresses().Admin + "/metrics")
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return string(text)
}

// TestMetricsForOperators checks the names of the metrics that the alerts in
// docs/operators.md use.
func TestMetricsForOperators(t *testing.T) {
	is := is.New(t)
	p := newTestControlPlane(t)
	n := p.startFollowingNode("ordini", "a")
	p.startFollowingNode("ordini", "b")
	await(t, func() bool { return p.isAnswered(n) })
	is.Equal(p.applyClassFile(n, "ordini", 0, classFile("0.99")), http.StatusOK)
	p.do(n, "GET", "/orders", nil, toucancall.HeaderService, "nobody", toucancall.HeaderTimeout, "50")
	p.kv.SetFaults(toucankvtest.Faults{Down: true}) // makes the watch of the class file fail
	for _, want := range []string{
		`toucan_config_revision{service="ordini"} 1`, `toucan_members{state="alive"} 2`, `toucan_members{state="suspect"} 0`,
		"toucan_concurrency_limit ", "toucan_running 0", "toucan_queued 0", "toucan_load 0", "toucan_runs_in_flight 0",
		`toucan_unanswered_total{reason="no_backend"}`, `toucan_class_unanswered_total{service="other",class="other",outcome="not_run",reason="no_backend"}`,
		`toucan_kv_calls_total{op="get"}`, `toucan_kv_failures_total{op="watch"}`, `toucan_requests_total{outcome="answered"}`,
		`toucan_runs_total{outcome="answered"}`,
	} {
		await(t, func() bool { return strings.Contains(p.metricsPage(n), want) })
	}
}

// TestWorkAndRefusalSeries guards against an unbounded number of series, and
// against useful work that is counted as wasted.
func TestWorkAndRefusalSeries(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	n := f.startNode("", nil)
	call := toucancall.Call{Service: "ordini", Class: "read_order"}
	n.metrics.countRun(call, toucancall.Answered, 200, 4e9)
	n.metrics.countRun(call, toucancall.Answered, 502, 1e9)
	n.metrics.countRun(call, toucancall.Unknown, 0, 2e9)
	is.True(strings.Contains(f.metricsPage(n), `toucan_wasted_run_seconds_total{service="ordini",class="read_order"} 3`))
	for i := range 2 * maxRefusalSeries {
		made := toucancall.Call{Service: "s", Class: fmt.Sprint(i)}
		n.metrics.countRun(made, toucancall.Failed, 0, 1)
		n.metrics.countRefusal(made, &Refusal{Outcome: toucancall.NotRun, Reason: toucancall.ReasonOverload}, true)
	}
	page := f.metricsPage(n)
	is.Equal(strings.Count(page, "toucan_wasted_run_seconds_total{"), maxClassSeries+1)
	is.Equal(strings.Count(page, "toucan_class_unanswered_total{"), maxRefusalSeries+1)
}
