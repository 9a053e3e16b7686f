package toucannode

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"toucanhaven/toucanadmission"
	"toucanhaven/toucanbalance"
	"toucanhaven/toucancall"
	"toucanhaven/toucanclass"
)

func milliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// entry is one call at the node where it entered the system.
type entry struct {
	n         *Node
	in        *inbound
	call      toucancall.Call
	parent    *parent // nil for a request of a plain caller
	allowance Allowance
	once      bool // at most one run is allowed
	lost      bool // bytes of an attempt were sent and no reply came
	threshold toucanadmission.Threshold
	class     toucanclass.Class // of this call in the class file of its service
}

// serveCaller takes a request of a caller, or a child call of the local backend
// server.
func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(toucancall.HeaderService) == "" && r.URL.Path == "/keys" {
		n.serveKeys(w, r)
		return
	}
	start := n.clock.Now()
	e := &entry{n: n, in: &inbound{r: r, w: w}, threshold: toucanadmission.AdmitAll}
	defer e.in.release()
	ctx, end, rep := e.identify(start)
	if rep == nil {
		rep = e.serve(ctx)
	}
	end(rep)
	if e.allowance != nil {
		e.allowance.End()
	}
	outcome, known := toucancall.Answered, e.call.Service != ""
	if r := rep.refusal; r != nil {
		outcome, known = r.Outcome, known && r.Reason != toucancall.ReasonNoBackend
		n.metrics.refused(e.call, r, known)
	}
	if e.keyed() {
		n.metrics.count("toucan_keyed_requests_total", "outcome", string(outcome))
	}
	defer func() { n.metrics.request(e.call, outcome, known, n.clock.Now().Sub(start)) }()
	n.deliver(w, rep, e.in, false)
	e.in.delivered = true
}

// identify reads the metadata of the call. The end function returns what the
// call drew from its parent.
func (e *entry) identify(now time.Time) (ctx context.Context, end func(*reply), rep *reply) {
	r := e.in.r
	ctx, end = r.Context(), func(*reply) {}
	call, err := toucancall.FromCaller(r.Header, now)
	if err != nil {
		if r.Header.Get(toucancall.HeaderIdempotencyKey) != "" {
			// An earlier attempt with this key may have run.
			return ctx, end, refused(toucancall.Unknown, toucancall.ReasonNotForwarded, err.Error())
		}
		return ctx, end, notRun(toucancall.ReasonBadRequest, err.Error())
	}
	if r.Method == http.MethodConnect {
		return ctx, end, notRun(toucancall.ReasonBadRequest, "method CONNECT is not supported")
	}
	if rep := e.findClass(ctx, call); rep != nil {
		return ctx, end, rep
	}
	token := r.Header.Get(toucancall.HeaderParent)
	if token == "" {
		if call.RequestID == "" {
			call.RequestID = newToken()
		}
		e.call = call.WithClass(e.class)
		var ok bool
		if e.allowance, ok = e.n.retries.Root(e.call); !ok {
			// The earlier attempt may have run, or may run now.
			return ctx, end, refused(toucancall.Unknown, toucancall.ReasonNotForwarded,
				"a repeat of a request that is under way or has used up its retry allowance")
		}
		return ctx, end, nil
	}
	if e.parent = e.n.parents.get(token); e.parent == nil {
		// A finished parent has no allowance left to lend, and nobody waits for
		// the child call.
		e.call = call
		return ctx, end, e.refuse(ctx, notRun(toucancall.ReasonCancelled, "header "+toucancall.HeaderParent+": that call is not running here"))
	}
	return e.inherit(ctx, call, now)
}

// inherit makes the call a child of its parent.
func (e *entry) inherit(ctx context.Context, call toucancall.Call, now time.Time) (context.Context, func(*reply), *reply) {
	parent := e.parent
	child := parent.call.WithService(call.Service).WithIdempotencyKey(call.IdempotencyKey)
	if e.in.r.Header.Get(toucancall.HeaderTimeout) != "" && call.Deadline.Before(child.Deadline) {
		child.Deadline = call.Deadline
	}
	parentCtx, lent := parent.startChild(now)
	e.call = child.WithRetries(lent)
	e.allowance = e.n.retries.Child(e.call)
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(parentCtx, cancel)
	end := func(rep *reply) {
		finish := func() {
			stop()
			cancel()
			parent.endChild(e.n.clock.Now(), lent, e.allowance.Left(), e.threshold)
		}
		if rep.rest == nil {
			finish()
			return
		}
		ended := rep.ended
		rep.ended = func(o toucancall.Outcome, reason toucancall.Reason) {
			if ended != nil {
				ended(o, reason)
			}
			finish()
		}
	}
	if child.Depth > toucancall.MaxDepth {
		return ctx, end, e.refuse(ctx, notRun(toucancall.ReasonTooDeep, ""))
	}
	return ctx, end, nil
}

// findClass finds the class of the request in the class file of the service
// called. A service without backend servers has none to ask, and until the class
// file is known nobody can tell whether the request may run more than once.
func (e *entry) findClass(ctx context.Context, c toucancall.Call) *reply {
	reason, detail := toucancall.ReasonNoBackend, "no backend server of the service is known"
	if len(e.n.directory.BackendServers(ctx, c.Service)) > 0 {
		file, _, err := e.n.files.ClassFile(ctx, c.Service)
		if err == nil {
			e.class = file.Match(e.in.r.Method, e.in.r.URL.Path)
			e.once = e.class.AtMostOnce || issuedKey(c.IdempotencyKey)
			return nil
		}
		detail = err.Error()
	}
	e.call = c
	if c.IdempotencyKey != "" {
		// An earlier attempt with this key may have run.
		return refused(toucancall.Unknown, toucancall.ReasonNotForwarded, detail)
	}
	return notRun(reason, detail)
}

// serve takes the call through the gate and makes its attempts.
func (e *entry) serve(ctx context.Context) *reply {
	n := e.n
	body, refusal := n.readBody(e.in.w, e.in.r)
	if refusal != nil {
		return e.refuse(ctx, &reply{refusal: refusal})
	}
	e.in.body = body
	level, reason := n.gate.Check(e.call, e.parent != nil)
	if reason != "" {
		return e.refuse(ctx, notRun(reason, ""))
	}
	e.call = e.call.WithLevel(level)
	if e.keyed() {
		return e.serveKeyed(ctx)
	}
	return e.attempts(ctx, "")
}

func safeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// refuse ends a call that this entry did not forward. A key is first marked
// refused at its home.
func (e *entry) refuse(ctx context.Context, rep *reply) *reply {
	if !e.keyed() {
		return rep
	}
	refusal := e.n.once.Refuse(ctx, e.call, rep.refusal.Reason)
	if refusal.Outcome == toucancall.NotRun {
		return rep
	}
	return refused(refusal.Outcome, refusal.Reason, string(rep.refusal.Reason))
}

// attempts makes attempts until one is final. A call with a key goes to its
// home only.
func (e *entry) attempts(ctx context.Context, home string) *reply {
	n := e.n
	var tried []string
	var last *reply
	mayHaveRun := false // in an earlier attempt
	for {
		if e.call.Remaining(n.clock.Now()) < minRemaining {
			return e.last(last, toucancall.ReasonDeadline, "")
		}
		server, ok := e.choose(ctx, home, tried)
		if !ok {
			return e.last(last, toucancall.ReasonNoBackend, "no backend server of the service is known")
		}
		last = e.attempt(ctx, server)
		e.lost = e.lost || last.own && last.refusal.Outcome != toucancall.NotRun
		if mayHaveRun && home == "" && last.refusal != nil && last.refusal.Outcome == toucancall.NotRun {
			// Only a home knows that the earlier attempt did not run either.
			last.refusal = &Refusal{Outcome: toucancall.Unknown, Reason: last.refusal.Reason, Detail: last.refusal.Detail}
		}
		mayHaveRun = mayHaveRun || last.refusal != nil && last.refusal.Outcome != toucancall.NotRun
		if last.refusal == nil || !e.mayRetry(last, home) {
			return last
		}
		delay, ok := e.allowance.Retry(*last.refusal, !e.once && safeMethod(e.in.r.Method))
		if !ok || !retryDelay(ctx, delay, e.call.Deadline) {
			return last
		}
		n.metrics.count("toucan_retries_total", "reason", string(last.refusal.Reason))
		tried = append(tried, server.ID)
	}
}

// last returns the result of the last attempt, or a refusal when none was made.
func (e *entry) last(rep *reply, reason toucancall.Reason, detail string) *reply {
	if rep == nil {
		rep = notRun(reason, detail)
		rep.own = true
	}
	return rep
}

// choose picks the server of an attempt, which must follow, because the chooser
// counts the attempt from here on.
func (e *entry) choose(ctx context.Context, home string, tried []string) (toucanbalance.Server, bool) {
	if home != "" {
		server, ok := e.n.findServer(ctx, e.call.Service, home)
		if ok {
			e.n.chooser.Start(e.call.Service, home)
		}
		return server, ok
	}
	return e.n.chooser.Choose(e.call.Service, e.n.directory.BackendServers(ctx, e.call.Service), tried)
}

// mayRetry reports whether another attempt can do no harm and may help.
func (e *entry) mayRetry(rep *reply, home string) bool {
	r := rep.refusal
	if !e.in.body.repeatable() {
		return false
	}
	if home != "" {
		// The home runs a key once however often it is asked, and its own
		// refusal is final.
		return rep.own && (r.Reason == toucancall.ReasonConnect || r.Reason == toucancall.ReasonConnectionLost)
	}
	switch r.Reason {
	case toucancall.ReasonCancelled, toucancall.ReasonDeadline, toucancall.ReasonTooLarge,
		toucancall.ReasonSlowSender, toucancall.ReasonBadRequest, toucancall.ReasonTooDeep:
		return false
	}
	return r.Outcome == toucancall.NotRun || !e.once && safeMethod(e.in.r.Method)
}

// attempt makes one attempt and tells those who learn from it.
func (e *entry) attempt(ctx context.Context, server toucanbalance.Server) *reply {
	n, now, lent := e.n, e.n.clock.Now(), e.allowance.Lend()
	call := e.call.WithRetries(lent)
	var rep *reply
	if server.ID == n.id {
		rep = n.run(ctx, call, e.in)
		rep.own = false // the run has settled its key
	} else {
		rep = n.callPeer(ctx, call, server.PeerAddress, e.in)
	}
	e.allowance.Return(lent, rep.hop.left)
	e.threshold = e.threshold.Min(rep.hop.threshold)
	if rep.hop.reported {
		n.gate.Observe(call, e.parent != nil, rep.hop.threshold)
		n.files.Observe(call.Service, server.ID, rep.hop.revision)
	}
	a := Attempt{
		Target: e.class.Latency, Outcome: toucancall.Answered, Status: rep.status,
		Load: rep.hop.load, LoadKnown: rep.hop.reported,
	}
	if rep.refusal != nil {
		a.Outcome, a.Reason = rep.refusal.Outcome, rep.refusal.Reason
		e.markServer(server, rep)
	}
	done := func() {
		a.Latency = n.clock.Now().Sub(now)
		n.chooser.Done(call.Service, server.ID, a)
	}
	if rep.rest == nil {
		done()
		return rep
	}
	ended := rep.ended
	rep.ended = func(o toucancall.Outcome, reason toucancall.Reason) {
		if ended != nil {
			ended(o, reason)
		}
		a.Outcome, a.Reason = o, reason
		done()
	}
	return rep
}

// markServer tells the directory what an attempt found out about a server.
func (e *entry) markServer(server toucanbalance.Server, rep *reply) {
	n := e.n
	switch rep.refusal.Reason {
	case toucancall.ReasonLeaving:
		n.directory.MarkLeaving(e.call.Service, server.ID)
		n.peers.CloseAddress(server.PeerAddress)
	case toucancall.ReasonConnect:
		if !rep.hop.reported {
			n.directory.MarkUnreachable(e.call.Service, server.ID)
		}
	}
}

// peerGrace is the time past the deadline that an entry waits for the peer,
// which ends the call at the deadline and knows better whether it ran. It covers
// the way back between data centres, about 1.5 ms.
const peerGrace = 10 * time.Millisecond

// callPeer sends the call to the node beside another backend server.
func (n *Node) callPeer(ctx context.Context, call toucancall.Call, address string, in *inbound) *reply {
	extra := make(fields, 0, hopFields)
	call.EachHeader(n.clock.Now(), extra.set)
	extra.set(toucancall.HeaderCallerKey, callerKey(call, in.r))
	out := in.outgoing(extra)
	x, err := send(ctx, n.peers, call.Deadline.Add(peerGrace), address, out, forwardInterim(in.w))
	if err != nil {
		rep := n.classify(ctx, err, in.body)
		if rep.refusal.Outcome == toucancall.NotRun {
			rep.hop.left = call.Retries
		}
		return rep
	}
	hop := readHopReport(x.resp.Header, call.Retries)
	outcome := toucancall.Outcome(x.resp.Header.Get(toucancall.HeaderOutcome))
	reason := toucancall.Reason(x.resp.Header.Get(toucancall.HeaderReason))
	rep := n.answer(ctx, call.Deadline, x, out, false)
	switch {
	case outcome == toucancall.Answered:
	case rep.rest != nil: // refusals are short
		rep.rest.finish(out.body)
		rep = refused(toucancall.Unknown, toucancall.ReasonConnectionLost, "the peer sent no valid outcome")
	case outcome.Valid():
		rep = refused(outcome, reason, refusalDetail(rep.body, outcome, reason))
	default:
		rep = refused(toucancall.Unknown, toucancall.ReasonConnectionLost, "the peer sent no valid outcome")
	}
	rep.hop = hop
	return rep
}

// refusalDetail takes the detail out of the text that writeRefusal wrote.
func refusalDetail(body []byte, o toucancall.Outcome, reason toucancall.Reason) string {
	detail, ok := strings.CutPrefix(string(body), "toucanhaven: "+string(o)+": "+string(reason)+": ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(detail)
}

// servePeer takes a call from the entry where it entered.
func (n *Node) servePeer(w http.ResponseWriter, r *http.Request) {
	in := &inbound{r: r, w: w}
	defer in.release()
	n.deliver(w, n.takePeer(in), in, true)
	in.delivered = true
}

// takePeer runs the call, or refuses it.
func (n *Node) takePeer(in *inbound) *reply {
	w, r := in.w, in.r
	call, err := toucancall.FromNode(r.Header, n.clock.Now())
	if err != nil {
		return notRun(toucancall.ReasonBadRequest, err.Error())
	}
	restoreCallerKey(r.Header)
	var refusal *Refusal
	if call.Depth > toucancall.MaxDepth {
		refusal = &Refusal{Outcome: toucancall.NotRun, Reason: toucancall.ReasonTooDeep}
	} else {
		in.body, refusal = n.readBody(w, r)
	}
	if refusal != nil {
		return n.refuseHere(r.Context(), call, in, refusal)
	}
	return n.run(r.Context(), call, in)
}

const maxKeysIssued = 1000

// keysAnswer is the answer to POST /keys.
type keysAnswer struct {
	Keys []string `json:"keys"`
}

// serveKeys issues keys for at-most-once requests.
func (n *Node) serveKeys(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "toucanhaven: /keys: want POST", http.StatusMethodNotAllowed)
		return
	}
	query := r.URL.Query()
	service, count := query.Get("service"), 1
	if text := query.Get("count"); text != "" {
		var err error
		if count, err = strconv.Atoi(text); err != nil || count < 1 || count > maxKeysIssued {
			http.Error(w, "toucanhaven: count: want a number between 1 and "+strconv.Itoa(maxKeysIssued), http.StatusBadRequest)
			return
		}
	}
	if service == "" || len(service) > toucancall.MaxNameBytes {
		http.Error(w, "toucanhaven: service: want the name of a service", http.StatusBadRequest)
		return
	}
	keys, err := n.once.Issue(r.Context(), service, count)
	if err != nil {
		http.Error(w, "toucanhaven: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(keysAnswer{Keys: keys}) // a caller that left needs no keys
}
