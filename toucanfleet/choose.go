package toucanfleet

import (
	"math/rand/v2"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanpeer"
)

const (
	// nearLoad is the load up to which a member of the same data centre is
	// preferred: bytes between data centres cost more than a short queue.
	nearLoad = 0.95
	// nearFailures is the share of failures up to which it is preferred.
	nearFailures = 0.15
	// nearLatency is the part of the latency objective that the mean latency of
	// a preferred member may take, with nearBytes more for each byte that a call
	// would carry between data centres.
	nearLatency = 0.5
	nearBytes   = 1.0 / (10 << 10)
	// farPenalty is the load by which a member of another data centre must be
	// better.
	farPenalty = 0.15
	// failurePenalty is the load that a member which fails every call counts on
	// top.
	failurePenalty = 2.0
	// latencyPenalty is the load that a mean latency of the whole objective
	// counts.
	latencyPenalty = 0.5
	// noise spreads the choices of nodes that see the same reports.
	noise = 0.1
	// exploreShare is the part of the calls that go to any member, so that one
	// that was avoided is seen to recover.
	exploreShare = 0.01
	// statGain is the weight of a new outcome in the means.
	statGain = 0.1
	// statTime is how long the means of a member that gets no calls hold.
	statTime = 3 * time.Second
)

// stats is the moving share of a member's calls that failed.
type stats struct {
	failures float64
	updated  time.Time
}

// routeStats are moving means over the calls of a route.
type routeStats struct {
	latency float64 // seconds at a member of mean speed
	bytes   float64 // size of a response
}

// Target is a member that a call is sent to.
type Target struct {
	Node      string
	Link      *toucanpeer.Link // nil for this node itself
	Load      float64          // of the member, as a share of its limit, when it was chosen
	ReportAge time.Duration    // of the report that the choice rests on
	n         *node
}

// Address identifies the target.
func (t Target) Address() string { return t.n.member.Address }

// Choose returns the member for a call and counts the call in. It leaves out
// the addresses in tried and reports false when none is left.
func (f *Fleet) Choose(service, route string, objective time.Duration, tried []string) (Target, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	var near, best *node
	var nearScore, bestScore float64
	explore := rand.Float64() < exploreShare
	mean := f.meanDuration(service)
	seen := f.routes[route]
	for _, n := range f.byService[service] {
		if !f.usable(n, now) || contains(tried, n.member.Address) {
			continue
		}
		load := n.load()
		s := n.currentStats(now)
		failures := max(s.failures, n.report.Failures)
		latency := seen.latency * n.slowness(mean) / objective.Seconds()
		tolerated := nearLatency + nearBytes*seen.bytes
		score := load + failurePenalty*failures + latencyPenalty*latency + noise*rand.Float64()
		if n.member.DataCentre == f.self.DataCentre {
			if load < nearLoad && failures < nearFailures && latency < tolerated && (near == nil || score < nearScore) {
				near, nearScore = n, score
			}
		} else {
			score += farPenalty
		}
		if explore {
			score = rand.Float64()
		}
		if best == nil || score < bestScore {
			best, bestScore = n, score
		}
	}
	if near != nil && !explore {
		best = near
	}
	if best == nil {
		return Target{}, false
	}
	t := Target{Node: best.member.Node, Link: best.link, Load: best.load(), ReportAge: now.Sub(best.reported), n: best}
	best.inFlight++
	return t, true
}

// usable reports whether a member takes calls. mu is held.
func (f *Fleet) usable(n *node, now time.Time) bool {
	if n.link == nil {
		n.setReport(f.local.Report(), now)
		return n.report.Serving
	}
	return n.up && n.report.Serving && n.member.Service != ""
}

// load is the work of the member as a share of its limit, as far as known.
func (n *node) load() float64 {
	if n.report.Limit <= 0 {
		return 0
	}
	return float64(n.others+n.inFlight) / float64(n.report.Limit)
}

func (n *node) currentStats(now time.Time) stats {
	if now.Sub(n.stats.updated) > statTime {
		return stats{}
	}
	return n.stats
}

// Done ends a call that Choose counted in.
func (f *Fleet) Done(t Target, route string, took time.Duration, r toucanpeer.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, now := t.n, f.clock.Now()
	n.inFlight--
	if r.Reason == toucancall.ReasonCancelled || r.Reason == toucancall.ReasonOverload {
		return
	}
	failed := 0.0
	if r.Outcome != toucancall.Answered || r.Status >= 500 {
		failed = 1
	}
	n.stats = n.currentStats(now)
	n.stats.failures += statGain * (failed - n.stats.failures)
	n.stats.updated = now
	if failed == 1 {
		return
	}
	latency := took.Seconds() / n.slowness(f.meanDuration(n.member.Service))
	seen, known := f.routes[route]
	if !known {
		seen = routeStats{latency: latency, bytes: float64(len(r.Body))}
	}
	seen.latency += statGain * (latency - seen.latency)
	seen.bytes += statGain * (float64(len(r.Body)) - seen.bytes)
	f.routes[route] = seen
}

// slowness is how long the member's runs take, as a multiple of the mean.
func (n *node) slowness(mean time.Duration) float64 {
	if mean <= 0 || n.report.Duration <= 0 {
		return 1
	}
	return float64(n.report.Duration) / float64(mean)
}

// meanDuration is the mean run of the members of a service. mu is held.
func (f *Fleet) meanDuration(service string) time.Duration {
	sum, count := time.Duration(0), 0
	for _, n := range f.byService[service] {
		if n.report.Duration > 0 {
			sum += n.report.Duration
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / time.Duration(count)
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
