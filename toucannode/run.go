package toucannode

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"toucanhaven/toucanadmission"
	"toucanhaven/toucancall"
)

// minRemainingTime is the least remaining time with which a call is forwarded.
// Remaining time is sent in whole milliseconds.
const minRemainingTime = time.Millisecond

// inboundRequest is a request as the node received it.
type inboundRequest struct {
	r         *http.Request
	w         http.ResponseWriter
	body      *inboundBody
	delivered bool // the answer or refusal was written completely
}

// release ends the use of the request body. It must be called before the
// handler returns.
func (in *inboundRequest) release() {
	linger := time.Duration(0)
	if in.delivered {
		linger = bodyLingerTime
	}
	in.body.release(linger)
}

// requestURI returns the request target in the form that is sent to a server.
func (in *inboundRequest) requestURI() string {
	if uri := in.r.RequestURI; strings.HasPrefix(uri, "/") || uri == "*" {
		return uri
	}
	return in.r.URL.RequestURI()
}

// nextHopRequest builds the request for the next hop. Fields in extra replace
// the fields of the caller.
func (in *inboundRequest) nextHopRequest(extra fields) *outgoingRequest {
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
	return &outgoingRequest{
		method: in.r.Method, uri: in.requestURI(), host: in.r.Host,
		header: in.r.Header, extra: extra, body: in.body,
	}
}

// nodeFields are the request fields that only nodes may set.
var nodeFields = []string{
	toucancall.HeaderClass, toucancall.HeaderRank, toucancall.HeaderLevel,
	toucancall.HeaderRetries, toucancall.HeaderDepth, toucancall.HeaderParent, toucancall.HeaderCallerKey,
}

// localBackend is the state of the backend server beside the node.
type localBackend struct {
	mu          sync.Mutex
	service     string
	address     string
	leaving     bool
	unreachable bool // the last attempt to connect failed
	inFlight    int

	lastUnprovenRefusal time.Time
}

// beginRun counts a new run and returns the address of the backend server, or a
// refusal if the backend server accepts no calls of the service.
func (l *localBackend) beginRun(service string) (address string, refusal *reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.leaving:
		return "", notRunReply(toucancall.ReasonLeaving, "")
	case l.service != service || l.address == "":
		return "", notRunReply(toucancall.ReasonNoBackend, "no backend server of the service is beside this node")
	}
	l.inFlight++
	return l.address, nil
}

// serves reports whether the backend server beside this node belongs to the
// service.
func (l *localBackend) serves(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.service == service
}

func (l *localBackend) endRun() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
}

func (l *localBackend) runCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// unprovenRefusalPeriod is how long after an unproven refusal of the backend server the
// calls that must not be repeated are sent on new connections.
const unprovenRefusalPeriod = 10 * time.Second

func (l *localBackend) recordUnprovenRefusal(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastUnprovenRefusal = now
}

// needsNewConns reports whether only a new connection lets the backend server refuse a
// call with proof.
func (l *localBackend) needsNewConns(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.lastUnprovenRefusal.IsZero() && now.Sub(l.lastUnprovenRefusal) < unprovenRefusalPeriod
}

// run is one call that is handled by the node beside the local backend server.
type run struct {
	n            *Node
	in           *inboundRequest
	call         toucancall.Call
	parent       *parent
	slot         Slot
	keyedRun     KeyedRun
	earlyRefusal *Refusal // set if the call is refused whatever admission control decides, see refusePeerCall
	atMostOnce   bool
	started      time.Time
	status       int
	storedAnswer *StoredAnswer
}

// runCall runs a call at the local backend server, or refuses it.
func (n *Node) runCall(ctx context.Context, call toucancall.Call, in *inboundRequest) *reply {
	r := &run{n: n, in: in, call: call}
	revision, rep := r.findClass(ctx)
	if rep == nil {
		rep = r.execute(ctx)
	}
	rep.hop.reported, rep.hop.load, rep.hop.revision = true, n.admission.Load(), revision
	rep.hop.threshold = rep.hop.threshold.Min(n.admission.Threshold(call.Rank))
	return rep
}

// refusePeerCall refuses a call from another entry. If the request is
// at-most-once, its key is refused for good, and a request that ran before gets
// its stored answer.
func (n *Node) refusePeerCall(ctx context.Context, call toucancall.Call, in *inboundRequest, refusal *Refusal) *reply {
	r := &run{n: n, in: in, call: call, earlyRefusal: refusal}
	if _, rep := r.findClass(ctx); rep != nil {
		return rep
	}
	return r.execute(ctx)
}

// findClass determines whether the call may run at most once. While the class
// file is unknown, two kinds of calls continue: a call with an issued key,
// which is always at-most-once, and a call of a service that is not beside this
// node, which is refused later.
func (r *run) findClass(ctx context.Context) (revision uint64, rep *reply) {
	r.atMostOnce = isIssuedKey(r.call.IdempotencyKey)
	if !r.n.local.serves(r.call.Service) {
		return 0, nil
	}
	file, revision, err := r.n.classFiles.ClassFile(ctx, r.call.Service)
	switch {
	case err == nil:
		r.atMostOnce = r.atMostOnce || file.Match(r.in.r.Method, r.in.r.URL.Path).AtMostOnce
		return revision, nil
	case r.atMostOnce:
		return 0, nil
	case r.call.IdempotencyKey != "":
		return 0, r.returnAllowance(refusalReply(toucancall.Unknown, toucancall.ReasonNotForwarded, err.Error()))
	}
	return 0, r.returnAllowance(notRunReply(toucancall.ReasonNoBackend, err.Error()))
}

// execute checks the key, takes a slot and forwards the call to the backend
// server. The key is checked first, because a request that ran must not be
// answered with "not run".
func (r *run) execute(ctx context.Context) *reply {
	if rep := r.beginKeyedRun(ctx); rep != nil {
		return rep
	}
	if r.earlyRefusal != nil {
		return r.withdrawKey(&reply{refusal: r.earlyRefusal, hop: hopReport{threshold: toucanadmission.AdmitAll}})
	}
	address, refusal := r.n.local.beginRun(r.call.Service)
	if refusal != nil {
		return r.withdrawKey(refusal)
	}
	rep := r.admit(ctx)
	if rep == nil {
		rep = r.forward(ctx, address)
	}
	if rep.rest == nil {
		r.n.local.endRun()
		return rep
	}
	onEnd := rep.onEnd
	rep.onEnd = func(o toucancall.Outcome, reason toucancall.Reason) {
		onEnd(o, reason)
		r.n.local.endRun()
	}
	return rep
}

// beginKeyedRun checks whether the key of an at-most-once call may run. It
// returns nil if the call may run.
func (r *run) beginKeyedRun(ctx context.Context) *reply {
	if r.atMostOnce {
		run, stored, refusal := r.n.deduplicator.BeginRun(ctx, r.call)
		switch {
		case refusal != nil:
			return r.returnAllowance(refusalReply(refusal.Outcome, refusal.Reason, refusal.Detail))
		case stored != nil:
			return r.returnAllowance(&reply{
				status: stored.Status, header: stored.Header, trailer: stored.Trailer,
				body: stored.Body, length: int64(len(stored.Body)), hop: hopReport{threshold: toucanadmission.AdmitAll},
			})
		}
		r.keyedRun = run
	}
	return nil
}

// admit waits for a slot. It returns nil if the call may run.
func (r *run) admit(ctx context.Context) *reply {
	slot, reason := r.n.admission.Admit(ctx, r.call)
	if slot == nil {
		r.n.closeStalledStream()
		return r.withdrawKey(notRunReply(reason, ""))
	}
	r.slot, r.started = slot, r.n.clock.Now()
	r.call = r.call.WithLevel(slot.Level())
	if r.call.Deadline.Sub(r.started) < minRemainingTime {
		slot.Release(RunResult{Outcome: toucancall.NotRun, Reason: toucancall.ReasonDeadline})
		return r.withdrawKey(notRunReply(toucancall.ReasonDeadline, ""))
	}
	return nil
}

// returnAllowance returns the whole retry allowance, because a call that did
// not run has used none of it.
func (r *run) returnAllowance(rep *reply) *reply {
	rep.hop.retriesLeft = r.call.Retries
	return rep
}

// withdrawKey refuses the key for good, because the outcome "not run" must stay
// true when the caller sends the request again.
func (r *run) withdrawKey(rep *reply) *reply {
	if r.keyedRun != nil {
		r.keyedRun.Withdraw()
	}
	return r.returnAllowance(rep)
}

// forward sends the call to the backend server.
func (r *run) forward(ctx context.Context, address string) *reply {
	n := r.n
	r.parent = newParent(r.call)
	n.parents.add(r.parent)
	if r.atMostOnce {
		n.log.LogAttrs(ctx, slog.LevelInfo, "request_start", r.logAttrs()...)
	}
	out := r.in.nextHopRequest(r.backendFields())
	if r.keyedRun != nil {
		out.confirmStart = r.keyedRun.ConfirmStart
	}
	out.newConn = (r.atMostOnce || !isSafeMethod(out.method)) && n.local.needsNewConns(n.clock.Now())
	x, err := sendRequest(ctx, n.backends, r.call.Deadline, address, out, forwardInterim(r.in.w))
	if err != nil {
		rep := n.classifySendError(ctx, err, r.in.body)
		if rep.refusal.Reason == toucancall.ReasonConnect {
			n.markBackendUnreachable(address)
		}
		return r.finish(rep)
	}
	r.status = x.resp.StatusCode
	if rep := r.rejectAnswer(x); rep != nil {
		x.close() // the answer to this call may still follow
		return r.finish(rep)
	}
	if saysNotRun(x.resp) {
		return r.finish(n.readRefusal(ctx, x, out))
	}
	rep := n.bufferAnswer(ctx, r.call.Deadline, x, out, r.keyedRun != nil)
	if rep.rest == nil && rep.refusal == nil {
		r.storedAnswer = &StoredAnswer{Status: rep.status, Header: rep.header, Body: rep.body, Trailer: rep.trailer}
	}
	return r.finish(rep)
}

// rejectAnswer returns a reply in place of an answer that may belong to an earlier call on
// the connection, or nil. Of the answers that do not name their call, only a refusal is
// rejected, and only on a connection that was used before.
func (r *run) rejectAnswer(x *exchange) *reply {
	switch x.resp.Header.Get(toucancall.HeaderParent) {
	case r.parent.token:
		return nil
	case "":
		if !x.reused || !saysNotRun(x.resp) {
			return nil
		}
		r.n.local.recordUnprovenRefusal(r.n.clock.Now())
		return refusalReply(toucancall.Unknown, toucancall.ReasonUnprovenRefusal,
			"the refusal does not name the call and came on a used connection")
	}
	return refusalReply(toucancall.Unknown, toucancall.ReasonConnectionLost, "the answer names another call")
}

// readRefusal reads the rest of an answer that says the call was not run. The end of one that
// has neither a length nor chunks cannot be verified and is not waited for.
func (n *Node) readRefusal(ctx context.Context, x *exchange, out *outgoingRequest) *reply {
	var err error
	if x.resp.ContentLength >= 0 || len(x.resp.TransferEncoding) > 0 {
		_, err = io.Copy(io.Discard, readerFunc(x.readBody))
	}
	x.finish(out.body)
	if err != nil {
		return refusalReply(toucancall.Unknown, n.interruptionReason(ctx, err), "the refusal broke off")
	}
	return notRunReply(toucancall.ReasonBackendRefused, "")
}

// saysNotRun reports whether the backend server says that it did not run the call.
func saysNotRun(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(toucancall.HeaderNotRun) == "true"
}

// backendFields returns the header fields that the node sets on the request to
// the backend server.
func (r *run) backendFields() fields {
	f := make(fields, 0, hopFieldsCapacity)
	f.set(toucancall.HeaderRequestID, r.call.RequestID)
	f.set(toucancall.HeaderTenant, r.call.Tenant)
	f.set(toucancall.HeaderParent, r.parent.token)
	f.set(toucancall.HeaderTimeout, formatMilliseconds(r.call.Remaining(r.n.clock.Now())))
	return f
}

// finish ends the run. If the answer is still being read, it sets rep.onEnd to
// end the run later.
func (r *run) finish(rep *reply) *reply {
	switch {
	case rep.refusal != nil:
		r.end(rep.refusal.Outcome, rep.refusal.Reason)
	case rep.rest == nil:
		r.end(toucancall.Answered, "")
	default:
		rep.onEnd = r.end
	}
	left, threshold := r.parent.finalReport()
	rep.hop.retriesLeft = left
	rep.hop.threshold = rep.hop.threshold.Min(threshold)
	return rep
}

// end releases what the run holds: its entry in the parent table, its slot and
// its key. It also updates the metrics and the log.
func (r *run) end(o toucancall.Outcome, reason toucancall.Reason) {
	n, now := r.n, r.n.clock.Now()
	childTime := r.parent.endRun(now, o != toucancall.Answered)
	n.parents.remove(r.parent.token)
	latency := now.Sub(r.started)
	r.slot.Release(RunResult{Latency: latency, ChildTime: childTime, Outcome: o, Reason: reason})
	if r.keyedRun != nil {
		if o == toucancall.NotRun {
			r.keyedRun.Withdraw()
		} else {
			r.keyedRun.Finish(o, reason, r.storedAnswer)
		}
	}
	n.metrics.countRun(r.call, o, r.status, latency)
	r.logRun(o, reason, latency)
}

// logRun logs the line from which invoices are built. A call that did not run
// gets no such line; if its start was logged, it gets a line that cancels the
// start.
func (r *run) logRun(o toucancall.Outcome, reason toucancall.Reason, latency time.Duration) {
	attrs := append(r.logAttrs(),
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

// logAttrs returns the attributes that the log lines of one run have in common.
func (r *run) logAttrs() []slog.Attr {
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
