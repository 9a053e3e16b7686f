package toucannode

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"toucanhaven/toucanadmission"
	"toucanhaven/toucancall"
)

const (
	// maxBufferedAnswerBytes is the length of the longest answer that is read
	// completely before its first byte is forwarded. If such an answer breaks
	// off, the caller gets a refusal instead of an aborted connection.
	maxBufferedAnswerBytes = 32 << 10
)

// reply is the result of one stage of handling a call: an answer or a refusal.
type reply struct {
	refusal     *Refusal // nil if this is an answer
	decidedHere bool     // this node decided on the refusal, not the callee

	status  int
	header  http.Header
	trailer http.Header // set once the answer is read to its end
	length  int64       // of the answer body, -1 if unknown
	body    []byte      // the part that was read into memory
	rest    *exchange   // exchange from which the rest is read; nil if body is complete

	hop hopReport
	// onEnd is called with the final outcome of an answer that is still being
	// read. It may be nil.
	onEnd       func(toucancall.Outcome, toucancall.Reason)
	requestBody *inboundBody
	ctx         context.Context // context of the call, tells why the answer broke off
	deadline    time.Time
}

// hopReport is the metadata that an answer carries between nodes.
type hopReport struct {
	reported    bool // the node beside the backend server sent it
	threshold   toucanadmission.Threshold
	load        toucanadmission.Load
	retriesLeft int
	revision    uint64
}

func refusalReply(o toucancall.Outcome, reason toucancall.Reason, detail string) *reply {
	return &reply{refusal: &Refusal{Outcome: o, Reason: reason, Detail: detail}, hop: hopReport{threshold: toucanadmission.AdmitAll}}
}

func notRunReply(reason toucancall.Reason, detail string) *reply {
	return refusalReply(toucancall.NotRun, reason, detail)
}

func (r *reply) outcome() (toucancall.Outcome, toucancall.Reason) {
	if r.refusal == nil {
		return toucancall.Answered, ""
	}
	return r.refusal.Outcome, r.refusal.Reason
}

// withdrawNotRun replaces the outcome "not run" by "unknown".
func (r *reply) withdrawNotRun() {
	if f := r.refusal; f != nil && f.Outcome == toucancall.NotRun {
		r.refusal = &Refusal{Outcome: toucancall.Unknown, Reason: f.Reason, Detail: f.Detail}
	}
}

// bufferAnswer reads an answer of up to maxBufferedAnswerBytes completely and
// leaves a longer one to be streamed. An answer of unknown length is streamed
// as well, unless bufferUnknownLength is set and it turns out to be short
// enough.
func (n *Node) bufferAnswer(ctx context.Context, deadline time.Time, x *exchange, out *outgoingRequest, bufferUnknownLength bool) *reply {
	rep := &reply{
		ctx: ctx, deadline: deadline,
		status: x.resp.StatusCode, header: x.resp.Header, length: x.resp.ContentLength,
		rest: x, requestBody: out.body, hop: hopReport{threshold: toucanadmission.AdmitAll},
	}
	if x.resp.ContentLength < 0 && x.resp.Close && len(x.resp.TransferEncoding) == 0 && out.method != http.MethodHead {
		x.finish(out.body)
		return refusalReply(toucancall.Failed, toucancall.ReasonConnectionLost,
			"the answer has neither a length nor chunks, so its end cannot be verified")
	}
	if rep.length > maxBufferedAnswerBytes || rep.length < 0 && !bufferUnknownLength {
		return rep
	}
	size := rep.length
	if size < 0 {
		size = maxBufferedAnswerBytes
	}
	if out.method == http.MethodHead {
		size = 0
	}
	buf := make([]byte, size+1) // one more byte, so that the last read reaches the end
	read, err := io.ReadFull(readerFunc(x.readBody), buf)
	rep.body = buf[:read]
	if err == nil {
		return rep // the answer is longer than the buffer
	}
	if err != io.EOF && err != io.ErrUnexpectedEOF || !x.fullyRead {
		reason := n.interruptionReason(ctx, err)
		x.finish(out.body)
		return refusalReply(toucancall.Failed, reason, "the answer broke off")
	}
	rep.trailer, rep.rest = x.resp.Trailer, nil
	x.finish(out.body)
	return rep
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// interruptionReason returns the reason why a connection ended early.
func (n *Node) interruptionReason(ctx context.Context, err error) toucancall.Reason {
	switch {
	case ctx.Err() != nil:
		return toucancall.ReasonCancelled
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, errKeyExpired):
		return toucancall.ReasonDeadline
	}
	return toucancall.ReasonConnectionLost
}

// classifySendError returns the refusal for a request that got no answer.
func (n *Node) classifySendError(ctx context.Context, err error, body *inboundBody) *reply {
	var failure *sendError
	if !errors.As(err, &failure) {
		failure = &sendError{bytesSent: true, err: err}
	}
	outcome := toucancall.NotRun
	switch {
	case failure.answered:
		outcome = toucancall.Failed
	case failure.bytesSent:
		outcome = toucancall.Unknown
	}
	if senderErr := body.senderFailure(); senderErr != nil {
		return &reply{refusal: n.bodyRefusal(outcome, senderErr), decidedHere: true, hop: hopReport{threshold: toucanadmission.AdmitAll}}
	}
	reason := n.interruptionReason(ctx, failure.err)
	if reason == toucancall.ReasonConnectionLost && !failure.bytesSent {
		reason = toucancall.ReasonConnect
	}
	rep := refusalReply(outcome, reason, failure.Error())
	rep.decidedHere = true
	return rep
}

// writeReply writes a reply to the caller, or to the entry if hop is set. It
// aborts the connection if the answer breaks off after its first byte.
func (n *Node) writeReply(w http.ResponseWriter, rep *reply, in *inboundRequest, hop bool) {
	h := w.Header()
	if n.stopping.Load() {
		h.Set("Connection", "close")
	}
	if rep.rest == nil && bodyUnread(in) {
		abandonBody(w, in.body)
		defer http.NewResponseController(w).Flush()
	}
	if hop {
		rep.hop.setHeader(h)
	}
	if rep.refusal != nil {
		n.writeRefusal(w, rep.refusal)
		return
	}
	rep.copyHeader(h)
	if rep.rest == nil {
		rep.announceTrailer(h, rep.trailer)
		w.WriteHeader(rep.status)
		w.Write(rep.body)
		rep.copyTrailer(h, rep.trailer)
		return
	}
	rep.announceTrailer(h, rep.rest.resp.Trailer)
	endsWithConn := rep.length < 0 && !in.r.ProtoAtLeast(1, 1)
	if endsWithConn {
		setResetOnClose(in.r, true)
	}
	if conn, ok := connOf(in.r); ok && rep.onEnd != nil {
		conn.HoldSlot(true)
		defer conn.HoldSlot(false)
	}
	outcome, reason := n.streamAnswer(w, rep)
	rep.rest.finish(rep.requestBody)
	if rep.onEnd != nil {
		rep.onEnd(outcome, reason)
	}
	if outcome != toucancall.Answered {
		panic(http.ErrAbortHandler)
	}
	if endsWithConn {
		setResetOnClose(in.r, false)
	}
	rep.copyTrailer(h, rep.rest.resp.Trailer)
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of a request.
func connOf(r *http.Request) (c *meteredConn, ok bool) {
	c, ok = r.Context().Value(connKey{}).(*meteredConn)
	return c, ok
}

// setResetOnClose sets whether the connection of the request is reset when it is closed,
// also if the process ends. An HTTP/1.0 caller takes an orderly close for the end of an
// answer without a length.
func setResetOnClose(r *http.Request, reset bool) {
	if c, ok := connOf(r); ok {
		c.ResetOnClose(reset)
	}
}

// bodyUnread reports whether a part of the request body has not been received.
func bodyUnread(in *inboundRequest) bool {
	if in.r.Body == nil || in.r.Body == http.NoBody {
		return false
	}
	return in.body == nil || !in.body.fullyRead()
}

// bodyLingerTime is how long a connection stays open after the node stopped
// reading its request body, so that the sender can read the answer.
const bodyLingerTime = 500 * time.Millisecond

// abandonBody lets the answer be sent before the request body has arrived.
// Otherwise http.Server would first wait for the body.
func abandonBody(w http.ResponseWriter, body *inboundBody) {
	w.Header().Set("Connection", "close")
	if body != nil && body.streamDone != nil {
		return // the goroutine that streams the body continues reading, see release
	}
	control := http.NewResponseController(w)
	// Neither call fails on a connection of http.Server.
	_ = control.EnableFullDuplex()
	_ = control.SetReadDeadline(time.Now().Add(bodyLingerTime))
}

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// streamAnswer copies the answer as it arrives. It flushes whenever no more
// data is buffered, so that a slow answer is not delayed.
func (n *Node) streamAnswer(w http.ResponseWriter, rep *reply) (toucancall.Outcome, toucancall.Reason) {
	control := http.NewResponseController(w)
	// A caller that reads too slowly must not hold a slot past the deadline.
	_ = control.SetWriteDeadline(rep.deadline)
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	w.WriteHeader(rep.status)
	if _, err := w.Write(rep.body); err != nil {
		return toucancall.Failed, toucancall.ReasonCancelled
	}
	for {
		if !rep.rest.hasBufferedData() {
			if err := control.Flush(); err != nil {
				return toucancall.Failed, toucancall.ReasonCancelled
			}
		}
		read, err := rep.rest.readBody(*buf)
		if _, werr := w.Write((*buf)[:read]); werr != nil {
			return toucancall.Failed, toucancall.ReasonCancelled
		}
		if err == io.EOF {
			return toucancall.Answered, ""
		}
		if err != nil {
			return toucancall.Failed, n.interruptionReason(rep.ctx, err)
		}
	}
}

// copyHeader copies the end-to-end fields of the answer. It leaves out the
// fields of the protocol between nodes, which only nodes may set.
func (r *reply) copyHeader(h http.Header) {
	connection := r.header["Connection"]
	for key, values := range r.header {
		if !toucancall.IsHopByHop(key, connection) && !isNodeAnswerField(key) {
			h[key] = values
		}
	}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // keeps http.Server from detecting a content type
	}
	switch known := r.header["Content-Length"] != nil && r.length >= 0; {
	case known:
		h["Content-Length"] = []string{strconv.FormatInt(r.length, 10)}
	case r.rest == nil && len(r.body) > 0 && len(r.trailer) == 0:
		h["Content-Length"] = []string{strconv.Itoa(len(r.body))}
	}
	h[toucancall.HeaderOutcome] = answeredValue
}

var answeredValue = []string{string(toucancall.Answered)}

func isNodeAnswerField(key string) bool {
	switch key {
	case toucancall.HeaderOutcome, toucancall.HeaderReason, toucancall.HeaderThreshold, toucancall.HeaderLoad,
		toucancall.HeaderRetriesLeft, toucancall.HeaderConfigRevision, toucancall.HeaderNotRun, toucancall.HeaderParent,
		toucancall.HeaderKeyed:
		return true
	}
	return false
}

func (r *reply) announceTrailer(h, trailer http.Header) {
	if len(trailer) > 0 {
		h["Trailer"] = []string{trailerNames(trailer)}
	}
}

func (r *reply) copyTrailer(h, trailer http.Header) {
	for key, values := range trailer {
		if len(values) > 0 {
			h[key] = values
		}
	}
}

// setHeader sets the header fields of an answer that is sent to another node.
func (m hopReport) setHeader(h http.Header) {
	h.Set(toucancall.HeaderThreshold, m.threshold.String())
	h.Set(toucancall.HeaderLoad, m.load.String())
	h.Set(toucancall.HeaderRetriesLeft, strconv.Itoa(m.retriesLeft))
	h.Set(toucancall.HeaderConfigRevision, strconv.FormatUint(m.revision, 10))
}

// readHopReport reads the header fields that setHeader set. A malformed field
// counts as absent, because the answer itself is still valid.
func readHopReport(h http.Header, lent int) hopReport {
	var m hopReport
	var thresholdErr, loadErr error
	m.threshold, thresholdErr = toucanadmission.ParseThreshold(h.Get(toucancall.HeaderThreshold))
	m.load, loadErr = toucanadmission.ParseLoad(h.Get(toucancall.HeaderLoad))
	m.reported = thresholdErr == nil && loadErr == nil
	if left, err := strconv.Atoi(h.Get(toucancall.HeaderRetriesLeft)); err == nil && left >= 0 {
		m.retriesLeft = min(left, lent)
	}
	if revision, err := strconv.ParseUint(h.Get(toucancall.HeaderConfigRevision), 10, 64); err == nil {
		m.revision = revision
	}
	return m
}

// writeRefusal writes the outcome and reason as header fields and one line of
// text as the body.
func (n *Node) writeRefusal(w http.ResponseWriter, r *Refusal) {
	h := w.Header()
	h.Set(toucancall.HeaderOutcome, string(r.Outcome))
	h.Set(toucancall.HeaderReason, string(r.Reason))
	h.Set("Content-Type", "text/plain; charset=utf-8")
	status := refusalStatus(r)
	if status == http.StatusServiceUnavailable {
		seconds := math.Ceil(n.retries.RetryAfter().Seconds())
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	text := fmt.Sprintf("toucanhaven: %s: %s: %s\n", r.Outcome, r.Reason, r.Detail)
	if r.Detail == "" {
		text = fmt.Sprintf("toucanhaven: %s: %s\n", r.Outcome, r.Reason)
	}
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	io.WriteString(w, text)
}

func refusalStatus(r *Refusal) int {
	switch r.Outcome {
	case toucancall.Unknown:
		return http.StatusGatewayTimeout
	case toucancall.Failed:
		return http.StatusBadGateway
	}
	switch r.Reason {
	case toucancall.ReasonBadRequest:
		return http.StatusBadRequest
	case toucancall.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case toucancall.ReasonSlowSender:
		return http.StatusRequestTimeout
	}
	return http.StatusServiceUnavailable
}

// forwardInterim returns a handler that forwards interim answers to the caller.
func forwardInterim(w http.ResponseWriter) interimHandler {
	return func(status int, h http.Header) {
		header := w.Header()
		for key, values := range h {
			if !toucancall.IsHopByHop(key, h["Connection"]) && !isNodeAnswerField(key) {
				header[key] = values
			}
		}
		w.WriteHeader(status)
		clear(header)
	}
}

// waitForRetry waits for the retry delay and reports whether a retry can
// follow. It returns false without waiting if the delay would pass the
// deadline, and returns false if ctx ends.
func waitForRetry(ctx context.Context, delay time.Duration, deadline time.Time) bool {
	if delay > 0 && time.Until(deadline) <= delay {
		return false
	}
	return sleep(ctx, delay)
}
