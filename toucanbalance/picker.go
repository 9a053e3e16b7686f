package toucanbalance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"toucanhaven/toucanclass"
	"toucanhaven/toucanclock"
)

const (
	// DefaultSubset is the maximum number of servers of a service that one entry
	// uses.
	DefaultSubset = 20
	// DefaultSlowStart is the time over which a new server's share of calls grows to
	// its full size.
	DefaultSlowStart = 10 * time.Second

	// leavingRefusalTime is how long a server that refused a call because it is
	// leaving counts as leaving, even if the view has it as alive. After that, a
	// server that was announced again without a restart is used.
	leavingRefusalTime = 30 * time.Second
	// refreshInterval is the minimum time between two computations of the averages
	// while the candidate lists stay the same.
	refreshInterval = 20 * time.Millisecond
	// callsPerLoad is the number of this entry's calls in flight that costs as much
	// as a reported load of 1. Servers have 30 to 300 slots: with few entries, the
	// calls in flight determine the cost; with many entries, the reported load does.
	callsPerLoad = 32
	// loadHalfLife is the half-life of the weight of a reported load. The average of
	// the service has the remaining weight.
	loadHalfLife = time.Second
	// failureHalfLife is the half-life of a failure share. The decay lets a server
	// that is no longer chosen receive calls again.
	failureHalfLife = 5 * time.Second
	// sampleWeight is the weight of a new sample in the moving averages.
	sampleWeight = 0.15
	// failingShare is the failure share above which a server counts as failing. Its
	// load and latency may look better than they are, so they are left out of the
	// averages, and its load cost is at least average.
	failingShare = 0.1
	// ejectFailureShare is the failure share above which a server is ejected, if it
	// also exceeds the average of the service by ejectFailureMargin.
	ejectFailureShare  = 0.5
	ejectFailureMargin = 0.3
	// minProbeDelay and maxProbeDelay bound the exponential backoff between the
	// probes of an ejected server, before jitter.
	minProbeDelay = time.Second
	maxProbeDelay = 30 * time.Second
	// minSlowStartWeight is the sampling weight at the beginning of slow start.
	minSlowStartWeight = 0.1
	// spilloverLoad is the load of the chosen local server above which a remote one
	// is considered.
	spilloverLoad = 0.75
	// spilloverCostFactor is the factor by which the cost of a remote server must be
	// lower than that of the local one.
	spilloverCostFactor = 1.25
	// latencyRatioOffset is added to both sides when the latency ratio of a server is
	// compared with the average, so that very fast servers stay comparable: latency
	// differences far below a twentieth of the latency target have little effect.
	latencyRatioOffset = 0.05
	// maxLatencyRatio limits the latency ratio of a sample and the factor by which
	// latency changes the cost.
	maxLatencyRatio = 20
	// maxReportedLoad limits a reported load, so that the effect of one absurd report
	// ends soon.
	maxReportedLoad = 4
)

// Picker chooses a backend server of one service for each call. It is not safe
// for concurrent use.
type Picker struct {
	clock  toucanclock.Clock
	random *rand.Rand

	entry      string
	dataCentre string
	subset     int
	slowStart  time.Duration

	servers map[string]*server
	hasView bool // Update has installed a view with servers

	// The candidates: alive servers in this data centre, those in the others, and
	// suspect servers. If there is no local or remote one, ejected servers are a last
	// resort too.
	local, remote, lastResort []*server
	ejected                   []*server
	refreshedAt               time.Time
	listsStale                bool
	mean                      averages
}

// averages are averages over the local and remote servers.
type averages struct {
	load, loadCost, latencyRatio, failureShare float64
}

// server is a backend server with the statistics of its calls.
type server struct {
	Server
	inSubset         bool // in the current subset
	refusedLeaving   bool // refused a call because it is leaving
	refusedLeavingAt time.Time
	slowStartSince   time.Time // zero after slow start
	inFlight         int

	load           float64
	loadReportedAt time.Time
	latencyRatio   float64 // moving average of latency divided by the latency target
	failureShare   float64 // moving average of the share of failed calls
	sampledAt      time.Time

	ejected   bool
	ejections int // ejections and failed probes until the failure share is low
	nextProbe time.Time
	probing   bool // a probe call is in flight
}

// Option changes a setting of a Picker.
type Option func(*Picker)

// WithSubset sets the maximum number of servers that are used.
func WithSubset(n int) Option { return func(p *Picker) { p.subset = n } }

// WithSlowStart sets the time over which a new server reaches its full share.
func WithSlowStart(d time.Duration) Option { return func(p *Picker) { p.slowStart = d } }

// New returns a picker without servers. The entry's id determines its subset of a
// large service; servers in its data centre are preferred.
func New(clock toucanclock.Clock, random *rand.Rand, entry, dataCentre string, options ...Option) *Picker {
	p := &Picker{
		clock: clock, random: random, entry: entry, dataCentre: dataCentre,
		subset: DefaultSubset, slowStart: DefaultSlowStart,
		servers: make(map[string]*server),
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Update installs the servers of the service. A server that was unknown or that
// has a higher incarnation begins slow start, except in the first view, where all
// servers are equally new to the entry.
func (p *Picker) Update(servers []Server) {
	now := p.clock.Now()
	for _, s := range p.servers {
		s.inSubset = false
		s.refusedLeaving = s.refusedLeaving && now.Sub(s.refusedLeavingAt) < leavingRefusalTime
	}
	for _, v := range Subset(p.entry, p.dataCentre, p.applyRefusals(servers), p.subset) {
		s := p.servers[v.ID]
		if s == nil || v.Incarnation > s.Incarnation {
			added := &server{Server: v}
			if p.hasView {
				added.slowStartSince = now
			}
			p.servers[v.ID], s = added, added
		}
		s.Server, s.inSubset = v, true
	}
	for id, s := range p.servers {
		if !s.inSubset && s.inFlight == 0 && !s.refusedLeaving {
			delete(p.servers, id)
		}
	}
	p.dropOldRefusals(servers)
	p.hasView = p.hasView || len(servers) > 0
	p.listsStale = true
}

// applyRefusals returns the servers with those marked as leaving that refused a
// call of this entry because they are leaving. A polled view can be older than the
// refusal.
func (p *Picker) applyRefusals(servers []Server) []Server {
	out := slices.Clone(servers)
	for i, v := range out {
		if s := p.servers[v.ID]; s != nil && s.refusedLeaving && v.Incarnation <= s.Incarnation {
			out[i].State = Leaving
		}
	}
	return out
}

// dropOldRefusals removes servers that refused a call and are no longer in the view.
func (p *Picker) dropOldRefusals(servers []Server) {
	for id, s := range p.servers {
		inView := slices.ContainsFunc(servers, func(v Server) bool { return v.ID == id })
		if s.refusedLeaving && !inView && s.inFlight == 0 {
			delete(p.servers, id)
		}
	}
}

// Pick returns the server for the next call. It skips the excluded ids and returns
// false if no server is left.
func (p *Picker) Pick(excluded ...string) (Server, bool) {
	now := p.clock.Now()
	p.refreshCandidates(now)
	if s := p.dueProbe(now, excluded); s != nil {
		return s.Server, true
	}
	if s := p.chooseLocalOrRemote(now, excluded, false); s != nil {
		return s.Server, true
	}
	if s := p.chooseLocalOrRemote(now, excluded, true); s != nil {
		return s.Server, true
	}
	if s := p.chooseOfTwo(p.lastResort, now, excluded, true); s != nil {
		return s.Server, true
	}
	return Server{}, false
}

// chooseLocalOrRemote chooses a local server, unless that server is overloaded or
// failing and a remote one has a clearly lower cost. Servers in slow start are
// skipped at random unless allowSlowStart is set, which is used when no other
// server is left.
func (p *Picker) chooseLocalOrRemote(now time.Time, excluded []string, allowSlowStart bool) *server {
	local := p.chooseOfTwo(p.local, now, excluded, allowSlowStart)
	if local != nil && !p.shouldTryRemote(local, now) {
		return local
	}
	remote := p.chooseOfTwo(p.remote, now, excluded, allowSlowStart)
	if local == nil || remote != nil && p.cost(remote, now)*spilloverCostFactor < p.cost(local, now) {
		return remote
	}
	return local
}

// Start records that a call was sent to the server.
func (p *Picker) Start(id string) {
	if s := p.servers[id]; s != nil {
		s.inFlight++
	}
}

// Done records the end of a call that Start recorded.
func (p *Picker) Done(id string, r Result) {
	s := p.servers[id]
	if s == nil {
		return
	}
	now := p.clock.Now()
	s.inFlight = max(s.inFlight-1, 0)
	if r.LoadKnown && r.Load >= 0 {
		s.load, s.loadReportedAt = min(r.Load, maxReportedLoad), now
	}
	wasProbe := s.probing
	s.probing = false
	switch v := r.verdict(); v {
	case verdictNone:
	case verdictLeaving:
		s.refusedLeaving, s.refusedLeavingAt, p.listsStale = true, now, true
	case verdictShed:
		s.load, s.loadReportedAt = max(s.load, 1), now
		s.addSample(r, now, verdictShed)
	default:
		s.addSample(r, now, v)
		p.updateEjection(s, v, wasProbe, now)
	}
}

// addSample adds a result to the moving averages. The latency of a failed or
// refused call counts as at least the latency target of its class.
func (s *server) addSample(r Result, now time.Time, v verdict) {
	target := r.Target
	if target <= 0 {
		target = toucanclass.Default.Latency
	}
	ratio := float64(r.Latency) / float64(target)
	failed := 0.0
	if v == verdictFailure {
		failed = 1
	}
	if v != verdictGood {
		ratio = max(ratio, 1)
	}
	ratio = min(ratio, maxLatencyRatio)
	s.failureShare = s.decayedFailureShare(now)
	if s.sampledAt.IsZero() {
		s.latencyRatio = ratio
	}
	s.latencyRatio += sampleWeight * (ratio - s.latencyRatio)
	s.failureShare += sampleWeight * (failed - s.failureShare)
	s.sampledAt = now
}

func (s *server) decayedFailureShare(now time.Time) float64 {
	return s.failureShare * decay(now.Sub(s.sampledAt), failureHalfLife)
}

// decay returns the weight that exponential decay with the given half-life leaves
// at an age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}

// updateEjection ejects a server that fails much more often than the others, and
// reinstates an ejected server after a successful probe.
func (p *Picker) updateEjection(s *server, v verdict, wasProbe bool, now time.Time) {
	switch {
	case s.ejected && v == verdictGood && wasProbe:
		s.ejected, s.failureShare, s.latencyRatio = false, ejectFailureShare/2, p.mean.latencyRatio
		s.slowStartSince, p.listsStale = now, true
	case s.ejected && wasProbe:
		s.scheduleProbe(p.random, now)
	case s.ejected || v == verdictGood:
		if s.ejections > 0 && s.failureShare < failingShare {
			s.ejections = 0
		}
	case s.failureShare > ejectFailureShare && s.failureShare > p.mean.failureShare+ejectFailureMargin && p.mayEject():
		s.ejected, p.listsStale = true, true
		s.scheduleProbe(p.random, now)
	}
}

// scheduleProbe schedules the next probe with exponential backoff. The jitter keeps
// entries from probing at the same time.
func (s *server) scheduleProbe(random *rand.Rand, now time.Time) {
	delay := min(minProbeDelay<<min(s.ejections, 10), maxProbeDelay)
	s.ejections++
	s.nextProbe = now.Add(delay/2 + time.Duration(random.Int64N(int64(delay))))
}

// mayEject reports whether another server may be ejected. At most a third of the
// servers, rounded up, are ejected, and never the last one, because the others
// must carry the load of the ejected ones.
func (p *Picker) mayEject() bool {
	p.refreshCandidates(p.clock.Now())
	usable := len(p.local) + len(p.remote)
	total := usable + len(p.ejected)
	return usable > 1 && len(p.ejected) < (total+2)/3
}

// dueProbe returns an ejected server that is due for a probe, or nil.
func (p *Picker) dueProbe(now time.Time, excluded []string) *server {
	for _, s := range p.ejected {
		if !s.probing && !now.Before(s.nextProbe) && !slices.Contains(excluded, s.ID) {
			s.probing = true
			// If the result of the probe never arrives, the next probe is sent after
			// the maximum delay.
			s.nextProbe = now.Add(maxProbeDelay)
			return s
		}
	}
	return nil
}

// chooseOfTwo uses power of two choices: it returns the one of two distinct random
// candidates with the lower cost. If allowSlowStart is set, servers in slow start
// are not skipped.
func (p *Picker) chooseOfTwo(candidates []*server, now time.Time, excluded []string, allowSlowStart bool) *server {
	first := p.randomCandidate(candidates, now, excluded, allowSlowStart, nil)
	if first == nil {
		return nil
	}
	second := p.randomCandidate(candidates, now, excluded, allowSlowStart, first)
	if second != nil && p.cost(second, now) < p.cost(first, now) {
		return second
	}
	return first
}

// randomCandidate returns a random candidate that is neither excluded nor first, or
// nil. It scans from a random position, so that skipping a candidate needs no new
// random position.
func (p *Picker) randomCandidate(candidates []*server, now time.Time, excluded []string, allowSlowStart bool, first *server) *server {
	if len(candidates) == 0 {
		return nil
	}
	start := p.random.IntN(len(candidates))
	for i := range candidates {
		s := candidates[(start+i)%len(candidates)]
		if s == first || slices.Contains(excluded, s.ID) {
			continue
		}
		if w := p.slowStartWeight(s, now); allowSlowStart || w >= 1 || p.random.Float64() < w {
			return s
		}
	}
	return nil
}

// slowStartWeight returns the probability that a sampled server is considered. It
// grows to 1 during slow start.
func (p *Picker) slowStartWeight(s *server, now time.Time) float64 {
	if s.slowStartSince.IsZero() || p.slowStart <= 0 {
		return 1
	}
	progress := float64(now.Sub(s.slowStartSince)) / float64(p.slowStart)
	if progress >= 1 {
		s.slowStartSince = time.Time{}
		return 1
	}
	return max(progress, minSlowStartWeight)
}

// cost returns the cost by which servers are compared: calls in flight plus
// reported load, multiplied by the latency relative to the average of the service.
// The load part of a failing server is at least average.
func (p *Picker) cost(s *server, now time.Time) float64 {
	load := p.loadCost(s, now)
	if s.failureShare > failingShare && s.decayedFailureShare(now) > failingShare {
		load = max(load, p.mean.loadCost)
	}
	return (1 + load) * p.latencyFactor(s, now)
}

func (p *Picker) loadCost(s *server, now time.Time) float64 {
	return float64(s.inFlight) + callsPerLoad*p.decayedLoad(s, now)
}

// decayedLoad returns the reported load, which decays to the average of the service
// as the report ages.
func (p *Picker) decayedLoad(s *server, now time.Time) float64 {
	if s.loadReportedAt.IsZero() {
		return p.mean.load
	}
	weight := decay(now.Sub(s.loadReportedAt), loadHalfLife)
	return weight*s.load + (1-weight)*p.mean.load
}

// latencyFactor returns the latency of s relative to the average of the service.
func (p *Picker) latencyFactor(s *server, now time.Time) float64 {
	if s.sampledAt.IsZero() {
		return 1
	}
	weight := decay(now.Sub(s.sampledAt), failureHalfLife)
	ratio := weight*s.latencyRatio + (1-weight)*p.mean.latencyRatio
	return min((ratio+latencyRatioOffset)/(p.mean.latencyRatio+latencyRatioOffset), maxLatencyRatio)
}

// shouldTryRemote reports whether a local server is so loaded, slow or failing
// that it should be compared with a remote one.
func (p *Picker) shouldTryRemote(s *server, now time.Time) bool {
	return p.decayedLoad(s, now) > spilloverLoad || s.latencyRatio > 1 ||
		s.decayedFailureShare(now) > failingShare
}

// refreshCandidates rebuilds the candidate lists if they are stale, and updates the
// averages.
func (p *Picker) refreshCandidates(now time.Time) {
	if !p.listsStale && now.Sub(p.refreshedAt) < refreshInterval {
		return
	}
	if p.listsStale {
		p.rebuildLists()
	}
	p.listsStale, p.refreshedAt = false, now
	p.updateAverages(now)
}

func (p *Picker) rebuildLists() {
	p.local, p.remote, p.lastResort, p.ejected = p.local[:0], p.remote[:0], p.lastResort[:0], p.ejected[:0]
	for _, s := range p.servers {
		switch {
		case !s.inSubset || s.refusedLeaving || s.State == Leaving:
		case s.State == Suspect:
			p.lastResort = append(p.lastResort, s)
		case s.ejected:
			p.ejected = append(p.ejected, s)
		case s.DataCentre == p.dataCentre:
			p.local = append(p.local, s)
		default:
			p.remote = append(p.remote, s)
		}
	}
	// Map order is random. Sorting makes runs with the same seed reproducible.
	for _, list := range [][]*server{p.local, p.remote, p.lastResort, p.ejected} {
		slices.SortFunc(list, func(a, b *server) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
	if len(p.local)+len(p.remote) == 0 {
		p.lastResort = append(p.lastResort, p.ejected...)
	}
}

// updateAverages computes the averages. It ignores the load and latency of failing
// servers, because a server that fails calls at once reports itself idle.
func (p *Picker) updateAverages(now time.Time) {
	var m averages
	var loads, ratios, n float64
	for _, list := range [][]*server{p.local, p.remote} {
		for _, s := range list {
			n++
			m.failureShare += s.decayedFailureShare(now)
			if s.failureShare > failingShare {
				continue
			}
			if !s.loadReportedAt.IsZero() {
				loads++
				m.load += s.load
			}
			if !s.sampledAt.IsZero() {
				ratios++
				m.latencyRatio += s.latencyRatio
			}
		}
	}
	p.mean.load = m.load / max(loads, 1)
	p.mean.latencyRatio = m.latencyRatio / max(ratios, 1)
	p.mean.failureShare = m.failureShare / max(n, 1)
	for _, list := range [][]*server{p.local, p.remote} {
		for _, s := range list {
			m.loadCost += p.loadCost(s, now)
		}
	}
	p.mean.loadCost = m.loadCost / max(n, 1)
}
