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

func formatMilliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// entryCall is a call at its entry, the node through which it entered the
// system.
type entryCall struct {
	n                *Node
	in               *inboundRequest
	call             toucancall.Call
	parent           *parent // nil if the call is not a child call
	allowance        Allowance
	atMostOnce       bool // the request may run at most once
	sentWithoutReply bool // bytes of an attempt were sent, but no reply was received
	threshold        toucanadmission.Threshold
	class            toucanclass.Class // class of the call in the class file of its service
}

// serveCaller handles a request of a caller or a child call of the local
// backend server.
func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(toucancall.HeaderService) == "" && r.URL.Path == "/keys" {
		n.serveKeys(w, r)
		return
	}
	start := n.clock.Now()
	e := &entryCall{n: n, in: &inboundRequest{r: r, w: w}, threshold: toucanadmission.AdmitAll}
	defer e.in.release()
	ctx, end, rep := e.readMetadata(start)
	if rep == nil {
		rep = e.serveCall(ctx)
	}
	end(rep)
	if e.allowance != nil {
		e.allowance.End()
	}
	outcome, known := toucancall.Answered, e.call.Service != ""
	if r := rep.refusal; r != nil {
		outcome, known = r.Outcome, known && r.Reason != toucancall.ReasonNoBackend
		n.metrics.countRefusal(e.call, r, known)
		if e.keyed() {
			w.Header().Set(toucancall.HeaderKeyed, "true")
		}
	}
	if e.keyed() {
		n.metrics.increment("toucan_keyed_requests_total", "outcome", string(outcome))
	}
	defer func() { n.metrics.countRequest(e.call, outcome, known, n.clock.Now().Sub(start)) }()
	n.writeReply(w, rep, e.in, false)
	e.in.delivered = true
}

// readMetadata reads the metadata of the call and finds its class and, for a
// child call, its parent. The caller must call end with the final reply, which
// returns to the parent what the call borrowed from it.
func (e *entryCall) readMetadata(now time.Time) (ctx context.Context, end func(*reply), rep *reply) {
	r := e.in.r
	ctx, end = r.Context(), func(*reply) {}
	call, err := toucancall.FromCaller(r.Header, now)
	if err != nil {
		if r.Header.Get(toucancall.HeaderIdempotencyKey) != "" {
			// An earlier attempt with this key may have run.
			return ctx, end, refusalReply(toucancall.Unknown, toucancall.ReasonNotForwarded, err.Error())
		}
		return ctx, end, notRunReply(toucancall.ReasonBadRequest, err.Error())
	}
	if r.Method == http.MethodConnect {
		return ctx, end, notRunReply(toucancall.ReasonBadRequest, "method CONNECT is not supported")
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
		if e.allowance, ok = e.n.retries.StartRequest(e.call); !ok {
			// The earlier attempt may have run or may still be running.
			return ctx, end, refusalReply(toucancall.Unknown, toucancall.ReasonNotForwarded,
				"a repeat of a request that is under way or has used up its retry allowance")
		}
		return ctx, end, nil
	}
	if e.parent = e.n.parents.get(token); e.parent == nil {
		// A finished parent has no retry allowance to lend, and nothing waits for
		// the child call.
		e.call = call
		return ctx, end, e.refuse(ctx, notRunReply(toucancall.ReasonCancelled, "header "+toucancall.HeaderParent+": that call is not running here"))
	}
	return e.inheritParent(ctx, call, now)
}

// inheritParent gives a child call the identity of its parent and lends it a
// part of the retry allowance of the parent.
func (e *entryCall) inheritParent(ctx context.Context, call toucancall.Call, now time.Time) (context.Context, func(*reply), *reply) {
	parent := e.parent
	child := parent.call.WithService(call.Service).WithIdempotencyKey(call.IdempotencyKey)
	if e.in.r.Header.Get(toucancall.HeaderTimeout) != "" && call.Deadline.Before(child.Deadline) {
		child.Deadline = call.Deadline
	}
	parentCtx, lent := parent.startChild(now)
	e.call = child.WithRetries(lent)
	e.allowance = e.n.retries.StartChild(e.call)
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(parentCtx, cancel)
	end := func(rep *reply) {
		finish := func() {
			stop()
			cancel()
			parent.endChild(e.n.clock.Now(), lent, e.allowance.RetriesLeft(), e.threshold)
		}
		if rep.rest == nil {
			finish()
			return
		}
		onEnd := rep.onEnd
		rep.onEnd = func(o toucancall.Outcome, reason toucancall.Reason) {
			if onEnd != nil {
				onEnd(o, reason)
			}
			finish()
		}
	}
	if child.Depth > toucancall.MaxDepth {
		return ctx, end, e.refuse(ctx, notRunReply(toucancall.ReasonTooDeep, ""))
	}
	return ctx, end, nil
}

// findClass finds the class of the request in the class file of its service.
// If no backend server of the service is known, there is none to ask for the
// class file. While the class file is unknown, the node cannot tell whether the
// request may run more than once.
func (e *entryCall) findClass(ctx context.Context, c toucancall.Call) *reply {
	reason, detail := toucancall.ReasonNoBackend, "no backend server of the service is known"
	if len(e.n.directory.BackendServers(ctx, c.Service)) > 0 {
		file, _, err := e.n.classFiles.ClassFile(ctx, c.Service)
		if err == nil {
			e.class = file.Match(e.in.r.Method, e.in.r.URL.Path)
			e.atMostOnce = e.class.AtMostOnce || isIssuedKey(c.IdempotencyKey)
			return nil
		}
		detail = err.Error()
	}
	e.call = c
	if c.IdempotencyKey != "" {
		// An earlier attempt with this key may have run.
		return refusalReply(toucancall.Unknown, toucancall.ReasonNotForwarded, detail)
	}
	return notRunReply(reason, detail)
}

// serveCall reads the request body, checks the call against the gate and makes
// attempts.
func (e *entryCall) serveCall(ctx context.Context) *reply {
	n := e.n
	body, refusal := n.readBody(e.in.w, e.in.r)
	if refusal != nil {
		return e.refuse(ctx, &reply{refusal: refusal})
	}
	e.in.body = body
	if e.outlastsNode() {
		return e.refuse(ctx, notRunReply(toucancall.ReasonLeaving, "the node may end before the call"))
	}
	level, reason := n.gate.Check(e.call, e.parent != nil)
	if reason != "" {
		return e.refuse(ctx, notRunReply(reason, ""))
	}
	e.call = e.call.WithLevel(level)
	if e.keyed() {
		return e.serveKeyed(ctx)
	}
	return e.makeAttempts(ctx, "")
}

// answerTime is the time after the deadline of a call in which its reply is written.
const answerTime = 100 * time.Millisecond

// outlastsNode reports whether the node stops and may end before the call. A child call
// is part of a run that the node waits for.
func (e *entryCall) outlastsNode() bool {
	end := e.n.stopDeadline.Load()
	return end != nil && e.parent == nil && e.call.Deadline.Add(answerTime).After(*end)
}

func isSafeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// refuse ends a call that this entry did not forward. If the call has a key,
// its home first marks the key as refused.
func (e *entryCall) refuse(ctx context.Context, rep *reply) *reply {
	if !e.keyed() {
		return rep
	}
	refusal := e.n.deduplicator.RefuseKeyed(ctx, e.call, rep.refusal.Reason)
	if refusal.Outcome == toucancall.NotRun {
		return rep
	}
	return refusalReply(refusal.Outcome, refusal.Reason, string(rep.refusal.Reason))
}

// makeAttempts makes attempts until one is final. A call with a key is sent
// only to the home of the key.
func (e *entryCall) makeAttempts(ctx context.Context, home string) *reply {
	n := e.n
	var excluded []string
	var last *reply
	attempts := toucancall.NewAttempts()
	for {
		if e.call.Remaining(n.clock.Now()) < minRemainingTime {
			return e.lastReply(last, toucancall.ReasonDeadline, "")
		}
		server, ok := e.chooseServer(ctx, home, excluded)
		if !ok {
			return e.lastReply(last, toucancall.ReasonNoBackend, "no backend server of the service is known")
		}
		attempts = attempts.WithAttempt(server.ID)
		last = e.makeAttempt(ctx, server)
		attempts = attempts.WithOutcome(last.outcome())
		e.sentWithoutReply = e.sentWithoutReply || last.decidedHere && last.refusal.Outcome != toucancall.NotRun
		if _, proven := attempts.ProveNotRun(); !proven && home == "" {
			last.withdrawNotRun() // only the home of a key knows of the other attempts
		}
		if last.refusal == nil || !e.mayRetry(last, home) {
			return last
		}
		delay, ok := e.allowance.TakeRetry(*last.refusal, !e.atMostOnce && isSafeMethod(e.in.r.Method))
		if !ok || !waitForRetry(ctx, delay, e.call.Deadline) {
			return last
		}
		n.metrics.increment("toucan_retries_total", "reason", string(last.refusal.Reason))
		excluded = append(excluded, server.ID)
	}
}

// lastReply returns the reply of the last attempt, or a refusal if no attempt
// was made.
func (e *entryCall) lastReply(rep *reply, reason toucancall.Reason, detail string) *reply {
	if rep == nil {
		rep = notRunReply(reason, detail)
		rep.decidedHere = true
	}
	return rep
}

// chooseServer picks the server for an attempt. The attempt must be made,
// because the chooser counts it from now on.
func (e *entryCall) chooseServer(ctx context.Context, home string, excluded []string) (toucanbalance.Server, bool) {
	if home != "" {
		server, ok := e.n.findServer(ctx, e.call.Service, home)
		if ok {
			e.n.chooser.StartAttempt(e.call.Service, home)
		}
		return server, ok
	}
	return e.n.chooser.Choose(e.call.Service, e.n.directory.BackendServers(ctx, e.call.Service), excluded)
}

// mayRetry reports whether a retry is safe and may succeed.
func (e *entryCall) mayRetry(rep *reply, home string) bool {
	r := rep.refusal
	if !e.in.body.replayable() {
		return false
	}
	if home != "" {
		// The home runs a key at most once, however many attempts it gets, and its own
		// refusal is final.
		return rep.decidedHere && (r.Reason == toucancall.ReasonConnect || r.Reason == toucancall.ReasonConnectionLost)
	}
	switch r.Reason {
	case toucancall.ReasonCancelled, toucancall.ReasonDeadline, toucancall.ReasonTooLarge,
		toucancall.ReasonSlowSender, toucancall.ReasonBadRequest, toucancall.ReasonTooDeep:
		return false
	}
	return r.Outcome == toucancall.NotRun || !e.atMostOnce && isSafeMethod(e.in.r.Method)
}

// makeAttempt makes one attempt and reports its result to the retry allowance,
// the gate, the class files, the directory and the chooser.
func (e *entryCall) makeAttempt(ctx context.Context, server toucanbalance.Server) *reply {
	n, now, lent := e.n, e.n.clock.Now(), e.allowance.Lend()
	call := e.call.WithRetries(lent)
	var rep *reply
	if server.ID == n.id {
		rep = n.runCall(ctx, call, e.in)
		rep.decidedHere = false // the run is the callee here, and has recorded the result for the key
	} else {
		rep = n.callPeer(ctx, call, server.PeerAddress, e.in)
	}
	e.allowance.Return(lent, rep.hop.retriesLeft)
	e.threshold = e.threshold.Min(rep.hop.threshold)
	if rep.hop.reported {
		n.gate.ObserveThreshold(call, e.parent != nil, rep.hop.threshold)
		n.classFiles.ObserveRevision(call.Service, server.ID, rep.hop.revision)
	}
	a := Attempt{
		Target: e.class.Latency, Outcome: toucancall.Answered, Status: rep.status,
		Load: rep.hop.load, LoadKnown: rep.hop.reported,
	}
	if rep.refusal != nil {
		a.Outcome, a.Reason = rep.refusal.Outcome, rep.refusal.Reason
		e.markServer(server, rep)
	}
	endAttempt := func() {
		a.Latency = n.clock.Now().Sub(now)
		n.chooser.EndAttempt(call.Service, server.ID, a)
	}
	if rep.rest == nil {
		endAttempt()
		return rep
	}
	onEnd := rep.onEnd
	rep.onEnd = func(o toucancall.Outcome, reason toucancall.Reason) {
		if onEnd != nil {
			onEnd(o, reason)
		}
		a.Outcome, a.Reason = o, reason
		endAttempt()
	}
	return rep
}

// markServer tells the directory if an attempt found a server leaving or
// unreachable. It closes the idle connections to the node of a leaving server,
// because a node that shuts down waits for entries to close theirs.
func (e *entryCall) markServer(server toucanbalance.Server, rep *reply) {
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

// peerGracePeriod is how long past the deadline an entry waits for the peer.
// The peer ends the call at the deadline and knows better than the entry
// whether it ran. The period covers the return path between data centres, which
// takes about 1.5 ms.
const peerGracePeriod = 10 * time.Millisecond

// callPeer sends the call to the node beside another backend server.
func (n *Node) callPeer(ctx context.Context, call toucancall.Call, address string, in *inboundRequest) *reply {
	extra := make(fields, 0, hopFieldsCapacity)
	call.EachHeader(n.clock.Now(), extra.set)
	extra.set(toucancall.HeaderCallerKey, callerKey(call, in.r))
	out := in.nextHopRequest(extra)
	x, err := sendRequest(ctx, n.peers, call.Deadline.Add(peerGracePeriod), address, out, forwardInterim(in.w))
	if err != nil {
		rep := n.classifySendError(ctx, err, in.body)
		if rep.refusal.Outcome == toucancall.NotRun {
			rep.hop.retriesLeft = call.Retries
		}
		return rep
	}
	hop := readHopReport(x.resp.Header, call.Retries)
	outcome := toucancall.Outcome(x.resp.Header.Get(toucancall.HeaderOutcome))
	reason := toucancall.Reason(x.resp.Header.Get(toucancall.HeaderReason))
	rep := n.bufferAnswer(ctx, call.Deadline, x, out, false)
	switch {
	case outcome == toucancall.Answered:
	case rep.rest != nil: // a refusal is short enough to be read completely
		rep.rest.finish(out.body)
		rep = refusalReply(toucancall.Unknown, toucancall.ReasonConnectionLost, "the peer sent no valid outcome")
	case outcome.Valid():
		rep = refusalReply(outcome, reason, parseRefusalDetail(rep.body, outcome, reason))
	default:
		rep = refusalReply(toucancall.Unknown, toucancall.ReasonConnectionLost, "the peer sent no valid outcome")
	}
	rep.hop = hop
	return rep
}

// parseRefusalDetail extracts the detail from the text that writeRefusal wrote.
func parseRefusalDetail(body []byte, o toucancall.Outcome, reason toucancall.Reason) string {
	detail, ok := strings.CutPrefix(string(body), "toucanhaven: "+string(o)+": "+string(reason)+": ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(detail)
}

// servePeer handles a call from the node that is its entry.
func (n *Node) servePeer(w http.ResponseWriter, r *http.Request) {
	in := &inboundRequest{r: r, w: w}
	defer in.release()
	n.writeReply(w, n.runPeerCall(in), in, true)
	in.delivered = true
}

// runPeerCall runs a call from another node, or refuses it.
func (n *Node) runPeerCall(in *inboundRequest) *reply {
	w, r := in.w, in.r
	call, err := toucancall.FromNode(r.Header, n.clock.Now())
	if err != nil {
		return notRunReply(toucancall.ReasonBadRequest, err.Error())
	}
	restoreCallerKey(r.Header)
	var refusal *Refusal
	if call.Depth > toucancall.MaxDepth {
		refusal = &Refusal{Outcome: toucancall.NotRun, Reason: toucancall.ReasonTooDeep}
	} else {
		in.body, refusal = n.readBody(w, r)
	}
	if refusal != nil {
		return n.refusePeerCall(r.Context(), call, in, refusal)
	}
	return n.runCall(r.Context(), call, in)
}

const maxKeysPerRequest = 1000

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
		if count, err = strconv.Atoi(text); err != nil || count < 1 || count > maxKeysPerRequest {
			http.Error(w, "toucanhaven: count: want a number between 1 and "+strconv.Itoa(maxKeysPerRequest), http.StatusBadRequest)
			return
		}
	}
	if service == "" || len(service) > toucancall.MaxNameBytes {
		http.Error(w, "toucanhaven: service: want the name of a service", http.StatusBadRequest)
		return
	}
	keys, err := n.deduplicator.IssueKeys(r.Context(), service, count)
	if err != nil {
		http.Error(w, "toucanhaven: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(keysAnswer{Keys: keys}) // writing fails only if the caller has disconnected
}
