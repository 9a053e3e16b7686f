package toucanscenario

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// binWidth is the resolution of the goodput over time; recoveryBins make up
// the window in which the goodput counts as recovered.
const (
	binWidth     = 250 * time.Millisecond
	recoveryBins = 4
	recovered    = 0.95
)

// classCount counts the requests of one class during the cause.
type classCount struct {
	offered, good                 int
	ordinaryOffered, ordinaryGood int
	latencies                     []time.Duration // of answered requests
}

// metrics collects what callers get.
type metrics struct {
	scenario       Scenario
	bins           []float64
	classes        []classCount
	useful, wasted time.Duration
	maxAttempts    int
	attempts, sent int
}

func newMetrics(sc Scenario) *metrics {
	return &metrics{
		scenario: sc, bins: make([]float64, int(sc.End/binWidth)+1),
		classes: make([]classCount, len(sc.Topology.Classes)),
	}
}

func (m *metrics) offered(r *request) {
	if !m.scenario.during(r.born) {
		return
	}
	c := &m.classes[r.classNo]
	c.offered++
	if r.ordinary {
		c.ordinaryOffered++
	}
}

func (m *metrics) answered(r *request, latency time.Duration) {
	if m.scenario.during(r.born) {
		c := &m.classes[r.classNo]
		c.latencies = append(c.latencies, latency)
	}
}

// finished takes the end of a request at its caller.
func (m *metrics) finished(r *request) {
	m.work(r, r.spent)
	most, sum := uint16(0), 0
	calls := len(r.class.Path)
	for _, n := range r.attempts {
		most = max(most, n)
		sum += int(n)
	}
	if m.scenario.during(r.born) && r.attempts[r.class.Path[0]] > 0 {
		m.maxAttempts = max(m.maxAttempts, int(most))
		m.attempts += sum
		m.sent += calls
	}
	if !r.good {
		return
	}
	m.bins[int(r.born/binWidth)]++
	if m.scenario.during(r.born) {
		c := &m.classes[r.classNo]
		c.good++
		if r.ordinary {
			c.ordinaryGood++
		}
	}
}

// work counts time spent at backend servers, after the end of the request too.
func (m *metrics) work(r *request, d time.Duration) {
	if !m.scenario.during(r.born) {
		return
	}
	if r.good {
		m.useful += d
		return
	}
	m.wasted += d
}

// ClassReport is what one class got during the cause.
type ClassReport struct {
	Name     string
	Target   time.Duration
	Success  float64 // target
	Offered  float64 // requests a second
	Good     float64 // requests a second
	Ideal    float64 // requests a second
	Ordinary float64 // least part of the fair share that ordinary tenants got
	Kept     float64 // part of the ordinary tenants' requests that was answered on time
	P99      time.Duration
}

// Report is what one method did in one scenario.
type Report struct {
	Scenario     string
	Topology     string
	Method       Method
	Goodput      float64 // requests a second during the cause
	Ideal        float64
	Earlier      float64       // goodput before the cause
	Recovery     time.Duration // after the end of the cause; negative when not reached
	Wasted       float64       // share of work
	MaxAttempts  int
	MeanAttempts float64
	Classes      []ClassReport
}

func (m *metrics) report(method Method) Report {
	sc := m.scenario
	seconds := (sc.To - sc.From).Seconds()
	r := Report{Scenario: sc.Name, Topology: sc.Topology.Name, Method: method, MaxAttempts: m.maxAttempts}
	ideal := sc.ideal()
	for i, c := range m.classes {
		class := sc.Topology.Classes[i]
		cr := ClassReport{
			Name: class.Name, Target: class.Latency, Success: class.Success,
			Offered: float64(c.offered) / seconds, Good: float64(c.good) / seconds,
			Ideal: min(ideal[i], float64(c.offered)/seconds),
			P99:   percentile(c.latencies, 0.99),
		}
		if c.ordinaryOffered > 0 {
			cr.Kept = float64(c.ordinaryGood) / float64(c.ordinaryOffered)
		}
		cr.Ordinary = sc.ordinaryShare(c, cr.Ideal*seconds)
		r.Goodput += cr.Good
		r.Ideal += cr.Ideal
		r.Classes = append(r.Classes, cr)
	}
	if total := m.useful + m.wasted; total > 0 {
		r.Wasted = m.wasted.Seconds() / total.Seconds()
	}
	if m.sent > 0 {
		r.MeanAttempts = float64(m.attempts) / float64(m.sent)
	}
	r.Earlier = m.mean(warmUp, sc.From)
	r.Recovery = m.recovery(r.Earlier)
	return r
}

// ordinaryShare returns what ordinary tenants got of their fair share, which
// is the max-min share of what the class can get, or -1 when it can get nothing.
func (sc Scenario) ordinaryShare(c classCount, served float64) float64 {
	if c.ordinaryOffered == 0 || served < 1 {
		return -1
	}
	fair := float64(c.ordinaryOffered)
	if flooded := c.offered - c.ordinaryOffered; flooded > 0 {
		tenants := float64(sc.Topology.Tenants)
		each := served / (tenants + 1)
		fair = min(fair, max(each*tenants, served-float64(flooded)))
	} else {
		fair = min(fair, served)
	}
	return float64(c.ordinaryGood) / fair
}

func (m *metrics) mean(from, to time.Duration) float64 {
	sum := 0.0
	for _, b := range m.bins[from/binWidth : to/binWidth] {
		sum += b
	}
	return sum / (to - from).Seconds()
}

func (m *metrics) recovery(earlier float64) time.Duration {
	for at := m.scenario.To; at+recoveryBins*binWidth <= m.scenario.End; at += binWidth {
		if m.mean(at, at+recoveryBins*binWidth) >= recovered*earlier {
			return at - m.scenario.To
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

// Print writes the table of one scenario, one block for each method.
func Print(w io.Writer, reports []Report) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "## %s, %s\n", reports[0].Topology, reports[0].Scenario)
	fmt.Fprintln(t, "method\tgoodput/s\tideal/s\tof ideal\tearlier/s\trecovery\twasted\tattempts max\tmean")
	for _, r := range reports {
		fmt.Fprintf(t, "%s\t%.0f\t%.0f\t%s\t%.0f\t%s\t%s\t%d\t%.2f\n", r.Method, r.Goodput, r.Ideal,
			percent(r.Goodput/max(r.Ideal, 1e-9)), r.Earlier, recoveryText(r.Recovery), percent(r.Wasted),
			r.MaxAttempts, r.MeanAttempts)
	}
	t.Flush()
	fmt.Fprintln(t, "class\toffered/s\tideal/s\tmethod\tgoodput/s\tof ideal\tordinary of fair share\tp99\ttarget")
	for i := range reports[0].Classes {
		for _, r := range reports {
			c := r.Classes[i]
			fmt.Fprintf(t, "%s\t%.0f\t%.0f\t%s\t%.0f\t%s\t%s\t%s\t%s\n", c.Name, c.Offered, c.Ideal, r.Method, c.Good,
				ratio(c.Good, c.Ideal), share(c.Ordinary), c.P99.Round(time.Millisecond), c.Target)
		}
	}
	t.Flush()
	fmt.Fprintln(w)
}

func percent(f float64) string { return fmt.Sprintf("%.1f%%", 100*f) }

func share(f float64) string {
	if f < 0 {
		return "-"
	}
	return percent(f)
}

func ratio(a, b float64) string {
	if b < 0.5 {
		return "-"
	}
	return percent(a / b)
}

func recoveryText(d time.Duration) string {
	if d < 0 {
		return "not reached"
	}
	return d.String()
}
