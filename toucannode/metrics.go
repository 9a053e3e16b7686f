package toucannode

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"toucanhaven/toucancall"
)

// Bounds on the number of series. Names beyond them share one series with the
// name "other".
const (
	maxClassSeries  = 500
	maxTenantSeries = 200
	otherSeries     = "other"
)

type seriesKey struct{ a, b string }

// series hands out histograms for a bounded number of names.
type series struct {
	set    *metrics.Set
	format string
	limit  int

	mu   sync.RWMutex
	all  map[seriesKey]*metrics.Histogram
	rest *metrics.Histogram
}

func newSeries(set *metrics.Set, format string, limit int) *series {
	return &series{set: set, format: format, limit: limit, all: map[seriesKey]*metrics.Histogram{}}
}

func (s *series) get(key seriesKey) *metrics.Histogram {
	s.mu.RLock()
	h, ok := s.all[key]
	s.mu.RUnlock()
	if ok {
		return h
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if h, ok := s.all[key]; ok {
		return h
	}
	if len(s.all) < s.limit {
		h := s.set.NewHistogram(fmt.Sprintf(s.format, key.a, key.b))
		s.all[key] = h
		return h
	}
	if s.rest == nil {
		s.rest = s.set.GetOrCreateHistogram(fmt.Sprintf(s.format, otherSeries, otherSeries))
	}
	return s.rest
}

// nodeMetrics are the metrics of one node.
type nodeMetrics struct {
	set      *metrics.Set
	requests *series // per service and class, at the entry
	tenants  *series // per tenant, at the entry
	runs     *series // per service and class, at the backend server

	mu       sync.RWMutex
	counters map[string]*metrics.Counter
}

func newNodeMetrics(n *Node) *nodeMetrics {
	set := metrics.NewSet()
	set.NewGauge("toucan_runs_in_flight", func() float64 { return float64(n.local.running()) })
	return &nodeMetrics{
		set:      set,
		requests: newSeries(set, `toucan_request_duration_seconds{service=%q,class=%q}`, maxClassSeries),
		tenants:  newSeries(set, `toucan_tenant_request_duration_seconds{tenant=%q%.0s}`, maxTenantSeries),
		runs:     newSeries(set, `toucan_run_duration_seconds{service=%q,class=%q}`, maxClassSeries),
		counters: map[string]*metrics.Counter{},
	}
}

// request counts a request that ended at its entry. A service that is not known
// gets no series, because callers can make up names.
func (m *nodeMetrics) request(c toucancall.Call, o toucancall.Outcome, known bool, d time.Duration) {
	key := seriesKey{otherSeries, otherSeries}
	if known {
		key = seriesKey{c.Service, c.Class}
	}
	m.requests.get(key).Update(d.Seconds())
	m.tenants.get(seriesKey{a: c.Tenant}).Update(d.Seconds())
	m.count("toucan_requests_total", "outcome", string(o))
}

// refused counts the reason of a request that was not answered.
func (m *nodeMetrics) refused(r *Refusal) {
	m.count("toucan_unanswered_total", "reason", string(r.Reason))
}

// run counts a run at the local backend server.
func (m *nodeMetrics) run(c toucancall.Call, o toucancall.Outcome, d time.Duration) {
	m.runs.get(seriesKey{c.Service, c.Class}).Update(d.Seconds())
	m.count("toucan_runs_total", "outcome", string(o))
}

// count adds one to a counter. Its values come from closed sets.
func (m *nodeMetrics) count(name, label, value string) {
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
