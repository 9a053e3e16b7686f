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

// policy is one way to choose a server.
type policy interface {
	Update([]Server)
	Pick(exclude ...string) (Server, bool)
	Start(id string)
	Done(id string, r Result)
}

// baseline chooses at random, or the server with the fewest own calls in flight.
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

// trial is one run of one service in virtual time.
type trial struct {
	service  string
	n, slots int
	hop      time.Duration // one way between data centres
	scenario string
	policy   string
}

const (
	trialEntries = 30
	trialLength  = 20 * time.Second
	trialFault   = 4 * time.Second // start of the fault
	trialNotice  = 3 * time.Second // until the view shows a lost server
	trialTarget  = time.Second     // latency target; also the caller's timeout
	trialService = 200 * time.Millisecond
	coldFactor   = 4 // slowdown of a cold server, falling to 1 over coldTime
	coldTime     = 8 * time.Second
)

type trialServer struct {
	Server
	index   int
	running int
	queue   []*trialCall
	started time.Time
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
	clock    *toucanclock.Manual
	start    time.Time
	random   *rand.Rand
	queue    trialQueue
	seq      int
	policies []policy
	servers  []*trialServer
	good     []time.Duration
	calls    int
}

// run returns the share of calls answered well within the target and the 99th
// percentile of the latency of all good calls.
func (t trial) run() (share float64, p99 time.Duration) {
	start := time.Unix(1000, 0)
	r := &trialRun{trial: t, clock: toucanclock.NewManual(start), start: start, random: rand.New(rand.NewPCG(7, 7))}
	for i, s := range fleet(t.n, "a", "b", "c") {
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
	r.update()
	r.after(trialFault, r.fault)
	r.arrive()
	for len(r.queue) > 0 {
		e := heap.Pop(&r.queue).(trialEvent)
		r.clock.Set(e.at)
		e.run()
	}
	slices.Sort(r.good)
	if len(r.good) > 0 {
		p99 = r.good[len(r.good)*99/100]
	}
	return float64(len(r.good)) / float64(r.calls), p99
}

func (r *trialRun) after(d time.Duration, run func()) {
	r.seq++
	heap.Push(&r.queue, trialEvent{r.clock.Now().Add(d), r.seq, run})
}

func (r *trialRun) update() {
	view := make([]Server, len(r.servers))
	for i, s := range r.servers {
		view[i] = s.Server
	}
	for _, p := range r.policies {
		p.Update(view)
	}
}

// demand is the share of the whole service's capacity that is asked for.
func (r *trialRun) demand() float64 {
	if r.scenario == "steady" {
		return 0.75
	}
	return 0.55
}

func (r *trialRun) arrive() {
	if r.clock.Now().Sub(r.start) > trialLength {
		return
	}
	r.send(r.random.IntN(trialEntries))
	gap := float64(trialService) / (float64(r.n*r.slots) * r.demand())
	r.after(time.Duration(gap*r.random.ExpFloat64()), r.arrive)
}

func (r *trialRun) faulty(s *trialServer) bool {
	if r.clock.Now().Sub(r.start) < trialFault {
		return false
	}
	switch r.scenario {
	case "misreport":
		return s.index == 0
	case "lost_dc":
		return s.DataCentre == "a"
	}
	return false
}

func (r *trialRun) fault() {
	switch r.scenario {
	case "cold":
		s := r.servers[0]
		s.Incarnation, s.started = 2, r.clock.Now()
		r.update()
	case "lost_dc":
		r.after(trialNotice, func() {
			for _, s := range r.servers {
				if r.faulty(s) {
					s.State = Suspect
				}
			}
			r.update()
		})
	}
}

func (r *trialRun) delay(c *trialCall) time.Duration {
	if []string{"a", "b", "c"}[c.entry%3] == c.server.DataCentre {
		return r.hop / 4
	}
	return r.hop
}

func (r *trialRun) send(entry int) {
	r.calls++
	s, ok := r.policies[entry].Pick()
	if !ok {
		return
	}
	c := &trialCall{entry: entry, server: r.servers[slices.IndexFunc(r.servers, func(x *trialServer) bool { return x.ID == s.ID })], sent: r.clock.Now()}
	r.policies[entry].Start(s.ID)
	r.after(r.delay(c), func() { r.receive(c) })
}

func (r *trialRun) receive(c *trialCall) {
	s := c.server
	switch {
	case r.faulty(s) && r.scenario == "lost_dc":
		r.after(trialTarget, func() { r.end(c, Result{Outcome: toucancall.Unknown, Reason: toucancall.ReasonDeadline}) })
	case r.faulty(s):
		r.reply(c, Result{Outcome: toucancall.Answered, Status: 500, LoadKnown: true})
	case s.running < r.slots:
		r.begin(c)
	case len(s.queue) < r.slots:
		s.queue = append(s.queue, c)
	default:
		r.reply(c, Result{Outcome: toucancall.NotRun, Reason: toucancall.ReasonOverload, Load: 2, LoadKnown: true})
	}
}

func (r *trialRun) begin(c *trialCall) {
	s := c.server
	s.running++
	took := float64(trialService) * r.random.ExpFloat64()
	if !s.started.IsZero() {
		cold := 1 - min(float64(r.clock.Now().Sub(s.started))/float64(coldTime), 1)
		took *= 1 + (coldFactor-1)*cold
	}
	r.after(time.Duration(took), func() {
		s.running--
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			r.begin(next)
		}
		load := float64(s.running+len(s.queue)) / float64(r.slots)
		r.reply(c, Result{Outcome: toucancall.Answered, Status: 200, Load: load, LoadKnown: true})
	})
}

func (r *trialRun) reply(c *trialCall, result Result) {
	r.after(r.delay(c), func() { r.end(c, result) })
}

func (r *trialRun) end(c *trialCall, result Result) {
	result.Latency, result.Target = r.clock.Now().Sub(c.sent), trialTarget
	r.policies[c.entry].Done(c.server.ID, result)
	if result.Outcome == toucancall.Answered && result.Status < 500 && result.Latency <= trialTarget {
		r.good = append(r.good, result.Latency)
	}
}

// Guards against a choice that does worse than the simplest ones on the sizes
// of both deployments. Run with -v for the table.
func TestCompareWithSimpleChoices(t *testing.T) {
	services := []trial{
		{service: "vetrina", n: 4, slots: 200, hop: time.Millisecond},
		{service: "ordini", n: 3, slots: 300, hop: time.Millisecond},
		{service: "magazzino", n: 3, slots: 30, hop: time.Millisecond},
		{service: "catalogus", n: 5, slots: 50, hop: 1500 * time.Microsecond},
		{service: "bestelling", n: 3, slots: 75, hop: 1500 * time.Microsecond},
		{service: "werkstatus", n: 3, slots: 30, hop: 1500 * time.Microsecond},
	}
	for _, service := range services {
		for _, scenario := range []string{"steady", "misreport", "cold", "lost_dc"} {
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
				if worst := max(share["random"], share["least"]) - 0.01; share["toucan"] < worst {
					t.Errorf("%.4f of calls good, want at least %.4f", share["toucan"], worst)
				}
			})
		}
	}
}
