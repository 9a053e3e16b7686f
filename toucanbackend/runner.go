package toucanbackend

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclock"
	"toucanhaven/toucanconn"
	"toucanhaven/toucanpeer"
	"toucanhaven/toucanretry"
)

// HeaderNames are the header fields of requests and responses that the nodes
// set or read.
type HeaderNames struct {
	RequestID      string
	DeadlineMillis string // milliseconds that the sender will wait
	TargetInstance string // id of the backend server that must run the request
	NotRun         string // the backend server did not run the request
	Signature      string // of a backend server's response
	CallerService  string // service of the VM where the request originated
}

const (
	// keepTime is how long an answer is kept for a sender whose connection broke.
	keepTime = 2 * time.Second
	// barTime is how long a call that was asked for before it arrived stays
	// barred. It is longer than any connection delivers late.
	barTime = 30 * time.Second
	// endedTime is how long it is known at least that a call has ended. It is
	// longer than any sender waits, also one that stood still for seconds.
	endedTime = 60 * time.Second
)

// Runner runs calls at the backend server beside the node.
type Runner struct {
	names HeaderNames
	clock toucanclock.Clock
	log   *slog.Logger
	pool  *toucanconn.Pool
	gate  gate

	repeats  *toucanretry.Budget
	siblings func(service string) int

	mu       sync.Mutex
	server   Server
	failures decayingShare
	runs     map[string]*run
	ended    idHistory
	origins  origins
	onChange func(Server)
}

// run is one call with its outcome.
type run struct {
	cancel context.CancelFunc
	done   chan struct{}
	result toucanpeer.Result
}

// Options are what a runner needs of its node.
type Options struct {
	Names HeaderNames
	Clock toucanclock.Clock
	Log   *slog.Logger
	// RetryBudget bounds the repeats of calls that reached the server.
	RetryBudget *toucanretry.Budget
	// CountServing returns the number of nodes that serve a service.
	CountServing func(service string) int
	// OnChange is told when the server starts or stops taking calls.
	OnChange func(Server)
}

// NewRunner returns a runner that knows no backend server.
func NewRunner(o Options) *Runner {
	return &Runner{
		names: o.Names, clock: o.Clock, log: o.Log, onChange: o.OnChange, repeats: o.RetryBudget, siblings: o.CountServing,
		pool: toucanconn.NewPool(maxIdle, o.Clock.Now),
		runs: make(map[string]*run),
	}
}

// Server returns the backend server as it is known.
func (r *Runner) Server() Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.server
}

// Observe takes a heartbeat.
func (r *Runner) Observe(h Heartbeat) Verdict {
	return r.change(func(s Server) (Server, Verdict) { return s.Observe(h, r.clock.Now()) })
}

// MarkLeft notes that the server said that it is gone.
func (r *Runner) MarkLeft(instance string, born int64) Verdict {
	return r.change(func(s Server) (Server, Verdict) { return s.MarkLeft(instance, born) })
}

func (r *Runner) change(f func(Server) (Server, Verdict)) Verdict {
	r.mu.Lock()
	before := r.server
	after, verdict := f(before)
	r.server = after
	r.mu.Unlock()
	if verdict == Late {
		return verdict
	}
	if after.Slots > 0 && after.Slots != before.Slots {
		r.gate.setSlots(after.Slots)
	}
	if before.Address != "" && (before.Address != after.Address || before.Instance != after.Instance || before.Born != after.Born) {
		r.pool.CloseAddress(before.Address)
	}
	if !after.Serving() {
		r.gate.refuseWaiting()
	}
	if before.Serving() != after.Serving() || before.Instance != after.Instance || before.Born != after.Born || before.Slots != after.Slots {
		r.onChange(after)
	}
	return verdict
}

// Report describes the load of the server.
func (r *Runner) Report() toucanpeer.Report {
	rep := r.gate.report()
	r.mu.Lock()
	defer r.mu.Unlock()
	rep.Serving, rep.Failures = r.server.Serving(), r.failures.at(r.clock.Now())
	return rep
}

// Run runs a call, at most once for each id. A repeated id waits for the first.
func (r *Runner) Run(ctx context.Context, c *toucanpeer.Call) toucanpeer.Result {
	r.mu.Lock()
	if u := r.runs[c.ID]; u != nil {
		r.mu.Unlock()
		return r.wait(ctx, u)
	}
	if r.ended.has(c.ID) {
		r.mu.Unlock()
		return r.withReport(forgotten)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	u := &run{cancel: cancel, done: make(chan struct{})}
	r.runs[c.ID] = u
	child := r.origins.note(c.Route, c.Caller, r.clock.Now())
	r.mu.Unlock()
	u.result = r.run(ctx, c)
	u.result.Child = child
	close(u.done)
	time.AfterFunc(keepTime, func() { r.forget(c.ID) })
	return r.withReport(u.result)
}

// forgotten is the outcome of a call that has ended and whose answer is no
// longer kept.
var forgotten = toucanpeer.Result{Outcome: toucancall.Unknown, Reason: toucancall.ReasonAnswerForgotten}

func (r *Runner) withReport(res toucanpeer.Result) toucanpeer.Result {
	res.Report = r.Report()
	return res
}

// forget drops the outcome of a call and keeps that it has ended.
func (r *Runner) forget(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.runs, id)
	r.ended.add(id, r.clock.Now())
}

func (r *Runner) wait(ctx context.Context, u *run) toucanpeer.Result {
	select {
	case <-u.done:
		return r.withReport(u.result)
	case <-ctx.Done():
		return r.withReport(toucanpeer.Result{Outcome: toucancall.Unknown, Reason: toucancall.ReasonCancelled})
	}
}

// Await waits for the outcome of a call that was sent on a connection that
// broke. A call that has not arrived is barred, so that "not run" stays true.
func (r *Runner) Await(ctx context.Context, id string) toucanpeer.Result {
	r.mu.Lock()
	u := r.runs[id]
	if u == nil && r.ended.has(id) {
		r.mu.Unlock()
		return r.withReport(forgotten)
	}
	if u == nil {
		u = &run{cancel: func() {}, done: make(chan struct{}),
			result: toucanpeer.Result{Outcome: toucancall.NotRun, Reason: toucancall.ReasonConnectionLost}}
		close(u.done)
		r.runs[id] = u
		time.AfterFunc(barTime, func() { r.forget(id) })
	}
	r.mu.Unlock()
	return r.wait(ctx, u)
}

// Cancel ends a call whose caller has left, unless it may only run once and
// has started.
func (r *Runner) Cancel(id string) {
	r.mu.Lock()
	u := r.runs[id]
	r.mu.Unlock()
	if u != nil {
		u.cancel()
	}
}

func (r *Runner) run(ctx context.Context, c *toucanpeer.Call) toucanpeer.Result {
	began := r.clock.Now()
	if reason := r.refusal(c); reason != "" {
		return r.refuse(c, reason)
	}
	if reason := r.gate.acquire(ctx, c.Priority, c.Left, c.Target); reason != "" {
		return r.refuse(c, reason)
	}
	started := r.clock.Now()
	s := r.Server()
	if reason := r.refusal(c); reason != "" {
		r.gate.release(0, false)
		return r.refuse(c, reason)
	}
	if !c.Repeatable {
		ctx = context.WithoutCancel(ctx)
	}
	if !c.Repeat {
		r.repeats.Count(c.Service, c.Priority == 0)
	}
	resp, err := r.exchange(ctx, s, c, began.Add(c.Left))
	took := r.clock.Now().Sub(started)
	r.gate.release(took, err == nil && !r.notRun(resp))
	if resp != nil && resp.status == http.StatusMisdirectedRequest {
		r.forgetServer(s)
	}
	res := r.outcome(resp, err)
	if ctx.Err() == nil {
		r.noteOutcome(res.Outcome == toucancall.Answered)
	}
	if res.Outcome != toucancall.Answered && (c.Repeatable || res.Outcome == toucancall.NotRun) {
		res.MayRepeat = r.repeats.Spend(c.Service, r.siblings(c.Service), c.Priority == 0)
	}
	r.log.Info("run", "request", c.ID, "route", c.Route, "instance", s.Instance, "outcome", string(res.Outcome), "reason", string(res.Reason),
		"status", res.Status, "repeat", c.Repeat, "may_repeat", res.MayRepeat, "waited", started.Sub(began), "took", took, "err", errText(err))
	return res
}

func (r *Runner) noteOutcome(answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures.note(!answered, r.clock.Now())
}

// forgetServer waits for the next heartbeat after another server answered at the
// address.
func (r *Runner) forgetServer(s Server) {
	r.change(func(now Server) (Server, Verdict) {
		if now.Instance != s.Instance || now.Born != s.Born {
			return now, Late
		}
		return Server{}, Restarted
	})
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// refusal returns why the server cannot take the call now.
func (r *Runner) refusal(c *toucanpeer.Call) toucancall.Reason {
	s := r.Server()
	switch {
	case s.Instance == "" || s.Service != c.Service:
		return toucancall.ReasonNoBackend
	case !s.Serving():
		return toucancall.ReasonLeaving
	}
	return ""
}

func (r *Runner) refuse(c *toucanpeer.Call, reason toucancall.Reason) toucanpeer.Result {
	rep := r.Report()
	r.log.Info("refused", "request", c.ID, "route", c.Route, "reason", string(reason), "running", rep.Running, "queued", rep.Queued, "limit", rep.Limit)
	return toucanpeer.Result{Outcome: toucancall.NotRun, Reason: reason}
}

func (r *Runner) outcome(resp *response, err error) toucanpeer.Result {
	var failure *exchangeError
	switch {
	case errors.As(err, &failure) && !failure.sent:
		return toucanpeer.Result{Outcome: toucancall.NotRun, Reason: toucancall.ReasonConnect}
	case err != nil:
		return toucanpeer.Result{Outcome: toucancall.Unknown, Reason: toucancall.ReasonConnectionLost}
	case r.notRun(resp):
		return toucanpeer.Result{Outcome: toucancall.NotRun, Reason: toucancall.ReasonBackendRefused, Status: resp.status}
	}
	return toucanpeer.Result{Outcome: toucancall.Answered, Status: resp.status, Header: endToEnd(resp.header), Body: resp.body}
}

// Tick closes idle connections.
func (r *Runner) Tick() { r.pool.CloseIdle() }
