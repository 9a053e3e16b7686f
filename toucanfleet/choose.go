package toucanfleet

import (
	"math/rand/v2"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanpeer"
)

const (
	// sameDCMaxLoad is the load below which a member of this node's data centre
	// is preferred: sending bytes to another data centre costs more than a short
	// queue.
	sameDCMaxLoad = 0.95
	// sameDCMaxFailures is the share of failed calls below which a member of this
	// node's data centre is preferred.
	sameDCMaxFailures = 0.15
	// sameDCMaxLatency is the mean latency, as a share of the latency objective,
	// below which a member of this node's data centre is preferred. The share
	// grows by latencyPerByte for each byte of the mean response, which another
	// data centre would have to send across.
	sameDCMaxLatency = 0.5
	latencyPerByte   = 1.0 / (10 << 10)
	// crossDCPenalty is added to the score of a member in another data centre. A
	// lower score is better; the unit is load.
	crossDCPenalty = 0.15
	// failurePenalty is added to the score of a member whose calls all fail, and
	// in proportion for a smaller share of failures.
	failurePenalty = 2.0
	// latencyPenalty is added to the score of a member whose mean latency equals
	// the latency objective, and in proportion for other latencies.
	latencyPenalty = 0.5
	// scoreJitter is the largest random amount added to a score, so that nodes
	// with the same reports do not all choose the same member.
	scoreJitter = 0.1
	// exploreShare is the share of calls sent to a random member, so that the
	// recovery of a member that is otherwise avoided is noticed.
	exploreShare = 0.01
	// statsWeight is the weight of a new call in the moving averages.
	statsWeight = 0.1
	// statsTTL is the time after which the statistics of a member that gets no
	// calls expire.
	statsTTL = 3 * time.Second
)

// memberStats holds the moving average of the share of a member's calls that
// failed.
type memberStats struct {
	failures float64
	updated  time.Time
}

// routeStats holds statistics over the calls of a route.
type routeStats struct {
	latency float64 // moving average in seconds, at a member with the mean run duration
	bytes   float64 // moving average of the size of a response body
}

// Target is a member that a call is sent to.
type Target struct {
	Node      string
	Link      *toucanpeer.Link // nil for this node itself
	Load      float64          // of the member when it was chosen, as a share of its concurrency limit
	ReportAge time.Duration    // age of the member's newest report when it was chosen
	node      *node
}

// Address returns the peer address of the target.
func (t Target) Address() string { return t.node.member.Address }

// Choose returns the member to send a call to and counts the call as in flight
// until Done is called. objective is the latency objective of the route. Choose
// skips the peer addresses in excluded and returns false if no other member is
// available.
func (f *Fleet) Choose(service, route string, objective time.Duration, excluded []string) (Target, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	var sameDC, best *node
	var sameDCScore, bestScore float64
	explore := rand.Float64() < exploreShare
	mean := f.meanDuration(service)
	average := f.routes[route]
	for _, n := range f.byService[service] {
		if !f.usable(n, now) || contains(excluded, n.member.Address) {
			continue
		}
		load := n.load()
		s := n.currentStats(now)
		failures := max(s.failures, n.report.Failures)
		latency := average.latency * n.relativeDuration(mean) / objective.Seconds()
		maxLatency := sameDCMaxLatency + latencyPerByte*average.bytes
		score := load + failurePenalty*failures + latencyPenalty*latency + scoreJitter*rand.Float64()
		if n.member.DataCentre == f.self.DataCentre {
			if load < sameDCMaxLoad && failures < sameDCMaxFailures && latency < maxLatency && (sameDC == nil || score < sameDCScore) {
				sameDC, sameDCScore = n, score
			}
		} else {
			score += crossDCPenalty
		}
		if explore {
			score = rand.Float64()
		}
		if best == nil || score < bestScore {
			best, bestScore = n, score
		}
	}
	if sameDC != nil && !explore {
		best = sameDC
	}
	if best == nil || best.load() >= sameDCMaxLoad {
		f.noteOverload(service, now)
	}
	if best == nil {
		return Target{}, false
	}
	t := Target{Node: best.member.Node, Link: best.link, Load: best.load(), ReportAge: now.Sub(best.reportedAt), node: best}
	best.inFlight++
	return t, true
}

// usable reports whether a member takes calls. f.mu must be held.
func (f *Fleet) usable(n *node, now time.Time) bool {
	if n.link == nil {
		n.setReport(f.local.Report(), now)
		return n.report.Serving
	}
	return n.connected && n.report.Serving && n.member.Service != ""
}

// load returns the running and queued calls of the member as a share of its
// concurrency limit, or 0 if the limit is unknown.
func (n *node) load() float64 {
	if n.report.Limit <= 0 {
		return 0
	}
	return float64(n.otherCalls+n.inFlight) / float64(n.report.Limit)
}

func (n *node) currentStats(now time.Time) memberStats {
	if now.Sub(n.stats.updated) > statsTTL {
		return memberStats{}
	}
	return n.stats
}

// Done ends a call that Choose counted as in flight and adds its result to the
// statistics. Calls that were cancelled or refused for overload do not count in
// the statistics.
func (f *Fleet) Done(t Target, route string, took time.Duration, r toucanpeer.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, now := t.node, f.clock.Now()
	n.inFlight--
	if r.Reason == toucancall.ReasonCancelled || r.Reason == toucancall.ReasonOverload {
		return
	}
	failed := 0.0
	if r.Outcome != toucancall.Answered || r.Status >= 500 {
		failed = 1
	}
	n.stats = n.currentStats(now)
	n.stats.failures += statsWeight * (failed - n.stats.failures)
	n.stats.updated = now
	if failed == 1 {
		return
	}
	latency := took.Seconds() / n.relativeDuration(f.meanDuration(n.member.Service))
	average, ok := f.routes[route]
	if !ok {
		average = routeStats{latency: latency, bytes: float64(len(r.Body))}
	}
	average.latency += statsWeight * (latency - average.latency)
	average.bytes += statsWeight * (float64(len(r.Body)) - average.bytes)
	f.routes[route] = average
}

// relativeDuration returns the mean run duration of the member as a multiple of
// mean, or 1 if either is unknown.
func (n *node) relativeDuration(mean time.Duration) float64 {
	if mean <= 0 || n.report.Duration <= 0 {
		return 1
	}
	return float64(n.report.Duration) / float64(mean)
}

// meanDuration returns the mean run duration over the members of a service, or
// 0 if it is unknown. f.mu must be held.
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
