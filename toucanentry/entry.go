// Package toucanentry takes the requests of callers and of the backend server
// beside the node and finds each a backend server.
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
	"toucanhaven/toucanpeer"
	"toucanhaven/toucanretry"
	"toucanhaven/toucanroute"
	"toucanhaven/toucanserve"
)

const (
	// maxTries bounds the nodes that are asked for one request. A node that
	// refuses has not passed the request on.
	maxTries = 6
	// minLeft is the least time with which a request goes on.
	minLeft = 2 * time.Millisecond
	// retryAfterShare is the part of the latency objective after which a refused
	// caller may come back; the bounds hold for very short and long objectives.
	retryAfterShare = 0.25
	minRetryAfter   = 30 * time.Millisecond
	maxRetryAfter   = time.Second
	// answerGrace is the time after the deadline in which the node that was sent
	// the request still says what became of it.
	answerGrace = 60 * time.Millisecond
	// unknownRetryAfter is the pause while no configuration is known.
	unknownRetryAfter = 200 * time.Millisecond
)

// reasonThrottled says that calls of the request would be refused below its
// service.
const reasonThrottled toucancall.Reason = "throttled"

// reasonNoTable says that no configuration is known yet.
const reasonNoTable toucancall.Reason = "no_configuration"

// Entry finds backend servers for requests.
type Entry struct {
	Names    toucanbackend.HeaderNames
	Clock    toucanclock.Clock
	Log      *slog.Logger
	Fleet    *toucanfleet.Fleet
	Runner   *toucanbackend.Runner
	Splitter *toucanroute.Splitter
	Budget   *toucanretry.Budget // repeats of calls whose node was lost
	Service  func() string       // service of this VM
	Table    atomic.Pointer[toucanroute.Table]
	Metrics  Metrics

	refuses  atomic.Pointer[func() bool]
	throttle throttle
}

// Refuse makes the entry refuse further requests while cond reports true.
func (e *Entry) Refuse(cond func() bool) { e.refuses.Store(&cond) }

func (e *Entry) refusing() bool {
	cond := e.refuses.Load()
	return cond != nil && (*cond)()
}

// Metrics counts outcomes.
type Metrics interface {
	Observe(route string, status int, took time.Duration)
}

// request is one request on its way through the entry.
type request struct {
	*toucanserve.Request
	id       string
	route    *toucanroute.Route
	table    *toucanroute.Table
	service  string
	deadline time.Time
	header   []string
	tries    int
	offered  bool // a backend server may have run the request
	arrived  bool // a backend server may have been sent the request
	runs     int  // backend servers that may have run it
	reason   toucancall.Reason

	// Inputs of the decisions, for the log.
	node               string
	load               float64
	age                time.Duration
	admitted, pressure float64
}

// Handle answers one request.
func (e *Entry) Handle(ctx context.Context, r *toucanserve.Request) *toucanserve.Response {
	q := &request{Request: r, id: r.Header.Get(e.Names.RequestID), table: e.Table.Load()}
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
	e.Metrics.Observe(route, resp.Status, took)
	e.Log.Info("request", "request", q.id, "route", route, "version", version, "service", q.service,
		"status", resp.Status, "reason", string(q.reason), "offered", q.offered, "tries", q.tries,
		"node", q.node, "load", q.load, "report_age", q.age, "admitted", q.admitted, "pressure", q.pressure, "took", took)
	return resp
}

func (e *Entry) handle(ctx context.Context, q *request) *toucanserve.Response {
	if q.table == nil || e.refusing() {
		q.reason = toucancall.ReasonLeaving
		if q.table == nil {
			q.reason = reasonNoTable
		}
		return e.refuse(q, unknownRetryAfter)
	}
	q.route = q.table.Match(q.Host, q.Path)
	switch {
	case q.route == nil:
		return plain(http.StatusNotFound)
	case q.id == "":
		return plain(http.StatusBadRequest)
	}
	left := q.route.Timeout
	if v := q.Header.Get(e.Names.DeadlineMillis); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return plain(http.StatusBadRequest)
		}
		left = min(left, time.Duration(ms)*time.Millisecond)
	}
	q.deadline = q.Arrived.Add(left)
	q.service = e.Splitter.Next(q.route)
	var ok bool
	if ok, q.admitted, q.pressure = e.throttle.admit(q.route, q.service, e.Clock.Now()); !ok {
		q.reason = reasonThrottled
		return e.refuse(q, e.retryAfter(q.route))
	}
	q.header = e.endToEnd(q.Header)
	e.Budget.Count(q.service, q.route.Priority == 0)
	ctx, cancel := context.WithDeadline(ctx, q.deadline.Add(answerGrace))
	defer cancel()
	return e.attempt(ctx, q)
}

// attempt sends the request to one node after the other until one answers.
func (e *Entry) attempt(ctx context.Context, q *request) *toucanserve.Response {
	var tried []string
	for q.tries = 1; ; q.tries++ {
		left := q.deadline.Sub(e.Clock.Now())
		if left < minLeft || ctx.Err() != nil {
			q.reason = toucancall.ReasonDeadline
			return e.giveUp(q)
		}
		target, ok := e.Fleet.Choose(q.service, q.route.Name, q.route.Target, tried)
		if !ok {
			if q.reason == "" {
				q.reason = toucancall.ReasonNoBackend
			}
			return e.giveUp(q)
		}
		q.node, q.load, q.age = target.Node, target.Load, target.ReportAge
		r := e.send(ctx, q, target, left)
		q.reason = r.Reason
		if r.Outcome == toucancall.Answered {
			q.offered = true
			e.throttle.answered(q.route.Name, r.Status, e.Clock.Now())
			return e.pass(q, r)
		}
		if q.tries >= maxTries || !e.again(q, r) {
			return e.giveUp(q)
		}
		if r.Reason != toucancall.ReasonBackendRefused { // which may take the next one
			tried = append(tried, target.Address())
		}
	}
}

// again reports whether a request that got no answer may be sent once more. A
// node that refused it itself has not passed it on; the other cases are repeats
// at a backend server.
func (e *Entry) again(q *request, r toucanpeer.Result) bool {
	if r.Outcome == toucancall.NotRun {
		if r.Reason != toucancall.ReasonBackendRefused {
			return true
		}
		q.arrived = true
		return r.MayRepeat
	}
	q.offered, q.arrived = true, true
	q.runs++
	if !q.route.Repeatable || q.runs >= q.route.MaxServers {
		return false
	}
	return r.MayRepeat || r.Report.Limit == 0 && e.Budget.Spend(q.service, e.Fleet.Size(), q.route.Priority == 0)
}

func (e *Entry) send(ctx context.Context, q *request, target toucanfleet.Target, left time.Duration) toucanpeer.Result {
	c := &toucanpeer.Call{
		ID: q.id, Service: q.service, Caller: e.Service(), Method: q.Method, URI: q.URI, Host: q.Host,
		Header: q.header, Body: q.Body, Left: left, Target: q.route.Target, Priority: q.route.Priority,
		Repeatable: q.route.Repeatable, Repeat: q.arrived, Route: q.route.Name,
	}
	began := e.Clock.Now()
	var r toucanpeer.Result
	if target.Link == nil {
		r = e.Runner.Run(ctx, c)
		r.Report.Pressure = e.Pressure()
	} else {
		r = target.Link.Run(ctx, c)
	}
	e.throttle.note(q.service, r, e.Clock.Now())
	e.Fleet.Done(target, q.route.Name, e.Clock.Now().Sub(began), r)
	return r
}

// giveUp answers a request that got no answer of a backend server.
func (e *Entry) giveUp(q *request) *toucanserve.Response {
	e.throttle.withdrawn(q.route.Name, e.Clock.Now())
	if !q.offered {
		return e.refuse(q, e.retryAfter(q.route))
	}
	if !q.deadline.After(e.Clock.Now()) {
		return plain(http.StatusGatewayTimeout)
	}
	return plain(http.StatusBadGateway)
}

// refuse answers a request that has not run and will not.
func (e *Entry) refuse(q *request, after time.Duration) *toucanserve.Response {
	resp := plain(http.StatusServiceUnavailable)
	resp.Header["Retry-After"] = []string{strconv.FormatFloat(after.Seconds(), 'f', 3, 64)}
	return resp
}

// retryAfter spreads refused callers, so that they do not come back together.
func (e *Entry) retryAfter(r *toucanroute.Route) time.Duration {
	d := min(max(time.Duration(retryAfterShare*float64(r.Target)), minRetryAfter), maxRetryAfter)
	return time.Duration(float64(d) * (0.75 + 0.5*rand.Float64()))
}

func plain(status int) *toucanserve.Response {
	return &toucanserve.Response{Status: status, Header: http.Header{}}
}

// pass returns the answer of a backend server unchanged.
func (e *Entry) pass(q *request, r toucanpeer.Result) *toucanserve.Response {
	resp := &toucanserve.Response{Status: r.Status, Header: make(http.Header, len(r.Header)/2), Body: r.Body}
	for i := 0; i+1 < len(r.Header); i += 2 {
		resp.Header[r.Header[i]] = append(resp.Header[r.Header[i]], r.Header[i+1])
	}
	return resp
}

// endToEnd returns the fields that go on to the backend server, without those
// that the nodes set.
func (e *Entry) endToEnd(h http.Header) []string {
	pairs := make([]string, 0, 2*len(h))
	connection := h["Connection"]
	for key, values := range h {
		if toucancall.HopByHop(key, connection) || e.ownField(key) {
			continue
		}
		for _, v := range values {
			pairs = append(pairs, key, v)
		}
	}
	return pairs
}

func (e *Entry) ownField(key string) bool {
	switch key {
	case e.Names.RequestID, e.Names.DeadlineMillis, e.Names.TargetInstance, e.Names.CallerService:
		return true
	}
	return false
}
