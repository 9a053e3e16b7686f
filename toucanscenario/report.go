package toucanscenario

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

const (
	// binWidth is the resolution of the goodput over time. The goodput has
	// recovered when its mean over recoveryBins bins is at least recoveredShare
	// of the goodput before the overload.
	binWidth       = 250 * time.Millisecond
	recoveryBins   = 4
	recoveredShare = 0.95
)

// classCounts counts the requests of one class that arrive during the overload.
type classCounts struct {
	offered, onTime                 int
	ordinaryOffered, ordinaryOnTime int
	latencies                       []time.Duration // of answered attempts of the callers
}

// metrics collects the measurements of a run.
type metrics struct {
	scenario               Scenario
	bins                   []float64 // requests answered on time, by time of arrival
	classes                []classCounts
	usefulWork, wastedWork time.Duration
	maxAttempts            int
	attempts, calls        int // of requests that arrive during the overload; without retries there is one attempt per call
}

func newMetrics(sc Scenario) *metrics {
	return &metrics{
		scenario: sc, bins: make([]float64, int(sc.ArrivalEnd/binWidth)+1),
		classes: make([]classCounts, len(sc.Topology.Classes)),
	}
}

func (m *metrics) countOffered(r *request) {
	if !m.scenario.duringOverload(r.createdAt) {
		return
	}
	c := &m.classes[r.classIndex]
	c.offered++
	if r.fromOrdinaryTenant {
		c.ordinaryOffered++
	}
}

func (m *metrics) recordLatency(r *request, latency time.Duration) {
	if m.scenario.duringOverload(r.createdAt) {
		c := &m.classes[r.classIndex]
		c.latencies = append(c.latencies, latency)
	}
}

// recordFinished counts a request that has finished at its caller.
func (m *metrics) recordFinished(r *request) {
	m.addWork(r, r.workTime)
	maxAttempts, sum := uint16(0), 0
	calls := len(r.class.Path)
	for _, n := range r.attemptsByService {
		maxAttempts = max(maxAttempts, n)
		sum += int(n)
	}
	if m.scenario.duringOverload(r.createdAt) && r.attemptsByService[r.class.Path[0]] > 0 {
		m.maxAttempts = max(m.maxAttempts, int(maxAttempts))
		m.attempts += sum
		m.calls += calls
	}
	if !r.onTime {
		return
	}
	m.bins[int(r.createdAt/binWidth)]++
	if m.scenario.duringOverload(r.createdAt) {
		c := &m.classes[r.classIndex]
		c.onTime++
		if r.fromOrdinaryTenant {
			c.ordinaryOnTime++
		}
	}
}

// addWork counts time that backend servers spend on a request, also after the
// request has finished.
func (m *metrics) addWork(r *request, d time.Duration) {
	if !m.scenario.duringOverload(r.createdAt) {
		return
	}
	if r.onTime {
		m.usefulWork += d
		return
	}
	m.wastedWork += d
}

// ClassReport contains the measurements of one class during the overload.
type ClassReport struct {
	Name           string
	LatencyTarget  time.Duration
	SuccessTarget  float64       // share of requests to be answered within LatencyTarget
	Offered        float64       // requests per second
	Goodput        float64       // requests per second
	IdealGoodput   float64       // requests per second
	OrdinaryShare  float64       // part of their fair share that the ordinary tenants got; -1 if they have none
	OrdinaryOnTime float64       // share of the ordinary tenants' requests that was answered on time
	P99            time.Duration // latency of answered requests
}

// Report contains the measurements of one run.
type Report struct {
	Scenario      string
	Topology      string
	Method        Method
	Goodput       float64       // requests per second during the overload
	IdealGoodput  float64       // requests per second during the overload
	GoodputBefore float64       // requests per second before the overload
	RecoveryTime  time.Duration // after the end of the overload; negative if the goodput does not recover
	WastedShare   float64       // share of the work that was done for requests not answered on time
	MaxAttempts   int           // most attempts of one request at one service
	MeanAttempts  float64       // attempts per call
	Classes       []ClassReport
}

func (m *metrics) buildReport(method Method) Report {
	sc := m.scenario
	seconds := (sc.OverloadEnd - sc.OverloadStart).Seconds()
	r := Report{Scenario: sc.Name, Topology: sc.Topology.Name, Method: method, MaxAttempts: m.maxAttempts}
	ideal := sc.idealGoodput()
	for i, c := range m.classes {
		class := sc.Topology.Classes[i]
		cr := ClassReport{
			Name: class.Name, LatencyTarget: class.Latency, SuccessTarget: class.Success,
			Offered: float64(c.offered) / seconds, Goodput: float64(c.onTime) / seconds,
			IdealGoodput: min(ideal[i], float64(c.offered)/seconds),
			P99:          percentile(c.latencies, 0.99),
		}
		if c.ordinaryOffered > 0 {
			cr.OrdinaryOnTime = float64(c.ordinaryOnTime) / float64(c.ordinaryOffered)
		}
		cr.OrdinaryShare = sc.ordinaryShare(c, cr.IdealGoodput*seconds)
		r.Goodput += cr.Goodput
		r.IdealGoodput += cr.IdealGoodput
		r.Classes = append(r.Classes, cr)
	}
	if total := m.usefulWork + m.wastedWork; total > 0 {
		r.WastedShare = m.wastedWork.Seconds() / total.Seconds()
	}
	if m.calls > 0 {
		r.MeanAttempts = float64(m.attempts) / float64(m.calls)
	}
	r.GoodputBefore = m.meanGoodput(warmUpEnd, sc.OverloadStart)
	r.RecoveryTime = m.recoveryTime(r.GoodputBefore)
	return r
}

// ordinaryShare returns the part of their fair share that the ordinary tenants
// got. The fair share is their max-min fair share of served, the number of requests
// of the class that can be served. The result is -1 if the ordinary tenants sent no
// requests or the class can get none served.
func (sc Scenario) ordinaryShare(c classCounts, served float64) float64 {
	if c.ordinaryOffered == 0 || served < 1 {
		return -1
	}
	fairShare := float64(c.ordinaryOffered)
	if flooded := c.offered - c.ordinaryOffered; flooded > 0 {
		tenants := float64(sc.Topology.Tenants)
		perTenant := served / (tenants + 1)
		fairShare = min(fairShare, max(perTenant*tenants, served-float64(flooded)))
	} else {
		fairShare = min(fairShare, served)
	}
	return float64(c.ordinaryOnTime) / fairShare
}

// meanGoodput returns the mean goodput of an interval in requests per second.
func (m *metrics) meanGoodput(start, end time.Duration) float64 {
	sum := 0.0
	for _, b := range m.bins[start/binWidth : end/binWidth] {
		sum += b
	}
	return sum / (end - start).Seconds()
}

// recoveryTime returns the time from the end of the overload until the goodput
// has recovered, or -1 if it does not recover.
func (m *metrics) recoveryTime(goodputBefore float64) time.Duration {
	for at := m.scenario.OverloadEnd; at+recoveryBins*binWidth <= m.scenario.ArrivalEnd; at += binWidth {
		if m.meanGoodput(at, at+recoveryBins*binWidth) >= recoveredShare*goodputBefore {
			return at - m.scenario.OverloadEnd
		}
	}
	return -1
}

func percentile(d []time.Duration, p float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[min(int(p*float64(len(d))), len(d)-1)]
}

// Print writes the tables of one scenario: one row for each method, then one row
// for each class and method.
func Print(w io.Writer, reports []Report) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "## %s, %s\n", reports[0].Topology, reports[0].Scenario)
	fmt.Fprintln(t, "method\tgoodput/s\tideal/s\tof ideal\tearlier/s\trecovery\twasted\tattempts max\tmean")
	for _, r := range reports {
		fmt.Fprintf(t, "%s\t%.0f\t%.0f\t%s\t%.0f\t%s\t%s\t%d\t%.2f\n", r.Method, r.Goodput, r.IdealGoodput,
			formatPercent(r.Goodput/max(r.IdealGoodput, 1e-9)), r.GoodputBefore, formatRecovery(r.RecoveryTime), formatPercent(r.WastedShare),
			r.MaxAttempts, r.MeanAttempts)
	}
	t.Flush()
	fmt.Fprintln(t, "class\toffered/s\tideal/s\tmethod\tgoodput/s\tof ideal\tordinary of fair share\tp99\ttarget")
	for i := range reports[0].Classes {
		for _, r := range reports {
			c := r.Classes[i]
			fmt.Fprintf(t, "%s\t%.0f\t%.0f\t%s\t%.0f\t%s\t%s\t%s\t%s\n", c.Name, c.Offered, c.IdealGoodput, r.Method, c.Goodput,
				formatRatio(c.Goodput, c.IdealGoodput), formatShare(c.OrdinaryShare), c.P99.Round(time.Millisecond), c.LatencyTarget)
		}
	}
	t.Flush()
	fmt.Fprintln(w)
}

func formatPercent(f float64) string { return fmt.Sprintf("%.1f%%", 100*f) }

func formatShare(f float64) string {
	if f < 0 {
		return "-"
	}
	return formatPercent(f)
}

func formatRatio(a, b float64) string {
	if b < 0.5 {
		return "-"
	}
	return formatPercent(a / b)
}

func formatRecovery(d time.Duration) string {
	if d < 0 {
		return "not reached"
	}
	return d.String()
}
