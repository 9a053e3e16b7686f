package toucanbackend

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclock"
	"toucanhaven/toucanconn"
	"toucanhaven/toucanmemory"
	"toucanhaven/toucanpeer"
	"toucanhaven/toucanretry"
)

// HeaderNames are the names of the header fields that nodes set or read.
type HeaderNames struct {
	RequestID      string
	DeadlineMillis string // milliseconds until the deadline of the sender
	TargetInstance string // id of the backend server that must run the request
	InstanceID     string // id of the backend server, in the response to a health check
	NotRun         string // set if the backend server did not run the request
	Signature      string // set on the responses of backend servers
	CallerService  string // service of the VM where the request originated
}

const (
	// resultRetention is how long the result of a run is kept for a sender whose
	// connection broke.
	resultRetention = 2 * time.Second
	// rejectedIDRetention is how long a call is refused whose outcome was asked for
	// before the call arrived. It is longer than any connection delays a message.
	rejectedIDRetention = 30 * time.Second
	// runBytes is the memory of a run that has ended beside the header and the body of its
	// result, and stringBytes that of a string beside its bytes.
	runBytes    = 512
	stringBytes = 16
)

// Runner runs calls at the backend server beside the node. It is safe for
// concurrent use.
type Runner struct {
	names   HeaderNames
	clock   toucanclock.Clock
	log     *slog.Logger
	pool    *toucanconn.Pool
	limiter limiter
	bodies  *toucanmemory.Budget
	sizes   toucanmemory.Sizes // of response bodies

	retryBudget  *toucanretry.Budget
	countServing func(service string) int

	heartbeatInterval func() time.Duration

	mu       sync.Mutex
	starts   starts
	failures decayingShare
	runs     map[callKey]*run
	retained []*run // ended runs whose results hold memory, oldest first
	ended    callHistory
	origins  origins
	onChange func(Server)
}

// run is a call that is in progress or has ended.
type run struct {
	cancel        context.CancelFunc
	done          chan struct{}
	result        toucanpeer.Result // set before done is closed; may be replaced by expiredResult
	answeredCalls int               // calls that the backend server made for this run and that were answered
}

// Options configures a Runner. All fields but NeedsProof and HeartbeatInterval are required.
type Options struct {
	Names HeaderNames
	Clock toucanclock.Clock
	Log   *slog.Logger
	// Bodies bounds the bytes of bodies in memory.
	Bodies *toucanmemory.Budget
	// RetryBudget limits the retries of calls that the server did not answer.
	RetryBudget *toucanretry.Budget
	// CountServing returns the number of members of a service that take calls.
	CountServing func(service string) int
	// NeedsProof holds the first server back until it has shown that it takes calls. A
	// node that has restarted may have forgotten that the server has left.
	NeedsProof bool
	// HeartbeatInterval returns the time between heartbeats of the server.
	HeartbeatInterval func() time.Duration
	// OnChange is called when the server starts or stops taking calls, restarts or
	// announces another number of slots.
	OnChange func(Server)
}

// NewRunner returns a runner without a backend server.
func NewRunner(o Options) *Runner {
	r := &Runner{
		names: o.Names, clock: o.Clock, log: o.Log, onChange: o.OnChange, retryBudget: o.RetryBudget, countServing: o.CountServing, bodies: o.Bodies,
		heartbeatInterval: o.HeartbeatInterval, runs: make(map[callKey]*run), starts: starts{unproven: o.NeedsProof},
	}
	if r.heartbeatInterval == nil {
		r.heartbeatInterval = func() time.Duration { return 0 }
	}
	r.pool = toucanconn.NewPool(connIdleTimeout, o.Clock.Now, toucanconn.Memory{Budget: o.Bodies, Grow: r.Grow})
	return r
}

// Server returns the current state of the backend server.
func (r *Runner) Server() Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts.server
}

// Observe applies a heartbeat.
func (r *Runner) Observe(h Heartbeat) (v Verdict) {
	r.updateStarts(func(s *starts) { v = s.observe(h, r.clock.Now()) })
	return v
}

// MarkLeft records that a server announced its departure. It may be a server of which
// no heartbeat has arrived yet.
func (r *Runner) MarkLeft(instance string, born int64) {
	r.updateStarts(func(s *starts) { s.markLeft(start{instance, born}, r.clock.Now()) })
}

// HasLeft reports whether a start of a server announced its departure.
func (r *Runner) HasLeft(instance string, born int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts.hasLeft(start{instance, born})
}

// BornOf returns the start time of the latest start that is known of a server.
func (r *Runner) BornOf(instance string) (born int64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts.bornOf(instance)
}

// Recall holds a server back of which another node or the store has a record. It is used
// without a heartbeat once a health check shows that it takes calls.
func (r *Runner) Recall(h Heartbeat) {
	r.updateStarts(func(s *starts) { s.recall(h) })
}

// TakeHealthCheck reports whether a health check is due, because a server is held back until
// it has shown that it takes calls, and counts the check.
func (r *Runner) TakeHealthCheck() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts.takeCheck()
}

// ProveServer makes a health check and uses the server that was held back if the answer
// shows that it takes calls. It returns the id of the server that answered.
func (r *Runner) ProveServer(ctx context.Context, address, path string) (instance string, err error) {
	asked := r.clock.Now()
	instance, err = r.CheckHealth(ctx, address, path)
	var failing *failingError
	r.updateStarts(func(s *starts) {
		switch {
		case err == nil:
			s.prove(healthAnswer{instance, address, asked}, r.clock.Now())
		case errors.As(err, &failing):
			s.failing = healthAnswer{failing.instance, address, asked}
		}
	})
	return instance, err
}

// updateStarts calls f and acts on the change of the server.
func (r *Runner) updateStarts(f func(*starts)) {
	r.mu.Lock()
	before := r.starts.server
	r.starts.heartbeat = r.heartbeatInterval()
	f(&r.starts)
	after := r.starts.server
	r.mu.Unlock()
	if after == before {
		return
	}
	if after.Slots > 0 && after.Slots != before.Slots {
		r.limiter.setSlots(after.Slots)
	}
	if before.Address != "" && (before.Address != after.Address || before.start() != after.start()) {
		r.pool.CloseAddress(before.Address)
	}
	if !after.Serving() {
		r.limiter.refuseWaiting()
	}
	if before.Serving() != after.Serving() || before.start() != after.start() || before.Slots != after.Slots {
		r.onChange(after)
	}
}

// Report returns the load and the state of the backend server.
func (r *Runner) Report() toucanpeer.Report {
	rep := r.limiter.report()
	r.mu.Lock()
	defer r.mu.Unlock()
	rep.Serving, rep.Failures = r.starts.server.Serving(), r.failures.valueAt(r.clock.Now())
	return rep
}

// Run runs a call, at most once for each id. A second call with the same id gets
// the result of the first, or an unknown outcome once that result has expired.
func (r *Runner) Run(ctx context.Context, c *toucanpeer.Call) toucanpeer.Result {
	key := keyOf(c.ID)
	r.mu.Lock()
	if u := r.runs[key]; u != nil {
		r.mu.Unlock()
		return r.awaitResult(ctx, u)
	}
	if r.ended.has(key) {
		r.mu.Unlock()
		return r.withReport(expiredResult)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	u := &run{cancel: cancel, done: make(chan struct{})}
	r.runs[key] = u
	child := r.origins.countCall(c.Route, c.Caller, r.clock.Now())
	r.mu.Unlock()
	res, held := r.runCall(ctx, c)
	res.Child = child
	res, kept := r.retain(res, held)
	r.mu.Lock()
	u.result = kept
	if kept.Holding() != nil {
		r.retained = append(r.retained, u)
	}
	r.mu.Unlock()
	close(u.done)
	time.AfterFunc(resultRetention, func() { r.expireResult(key) }) // must not keep the call itself
	return r.withReport(res)
}

// retain returns the result with the memory that it holds, given that of its response, and the
// result to keep for a sender whose connection broke. Both share the memory. A result that the
// memory has no room for is not kept.
func (r *Runner) retain(res toucanpeer.Result, held int64) (result, kept toucanpeer.Result) {
	if res.Outcome != toucancall.Answered { // it has neither a header nor a body
		return res, res
	}
	need := max(0, resultMemory(res)-held)
	if !r.Grow(held, need) {
		return res.WithHolding(toucanmemory.NewHolding(r.bodies, held)), expiredResult
	}
	holding := toucanmemory.NewHolding(r.bodies, held+need)
	return res.WithHolding(holding), res.WithHolding(holding.Share())
}

// resultMemory returns the bytes of memory that a kept result takes.
func resultMemory(res toucanpeer.Result) int64 {
	bytes := int64(runBytes + len(res.Body))
	for _, s := range res.Header {
		bytes += int64(len(s)) + stringBytes
	}
	return bytes
}

// Grow takes memory for a header or a body that holds some already. If there is too little, it
// gives up the oldest results that are kept for senders whose connection broke.
func (r *Runner) Grow(held, n int64) (ok bool) {
	for !r.bodies.Grow(held, n) {
		r.mu.Lock()
		if len(r.retained) == 0 {
			r.mu.Unlock()
			return false
		}
		r.releaseResult(r.retained[0])
		r.mu.Unlock()
	}
	return true
}

// releaseResult gives up the result of a run that holds memory. r.mu must be held.
func (r *Runner) releaseResult(u *run) {
	if u.result.Holding() == nil {
		return
	}
	u.result.Release()
	u.result = expiredResult
	if i := slices.Index(r.retained, u); i >= 0 {
		r.retained = slices.Delete(r.retained, i, i+1)
	}
}

// expiredResult is the result for a call that has ended and whose own result has
// expired.
var expiredResult = toucanpeer.Result{Outcome: toucancall.Unknown, Reason: toucancall.ReasonAnswerForgotten}

func (r *Runner) withReport(res toucanpeer.Result) toucanpeer.Result {
	res.Report = r.Report()
	return res
}

// expireResult removes the result of a call and adds the call to the ended ones.
func (r *Runner) expireResult(key callKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u := r.runs[key]; u != nil {
		r.releaseResult(u)
	}
	delete(r.runs, key)
	r.ended.add(key, r.clock.Now())
}

// awaitResult waits for the result of a run until ctx ends.
func (r *Runner) awaitResult(ctx context.Context, u *run) toucanpeer.Result {
	select {
	case <-u.done:
		r.mu.Lock()
		res := u.result.Share()
		r.mu.Unlock()
		return r.withReport(res)
	case <-ctx.Done():
		return r.withReport(toucanpeer.Result{Outcome: toucancall.Unknown, Reason: toucancall.ReasonCancelled})
	}
}

// Await waits for the result of a call whose connection broke. If the call has not
// arrived, the result is "not run", and the call is refused when it arrives later.
func (r *Runner) Await(ctx context.Context, id string) toucanpeer.Result {
	key := keyOf(id)
	r.mu.Lock()
	u := r.runs[key]
	if u == nil && r.ended.has(key) {
		r.mu.Unlock()
		return r.withReport(expiredResult)
	}
	if u == nil {
		u = &run{cancel: func() {}, done: make(chan struct{}),
			result: toucanpeer.Result{Outcome: toucancall.NotRun, Reason: toucancall.ReasonConnectionLost}}
		close(u.done)
		r.runs[key] = u
		time.AfterFunc(rejectedIDRetention, func() { r.expireResult(key) })
	}
	r.mu.Unlock()
	return r.awaitResult(ctx, u)
}

// Cancel cancels a call whose caller no longer waits. A call that may run only once
// is not cancelled after its run has started.
func (r *Runner) Cancel(id string) {
	r.mu.Lock()
	u := r.runs[keyOf(id)]
	r.mu.Unlock()
	if u != nil {
		u.cancel()
	}
}

// runCall waits for a slot and sends the call to the backend server. It returns the
// bytes of the memory for bodies that the result holds.
func (r *Runner) runCall(ctx context.Context, c *toucanpeer.Call) (res toucanpeer.Result, held int64) {
	began := r.clock.Now()
	deadline := began.Add(c.Left)
	if reason := r.refusalReason(c); reason != "" {
		return r.refuseCall(c, reason), 0
	}
	if reason := r.limiter.acquire(ctx, c.Priority, c.Left, c.Target); reason != "" {
		return r.refuseCall(c, reason), 0
	}
	started := r.clock.Now()
	s := r.Server()
	reason := r.refusalReason(c)
	if !started.Before(deadline) { // for example, the process was paused
		reason = toucancall.ReasonDeadline
	}
	room, ok := toucanmemory.NewReservation(r.bodies, r.Grow, r.expectedMemory(c.Route))
	defer room.Release()
	if reason == "" && !ok {
		reason = toucancall.ReasonOverload
	}
	if reason != "" {
		r.limiter.release(0, false)
		return r.refuseCall(c, reason), 0
	}
	if !c.Repeatable {
		ctx = context.WithoutCancel(ctx)
	}
	if !c.Repeat {
		r.retryBudget.CountRequest(c.Service, c.Priority == 0)
	}
	tr := exchangeTrace{room: room}
	resp, err := r.exchange(ctx, s, c, deadline, &tr)
	took := r.clock.Now().Sub(started)
	r.limiter.release(took, err == nil && !r.notRun(resp))
	if resp != nil {
		held = resp.held
		r.sizes.Record(c.Route, int64(len(resp.body)))
		if resp.status == http.StatusMisdirectedRequest {
			r.clearServer(s)
		}
	}
	res = r.resultOf(resp, err)
	if res.Outcome != toucancall.Answered { // the result has no header and no body
		r.bodies.Release(held)
		held = 0
	}
	if ctx.Err() == nil {
		r.recordOutcome(res.Outcome == toucancall.Answered)
	}
	if mayNeedRetry(c, res) {
		res.MayRepeat = r.retryBudget.SpendRetry(c.Service, r.countServing(c.Service), retryUse(c))
	}
	r.log.LogAttrs(context.Background(), slog.LevelInfo, "run", slog.String("request", c.ID), slog.String("route", c.Route),
		slog.String("instance", s.Instance), slog.String("outcome", string(res.Outcome)), slog.String("reason", string(res.Reason)),
		slog.Int("status", res.Status), slog.Int("step", c.Step), slog.Bool("repeat", c.Repeat), slog.Bool("may_repeat", res.MayRepeat),
		slog.Bool("reused", tr.reused), slog.Int("skipped", tr.skipped),
		slog.Duration("waited", started.Sub(began)), slog.Duration("took", took), slog.String("err", errText(err)))
	return res, held
}

// expectedMemory returns the memory that a response of a route is expected to take.
func (r *Runner) expectedMemory(route string) int64 {
	return max(0, min(r.sizes.Expected(route), r.maxResponse())-freeResponseBytes)
}

// mayNeedRetry reports whether the sender needs a retry from the budget to send the call
// again. A call that reached no backend server needs none.
func mayNeedRetry(c *toucanpeer.Call, res toucanpeer.Result) bool {
	switch res.Outcome {
	case toucancall.Answered:
		return false
	case toucancall.NotRun:
		return res.Reason == toucancall.ReasonBackendRefused
	}
	return c.Repeatable
}

// retryUse returns what a retry of the call is worth. A call that is not known to
// belong to a run ends its request when it is answered. One that belongs to a run is
// worth more the more calls of the run have been answered, because the run needs all
// of them.
func retryUse(c *toucanpeer.Call) toucanretry.Use {
	switch {
	case c.Priority == 0:
		return toucanretry.Urgent
	case c.Step == 1:
		return toucanretry.FirstCall
	case c.Step == 2:
		return toucanretry.SecondCall
	}
	return toucanretry.Ordinary
}

func (r *Runner) recordOutcome(answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures.record(!answered, r.clock.Now())
}

// clearServer removes the server s after another server answered at its address.
// The next heartbeat sets it again.
func (r *Runner) clearServer(s Server) {
	r.updateStarts(func(known *starts) {
		if known.server.start() == s.start() {
			known.clear()
		}
	})
}

// errText returns the text of err, or the empty string for nil.
func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// refusalReason returns why the server cannot take the call now, or the empty
// reason.
func (r *Runner) refusalReason(c *toucanpeer.Call) toucancall.Reason {
	s := r.Server()
	switch {
	case s.Instance == "" || s.Service != c.Service:
		return toucancall.ReasonNoBackend
	case !s.Serving():
		return toucancall.ReasonLeaving
	}
	return ""
}

func (r *Runner) refuseCall(c *toucanpeer.Call, reason toucancall.Reason) toucanpeer.Result {
	rep := r.Report()
	r.log.Info("refused", "request", c.ID, "route", c.Route, "reason", string(reason), "running", rep.Running, "queued", rep.Queued, "limit", rep.Limit)
	return toucanpeer.Result{Outcome: toucancall.NotRun, Reason: reason}
}

// resultOf returns the result for the response or the error of an exchange.
func (r *Runner) resultOf(resp *response, err error) toucanpeer.Result {
	var failure *exchangeError
	switch {
	case errors.As(err, &failure) && failure.notSent:
		return toucanpeer.Result{Outcome: toucancall.NotRun, Reason: toucancall.ReasonConnect}
	case err != nil:
		return toucanpeer.Result{Outcome: toucancall.Unknown, Reason: toucancall.ReasonConnectionLost}
	case r.notRun(resp):
		return toucanpeer.Result{Outcome: toucancall.NotRun, Reason: toucancall.ReasonBackendRefused, Status: resp.status}
	case toucancall.PromisesNotRun(resp.status):
		return toucanpeer.Result{Outcome: toucancall.Unknown, Reason: toucancall.ReasonUnprovenRefusal, Status: resp.status}
	}
	return toucanpeer.Result{Outcome: toucancall.Answered, Status: resp.status, Header: endToEndHeader(resp.header), Body: resp.body}
}

// Tick closes idle connections.
func (r *Runner) Tick() { r.pool.CloseIdle() }
