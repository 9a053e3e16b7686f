package toucannode

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"toucanhaven/toucanadmission"
	"toucanhaven/toucancall"
)

// minRemaining is the least time with which a call goes on. Remaining time
// travels in whole milliseconds.
const minRemaining = time.Millisecond

// inbound is a request as it arrived.
type inbound struct {
	r         *http.Request
	w         http.ResponseWriter
	body      *inboundBody
	delivered bool // the answer or refusal was written whole
}

// release ends the use of the request body before the handler returns.
func (in *inbound) release() {
	linger := time.Duration(0)
	if in.delivered {
		linger = bodyLinger
	}
	in.body.release(linger)
}

// uri is the request target in the form that goes to a server.
func (in *inbound) uri() string {
	if uri := in.r.RequestURI; strings.HasPrefix(uri, "/") || uri == "*" {
		return uri
	}
	return in.r.URL.RequestURI()
}

// outgoing builds the request of the next hop. Fields in extra replace those
// of the caller.
func (in *inbound) outgoing(extra fields) *outgoing {
	for _, key := range nodeFields {
		if !extra.has(key) {
			extra.set(key, "")
		}
	}
	for _, value := range in.r.Header["Te"] {
		if strings.Contains(value, "trailers") {
			extra.set("Te", "trailers")
			extra.set("Connection", "Te")
			break
		}
	}
	return &outgoing{
		method: in.r.Method, uri: in.uri(), host: in.r.Host,
		header: in.r.Header, extra: extra, body: in.body,
	}
}

// nodeFields are the request fields that only nodes set.
var nodeFields = []string{
	toucancall.HeaderClass, toucancall.HeaderRank, toucancall.HeaderLevel,
	toucancall.HeaderRetries, toucancall.HeaderDepth, toucancall.HeaderParent, toucancall.HeaderCallerKey,
}

// local is the backend server beside the node.
type local struct {
	mu       sync.Mutex
	service  string
	address  string
	leaving  bool
	down     bool // the last connection attempt failed
	inFlight int
}

// begin counts a call in, unless the backend server takes none.
func (l *local) begin(service string) (address string, refusal *reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.leaving:
		return "", notRun(toucancall.ReasonLeaving, "")
	case l.service != service || l.address == "":
		return "", notRun(toucancall.ReasonNoBackend, "no backend server of the service is beside this node")
	}
	l.inFlight++
	return l.address, nil
}

// serves reports whether the service is the one beside this node.
func (l *local) serves(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.service == service
}

func (l *local) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
}

func (l *local) running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// run is one call on its way through the local backend server.
type run struct {
	n          *Node
	in         *inbound
	call       toucancall.Call
	parent     *parent
	slot       Slot
	once       OnceRun
	early      *Refusal // known before the run, see refuseHere
	atMostOnce bool
	started    time.Time
	status     int
	stored     *StoredAnswer
}

// run takes a call to the local backend server.
func (n *Node) run(ctx context.Context, call toucancall.Call, in *inbound) *reply {
	r := &run{n: n, in: in, call: call}
	revision, rep := r.findClass(ctx)
	if rep == nil {
		rep = r.steps(ctx)
	}
	rep.hop.reported, rep.hop.load, rep.hop.revision = true, n.admission.Load(), revision
	rep.hop.threshold = rep.hop.threshold.Min(n.admission.Threshold(call.Rank))
	return rep
}

// refuseHere refuses a call of another entry. The key of an at-most-once request
// is refused for good, and one that ran before gets its answer.
func (n *Node) refuseHere(ctx context.Context, call toucancall.Call, in *inbound, refusal *Refusal) *reply {
	r := &run{n: n, in: in, call: call, early: refusal}
	if _, rep := r.findClass(ctx); rep != nil {
		return rep
	}
	return r.steps(ctx)
}

// findClass finds out whether the call may run at most once. Until the class
// file is known, only a call with an issued key gets further, which is always
// at-most-once, and a call of a service that is not beside this node, which is
// refused.
func (r *run) findClass(ctx context.Context) (revision uint64, rep *reply) {
	r.atMostOnce = issuedKey(r.call.IdempotencyKey)
	if !r.n.local.serves(r.call.Service) {
		return 0, nil
	}
	file, revision, err := r.n.files.ClassFile(ctx, r.call.Service)
	switch {
	case err == nil:
		r.atMostOnce = r.atMostOnce || file.Match(r.in.r.Method, r.in.r.URL.Path).AtMostOnce
		return revision, nil
	case r.atMostOnce:
		return 0, nil
	case r.call.IdempotencyKey != "":
		return 0, r.unused(refused(toucancall.Unknown, toucancall.ReasonNotForwarded, err.Error()))
	}
	return 0, r.unused(notRun(toucancall.ReasonNoBackend, err.Error()))
}

// steps takes the call through key, backend server and slot. The key comes
// first, because a key that ran must not be answered with "not run".
func (r *run) steps(ctx context.Context) *reply {
	if rep := r.begin(ctx); rep != nil {
		return rep
	}
	if r.early != nil {
		return r.withdraw(&reply{refusal: r.early, hop: hopReport{threshold: toucanadmission.AdmitAll}})
	}
	address, refusal := r.n.local.begin(r.call.Service)
	if refusal != nil {
		return r.withdraw(refusal)
	}
	rep := r.admit(ctx)
	if rep == nil {
		rep = r.forward(ctx, address)
	}
	if rep.rest == nil {
		r.n.local.end()
		return rep
	}
	ended := rep.ended
	rep.ended = func(o toucancall.Outcome, reason toucancall.Reason) {
		ended(o, reason)
		r.n.local.end()
	}
	return rep
}

// begin asks whether the key may run. It returns nil when it may.
func (r *run) begin(ctx context.Context) *reply {
	if r.atMostOnce {
		run, repeat, refusal := r.n.once.Begin(ctx, r.call)
		switch {
		case refusal != nil:
			return r.unused(refused(refusal.Outcome, refusal.Reason, refusal.Detail))
		case repeat != nil:
			return r.unused(&reply{
				status: repeat.Status, header: repeat.Header, trailer: repeat.Trailer,
				body: repeat.Body, length: int64(len(repeat.Body)), hop: hopReport{threshold: toucanadmission.AdmitAll},
			})
		}
		r.once = run
	}
	return nil
}

// admit waits for a slot. It returns nil when the call may run.
func (r *run) admit(ctx context.Context) *reply {
	slot, reason := r.n.admission.Admit(ctx, r.call)
	if slot == nil {
		return r.withdraw(notRun(reason, ""))
	}
	r.slot, r.started = slot, r.n.clock.Now()
	r.call = r.call.WithLevel(slot.Level())
	if r.call.Deadline.Sub(r.started) < minRemaining {
		slot.Release(RunResult{Outcome: toucancall.NotRun, Reason: toucancall.ReasonDeadline})
		return r.withdraw(notRun(toucancall.ReasonDeadline, ""))
	}
	return nil
}

// unused returns the whole allowance, which a call that did not run has not
// touched.
func (r *run) unused(rep *reply) *reply {
	rep.hop.left = r.call.Retries
	return rep
}

// withdraw refuses the key for good, so that "not run" stays true.
func (r *run) withdraw(rep *reply) *reply {
	if r.once != nil {
		r.once.Withdraw()
	}
	return r.unused(rep)
}

// forward sends the call to the backend server.
func (r *run) forward(ctx context.Context, address string) *reply {
	n := r.n
	r.parent = newParent(r.call)
	n.parents.add(r.parent)
	if r.atMostOnce {
		n.log.LogAttrs(ctx, slog.LevelInfo, "request_start", r.identity()...)
	}
	out := r.in.outgoing(r.backendFields())
	if r.once != nil {
		out.confirm = r.once.Confirm
	}
	x, err := send(ctx, n.backends, r.call.Deadline, address, out, forwardInterim(r.in.w))
	if err != nil {
		rep := n.classify(ctx, err, r.in.body)
		if rep.refusal.Reason == toucancall.ReasonConnect {
			n.backendDown(address)
		}
		return r.finish(rep)
	}
	r.status = x.resp.StatusCode
	if r.status == http.StatusServiceUnavailable && x.resp.Header.Get(toucancall.HeaderNotRun) == "true" {
		rep := n.answer(ctx, r.call.Deadline, x, out, true)
		if rep.rest != nil {
			rep.rest.finish(out.body)
		}
		return r.finish(notRun(toucancall.ReasonBackendRefused, ""))
	}
	rep := n.answer(ctx, r.call.Deadline, x, out, r.once != nil)
	if rep.rest == nil && rep.refusal == nil {
		r.stored = &StoredAnswer{Status: rep.status, Header: rep.header, Body: rep.body, Trailer: rep.trailer}
	}
	return r.finish(rep)
}

// backendFields are the metadata that the backend server receives.
func (r *run) backendFields() fields {
	f := make(fields, 0, hopFields)
	f.set(toucancall.HeaderRequestID, r.call.RequestID)
	f.set(toucancall.HeaderTenant, r.call.Tenant)
	f.set(toucancall.HeaderParent, r.parent.token)
	f.set(toucancall.HeaderTimeout, milliseconds(r.call.Remaining(r.n.clock.Now())))
	return f
}

// finish ends the run, or arranges its end for an answer that is still being
// read.
func (r *run) finish(rep *reply) *reply {
	switch {
	case rep.refusal != nil:
		r.end(rep.refusal.Outcome, rep.refusal.Reason)
	case rep.rest == nil:
		r.end(toucancall.Answered, "")
	default:
		rep.ended = r.end
	}
	left, threshold := r.parent.report()
	rep.hop.left = left
	rep.hop.threshold = rep.hop.threshold.Min(threshold)
	return rep
}

// end closes the books on the run: parent table, slot, key, log and metrics.
func (r *run) end(o toucancall.Outcome, reason toucancall.Reason) {
	n, now := r.n, r.n.clock.Now()
	childTime := r.parent.end(now, o != toucancall.Answered)
	n.parents.remove(r.parent.token)
	latency := now.Sub(r.started)
	r.slot.Release(RunResult{Latency: latency, ChildTime: childTime, Outcome: o, Reason: reason})
	if r.once != nil {
		if o == toucancall.NotRun {
			r.once.Withdraw()
		} else {
			r.once.Finish(o, reason, r.stored)
		}
	}
	n.metrics.run(r.call, o, r.status, latency)
	r.log(o, reason, latency)
}

// log writes the line from which invoices are built. What did not run has no
// such line; when its start was logged, a line takes that back.
func (r *run) log(o toucancall.Outcome, reason toucancall.Reason, latency time.Duration) {
	attrs := append(r.identity(),
		slog.String("outcome", string(o)),
		slog.String("reason", string(reason)),
		slog.Int("status", r.status),
		slog.Float64("duration_ms", float64(latency.Microseconds())/1000),
	)
	switch {
	case o != toucancall.NotRun:
		r.n.log.LogAttrs(context.Background(), slog.LevelInfo, "request_run", attrs...)
	case r.atMostOnce:
		r.n.log.LogAttrs(context.Background(), slog.LevelInfo, "request_not_run", attrs...)
	}
}

// identity is what the log lines of one run have in common.
func (r *run) identity() []slog.Attr {
	attrs := make([]slog.Attr, 0, 13)
	return append(attrs,
		slog.String("request_id", r.call.RequestID),
		slog.String("service", r.call.Service),
		slog.String("tenant", r.call.Tenant),
		slog.String("class", r.call.Class),
		slog.String("method", r.in.r.Method),
		slog.String("path", r.in.r.URL.Path),
		slog.Int("depth", r.call.Depth),
		slog.String("idempotency_key", r.call.IdempotencyKey),
		slog.String("caller_key", callerKey(r.call, r.in.r)),
	)
}
