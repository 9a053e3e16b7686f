package toucannode

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"toucanhaven/toucanbalance"
	"toucanhaven/toucancall"
)

// Bounds on the number of series. Names beyond them share one series with the
// name "other".
const (
	maxClassSeries  = 500
	maxTenantSeries = 200
	// maxRefusalSeries allows four combinations of outcome and reason for each
	// class on average.
	maxRefusalSeries = 4 * maxClassSeries
	otherSeries      = "other"
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
		set.NewGauge(fmt.Sprintf("toucan_members{state=%q}", state), func() float64 { return float64(n.membersIn(state)) })
	}
	return &nodeMetrics{
		set:      set,
		requests: newSeries(set, `toucan_request_duration_seconds{service=%q,class=%q}`, maxClassSeries),
		tenants:  newSeries(set, `toucan_tenant_request_duration_seconds{tenant=%q%.0s}`, maxTenantSeries),
		runs:     newSeries(set, `toucan_run_duration_seconds{service=%q,class=%q}`, maxClassSeries),
		counters: map[string]*metrics.Counter{},
		refusals: map[refusalKey]*metrics.Counter{}, wasted: map[seriesKey]*metrics.FloatCounter{},
		revisions: map[string]uint64{},
	}
}

// membersIn counts the members of the local backend server's service in a state.
func (n *Node) membersIn(state toucanbalance.State) (count int) {
	m, ok := n.directory.(*membership)
	if !ok {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.local {
		if s.State == state {
			count++
		}
	}
	return count
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
func (m *nodeMetrics) refused(c toucancall.Call, r *Refusal, known bool) {
	m.count("toucan_unanswered_total", "reason", string(r.Reason))
	key := refusalKey{otherSeries, otherSeries, r.Outcome, r.Reason}
	if known {
		key.service, key.class = c.Service, c.Class
	}
	m.refusal(key).Inc()
}

// refusal returns the counter of a key. Beyond the bound, all classes share
// those of "other", of which there is one for each outcome and reason.
func (m *nodeMetrics) refusal(key refusalKey) *metrics.Counter {
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

// run counts a run at the local backend server.
func (m *nodeMetrics) run(c toucancall.Call, o toucancall.Outcome, status int, d time.Duration) {
	m.runs.get(seriesKey{c.Service, c.Class}).Update(d.Seconds())
	m.count("toucan_runs_total", "outcome", string(o))
	if o == toucancall.Failed || o == toucancall.Unknown || o == toucancall.Answered && status >= http.StatusInternalServerError {
		m.waste(seriesKey{c.Service, c.Class}).Add(d.Seconds())
	}
}

// waste returns the counter of the seconds spent on runs without a useful answer.
func (m *nodeMetrics) waste(key seriesKey) *metrics.FloatCounter {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.wasted[key]
	if c == nil && len(m.wasted) >= maxClassSeries {
		key = seriesKey{otherSeries, otherSeries}
		c = m.wasted[key]
	}
	if c == nil {
		c = m.set.NewFloatCounter(fmt.Sprintf("toucan_wasted_run_seconds_total{service=%q,class=%q}", key.a, key.b))
		m.wasted[key] = c
	}
	return c
}

// installed notes the revision of a class file in force. Notes of two revisions
// can arrive in either order.
func (m *nodeMetrics) installed(service string, revision uint64) {
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

// forgotten drops the revision of a service that is no longer followed, which
// bounds these series by maxViews.
func (m *nodeMetrics) forgotten(service string) {
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
