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

// boundKey identifies what may run at most once: the text of a key and, for a
// caller-made key, how many of its claims had expired when it was used.
type boundKey struct {
	text  string
	epoch int
}

// operation is the input of one operation of a history: a call by a caller or a
// run at the backend server.
type operation struct {
	key   boundKey
	isRun bool
}

// result is the output of one operation.
type result struct {
	outcome toucancall.Outcome
	body    string
}

// onceModel is the specification for one bound key. It accepts a run if the key has
// not run before and no call ended with not_run; an answer that equals the answer
// of the run; and not_run if the key has not run. It always accepts an unknown
// outcome.
var onceModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make(map[boundKey][]porcupine.Operation)
		for _, op := range history {
			key := op.Input.(operation).key
			parts[key] = append(parts[key], op)
		}
		return slices.Collect(maps.Values(parts))
	},
	Init: func() any { return result{} },
	Step: func(state, input, output any) (bool, any) {
		in, out := input.(operation), output.(result)
		switch {
		case in.isRun:
			return state == result{}, result{toucancall.Answered, out.body}
		case out.outcome == toucancall.Answered:
			return state == out, state
		case out.outcome == toucancall.NotRun:
			return state == result{} || state == out, out
		}
		return true, state
	},
}

// fakeClock is the clock of one process. It has an offset from the true time and, if
// slow, runs at three quarters of its rate.
type fakeClock struct {
	trueTime *toucanclock.Manual
	offset   time.Duration
	slow     bool
}

func (c fakeClock) Now() time.Time {
	elapsed := c.trueTime.Now().Sub(testStart)
	if c.slow {
		elapsed = elapsed * 3 / 4
	}
	return testStart.Add(c.offset + elapsed)
}

type fakeClaim struct{ value, session string }

// fakeKV is a KV with faults. A write may fail before or after it takes effect, or
// fail and take effect later.
type fakeKV struct {
	unreachable   bool
	sessions      map[string]time.Time // end by session
	claims        map[string]fakeClaim
	seals         map[string][]byte
	delayedWrites []func()
}

func (kv *fakeKV) acquire(session, path, value string) {
	claim, bound := kv.claims[path]
	_, live := kv.sessions[session]
	if live && (!bound || claim.session == session) {
		kv.claims[path] = fakeClaim{value, session}
	}
}

// expireSessions ends the sessions whose time to live has passed, at the earliest
// time the KV may do so. It returns the paths of the deleted claims.
func (kv *fakeKV) expireSessions(now time.Time) (paths []string) {
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

// process is one incarnation of a node beside a backend server. Another process may
// replace a paused one at its address; the paused one may resume later.
type process struct {
	home            *Home
	id              Identity
	paused, crashed bool
	sealed          bool
	inbox           []message // received while paused
	runs            []*pendingRun
}

// message is a request that reached a process, with the call that waits for the
// reply.
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
	key         boundKey
	entry       *entry
	attempt     *Attempt
	effect      Effect
	awaitsReply bool // whether it waits for a reply of a process
	start       int64
	finished    bool
	reason      toucancall.Reason
}

type entry struct {
	lease   Lease
	timer   *Timer
	members []int // indices of the addresses that it knows
	keyPool []KeyResult
	paused  bool
}

// simulation runs one random schedule of calls, runs and faults.
type simulation struct {
	t           *rapid.T
	faults      map[string]bool
	clock       *toucanclock.Manual
	step        int64
	kv          *fakeKV
	addresses   []*process // current process per address
	processes   []*process
	entries     []*entry
	calls       []*call
	epochs      map[string]int    // number of expired claims per path
	callerTexts map[string]string // key sent by the caller per issued key
	keys        []string
	history     []porcupine.Operation
	runs        int
	eventCounts map[string]int // outcomes and events that the schedule reached
}

// faultKinds are the kinds of faults. injectFault draws from their sorted names, so
// other names would change the schedules.
var faultKinds = []string{"kv_down", "kv_lost_reply", "kv_late_write", "crash", "freeze", "replace",
	"stop", "lapse", "lost_reply", "membership", "entry_pause", "backend"}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, clock: toucanclock.NewManual(testStart), faults: map[string]bool{}, epochs: map[string]int{},
		callerTexts: map[string]string{}, eventCounts: map[string]int{},
		kv: &fakeKV{sessions: map[string]time.Time{}, claims: map[string]fakeClaim{}, seals: map[string][]byte{}}}
	for range 2 {
		sim.faults[rapid.SampledFrom(faultKinds).Draw(t, "fault")] = true
	}
	for i := range 3 {
		sim.addresses = append(sim.addresses, nil)
		sim.startProcess(i)
	}
	for i := range 2 {
		e := &entry{timer: NewTimer(fakeClock{sim.clock, 0, rapid.Bool().Draw(t, "slow")}), members: []int{0, 1, 2}}
		if sim.faults["membership"] {
			e.members = []int{i, i + 1}
		}
		sim.entries = append(sim.entries, e)
	}
	sim.keys = []string{"order-1", "order-2", "order-3", "order-4"}
	for _, p := range sim.processes[:2] {
		sim.keys = append(sim.keys, p.home.Issue(1)[0].String())
	}
	return sim
}

func (sim *simulation) startProcess(address int) {
	id := Identity{Service: "ordini", Node: fmt.Sprintf("10.0.0.%d:7003", address), Incarnation: int64(len(sim.processes))}
	clock := fakeClock{sim.clock, time.Duration(address-1) * time.Hour, rapid.Bool().Draw(sim.t, "slow")}
	home, err := NewHome(id, testSecret, clock)
	if err != nil {
		sim.t.Fatal(err)
	}
	p := &process{home: home, id: id}
	sim.addresses[address] = p
	sim.processes = append(sim.processes, p)
}

// drawFault reports whether a fault occurs now. It draws only faults of the kinds
// that this schedule has.
func (sim *simulation) drawFault(kind string) bool {
	return sim.faults[kind] && rapid.Bool().Draw(sim.t, kind)
}

func (sim *simulation) takeAction() {
	sim.step++
	switch rapid.IntRange(0, 15).Draw(sim.t, "action") {
	case 0, 1, 2:
		sim.startCall()
	case 3, 4, 5, 6, 7:
		sim.advanceCall()
	case 8, 9, 10, 11:
		sim.advanceRandomRun()
	case 12:
		sim.advanceClock()
	default:
		sim.injectFault()
	}
}

func (sim *simulation) startCall() {
	text := rapid.SampledFrom(sim.keys).Draw(sim.t, "key")
	e := rapid.SampledFrom(sim.entries).Draw(sim.t, "entry")
	refusal := toucancall.Reason("")
	if rapid.IntRange(0, 4).Draw(sim.t, "refuse") == 0 {
		refusal = toucancall.ReasonOverload
	}
	c := &call{key: sim.boundKey(text), entry: e, start: sim.step, attempt: NewAttempt("ordini", text, &e.lease, refusal)}
	sim.calls = append(sim.calls, c)
	sim.setEffect(c, c.attempt.Start())
}

func (sim *simulation) boundKey(text string) boundKey {
	return boundKey{text, sim.epochs[ClaimPath("ordini", text)]}
}

func (sim *simulation) setEffect(c *call, e Effect) {
	c.effect = e
	if reply, ok := e.(Reply); ok {
		sim.finishCall(c, result{outcome: reply.Outcome}, reply.Reason)
	}
}

func (sim *simulation) finishCall(c *call, r result, reason toucancall.Reason) {
	if c.finished {
		return
	}
	c.finished, c.reason = true, reason
	if r.outcome != toucancall.Answered {
		r.body = ""
	}
	sim.eventCounts[string(r.outcome)]++
	sim.eventCounts[string(r.outcome)+" "+string(reason)]++
	sim.history = append(sim.history, porcupine.Operation{Input: operation{key: c.key}, Call: c.start, Output: r, Return: sim.step})
}

func (sim *simulation) advanceCall() {
	ready := slices.DeleteFunc(slices.Clone(sim.calls), func(c *call) bool { return c.finished || c.entry.paused })
	if len(ready) == 0 {
		return
	}
	c := rapid.SampledFrom(ready).Draw(sim.t, "call")
	if c.awaitsReply {
		// The entry stops waiting; the request may still be at the home.
		if sim.drawFault("lost_reply") || rapid.IntRange(0, 3).Draw(sim.t, "give_up") == 0 {
			c.awaitsReply = false
			sim.loseReply(c)
		}
		return
	}
	sim.runEffect(c)
}

func (sim *simulation) loseReply(c *call) {
	if _, ok := c.effect.(RefuseAtHome); ok {
		sim.setEffect(c, c.attempt.Step(RefuseResult{}))
		return
	}
	sim.setEffect(c, c.attempt.Step(ForwardResult{Lost}))
}

func (sim *simulation) runEffect(c *call) {
	switch e := c.effect.(type) {
	case GetKey:
		sim.setEffect(c, c.attempt.Step(sim.getKey(c.entry)))
	case OpenSession:
		id := fmt.Sprint("session-", sim.step)
		opened := c.entry.timer.Now()
		err := sim.writeKV(func() { sim.kv.sessions[id] = sim.clock.Now().Add(SessionTTL) })
		sim.setEffect(c, c.attempt.Step(SessionResult{Session: id, Opened: opened, Err: err}))
	case Claim:
		err := sim.writeKV(func() { sim.kv.acquire(e.Session, e.Path, e.Value) })
		sim.setEffect(c, c.attempt.Step(sim.readClaim(c, e.Path, err)))
	case ReadClaim:
		sim.setEffect(c, c.attempt.Step(sim.readClaim(c, e.Path, sim.checkRead())))
	case Forward:
		sim.callerTexts[e.Key.String()] = c.key.text
		sim.sendToHome(message{key: e.Key, call: c})
	case RefuseAtHome:
		sim.sendToHome(message{key: e.Key, call: c, refuse: true})
	case ReadSeal:
		sim.setEffect(c, c.attempt.Step(SealResult{Record: sim.kv.seals[e.Path], Err: sim.checkRead()}))
	}
}

// getKey returns a prefetched key or requests keys from a home that the entry knows.
func (sim *simulation) getKey(e *entry) KeyResult {
	if len(e.keyPool) == 0 {
		p := sim.addresses[rapid.SampledFrom(e.members).Draw(sim.t, "home")]
		if p.crashed || p.paused {
			return KeyResult{Err: errInjected}
		}
		for _, k := range p.home.Issue(2) {
			e.keyPool = append(e.keyPool, KeyResult{Key: k, Received: e.timer.Now()})
		}
		if len(e.keyPool) == 0 {
			return KeyResult{Err: errInjected}
		}
	}
	k := e.keyPool[0]
	e.keyPool = e.keyPool[1:]
	return k
}

func (sim *simulation) writeKV(effect func()) error {
	switch {
	case sim.kv.unreachable:
		return errInjected
	case sim.drawFault("kv_late_write"):
		sim.kv.delayedWrites = append(sim.kv.delayedWrites, effect)
		return errInjected
	}
	effect()
	if sim.drawFault("kv_lost_reply") {
		sim.eventCounts["kv reply lost"]++
		return errInjected
	}
	return nil
}

func (sim *simulation) checkRead() error {
	if sim.kv.unreachable || sim.drawFault("kv_lost_reply") {
		return errInjected
	}
	return nil
}

// readClaim binds the call to the claim that it reads. If the entry was paused
// before the read until an earlier claim expired, the call counts for the next
// bound key of the same text.
func (sim *simulation) readClaim(c *call, path string, err error) ClaimResult {
	if err != nil {
		return ClaimResult{Err: err}
	}
	c.key = sim.boundKey(c.key.text)
	return ClaimResult{Current: sim.kv.claims[path].value}
}

// sendToHome delivers a message to the process at the address of the key's home.
func (sim *simulation) sendToHome(m message) {
	i := slices.IndexFunc(sim.addresses, func(p *process) bool { return p.id.Node == m.key.Node })
	p := sim.addresses[i]
	switch {
	case p.crashed && m.refuse:
		sim.setEffect(m.call, m.call.attempt.Step(RefuseResult{}))
	case p.crashed:
		sim.setEffect(m.call, m.call.attempt.Step(ForwardResult{NotSent}))
	case p.paused:
		m.call.awaitsReply = true
		p.inbox = append(p.inbox, m)
	default:
		m.call.awaitsReply = true
		sim.deliver(p, m)
	}
}

func (sim *simulation) deliver(p *process, m message) {
	if m.refuse {
		d := p.home.Refuse(m.key)
		if m.call.awaitsReply {
			m.call.awaitsReply = false
			sim.setEffect(m.call, m.call.attempt.Step(RefuseResult{d}))
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
				sim.eventCounts["joined"]++
			}
		}
	case Replay:
		sim.eventCounts["repeated"]++
		sim.reply(m.call, d.Answer)
	case Refused:
		sim.reply(m.call, Answer{Outcome: toucancall.NotRun, Reason: d.Reason})
	case Unknown:
		sim.reply(m.call, Answer{Outcome: toucancall.Unknown, Reason: d.Reason})
	}
}

func (sim *simulation) reply(c *call, a Answer) {
	if !c.awaitsReply {
		return // the entry stopped waiting
	}
	c.awaitsReply = false
	switch {
	case sim.drawFault("lost_reply"):
		sim.loseReply(c)
	case a.Outcome == toucancall.Unknown && a.Reason == toucancall.ReasonKeyUnknown:
		sim.setEffect(c, c.attempt.Step(ForwardResult{KeyUnknown}))
	default:
		c.effect = c.attempt.Step(ForwardResult{Replied})
		sim.finishCall(c, result{a.Outcome, string(a.Body)}, a.Reason)
	}
}

// advanceRandomRun advances a random run: it writes the pending request to the
// backend server or ends the run.
func (sim *simulation) advanceRandomRun() {
	ready := slices.DeleteFunc(slices.Clone(sim.processes), func(p *process) bool { return p.paused || p.crashed || len(p.runs) == 0 })
	if len(ready) > 0 {
		p := rapid.SampledFrom(ready).Draw(sim.t, "process")
		sim.advanceRun(p, rapid.IntRange(0, len(p.runs)-1).Draw(sim.t, "run"))
	}
}

func (sim *simulation) advanceRun(p *process, i int) {
	r := p.runs[i]
	a := answeredWith(r.body)
	switch {
	case r.body == "" && !p.home.Confirm(r.key):
		sim.eventCounts["confirm refused"]++
		a = Answer{Outcome: toucancall.NotRun, Reason: toucancall.ReasonDeadline}
	case r.body == "" && sim.drawFault("backend"):
		a = Answer{Outcome: toucancall.NotRun, Reason: toucancall.ReasonBackendRefused}
	case r.body == "":
		sim.recordRun(r)
		return
	case sim.drawFault("backend"):
		a = Answer{Outcome: toucancall.Unknown, Reason: toucancall.ReasonConnectionLost}
	}
	p.runs = slices.Delete(p.runs, i, i+1)
	p.home.Finish(r.key, a)
	for _, c := range r.waiters {
		sim.reply(c, a)
	}
}

// recordRun records a run at the backend server under the bound key that its issued
// key belongs to at this time.
func (sim *simulation) recordRun(r *pendingRun) {
	sim.runs++
	r.body = fmt.Sprintf("answer-%d", sim.runs)
	key := sim.boundKey(sim.callerTexts[r.key.String()])
	for _, c := range r.waiters {
		if c.key != key {
			sim.t.Errorf("run for %v after the claim expired", c.key)
		}
	}
	sim.history = append(sim.history, porcupine.Operation{Input: operation{key, true}, Call: sim.step, Output: result{body: r.body}, Return: sim.step})
}

func (sim *simulation) advanceClock() {
	steps := []time.Duration{time.Second, time.Minute}
	if sim.faults["lapse"] {
		steps = append(steps, 6*time.Minute, 29*time.Minute, SessionTTL)
		for _, end := range sim.kv.sessions { // faults are most likely to show just before a claim expires
			steps = append(steps, end.Sub(sim.clock.Now())-time.Second, end.Sub(sim.clock.Now()))
		}
		slices.Sort(steps)
	}
	// Issue further keys meanwhile, as for other callers. A home drops the state of
	// a chunk of keys only after the last key expires, so it still holds the states
	// of expired keys.
	const issueInterval = 5 * time.Minute
	for remaining := rapid.SampledFrom(steps).Draw(sim.t, "advance"); remaining > 0; remaining -= issueInterval {
		sim.clock.Advance(min(remaining, issueInterval))
		for _, p := range sim.processes {
			if !p.paused && !p.crashed {
				p.home.Issue(1)
			}
		}
	}
	for _, path := range sim.kv.expireSessions(sim.clock.Now()) {
		sim.epochs[path]++
		sim.eventCounts["claim lapsed"]++
	}
}

func (sim *simulation) injectFault() {
	i := rapid.IntRange(0, 2).Draw(sim.t, "address")
	p := sim.addresses[i]
	switch kind := rapid.SampledFrom(slices.Sorted(maps.Keys(sim.faults))).Draw(sim.t, "kind"); kind {
	case "kv_down":
		sim.kv.unreachable = !sim.kv.unreachable
	case "kv_late_write":
		if len(sim.kv.delayedWrites) > 0 {
			sim.kv.delayedWrites[0]()
			sim.kv.delayedWrites = sim.kv.delayedWrites[1:]
		}
	case "crash":
		sim.crash(p)
	case "freeze":
		if p.paused {
			sim.resume(p)
		} else {
			p.paused = !p.crashed
		}
	case "replace":
		if rapid.Bool().Draw(sim.t, "crash_first") {
			sim.crash(p)
		} else {
			p.paused = !p.crashed
		}
		sim.startProcess(i)
	case "stop":
		// The process keeps running for some time after it wrote its seal.
		switch {
		case p.sealed:
			sim.crash(p)
		case !p.paused && !p.crashed:
			p.sealed = true
			seal := p.home.Seal()
			_ = sim.writeKV(func() { sim.kv.seals[SealPath(p.id)] = seal.Encode() })
		}
	case "lapse":
		sim.advanceClock()
	case "entry_pause":
		e := sim.entries[i%2]
		e.paused = !e.paused
	}
}

func (sim *simulation) crash(p *process) {
	p.crashed, p.paused = true, false
	var waiting []*call
	for _, m := range p.inbox {
		waiting = append(waiting, m.call)
	}
	for _, r := range p.runs {
		waiting = append(waiting, r.waiters...)
	}
	p.inbox, p.runs = nil, nil
	for _, c := range waiting {
		if c.awaitsReply {
			c.awaitsReply = false
			sim.loseReply(c)
		}
	}
}

func (sim *simulation) resume(p *process) {
	p.paused = false
	inbox := p.inbox
	p.inbox = nil
	for _, m := range inbox {
		sim.deliver(p, m)
	}
}

// finishAll resumes the paused processes and ends every run and call.
func (sim *simulation) finishAll() {
	sim.kv.unreachable = false
	for _, write := range sim.kv.delayedWrites {
		write()
	}
	for _, p := range sim.processes {
		if p.paused {
			sim.step++
			sim.resume(p)
		}
	}
	for range 30 {
		for _, p := range sim.processes {
			for !p.paused && len(p.runs) > 0 {
				sim.step++
				sim.advanceRun(p, 0)
			}
		}
		for _, c := range sim.calls {
			if !c.finished && !c.awaitsReply {
				sim.step++
				sim.runEffect(c)
			}
		}
	}
}

// checkOutcomes compares every outcome with the runs at the backend server.
func (sim *simulation) checkOutcomes() {
	ran := make(map[boundKey][]string)
	for _, op := range sim.history {
		if in := op.Input.(operation); in.isRun {
			ran[in.key] = append(ran[in.key], op.Output.(result).body)
		}
	}
	for key, bodies := range ran {
		if len(bodies) > 1 {
			sim.t.Errorf("%v ran %d times", key, len(bodies))
		}
	}
	for _, op := range sim.history {
		in, out := op.Input.(operation), op.Output.(result)
		if in.isRun {
			continue
		}
		if bodies := ran[in.key]; out.outcome == toucancall.NotRun && len(bodies) > 0 {
			sim.t.Errorf("%v ran, but a call ended with not_run", in.key)
		} else if out.outcome == toucancall.Answered && !slices.Equal(bodies, []string{out.body}) {
			sim.t.Errorf("%v ran with answers %q, but a call returned %q", in.key, bodies, out.body)
		}
	}
	forwarded := make(map[string]bool) // keys with at least one attempt that may have been forwarded
	for _, c := range sim.calls {
		if !c.finished {
			sim.t.Errorf("call of %v did not end: %T", c.key, c.effect)
		}
		if c.reason != toucancall.ReasonNotForwarded {
			forwarded[c.key.text] = true
		}
	}
	for _, c := range sim.calls {
		// toucancaller reports these calls as not run.
		if !forwarded[c.key.text] {
			sim.eventCounts["every attempt not_forwarded"]++
			if len(ran[c.key]) > 0 {
				sim.t.Errorf("%v ran, but all its attempts ended with not_forwarded", c.key)
			}
		}
	}
	if !porcupine.CheckOperations(onceModel, sim.history) {
		sim.t.Errorf("not linearizable:\n%s", describe(sim.history))
	}
}

func describe(history []porcupine.Operation) string {
	var b strings.Builder
	for _, op := range history {
		in, out := op.Input.(operation), op.Output.(result)
		if in.isRun {
			fmt.Fprintf(&b, "[%d] backend server runs %s.%d: %s\n", op.Call, in.key.text, in.key.epoch, out.body)
			continue
		}
		fmt.Fprintf(&b, "[%d-%d] call %s.%d: %s %s\n", op.Call, op.Return, in.key.text, in.key.epoch, out.outcome, out.body)
	}
	return b.String()
}

// TestHistories runs random schedules with two kinds of faults at a time. It guards
// against a key that runs twice and against an outcome that contradicts what the
// backend server did.
func TestHistories(t *testing.T) {
	totals := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		for range rapid.IntRange(10, 120).Draw(t, "actions") {
			sim.takeAction()
		}
		sim.finishAll()
		sim.checkOutcomes()
		for event, n := range sim.eventCounts {
			totals[event] += n
		}
		totals["schedules"]++
		totals["backend runs"] += sim.runs
	})
	for _, event := range slices.Sorted(maps.Keys(totals)) {
		t.Logf("%s: %d", event, totals[event])
	}
	for _, event := range []string{"answered", "not_run", "unknown", "joined", "repeated", "claim lapsed", "kv reply lost", "every attempt not_forwarded"} {
		if totals[event] == 0 {
			t.Errorf("the schedules never reached %q", event)
		}
	}
}

// defaultChecks is the number of schedules. CI runs them in a few seconds under the
// race detector.
const defaultChecks = "2000"

// TestMain sets the seed and the number of schedules unless flags or environment
// variables set them, so that CI runs the same schedules each time.
func TestMain(m *testing.M) {
	flag.Parse()
	setFlagDefault("rapid.seed", "RAPID_SEED", "1")
	setFlagDefault("rapid.checks", "RAPID_CHECKS", defaultChecks)
	m.Run()
}

func setFlagDefault(name, variable, value string) {
	_, given := os.LookupEnv(variable)
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if given {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
