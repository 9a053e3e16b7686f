package toucanbalance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclock"
)

// policy chooses servers for calls.
type policy interface {
	Update([]Server)
	Pick(excluded ...string) (Server, bool)
	Start(id string)
	Done(id string, r Result)
}

// baseline chooses a random server or, with least, the one with the fewest calls of
// this entry in flight.
type baseline struct {
	random   *rand.Rand
	least    bool
	servers  []Server
	inFlight map[string]int
}

func (b *baseline) Update(servers []Server) {
	b.servers = slices.DeleteFunc(slices.Clone(servers), func(s Server) bool { return s.State != Alive })
}

func (b *baseline) Pick(...string) (Server, bool) {
	if len(b.servers) == 0 {
		return Server{}, false
	}
	start := b.random.IntN(len(b.servers))
	best := b.servers[start]
	if b.least {
		for i := range b.servers {
			if s := b.servers[(start+i)%len(b.servers)]; b.inFlight[s.ID] < b.inFlight[best.ID] {
				best = s
			}
		}
	}
	return best, true
}

func (b *baseline) Start(id string)          { b.inFlight[id]++ }
func (b *baseline) Done(id string, _ Result) { b.inFlight[id]-- }

// trial is the configuration of one simulation of one service in virtual time.
type trial struct {
	service      string
	n, slots     int
	networkDelay time.Duration // one way between data centres
	scenario     string
	policy       string
}

const (
	trialEntries        = 30
	trialDuration       = 20 * time.Second
	trialFaultStart     = 4 * time.Second // start of the fault
	trialDetectionDelay = 3 * time.Second // until the view has an unreachable server as suspect
	trialTarget         = time.Second     // latency target; also the caller's timeout
	trialServiceTime    = 200 * time.Millisecond
	coldSlowdown        = 4 // slowdown of a cold server, which falls to 1 over coldDuration
	coldDuration        = 8 * time.Second
)

type trialServer struct {
	Server
	index     int
	running   int
	queue     []*trialCall
	coldSince time.Time
}

type trialCall struct {
	entry  int
	server *trialServer
	sent   time.Time
}

type trialEvent struct {
	at  time.Time
	seq int
	run func()
}

type trialQueue []trialEvent

func (q trialQueue) Len() int { return len(q) }
func (q trialQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q trialQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *trialQueue) Push(x any)   { *q = append(*q, x.(trialEvent)) }
func (q *trialQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

type trialRun struct {
	trial
	clock         *toucanclock.Manual
	start         time.Time
	random        *rand.Rand
	queue         trialQueue
	seq           int
	policies      []policy
	servers       []*trialServer
	goodLatencies []time.Duration
	calls         int
}

// run returns the share of good calls, which are those answered without a server
// error within the latency target, and the 99th percentile of their latency.
func (t trial) run() (share float64, p99 time.Duration) {
	start := time.Unix(1000, 0)
	r := &trialRun{trial: t, clock: toucanclock.NewManual(start), start: start, random: rand.New(rand.NewPCG(7, 7))}
	for i, s := range newTestServers(t.n, "a", "b", "c") {
		r.servers = append(r.servers, &trialServer{Server: s, index: i})
	}
	for e := range trialEntries {
		random := rand.New(rand.NewPCG(uint64(e), 1))
		var p policy = New(r.clock, random, fmt.Sprintf("e%d", e), []string{"a", "b", "c"}[e%3])
		if t.policy != "toucan" {
			p = &baseline{random: random, least: t.policy == "least", inFlight: make(map[string]int)}
		}
		r.policies = append(r.policies, p)
	}
	r.updateViews()
	r.schedule(trialFaultStart, r.startFault)
	r.generateArrivals()
	for len(r.queue) > 0 {
		e := heap.Pop(&r.queue).(trialEvent)
		r.clock.Set(e.at)
		e.run()
	}
	slices.Sort(r.goodLatencies)
	if len(r.goodLatencies) > 0 {
		p99 = r.goodLatencies[len(r.goodLatencies)*99/100]
	}
	return float64(len(r.goodLatencies)) / float64(r.calls), p99
}

func (r *trialRun) schedule(d time.Duration, run func()) {
	r.seq++
	heap.Push(&r.queue, trialEvent{r.clock.Now().Add(d), r.seq, run})
}

func (r *trialRun) updateViews() {
	view := make([]Server, len(r.servers))
	for i, s := range r.servers {
		view[i] = s.Server
	}
	for _, p := range r.policies {
		p.Update(view)
	}
}

// demand returns the demand as a share of the capacity of the whole service.
func (r *trialRun) demand() float64 {
	if r.scenario == "steady" {
		return 0.75
	}
	return 0.55
}

func (r *trialRun) generateArrivals() {
	if r.clock.Now().Sub(r.start) > trialDuration {
		return
	}
	r.sendCall(r.random.IntN(trialEntries))
	meanGap := float64(trialServiceTime) / (float64(r.n*r.slots) * r.demand())
	r.schedule(time.Duration(meanGap*r.random.ExpFloat64()), r.generateArrivals)
}

func (r *trialRun) isFaulty(s *trialServer) bool {
	if r.clock.Now().Sub(r.start) < trialFaultStart {
		return false
	}
	switch r.scenario {
	case "misreport":
		return s.index == 0
	case "dc_unreachable":
		return s.DataCentre == "a"
	}
	return false
}

func (r *trialRun) startFault() {
	switch r.scenario {
	case "cold":
		s := r.servers[0]
		s.Incarnation, s.coldSince = 2, r.clock.Now()
		r.updateViews()
	case "dc_unreachable":
		r.schedule(trialDetectionDelay, func() {
			for _, s := range r.servers {
				if r.isFaulty(s) {
					s.State = Suspect
				}
			}
			r.updateViews()
		})
	}
}

func (r *trialRun) networkDelayOf(c *trialCall) time.Duration {
	if []string{"a", "b", "c"}[c.entry%3] == c.server.DataCentre {
		return r.networkDelay / 4
	}
	return r.networkDelay
}

func (r *trialRun) sendCall(entry int) {
	r.calls++
	s, ok := r.policies[entry].Pick()
	if !ok {
		return
	}
	c := &trialCall{entry: entry, server: r.servers[slices.IndexFunc(r.servers, func(x *trialServer) bool { return x.ID == s.ID })], sent: r.clock.Now()}
	r.policies[entry].Start(s.ID)
	r.schedule(r.networkDelayOf(c), func() { r.receiveCall(c) })
}

func (r *trialRun) receiveCall(c *trialCall) {
	s := c.server
	switch {
	case r.isFaulty(s) && r.scenario == "dc_unreachable":
		r.schedule(trialTarget, func() { r.endCall(c, Result{Outcome: toucancall.Unknown, Reason: toucancall.ReasonDeadline}) })
	case r.isFaulty(s):
		r.sendReply(c, Result{Outcome: toucancall.Answered, Status: 500, LoadKnown: true})
	case s.running < r.slots:
		r.startCall(c)
	case len(s.queue) < r.slots:
		s.queue = append(s.queue, c)
	default:
		r.sendReply(c, Result{Outcome: toucancall.NotRun, Reason: toucancall.ReasonOverload, Load: 2, LoadKnown: true})
	}
}

func (r *trialRun) startCall(c *trialCall) {
	s := c.server
	s.running++
	took := float64(trialServiceTime) * r.random.ExpFloat64()
	if !s.coldSince.IsZero() {
		cold := 1 - min(float64(r.clock.Now().Sub(s.coldSince))/float64(coldDuration), 1)
		took *= 1 + (coldSlowdown-1)*cold
	}
	r.schedule(time.Duration(took), func() {
		s.running--
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			r.startCall(next)
		}
		load := float64(s.running+len(s.queue)) / float64(r.slots)
		r.sendReply(c, Result{Outcome: toucancall.Answered, Status: 200, Load: load, LoadKnown: true})
	})
}

func (r *trialRun) sendReply(c *trialCall, result Result) {
	r.schedule(r.networkDelayOf(c), func() { r.endCall(c, result) })
}

func (r *trialRun) endCall(c *trialCall, result Result) {
	result.Latency, result.Target = r.clock.Now().Sub(c.sent), trialTarget
	r.policies[c.entry].Done(c.server.ID, result)
	if result.Outcome == toucancall.Answered && result.Status < 500 && result.Latency <= trialTarget {
		r.goodLatencies = append(r.goodLatencies, result.Latency)
	}
}

// Guards against a Picker that does worse than the baseline policies at the service
// sizes of both deployments. With -v it prints the results of all policies.
func TestCompareWithBaselines(t *testing.T) {
	services := []trial{
		{service: "vetrina", n: 4, slots: 200, networkDelay: time.Millisecond},
		{service: "ordini", n: 3, slots: 300, networkDelay: time.Millisecond},
		{service: "magazzino", n: 3, slots: 30, networkDelay: time.Millisecond},
		{service: "catalogus", n: 5, slots: 50, networkDelay: 1500 * time.Microsecond},
		{service: "bestelling", n: 3, slots: 75, networkDelay: 1500 * time.Microsecond},
		{service: "werkstatus", n: 3, slots: 30, networkDelay: 1500 * time.Microsecond},
	}
	for _, service := range services {
		for _, scenario := range []string{"steady", "misreport", "cold", "dc_unreachable"} {
			t.Run(service.service+"/"+scenario, func(t *testing.T) {
				t.Parallel()
				share := make(map[string]float64)
				for _, policy := range []string{"random", "least", "toucan"} {
					trial := service
					trial.scenario, trial.policy = scenario, policy
					good, p99 := trial.run()
					share[policy] = good
					t.Logf("service=%s scenario=%s policy=%s good=%.4f p99=%dms", service.service, scenario, policy, good, p99.Milliseconds())
				}
				if minShare := max(share["random"], share["least"]) - 0.01; share["toucan"] < minShare {
					t.Errorf("%.4f of calls good, want at least %.4f", share["toucan"], minShare)
				}
			})
		}
	}
}
