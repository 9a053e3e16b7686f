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
	// DefaultSubset bounds the servers of a large service that one entry uses.
	DefaultSubset = 20
	// DefaultSlowStart is the time in which a new server's share of calls grows
	// to its full size.
	DefaultSlowStart = 10 * time.Second

	// refusedTime is how long a server's own word that it is leaving outweighs a
	// view that still lists it. A server that has been announced again without a
	// restart is used after that.
	refusedTime = 30 * time.Second
	// refreshPeriod bounds how often averages and candidate lists are rebuilt.
	refreshPeriod = 20 * time.Millisecond
	// loadUnit is the number of own calls in flight that a reported load of 1
	// weighs as much as. Slots range from 30 to 300: with few entries the own
	// count decides, with many entries the reported load does.
	loadUnit = 32
	// loadAge is the age at which a reported load has lost half its weight
	// against the average of the service.
	loadAge = time.Second
	// failureAge is the age at which a failure share has halved, so that a server
	// that is no longer chosen is tried again.
	failureAge = 5 * time.Second
	// sampleWeight is the weight of a new sample in the moving averages.
	sampleWeight = 0.15
	// suspectFailures is the failure share from which a server's own figures are
	// not believed where they look better than the average.
	suspectFailures = 0.1
	// ejectFailures is the failure share from which a server is ejected, when it
	// also lies ejectMargin above the average of the service.
	ejectFailures = 0.5
	ejectMargin   = 0.3
	// ejectMin and ejectMax bound the time between the probes of an ejected server.
	ejectMin = time.Second
	ejectMax = 30 * time.Second
	// firstWeight is the sampling weight at which slow start begins.
	firstWeight = 0.1
	// spillLoad is the load of the near choice from which a far one is considered.
	spillLoad = 0.75
	// spillMargin is the factor by which a far choice must be cheaper.
	spillMargin = 1.25
	// ratioFloor keeps very fast servers comparable: latency differences below a
	// twentieth of the target do not count.
	ratioFloor = 0.05
	// maxRatio bounds the weight of latency against the average of the service.
	maxRatio = 20
	// maxLoad bounds a reported load, so that one absurd report is forgotten soon.
	maxLoad = 4
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
	known   bool // a view has been installed before

	near, far, last []*server // candidates; last holds servers of last resort
	ejected         []*server
	refreshed       time.Time
	dirty           bool
	mean            averages
}

type averages struct {
	load, base, ratio, failures float64
}

// server is a backend server with what its calls showed.
type server struct {
	Server
	listed   bool // in the current subset
	left     bool // refused a call because it is leaving
	leftAt   time.Time
	since    time.Time
	inFlight int

	load     float64
	loadAt   time.Time
	ratio    float64 // moving average of latency over target
	failures float64 // moving average share of failed calls
	sampled  time.Time

	ejected   bool
	ejections int
	probeAt   time.Time
	probing   bool
}

// Option changes a setting of a Picker.
type Option func(*Picker)

// WithSubset sets the number of servers of a large service that are used.
func WithSubset(n int) Option { return func(p *Picker) { p.subset = n } }

// WithSlowStart sets the time over which a new server reaches its full share.
func WithSlowStart(d time.Duration) Option { return func(p *Picker) { p.slowStart = d } }

// New returns a picker without servers. The entry's id selects its subset of a
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

// Update installs the servers of the service. A server that was not known
// before, or that has a higher incarnation, starts slowly, except in the first
// view, where all are equally new to the entry.
func (p *Picker) Update(servers []Server) {
	now := p.clock.Now()
	for _, s := range p.servers {
		s.listed = false
		s.left = s.left && now.Sub(s.leftAt) < refusedTime
	}
	for _, v := range Subset(p.entry, p.dataCentre, p.withRefusals(servers), p.subset) {
		s := p.servers[v.ID]
		if s == nil || v.Incarnation > s.Incarnation {
			fresh := &server{Server: v}
			if p.known {
				fresh.since = now
			}
			p.servers[v.ID], s = fresh, fresh
		}
		s.Server, s.listed = v, true
	}
	for id, s := range p.servers {
		if !s.listed && s.inFlight == 0 && !s.left {
			delete(p.servers, id)
		}
	}
	p.dropOldRefusals(servers)
	p.known = p.known || len(servers) > 0
	p.dirty = true
}

// withRefusals marks the servers as leaving that told this entry so, because a
// polled view can lag behind the refusal.
func (p *Picker) withRefusals(servers []Server) []Server {
	out := slices.Clone(servers)
	for i, v := range out {
		if s := p.servers[v.ID]; s != nil && s.left && v.Incarnation <= s.Incarnation {
			out[i].State = Leaving
		}
	}
	return out
}

// dropOldRefusals forgets the refusal of a server that the view no longer names.
func (p *Picker) dropOldRefusals(servers []Server) {
	for id, s := range p.servers {
		named := slices.ContainsFunc(servers, func(v Server) bool { return v.ID == id })
		if s.left && !named && s.inFlight == 0 {
			delete(p.servers, id)
		}
	}
}

// Pick returns the server for the next call. It leaves out the excluded ids,
// and reports false when no server is left.
func (p *Picker) Pick(exclude ...string) (Server, bool) {
	now := p.clock.Now()
	p.refresh(now)
	if s := p.dueProbe(now, exclude); s != nil {
		return s.Server, true
	}
	if s := p.nearOrFar(now, exclude, false); s != nil {
		return s.Server, true
	}
	if s := p.nearOrFar(now, exclude, true); s != nil {
		return s.Server, true
	}
	if s := p.choose(p.last, now, exclude, true); s != nil {
		return s.Server, true
	}
	return Server{}, false
}

// nearOrFar prefers the near data centre until its choice is loaded or failing
// and a far one is clearly cheaper. A server in slow start that is passed over
// counts only when cold is set, that is when there is no other.
func (p *Picker) nearOrFar(now time.Time, exclude []string, cold bool) *server {
	near := p.choose(p.near, now, exclude, cold)
	if near != nil && !p.overloaded(near, now) {
		return near
	}
	far := p.choose(p.far, now, exclude, cold)
	if near == nil || far != nil && p.cost(far, now)*spillMargin < p.cost(near, now) {
		return far
	}
	return near
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
		s.load, s.loadAt = min(r.Load, maxLoad), now
	}
	probed := s.probing
	s.probing = false
	switch v := r.verdict(); v {
	case verdictNone:
	case verdictLeaving:
		s.left, s.leftAt, p.dirty = true, now, true
	case verdictShed:
		s.load, s.loadAt = max(s.load, 1), now
		s.sample(r, now, verdictShed)
	default:
		s.sample(r, now, v)
		p.judge(s, v, probed, now)
	}
}

// sample adds a result to the moving averages. A call that failed or was
// refused counts as having taken at least the target of its class.
func (s *server) sample(r Result, now time.Time, v verdict) {
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
	ratio = min(ratio, maxRatio)
	s.failures = s.agedFailures(now)
	if s.sampled.IsZero() {
		s.ratio = ratio
	}
	s.ratio += sampleWeight * (ratio - s.ratio)
	s.failures += sampleWeight * (failed - s.failures)
	s.sampled = now
}

func (s *server) agedFailures(now time.Time) float64 {
	return s.failures * halving(now.Sub(s.sampled), failureAge)
}

// halving is the weight left at an age; it is one half at the half age.
func halving(age, half time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(half))
}

// judge ejects a server that fails much more than the others, and reinstates
// an ejected one whose probe succeeded.
func (p *Picker) judge(s *server, v verdict, probed bool, now time.Time) {
	switch {
	case s.ejected && v == verdictGood && probed:
		s.ejected, s.failures, s.ratio = false, ejectFailures/2, p.mean.ratio
		s.since, p.dirty = now, true
	case s.ejected && probed:
		s.backOff(p.random, now)
	case s.ejected || v == verdictGood:
		if s.ejections > 0 && s.failures < suspectFailures {
			s.ejections = 0
		}
	case s.failures > ejectFailures && s.failures > p.mean.failures+ejectMargin && p.mayEject():
		s.ejected, p.dirty = true, true
		s.backOff(p.random, now)
	}
}

// backOff delays the next probe; the jitter keeps entries from probing together.
func (s *server) backOff(random *rand.Rand, now time.Time) {
	delay := min(ejectMin<<min(s.ejections, 10), ejectMax)
	s.ejections++
	s.probeAt = now.Add(delay/2 + time.Duration(random.Int64N(int64(delay))))
}

// mayEject allows the ejection of a third of the servers, rounded up, but never
// of the last one: the rest must carry the load of the ejected ones.
func (p *Picker) mayEject() bool {
	p.refresh(p.clock.Now())
	usable := len(p.near) + len(p.far)
	total := usable + len(p.ejected)
	return usable > 1 && len(p.ejected) < (total+2)/3
}

func (p *Picker) dueProbe(now time.Time, exclude []string) *server {
	for _, s := range p.ejected {
		if !s.probing && !now.Before(s.probeAt) && !slices.Contains(exclude, s.ID) {
			s.probing = true
			// A probe whose result never arrives is repeated after the longest delay.
			s.probeAt = now.Add(ejectMax)
			return s
		}
	}
	return nil
}

// choose is the power of two choices: the cheaper of two distinct random
// candidates. With cold set, servers in slow start are not passed over.
func (p *Picker) choose(candidates []*server, now time.Time, exclude []string, cold bool) *server {
	first := p.sampleOne(candidates, now, exclude, cold, nil)
	if first == nil {
		return nil
	}
	second := p.sampleOne(candidates, now, exclude, cold, first)
	if second != nil && p.cost(second, now) < p.cost(first, now) {
		return second
	}
	return first
}

// sampleOne scans from a random start, so that skipping needs no second draw.
func (p *Picker) sampleOne(candidates []*server, now time.Time, exclude []string, cold bool, not *server) *server {
	if len(candidates) == 0 {
		return nil
	}
	start := p.random.IntN(len(candidates))
	for i := range candidates {
		s := candidates[(start+i)%len(candidates)]
		if s == not || slices.Contains(exclude, s.ID) {
			continue
		}
		if w := p.weight(s, now); cold || w >= 1 || p.random.Float64() < w {
			return s
		}
	}
	return nil
}

// weight is the chance that a sampled server is considered. It grows during
// slow start.
func (p *Picker) weight(s *server, now time.Time) float64 {
	if s.since.IsZero() || p.slowStart <= 0 {
		return 1
	}
	age := float64(now.Sub(s.since)) / float64(p.slowStart)
	if age >= 1 {
		s.since = time.Time{}
		return 1
	}
	return max(age, firstWeight)
}

// cost orders servers: calls in flight plus reported load, times latency
// relative to the service. A failing server cannot look better than the average.
func (p *Picker) cost(s *server, now time.Time) float64 {
	base := p.base(s, now)
	if s.failures > suspectFailures && s.agedFailures(now) > suspectFailures {
		base = max(base, p.mean.base)
	}
	return (1 + base) * p.relative(s, now)
}

func (p *Picker) base(s *server, now time.Time) float64 {
	return float64(s.inFlight) + loadUnit*p.agedLoad(s, now)
}

// agedLoad moves from the reported load to the average of the service as the
// report ages.
func (p *Picker) agedLoad(s *server, now time.Time) float64 {
	if s.loadAt.IsZero() {
		return p.mean.load
	}
	keep := halving(now.Sub(s.loadAt), loadAge)
	return keep*s.load + (1-keep)*p.mean.load
}

func (p *Picker) relative(s *server, now time.Time) float64 {
	if s.sampled.IsZero() {
		return 1
	}
	keep := halving(now.Sub(s.sampled), failureAge)
	ratio := keep*s.ratio + (1-keep)*p.mean.ratio
	return min((ratio+ratioFloor)/(p.mean.ratio+ratioFloor), maxRatio)
}

// overloaded reports whether a near server is loaded or failing so much that a
// far one should be compared with it.
func (p *Picker) overloaded(s *server, now time.Time) bool {
	return p.agedLoad(s, now) > spillLoad || s.ratio > 1 ||
		s.agedFailures(now) > suspectFailures
}

// refresh rebuilds the candidate lists and the averages.
func (p *Picker) refresh(now time.Time) {
	if !p.dirty && now.Sub(p.refreshed) < refreshPeriod {
		return
	}
	if p.dirty {
		p.rebuild()
	}
	p.dirty, p.refreshed = false, now
	p.average(now)
}

func (p *Picker) rebuild() {
	p.near, p.far, p.last, p.ejected = p.near[:0], p.far[:0], p.last[:0], p.ejected[:0]
	for _, s := range p.servers {
		switch {
		case !s.listed || s.left || s.State == Leaving:
		case s.State == Suspect:
			p.last = append(p.last, s)
		case s.ejected:
			p.ejected = append(p.ejected, s)
		case s.DataCentre == p.dataCentre:
			p.near = append(p.near, s)
		default:
			p.far = append(p.far, s)
		}
	}
	// Map order is random; a fixed order keeps runs with one seed equal.
	for _, list := range [][]*server{p.near, p.far, p.last, p.ejected} {
		slices.SortFunc(list, func(a, b *server) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
	if len(p.near)+len(p.far) == 0 {
		p.last = append(p.last, p.ejected...)
	}
}

// average takes the load of servers that fail as unknown, because a server that
// fails at once reports itself idle.
func (p *Picker) average(now time.Time) {
	var m averages
	var loads, ratios, n float64
	for _, list := range [][]*server{p.near, p.far} {
		for _, s := range list {
			n++
			m.failures += s.agedFailures(now)
			if s.failures > suspectFailures {
				continue
			}
			if !s.loadAt.IsZero() {
				loads++
				m.load += s.load
			}
			if !s.sampled.IsZero() {
				ratios++
				m.ratio += s.ratio
			}
		}
	}
	p.mean.load = m.load / max(loads, 1)
	p.mean.ratio = m.ratio / max(ratios, 1)
	p.mean.failures = m.failures / max(n, 1)
	for _, list := range [][]*server{p.near, p.far} {
		for _, s := range list {
			m.base += p.base(s, now)
		}
	}
	p.mean.base = m.base / max(n, 1)
}
