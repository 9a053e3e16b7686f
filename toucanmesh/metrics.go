package toucanmesh

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"toucanhaven/toucancall"
	"toucanhaven/toucanledger"
)

// meter counts requests and serves all metrics in the Prometheus text format.
type meter struct {
	set        *metrics.Set
	oddEntries *metrics.Counter // entries of the store that could not be used, each time they are read
}

func newMeter() *meter {
	set := metrics.NewSet()
	return &meter{set: set, oddEntries: set.NewCounter("toucan_odd_entries_total")}
}

// Observe counts a request of a route and records its duration.
func (m *meter) Observe(route string, status int, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`toucan_requests_total{route=%q,status="%d"}`, route, status)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`toucan_request_seconds{route=%q}`, route)).Update(took.Seconds())
}

// CountAttempt counts an attempt to send a request to a node.
func (m *meter) CountAttempt(outcome toucancall.Outcome, reason toucancall.Reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`toucan_attempts_total{outcome=%q,reason=%q}`, outcome, reason)).Inc()
}

// closedConn returns a function that counts connections of a listener that were closed because the
// process ran short of something.
func (m *meter) closedConn(listener string) func(toucanledger.Shortage) {
	return func(s toucanledger.Shortage) {
		m.set.GetOrCreateCounter(fmt.Sprintf(`toucan_connections_closed_total{listener=%q,shortage=%q}`, listener, s)).Inc()
	}
}

// addGauges registers the gauges of a node.
func (m *meter) addGauges(n *Node) {
	gauge := func(name string, f func() float64) { m.set.NewGauge("toucan_"+name, f) }
	gauge("backend_running", func() float64 { return float64(n.runner.Report().Running) })
	gauge("backend_queued", func() float64 { return float64(n.runner.Report().Queued) })
	gauge("backend_limit", func() float64 { return float64(n.runner.Report().Limit) })
	gauge("backend_failure_share", func() float64 { return n.runner.Report().Failures })
	gauge("pressure_below", n.entry.Pressure)
	gauge("requests_active", func() float64 { return float64(n.server.Active()) })
	gauge("body_bytes", func() float64 { return float64(n.bodies.Used()) })
	gauge("body_bytes_limit", func() float64 { return float64(n.bodies.Limit()) })
	gauge("caller_connections", func() float64 { return float64(n.ledger.Conns()) })
	gauge("caller_connections_limit", func() float64 { return float64(n.limits.CallerConns) })
	gauge("caller_kernel_bytes", func() float64 { return float64(n.ledger.KernelBytes()) })
	gauge("caller_kernel_bytes_limit", func() float64 { return float64(n.limits.KernelBytes) })
	gauge("members", func() float64 { return float64(n.fleet.Size()) })
	gauge("configuration_version", func() float64 { return float64(n.configVersion()) })
	gauge("log_lines_dropped", func() float64 { return float64(n.dropped()) })
	gauge("store_lost", func() float64 {
		if n.store.isUnreachable() {
			return 1
		}
		return 0
	})
}

// ServeHTTP writes all metrics.
func (m *meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) { m.set.WritePrometheus(w) }
