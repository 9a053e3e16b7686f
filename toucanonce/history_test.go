package toucanonce

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclock"
)

var errInjected = errors.New("injected fault")

// subject names what runs at most once: a key, and for a caller-made key how
// many of its claims had lapsed when it was used.
type subject struct {
	text  string
	epoch int
}

// operation is the input of one operation of a history: a call by a caller, or a
// run at the backend server.
type operation struct {
	subject subject
	run     bool
}

// result is the output of one operation.
type result struct {
	outcome toucancall.Outcome
	body    string
}

// onceModel accepts a run of a subject that did not run and was not refused, an
// answer that is the one of the run, and a not_run before which nothing ran and
// after which nothing runs. An unknown outcome is always accepted.
var onceModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make(map[subject][]porcupine.Operation)
		for _, op := range history {
			s := op.Input.(operation).subject
			parts[s] = append(parts[s], op)
		}
		return slices.Collect(maps.Values(parts))
	},
	Init: func() any { return result{} },
	Step: func(state, input, output any) (bool, any) {
		in, out := input.(operation), output.(result)
		switch {
		case in.run:
			return state == result{}, result{toucancall.Answered, out.body}
		case out.outcome == toucancall.Answered:
			return state == out, state
		case out.outcome == toucancall.NotRun:
			return state == result{} || state == out, out
		}
		return true, state
	},
}

// fakeClock runs at a rate and offset of its own against true time.
type fakeClock struct {
	world  *toucanclock.Manual
	offset time.Duration
	slow   bool
}

func (c fakeClock) Now() time.Time {
	elapsed := c.world.Now().Sub(testStart)
	if c.slow {
		elapsed = elapsed * 3 / 4
	}
	return testStart.Add(c.offset + elapsed)
}

type fakeClaim struct{ value, session string }

// fakeKV is the KV with its faults. A write may fail before or after it takes
// effect, or take effect later.
type fakeKV struct {
	down     bool
	sessions map[string]time.Time // end
	claims   map[string]fakeClaim
	seals    map[string][]byte
	late     []func()
}

func (kv *fakeKV) acquire(session, path, value string) {
	claim, bound := kv.claims[path]
	_, live := kv.sessions[session]
	if live && (!bound || claim.session == session) {
		kv.claims[path] = fakeClaim{value, session}
	}
}

// lapse ends the sessions that are due, at the earliest time the KV may do so.
func (kv *fakeKV) lapse(now time.Time) (paths []string) {
	for id, end := range kv.sessions {
		if now.Before(end) {
			continue
		}
		delete(kv.sessions, id)
		for path, claim := range kv.claims {
			if claim.session == id {
				delete(kv.claims, path)
				paths = append(paths, path)
			}
		}
	}
	return paths
}

// process is one incarnation of a node beside a backend server. A frozen one
// may be replaced at its address and resume later.
type process struct {
	home         *Home
	id           Identity
	frozen, dead bool
	sealed       bool
	inbox        []message // received while frozen
	runs         []*pendingRun
}

// message is a request that reached a process, with the call that waits for it.
type message struct {
	key    Key
	call   *call
	refuse bool
}

type pendingRun struct {
	key     Key
	body    string // set when the request was written to the backend server
	waiters []*call
}

// call is one call of a caller through one entry.
type call struct {
	subject  subject
	entry    *entry
	attempt  *Attempt
	effect   Effect
	waits    bool // for a reply of a process
	start    int64
	finished bool
	reason   toucancall.Reason
}

type entry struct {
	lease  Lease
	timer  *Timer
	knows  []int // indices of the addresses in its membership
	pool   []KeyResult
	paused bool
}

// world runs one schedule.
type world struct {
	t         *rapid.T
	faults    map[string]bool
	clock     *toucanclock.Manual
	step      int64
	kv        *fakeKV
	addresses []*process // current process per address
	processes []*process
	entries   []*entry
	calls     []*call
	epochs    map[string]int    // lapsed claims per path
	callers   map[string]string // issued key to the subject text it was bound to
	keys      []string
	history   []porcupine.Operation
	runs      int
	seen      map[string]int // outcomes and events, to show that schedules reach them
}

var faultKinds = []string{"kv_down", "kv_lost_reply", "kv_late_write", "crash", "freeze", "replace",
	"stop", "lapse", "lost_reply", "membership", "entry_pause", "backend"}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, clock: toucanclock.NewManual(testStart), faults: map[string]bool{}, epochs: map[string]int{},
		callers: map[string]string{}, seen: map[string]int{},
		kv: &fakeKV{sessions: map[string]time.Time{}, claims: map[string]fakeClaim{}, seals: map[string][]byte{}}}
	for range 2 {
		w.faults[rapid.SampledFrom(faultKinds).Draw(t, "fault")] = true
	}
	for i := range 3 {
		w.addresses = append(w.addresses, nil)
		w.boot(i)
	}
	for i := range 2 {
		e := &entry{timer: NewTimer(fakeClock{w.clock, 0, rapid.Bool().Draw(t, "slow")}), knows: []int{0, 1, 2}}
		if w.faults["membership"] {
			e.knows = []int{i, i + 1}
		}
		w.entries = append(w.entries, e)
	}
	w.keys = []string{"order-1", "order-2", "order-3", "order-4"}
	for _, p := range w.processes[:2] {
		w.keys = append(w.keys, p.home.Issue(1)[0].String())
	}
	return w
}

func (w *world) boot(address int) {
	id := Identity{Service: "ordini", Node: fmt.Sprintf("10.0.0.%d:7003", address), Incarnation: int64(len(w.processes))}
	clock := fakeClock{w.clock, time.Duration(address-1) * time.Hour, rapid.Bool().Draw(w.t, "slow")}
	home, err := NewHome(id, testSecret, clock)
	if err != nil {
		w.t.Fatal(err)
	}
	p := &process{home: home, id: id}
	w.addresses[address] = p
	w.processes = append(w.processes, p)
}

// chance draws a fault of a kind that this schedule has.
func (w *world) chance(kind string) bool {
	return w.faults[kind] && rapid.Bool().Draw(w.t, kind)
}

func (w *world) act() {
	w.step++
	switch rapid.IntRange(0, 15).Draw(w.t, "action") {
	case 0, 1, 2:
		w.newCall()
	case 3, 4, 5, 6, 7:
		w.stepCall()
	case 8, 9, 10, 11:
		w.stepRun()
	case 12:
		w.advance()
	default:
		w.fault()
	}
}

func (w *world) newCall() {
	text := rapid.SampledFrom(w.keys).Draw(w.t, "key")
	e := rapid.SampledFrom(w.entries).Draw(w.t, "entry")
	refusal := toucancall.Reason("")
	if rapid.IntRange(0, 4).Draw(w.t, "refuse") == 0 {
		refusal = toucancall.ReasonOverload
	}
	c := &call{subject: w.subject(text), entry: e, start: w.step, attempt: NewAttempt("ordini", text, &e.lease, refusal)}
	w.calls = append(w.calls, c)
	w.handle(c, c.attempt.Start())
}

func (w *world) subject(text string) subject {
	return subject{text, w.epochs[ClaimPath("ordini", text)]}
}

func (w *world) handle(c *call, e Effect) {
	c.effect = e
	if reply, ok := e.(Reply); ok {
		w.end(c, result{outcome: reply.Outcome}, reply.Reason)
	}
}

func (w *world) end(c *call, r result, reason toucancall.Reason) {
	if c.finished {
		return
	}
	c.finished, c.reason = true, reason
	if r.outcome != toucancall.Answered {
		r.body = ""
	}
	w.seen[string(r.outcome)]++
	w.seen[string(r.outcome)+" "+string(reason)]++
	w.history = append(w.history, porcupine.Operation{Input: operation{subject: c.subject}, Call: c.start, Output: r, Return: w.step})
}

func (w *world) stepCall() {
	ready := slices.DeleteFunc(slices.Clone(w.calls), func(c *call) bool { return c.finished || c.entry.paused })
	if len(ready) == 0 {
		return
	}
	c := rapid.SampledFrom(ready).Draw(w.t, "call")
	if c.waits {
		// The entry gives up; the request may still be at the home.
		if w.chance("lost_reply") || rapid.IntRange(0, 3).Draw(w.t, "give_up") == 0 {
			c.waits = false
			w.lose(c)
		}
		return
	}
	w.carryOut(c)
}

func (w *world) lose(c *call) {
	if _, ok := c.effect.(RefuseAtHome); ok {
		w.handle(c, c.attempt.Step(RefuseResult{}))
		return
	}
	w.handle(c, c.attempt.Step(ForwardResult{Lost}))
}

func (w *world) carryOut(c *call) {
	switch e := c.effect.(type) {
	case GetKey:
		w.handle(c, c.attempt.Step(w.getKey(c.entry)))
	case OpenSession:
		id := fmt.Sprint("session-", w.step)
		opened := c.entry.timer.Now()
		err := w.write(func() { w.kv.sessions[id] = w.clock.Now().Add(SessionTTL) })
		w.handle(c, c.attempt.Step(SessionResult{Session: id, Opened: opened, Err: err}))
	case Claim:
		err := w.write(func() { w.kv.acquire(e.Session, e.Path, e.Value) })
		w.handle(c, c.attempt.Step(w.readClaim(c, e.Path, err)))
	case ReadClaim:
		w.handle(c, c.attempt.Step(w.readClaim(c, e.Path, w.read())))
	case Forward:
		w.callers[e.Key.String()] = c.subject.text
		w.send(message{key: e.Key, call: c})
	case RefuseAtHome:
		w.send(message{key: e.Key, call: c, refuse: true})
	case ReadSeal:
		w.handle(c, c.attempt.Step(SealResult{Record: w.kv.seals[e.Path], Err: w.read()}))
	}
}

// getKey takes a prefetched key or asks a home of the entry's membership.
func (w *world) getKey(e *entry) KeyResult {
	if len(e.pool) == 0 {
		p := w.addresses[rapid.SampledFrom(e.knows).Draw(w.t, "home")]
		if p.dead || p.frozen {
			return KeyResult{Err: errInjected}
		}
		for _, k := range p.home.Issue(2) {
			e.pool = append(e.pool, KeyResult{Key: k, Received: e.timer.Now()})
		}
		if len(e.pool) == 0 {
			return KeyResult{Err: errInjected}
		}
	}
	k := e.pool[0]
	e.pool = e.pool[1:]
	return k
}

func (w *world) write(effect func()) error {
	switch {
	case w.kv.down:
		return errInjected
	case w.chance("kv_late_write"):
		w.kv.late = append(w.kv.late, effect)
		return errInjected
	}
	effect()
	if w.chance("kv_lost_reply") {
		w.seen["kv reply lost"]++
		return errInjected
	}
	return nil
}

func (w *world) read() error {
	if w.kv.down || w.chance("kv_lost_reply") {
		return errInjected
	}
	return nil
}

// readClaim binds the call to the claim that it reads. An entry paused before
// that for longer than a claim lives takes part in the next life of the key.
func (w *world) readClaim(c *call, path string, err error) ClaimResult {
	if err != nil {
		return ClaimResult{Err: err}
	}
	c.subject = w.subject(c.subject.text)
	return ClaimResult{Current: w.kv.claims[path].value}
}

// send delivers a message to the process at the address of the key's home.
func (w *world) send(m message) {
	i := slices.IndexFunc(w.addresses, func(p *process) bool { return p.id.Node == m.key.Node })
	p := w.addresses[i]
	switch {
	case p.dead && m.refuse:
		w.handle(m.call, m.call.attempt.Step(RefuseResult{}))
	case p.dead:
		w.handle(m.call, m.call.attempt.Step(ForwardResult{NotSent}))
	case p.frozen:
		m.call.waits = true
		p.inbox = append(p.inbox, m)
	default:
		m.call.waits = true
		w.deliver(p, m)
	}
}

func (w *world) deliver(p *process, m message) {
	if m.refuse {
		d := p.home.Refuse(m.key)
		if m.call.waits {
			m.call.waits = false
			w.handle(m.call, m.call.attempt.Step(RefuseResult{d}))
		}
		return
	}
	switch d := p.home.Begin(m.key).(type) {
	case Run:
		p.runs = append(p.runs, &pendingRun{key: m.key, waiters: []*call{m.call}})
	case Join:
		for _, r := range p.runs {
			if r.key == m.key {
				r.waiters = append(r.waiters, m.call)
				w.seen["joined"]++
			}
		}
	case Replay:
		w.seen["repeated"]++
		w.reply(m.call, d.Answer)
	case Refused:
		w.reply(m.call, Answer{Outcome: toucancall.NotRun, Reason: d.Reason})
	case Unknown:
		w.reply(m.call, Answer{Outcome: toucancall.Unknown, Reason: d.Reason})
	}
}

func (w *world) reply(c *call, a Answer) {
	if !c.waits {
		return // the entry gave up
	}
	c.waits = false
	switch {
	case w.chance("lost_reply"):
		w.lose(c)
	case a.Outcome == toucancall.Unknown && a.Reason == toucancall.ReasonKeyUnknown:
		w.handle(c, c.attempt.Step(ForwardResult{KeyUnknown}))
	default:
		c.effect = c.attempt.Step(ForwardResult{Replied})
		w.end(c, result{a.Outcome, string(a.Body)}, a.Reason)
	}
}

// stepRun writes one pending request to the backend server or ends its run.
func (w *world) stepRun() {
	ready := slices.DeleteFunc(slices.Clone(w.processes), func(p *process) bool { return p.frozen || p.dead || len(p.runs) == 0 })
	if len(ready) > 0 {
		p := rapid.SampledFrom(ready).Draw(w.t, "process")
		w.progress(p, rapid.IntRange(0, len(p.runs)-1).Draw(w.t, "run"))
	}
}

func (w *world) progress(p *process, i int) {
	r := p.runs[i]
	a := answered(r.body)
	switch {
	case r.body == "" && !p.home.Confirm(r.key):
		w.seen["confirm refused"]++
		a = Answer{Outcome: toucancall.NotRun, Reason: toucancall.ReasonDeadline}
	case r.body == "" && w.chance("backend"):
		a = Answer{Outcome: toucancall.NotRun, Reason: toucancall.ReasonBackendRefused}
	case r.body == "":
		w.run(r)
		return
	case w.chance("backend"):
		a = Answer{Outcome: toucancall.Unknown, Reason: toucancall.ReasonConnectionLost}
	}
	p.runs = slices.Delete(p.runs, i, i+1)
	p.home.Finish(r.key, a)
	for _, c := range r.waiters {
		w.reply(c, a)
	}
}

// run records a run at the backend server under the subject that its key is
// bound to at this time.
func (w *world) run(r *pendingRun) {
	w.runs++
	r.body = fmt.Sprintf("answer-%d", w.runs)
	s := w.subject(w.callers[r.key.String()])
	for _, c := range r.waiters {
		if c.subject != s {
			w.t.Errorf("run for %v after the claim lapsed", c.subject)
		}
	}
	w.history = append(w.history, porcupine.Operation{Input: operation{s, true}, Call: w.step, Output: result{body: r.body}, Return: w.step})
}

func (w *world) advance() {
	steps := []time.Duration{time.Second, time.Minute}
	if w.faults["lapse"] {
		steps = append(steps, 6*time.Minute, 29*time.Minute, SessionTTL)
		for _, end := range w.kv.sessions { // claims are riskiest just before they lapse
			steps = append(steps, end.Sub(w.clock.Now())-time.Second, end.Sub(w.clock.Now()))
		}
		slices.Sort(steps)
	}
	// Other callers take keys meanwhile, so that homes still remember expired ones.
	const between = 5 * time.Minute
	for left := rapid.SampledFrom(steps).Draw(w.t, "advance"); left > 0; left -= between {
		w.clock.Advance(min(left, between))
		for _, p := range w.processes {
			if !p.frozen && !p.dead {
				p.home.Issue(1)
			}
		}
	}
	for _, path := range w.kv.lapse(w.clock.Now()) {
		w.epochs[path]++
		w.seen["claim lapsed"]++
	}
}

func (w *world) fault() {
	i := rapid.IntRange(0, 2).Draw(w.t, "address")
	p := w.addresses[i]
	switch kind := rapid.SampledFrom(slices.Sorted(maps.Keys(w.faults))).Draw(w.t, "kind"); kind {
	case "kv_down":
		w.kv.down = !w.kv.down
	case "kv_late_write":
		if len(w.kv.late) > 0 {
			w.kv.late[0]()
			w.kv.late = w.kv.late[1:]
		}
	case "crash":
		w.crash(p)
	case "freeze":
		if p.frozen {
			w.resume(p)
		} else {
			p.frozen = !p.dead
		}
	case "replace":
		if rapid.Bool().Draw(w.t, "crash_first") {
			w.crash(p)
		} else {
			p.frozen = !p.dead
		}
		w.boot(i)
	case "stop":
		// The process lives on for a while after its seal is written.
		switch {
		case p.sealed:
			w.crash(p)
		case !p.frozen && !p.dead:
			p.sealed = true
			seal := p.home.Seal()
			_ = w.write(func() { w.kv.seals[SealPath(p.id)] = seal.Encode() })
		}
	case "lapse":
		w.advance()
	case "entry_pause":
		e := w.entries[i%2]
		e.paused = !e.paused
	}
}

func (w *world) crash(p *process) {
	p.dead, p.frozen = true, false
	var waiting []*call
	for _, m := range p.inbox {
		waiting = append(waiting, m.call)
	}
	for _, r := range p.runs {
		waiting = append(waiting, r.waiters...)
	}
	p.inbox, p.runs = nil, nil
	for _, c := range waiting {
		if c.waits {
			c.waits = false
			w.lose(c)
		}
	}
}

func (w *world) resume(p *process) {
	p.frozen = false
	inbox := p.inbox
	p.inbox = nil
	for _, m := range inbox {
		w.deliver(p, m)
	}
}

// settle resumes what is frozen and ends every run and call.
func (w *world) settle() {
	w.kv.down = false
	for _, write := range w.kv.late {
		write()
	}
	for _, p := range w.processes {
		if p.frozen {
			w.step++
			w.resume(p)
		}
	}
	for range 30 {
		for _, p := range w.processes {
			for !p.frozen && len(p.runs) > 0 {
				w.step++
				w.progress(p, 0)
			}
		}
		for _, c := range w.calls {
			if !c.finished && !c.waits {
				w.step++
				w.carryOut(c)
			}
		}
	}
}

// check holds every outcome against what the backend server ran.
func (w *world) check() {
	ran := make(map[subject][]string)
	for _, op := range w.history {
		if in := op.Input.(operation); in.run {
			ran[in.subject] = append(ran[in.subject], op.Output.(result).body)
		}
	}
	for s, bodies := range ran {
		if len(bodies) > 1 {
			w.t.Errorf("%v ran %d times", s, len(bodies))
		}
	}
	for _, op := range w.history {
		in, out := op.Input.(operation), op.Output.(result)
		if in.run {
			continue
		}
		if bodies := ran[in.subject]; out.outcome == toucancall.NotRun && len(bodies) > 0 {
			w.t.Errorf("%v ran, a caller was told not_run", in.subject)
		} else if out.outcome == toucancall.Answered && !slices.Equal(bodies, []string{out.body}) {
			w.t.Errorf("%v ran as %q, a caller got %q", in.subject, bodies, out.body)
		}
	}
	forwarded := make(map[string]bool) // keys of which some attempt may have been forwarded
	for _, c := range w.calls {
		if !c.finished {
			w.t.Errorf("call of %v did not end: %T", c.subject, c.effect)
		}
		if c.reason != toucancall.ReasonNotForwarded {
			forwarded[c.subject.text] = true
		}
	}
	for _, c := range w.calls {
		// The caller library turns this into not_run.
		if !forwarded[c.subject.text] {
			w.seen["every attempt not_forwarded"]++
			if len(ran[c.subject]) > 0 {
				w.t.Errorf("%v ran, its attempts ended not_forwarded", c.subject)
			}
		}
	}
	if !porcupine.CheckOperations(onceModel, w.history) {
		w.t.Errorf("not linearizable:\n%s", describe(w.history))
	}
}

func describe(history []porcupine.Operation) string {
	var b strings.Builder
	for _, op := range history {
		in, out := op.Input.(operation), op.Output.(result)
		if in.run {
			fmt.Fprintf(&b, "[%d] backend server runs %s.%d: %s\n", op.Call, in.subject.text, in.subject.epoch, out.body)
			continue
		}
		fmt.Fprintf(&b, "[%d-%d] call %s.%d: %s %s\n", op.Call, op.Return, in.subject.text, in.subject.epoch, out.outcome, out.body)
	}
	return b.String()
}

// TestHistories guards against a key that runs twice and against an outcome that
// is not what the backend server did, under two kinds of faults at a time.
func TestHistories(t *testing.T) {
	seen := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(10, 120).Draw(t, "actions") {
			w.act()
		}
		w.settle()
		w.check()
		for event, n := range w.seen {
			seen[event] += n
		}
		seen["schedules"]++
		seen["backend runs"] += w.runs
	})
	for _, event := range slices.Sorted(maps.Keys(seen)) {
		t.Logf("%s: %d", event, seen[event])
	}
	for _, event := range []string{"answered", "not_run", "unknown", "joined", "repeated", "claim lapsed", "kv reply lost", "every attempt not_forwarded"} {
		if seen[event] == 0 {
			t.Errorf("the schedules never reached %q", event)
		}
	}
}

// defaultChecks keeps the schedules of CI to a few seconds under the race detector.
const defaultChecks = "2000"

// TestMain fixes the seed and the number of the schedules unless the command
// gives them, so that CI runs the same schedules each time.
func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "RAPID_SEED", "1")
	setDefault("rapid.checks", "RAPID_CHECKS", defaultChecks)
	m.Run()
}

func setDefault(name, variable, value string) {
	_, given := os.LookupEnv(variable)
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if given {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
