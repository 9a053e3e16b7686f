// Package toucanentry routes requests to backend servers. The requests come from
// callers and from the backend server beside the node.
package toucanentry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"toucanhaven/toucanbackend"
	"toucanhaven/toucancall"
	"toucanhaven/toucanclock"
	"toucanhaven/toucanfleet"
	"toucanhaven/toucanmemory"
	"toucanhaven/toucanpeer"
	"toucanhaven/toucanretry"
	"toucanhaven/toucanroute"
	"toucanhaven/toucanserve"
)

const (
	// maxAttempts bounds the attempts to send one request to a node. A node that
	// refuses a request has not forwarded it to its backend server.
	maxAttempts = 6
	// minRemaining is the least time before the deadline with which a request is
	// still sent to a node.
	minRemaining = 2 * time.Millisecond
	// retryAfterShare is the fraction of the latency objective after which a
	// refused caller may retry. The bounds apply to very short and very long
	// objectives.
	retryAfterShare = 0.25
	minRetryAfter   = 30 * time.Millisecond
	maxRetryAfter   = time.Second
	// outcomeGrace is the time after the deadline in which the node that was sent
	// the request can still report its outcome.
	outcomeGrace = 60 * time.Millisecond
	// defaultRetryAfter is the Retry-After value of a request that is refused
	// while no configuration is known or because the node stops.
	defaultRetryAfter = 200 * time.Millisecond
)

// reasonThrottled means that the calls which the request causes would be refused
// by the services below its own.
const reasonThrottled toucancall.Reason = "throttled"

// reasonMemory means that there is no memory for the response.
const reasonMemory toucancall.Reason = "memory"

// memoryRetryAfter is the Retry-After value of a request for whose response there is no
// memory. Connections that hold some without progress are closed meanwhile.
const memoryRetryAfter = time.Second

// reasonNoConfiguration means that no configuration is known yet.
const reasonNoConfiguration toucancall.Reason = "no_configuration"

// Entry chooses a backend server for each request and sends the request to the
// node beside it.
type Entry struct {
	Names       toucanbackend.HeaderNames
	Clock       toucanclock.Clock
	Log         *slog.Logger
	Fleet       *toucanfleet.Fleet
	Runner      *toucanbackend.Runner
	Splitter    *toucanroute.Splitter
	RetryBudget *toucanretry.Budget // for calls whose node became unreachable
	Service     func() string       // service of this VM
	Table       atomic.Pointer[toucanroute.Table]
	Metrics     Metrics

	sizes    toucanmemory.Sizes // of the responses of each route
	shutdown atomic.Pointer[shutdown]
	throttle throttle
}

// shutdown is the state of an entry whose node is about to end.
type shutdown struct {
	end  time.Time
	idle func() bool
}

// StopAt makes the entry refuse new requests with reason ReasonLeaving while idle
// returns true, and those that may last beyond end.
func (e *Entry) StopAt(end time.Time, idle func() bool) {
	e.shutdown.Store(&shutdown{end: end, idle: idle})
}

// takesRequest reports whether the entry takes a new request. While the node stops, it takes
// only one whose deadline is before the end: how long others took bounds nothing.
func (e *Entry) takesRequest(q *request) bool {
	s := e.shutdown.Load()
	if s == nil {
		return true
	}
	behind := q.Pipelined // the response before it may be late
	return !s.idle() && !behind && !q.deadline.After(s.end.Add(-outcomeGrace))
}

// Metrics records the status and duration of each request and the result of each
// attempt.
type Metrics interface {
	Observe(route string, status int, took time.Duration)
	CountAttempt(outcome toucancall.Outcome, reason toucancall.Reason)
}

// request is the state of one request while the entry handles it.
type request struct {
	*toucanserve.Request
	id       string
	route    *toucanroute.Route
	table    *toucanroute.Table
	service  string
	deadline time.Time
	header   []string
	step     int // Step of the call that is sent
	attempts toucancall.Attempts
	reason   toucancall.Reason

	// Inputs of the throttling decision and of the last choice of a node, for the
	// log.
	node                    string
	load                    float64
	reportAge               time.Duration
	admittedShare, pressure float64
}

// Handle handles one request and returns its response. It records the request in
// the metrics and the log.
func (e *Entry) Handle(ctx context.Context, r *toucanserve.Request) *toucanserve.Response {
	q := &request{Request: r, id: r.Header.Get(e.Names.RequestID), table: e.Table.Load(), attempts: toucancall.NewAttempts()}
	resp := e.handle(ctx, q)
	took := e.Clock.Now().Sub(r.Arrived)
	route := ""
	var version uint64
	if q.route != nil {
		route = q.route.Name
	}
	if q.table != nil {
		version = q.table.Version
	}
	e.Metrics.Observe(route, resp.Status(), took)
	e.Log.LogAttrs(context.Background(), slog.LevelInfo, "request", slog.String("request", q.id), slog.String("route", route),
		slog.Uint64("version", version), slog.String("service", q.service),
		slog.Int("status", resp.Status()), slog.String("reason", string(q.reason)), slog.Bool("offered", q.attempts.PossibleRuns() > 0), slog.Int("tries", q.attempts.Count()),
		slog.String("trail", q.trail()), slog.String("node", q.node), slog.Float64("load", q.load), slog.Duration("report_age", q.reportAge),
		slog.Float64("admitted", q.admittedShare), slog.Float64("pressure", q.pressure), slog.Duration("took", took))
	return resp
}

// trail returns the attempts for the log. It is empty for a single attempt that was
// answered, to keep most lines short.
func (q *request) trail() string {
	if q.attempts.Count() == 1 && q.reason == "" {
		return ""
	}
	return q.attempts.String()
}

func (e *Entry) handle(ctx context.Context, q *request) *toucanserve.Response {
	if q.table == nil {
		q.reason = reasonNoConfiguration
		return e.refuse(q, defaultRetryAfter)
	}
	q.route = q.table.Match(q.Host, q.Path)
	switch {
	case q.route == nil:
		return emptyResponse(http.StatusNotFound)
	case q.id == "":
		return emptyResponse(http.StatusBadRequest)
	}
	remaining := q.route.Timeout
	if v := q.Header.Get(e.Names.DeadlineMillis); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return emptyResponse(http.StatusBadRequest)
		}
		if ms < remaining.Milliseconds() { // a larger number may overflow a duration
			remaining = time.Duration(max(ms, 0)) * time.Millisecond
		}
	}
	q.deadline = q.Arrived.Add(remaining)
	if !e.takesRequest(q) {
		q.reason = toucancall.ReasonLeaving
		return e.refuse(q, defaultRetryAfter)
	}
	q.service = e.Splitter.NextService(q.route)
	var ok bool
	if ok, q.admittedShare, q.pressure = e.throttle.admit(q.route, q.service, e.Clock.Now()); !ok {
		q.reason = reasonThrottled
		return e.refuse(q, e.retryAfter(q.route))
	}
	q.header = e.endToEndFields(q.Header)
	q.step = e.Runner.CallStep(q.id)
	e.RetryBudget.CountRequest(q.service, q.route.Priority == 0)
	ctx, cancel := context.WithDeadline(ctx, q.deadline.Add(outcomeGrace))
	defer cancel()
	return e.sendUntilAnswered(ctx, q)
}

// sendUntilAnswered sends the request to one node after another until one returns
// the response of a backend server or no further attempt is allowed.
func (e *Entry) sendUntilAnswered(ctx context.Context, q *request) *toucanserve.Response {
	var excluded []string
	for {
		remaining := q.deadline.Sub(e.Clock.Now())
		if remaining < minRemaining || ctx.Err() != nil {
			q.reason = toucancall.ReasonDeadline
			return e.respondUnanswered(q)
		}
		if !q.ReserveAnswer(e.sizes.Expected(q.route.Name)) {
			q.reason = reasonMemory
			return e.respondUnanswered(q)
		}
		target, ok := e.Fleet.Choose(q.service, q.route.Name, q.route.Target, excluded)
		if !ok {
			if q.reason == "" {
				q.reason = toucancall.ReasonNoBackend
			}
			return e.respondUnanswered(q)
		}
		q.node, q.load, q.reportAge = target.Node, target.Load, target.ReportAge
		r := e.sendTo(ctx, q, target, remaining)
		if r.Outcome == toucancall.Answered {
			e.throttle.recordResponse(q.route.Name, r.Status, e.Clock.Now())
			if q.step > 0 && r.Status < http.StatusInternalServerError {
				e.Runner.CallAnswered(q.id)
			}
			return e.takeResponse(q, r)
		}
		r.Release()
		if q.attempts.Count() >= maxAttempts || !e.mayRetry(q, r) {
			return e.respondUnanswered(q)
		}
		excluded = append(excluded, target.Address()) // a node answers an id that it knows from its record
	}
}

// takeResponse returns the response of a backend server, or one that promises nothing if there is
// no memory for it.
func (e *Entry) takeResponse(q *request, r toucanpeer.Result) *toucanserve.Response {
	resp := response(r)
	e.sizes.Record(q.route.Name, resp.Memory())
	if !q.TakeAnswer(resp) {
		r.Release()
		q.reason = reasonMemory
		return emptyResponse(http.StatusBadGateway)
	}
	return resp
}

// mayRetry reports whether a request without a response may be sent again. A node
// that refused the request itself has not forwarded it, so sending it to another
// node is no retry at a backend server. All other cases are retries: the node
// that was asked allows them in its result, or, if the result carries no report
// of a node, the entry takes them from its own budget.
func (e *Entry) mayRetry(q *request, r toucanpeer.Result) bool {
	if r.Outcome == toucancall.NotRun {
		return r.Reason != toucancall.ReasonBackendRefused || r.MayRepeat
	}
	if !q.route.Repeatable || q.attempts.PossibleRuns() >= q.route.MaxServers {
		return false
	}
	return r.MayRepeat || r.Report.Limit == 0 && e.RetryBudget.SpendRetry(q.service, e.Fleet.Size(), e.retryUse(q))
}

// retryUse returns what a retry that this entry allows is worth.
func (e *Entry) retryUse(q *request) toucanretry.Use {
	if q.route.Priority == 0 {
		return toucanretry.Urgent
	}
	return toucanretry.Ordinary
}

// sendTo sends the request to a node and records the attempt.
func (e *Entry) sendTo(ctx context.Context, q *request, target toucanfleet.Target, remaining time.Duration) toucanpeer.Result {
	c := &toucanpeer.Call{
		ID: q.id, Service: q.service, Caller: e.Service(), Method: q.Method, URI: q.URI, Host: q.Host,
		Header: q.header, Body: q.Body, Left: remaining, Target: q.route.Target, Priority: q.route.Priority,
		Repeatable: q.route.Repeatable, Repeat: q.attempts.ReachedBackend(), Route: q.route.Name, Step: q.step,
	}
	began := e.Clock.Now()
	q.attempts = q.attempts.WithAttempt(target.Node)
	var r toucanpeer.Result
	if target.Link == nil {
		q.ReleaseAnswer() // the runner takes it
		r = e.Runner.Run(ctx, c)
		r.Report.Pressure = e.Pressure()
	} else {
		r = target.Link.Run(ctx, c)
	}
	if r.Outcome == toucancall.Answered && toucancall.PromisesNotRun(r.Status) { // from a node of an earlier version
		r.Outcome, r.Reason = toucancall.Unknown, toucancall.ReasonUnprovenRefusal
	}
	q.attempts, q.reason = q.attempts.WithOutcome(r.Outcome, r.Reason), r.Reason
	e.Metrics.CountAttempt(r.Outcome, r.Reason)
	e.throttle.recordResult(q.service, r, e.Clock.Now())
	e.Fleet.Done(target, q.route.Name, e.Clock.Now().Sub(began), r)
	return r
}

// respondUnanswered returns the response to a request for which no backend server
// returned one.
func (e *Entry) respondUnanswered(q *request) *toucanserve.Response {
	e.throttle.withdrawRequest(q.route.Name, e.Clock.Now())
	switch {
	case q.attempts.PossibleRuns() > 0:
	case q.reason == reasonMemory:
		return e.refuse(q, memoryRetryAfter)
	default:
		return e.refuse(q, e.retryAfter(q.route))
	}
	if !q.deadline.After(e.Clock.Now()) {
		return emptyResponse(http.StatusGatewayTimeout)
	}
	return emptyResponse(http.StatusBadGateway)
}

// refuse returns the response to a request that has not run and will not run, or one
// that promises nothing if that is not proven.
func (e *Entry) refuse(q *request, retryAfter time.Duration) *toucanserve.Response {
	proof, _ := q.attempts.ProveNotRun()
	return toucanserve.NewRefusal(http.StatusServiceUnavailable, proof, retryAfter)
}

// retryAfter returns a Retry-After delay with jitter, so that refused callers do
// not all retry at the same time.
func (e *Entry) retryAfter(r *toucanroute.Route) time.Duration {
	d := min(max(time.Duration(retryAfterShare*float64(r.Target)), minRetryAfter), maxRetryAfter)
	return time.Duration(float64(d) * (0.75 + 0.5*rand.Float64()))
}

func emptyResponse(status int) *toucanserve.Response {
	return toucanserve.NewResponse(status, nil, nil)
}

// response returns the response of a backend server unchanged.
func response(r toucanpeer.Result) *toucanserve.Response {
	header := make(http.Header, len(r.Header)/2)
	for i := 0; i+1 < len(r.Header); i += 2 {
		header[r.Header[i]] = append(header[r.Header[i]], r.Header[i+1])
	}
	return toucanserve.NewResponse(r.Status, header, r.Body).WithHolding(r.Holding())
}

// endToEndFields returns the header fields to forward to the backend server, as
// pairs of key and value. It leaves out hop-by-hop fields and those that the nodes
// set.
func (e *Entry) endToEndFields(h http.Header) []string {
	pairs := make([]string, 0, 2*len(h))
	connectionValues := h["Connection"]
	for key, values := range h {
		if toucancall.IsHopByHop(key, connectionValues) || e.setByNode(key) {
			continue
		}
		for _, v := range values {
			pairs = append(pairs, key, v)
		}
	}
	return pairs
}

// setByNode reports whether the node itself sets the header field key.
func (e *Entry) setByNode(key string) bool {
	switch key {
	case e.Names.RequestID, e.Names.DeadlineMillis, e.Names.TargetInstance, e.Names.CallerService:
		return true
	}
	return false
}
