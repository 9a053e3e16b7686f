package toucannode

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"toucanhaven/toucanbalance"
	"toucanhaven/toucancall"
	"toucanhaven/toucanledger"
)

// Bounds on the number of series. Names beyond them share one series with the
// name "other".
const (
	maxClassSeries  = 500
	maxTenantSeries = 200
	// maxRefusalSeries allows an average of four combinations of outcome and
	// reason per class.
	maxRefusalSeries = 4 * maxClassSeries
	otherSeries      = "other"
)

type seriesKey struct{ label1, label2 string }

// histogramSet holds the histograms of one metric for a bounded number of label
// values.
type histogramSet struct {
	set    *metrics.Set
	format string
	limit  int

	mu    sync.RWMutex
	byKey map[seriesKey]*metrics.Histogram
	other *metrics.Histogram
}

func newHistogramSet(set *metrics.Set, format string, limit int) *histogramSet {
	return &histogramSet{set: set, format: format, limit: limit, byKey: map[seriesKey]*metrics.Histogram{}}
}

func (s *histogramSet) get(key seriesKey) *metrics.Histogram {
	s.mu.RLock()
	h, ok := s.byKey[key]
	s.mu.RUnlock()
	if ok {
		return h
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if h, ok := s.byKey[key]; ok {
		return h
	}
	if len(s.byKey) < s.limit {
		h := s.set.NewHistogram(fmt.Sprintf(s.format, key.label1, key.label2))
		s.byKey[key] = h
		return h
	}
	if s.other == nil {
		s.other = s.set.GetOrCreateHistogram(fmt.Sprintf(s.format, otherSeries, otherSeries))
	}
	return s.other
}

// nodeMetrics are the metrics of one node.
type nodeMetrics struct {
	set      *metrics.Set
	requests *histogramSet // per service and class, at the entry
	tenants  *histogramSet // per tenant, at the entry
	runs     *histogramSet // per service and class, at the backend server

	mu        sync.RWMutex
	counters  map[string]*metrics.Counter
	refusals  map[refusalKey]*metrics.Counter // per class, at the entry
	wasted    map[seriesKey]*metrics.FloatCounter
	revisions map[string]uint64 // of the class files in force, by service
}

// refusalKey names a counter of requests that were not answered.
type refusalKey struct {
	service, class string
	outcome        toucancall.Outcome
	reason         toucancall.Reason
}

func newNodeMetrics(n *Node) *nodeMetrics {
	set := metrics.NewSet()
	set.NewGauge("toucan_runs_in_flight", func() float64 { return float64(n.local.runCount()) })
	set.NewGauge("toucan_concurrency_limit", func() float64 { return float64(n.admission.Status().Limit) })
	set.NewGauge("toucan_running", func() float64 { return float64(n.admission.Status().Running) })
	set.NewGauge("toucan_queued", func() float64 { return float64(n.admission.Status().Queued) })
	set.NewGauge("toucan_load", func() float64 { return float64(n.admission.Load()) })
	for _, state := range []toucanbalance.State{toucanbalance.Alive, toucanbalance.Suspect, toucanbalance.Leaving} {
		set.NewGauge(fmt.Sprintf("toucan_members{state=%q}", state), func() float64 { return float64(n.memberCount(state)) })
	}
	return &nodeMetrics{
		set:      set,
		requests: newHistogramSet(set, `toucan_request_duration_seconds{service=%q,class=%q}`, maxClassSeries),
		tenants:  newHistogramSet(set, `toucan_tenant_request_duration_seconds{tenant=%q%.0s}`, maxTenantSeries),
		runs:     newHistogramSet(set, `toucan_run_duration_seconds{service=%q,class=%q}`, maxClassSeries),
		counters: map[string]*metrics.Counter{},
		refusals: map[refusalKey]*metrics.Counter{}, wasted: map[seriesKey]*metrics.FloatCounter{},
		revisions: map[string]uint64{},
	}
}

// memberCount returns the number of members of the local backend server's
// service in a state.
func (n *Node) memberCount(state toucanbalance.State) (count int) {
	m, ok := n.directory.(*membership)
	if !ok {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.localServers {
		if s.State == state {
			count++
		}
	}
	return count
}

// countClosedConn counts a connection of a listener that was closed for a shortage.
func (m *nodeMetrics) countClosedConn(listener string, s toucanledger.Shortage) {
	m.set.GetOrCreateCounter(fmt.Sprintf("toucan_connections_closed_total{listener=%q,shortage=%q}", listener, s)).Inc()
}

// countRequest counts a request that ended at its entry. An unknown service
// gets no series of its own, because callers can invent names.
func (m *nodeMetrics) countRequest(c toucancall.Call, o toucancall.Outcome, known bool, d time.Duration) {
	key := seriesKey{otherSeries, otherSeries}
	if known {
		key = seriesKey{c.Service, c.Class}
	}
	m.requests.get(key).Update(d.Seconds())
	m.tenants.get(seriesKey{label1: c.Tenant}).Update(d.Seconds())
	m.increment("toucan_requests_total", "outcome", string(o))
}

// countRefusal counts a request that was not answered, by reason.
func (m *nodeMetrics) countRefusal(c toucancall.Call, r *Refusal, known bool) {
	m.increment("toucan_unanswered_total", "reason", string(r.Reason))
	key := refusalKey{otherSeries, otherSeries, r.Outcome, r.Reason}
	if known {
		key.service, key.class = c.Service, c.Class
	}
	m.refusalCounter(key).Inc()
}

// refusalCounter returns the counter of a key. Beyond maxRefusalSeries, all
// classes share the counters of "other", one per outcome and reason.
func (m *nodeMetrics) refusalCounter(key refusalKey) *metrics.Counter {
	m.mu.RLock()
	c := m.refusals[key]
	m.mu.RUnlock()
	if c != nil {
		return c
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.refusals[key]; c != nil {
		return c
	}
	if len(m.refusals) >= maxRefusalSeries {
		key.service, key.class = otherSeries, otherSeries
	}
	c = m.set.GetOrCreateCounter(fmt.Sprintf("toucan_class_unanswered_total{service=%q,class=%q,outcome=%q,reason=%q}",
		key.service, key.class, key.outcome, key.reason))
	m.refusals[key] = c
	return c
}

// countRun counts a run at the local backend server.
func (m *nodeMetrics) countRun(c toucancall.Call, o toucancall.Outcome, status int, d time.Duration) {
	m.runs.get(seriesKey{c.Service, c.Class}).Update(d.Seconds())
	m.increment("toucan_runs_total", "outcome", string(o))
	if o == toucancall.Failed || o == toucancall.Unknown || o == toucancall.Answered && status >= http.StatusInternalServerError {
		m.wastedCounter(seriesKey{c.Service, c.Class}).Add(d.Seconds())
	}
}

// wastedCounter returns the counter of the seconds spent on runs without a
// useful answer.
func (m *nodeMetrics) wastedCounter(key seriesKey) *metrics.FloatCounter {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.wasted[key]
	if c == nil && len(m.wasted) >= maxClassSeries {
		key = seriesKey{otherSeries, otherSeries}
		c = m.wasted[key]
	}
	if c == nil {
		c = m.set.NewFloatCounter(fmt.Sprintf("toucan_wasted_run_seconds_total{service=%q,class=%q}", key.label1, key.label2))
		m.wasted[key] = c
	}
	return c
}

// setRevision records the revision of a class file in force. It may be called
// for two revisions in either order.
func (m *nodeMetrics) setRevision(service string, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, known := m.revisions[service]
	m.revisions[service] = max(m.revisions[service], revision)
	if !known {
		m.set.NewGauge(revisionSeries(service), func() float64 {
			m.mu.RLock()
			defer m.mu.RUnlock()
			return float64(m.revisions[service])
		})
	}
}

// dropRevision removes the revision of a service that is no longer followed, so
// that maxViews bounds the number of these series.
func (m *nodeMetrics) dropRevision(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.revisions[service]; known {
		delete(m.revisions, service)
		m.set.UnregisterMetric(revisionSeries(service))
	}
}

func revisionSeries(service string) string {
	return fmt.Sprintf("toucan_config_revision{service=%q}", service)
}

// increment adds one to a counter. The label must have a fixed set of values, so
// that the number of series is bounded.
func (m *nodeMetrics) increment(name, label, value string) {
	m.mu.RLock()
	c := m.counters[name+value]
	m.mu.RUnlock()
	if c == nil {
		c = m.set.GetOrCreateCounter(fmt.Sprintf("%s{%s=%q}", name, label, value))
		m.mu.Lock()
		m.counters[name+value] = c
		m.mu.Unlock()
	}
	c.Inc()
}
