package toucannode

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"toucanhaven/toucanadmission"
	"toucanhaven/toucancall"
)

const (
	// wholeAnswerBytes is the longest answer that is read whole before the
	// first byte goes on. Such an answer that breaks off ends as a clear
	// refusal, not as a connection abort.
	wholeAnswerBytes = 32 << 10
)

// reply is the result of a stage of the path: an answer, or a refusal.
type reply struct {
	refusal *Refusal // nil for an answer
	own     bool     // the refusal was decided here, not by the callee

	status  int
	header  http.Header
	trailer http.Header // filled once the answer is read to its end
	length  int64       // of the answer body, -1 when unknown
	body    []byte      // the part that was read
	rest    *exchange   // source of the rest; nil when body is whole

	hop hopReport
	// ended takes the final outcome of an answer that is still being read.
	ended    func(toucancall.Outcome, toucancall.Reason)
	sent     *inboundBody
	ctx      context.Context // of the call, to tell why the answer broke off
	deadline time.Time
}

// hopReport is what an answer carries between nodes.
type hopReport struct {
	reported  bool // by the node beside the backend server
	threshold toucanadmission.Threshold
	load      toucanadmission.Load
	left      int
	revision  uint64
}

func refused(o toucancall.Outcome, reason toucancall.Reason, detail string) *reply {
	return &reply{refusal: &Refusal{Outcome: o, Reason: reason, Detail: detail}, hop: hopReport{threshold: toucanadmission.AdmitAll}}
}

func notRun(reason toucancall.Reason, detail string) *reply {
	return refused(toucancall.NotRun, reason, detail)
}

// answer reads a short answer whole. With whole set it also tries that for an
// answer of unknown length.
func (n *Node) answer(ctx context.Context, deadline time.Time, x *exchange, out *outgoing, whole bool) *reply {
	rep := &reply{
		ctx: ctx, deadline: deadline,
		status: x.resp.StatusCode, header: x.resp.Header, length: x.resp.ContentLength,
		rest: x, sent: out.body, hop: hopReport{threshold: toucanadmission.AdmitAll},
	}
	if x.resp.ContentLength < 0 && x.resp.Close && len(x.resp.TransferEncoding) == 0 && out.method != http.MethodHead {
		x.finish(out.body)
		return refused(toucancall.Failed, toucancall.ReasonConnectionLost,
			"the answer has neither a length nor chunks, so its end cannot be verified")
	}
	if rep.length > wholeAnswerBytes || rep.length < 0 && !whole {
		return rep
	}
	size := rep.length
	if size < 0 {
		size = wholeAnswerBytes
	}
	if out.method == http.MethodHead {
		size = 0
	}
	buf := make([]byte, size+1) // one more byte lets the last read meet the end
	read, err := io.ReadFull(readerFunc(x.read), buf)
	rep.body = buf[:read]
	if err == nil {
		return rep // longer than the buffer
	}
	if err != io.EOF && err != io.ErrUnexpectedEOF || !x.whole {
		reason := n.interruption(ctx, err)
		x.finish(out.body)
		return refused(toucancall.Failed, reason, "the answer broke off")
	}
	rep.trailer, rep.rest = x.resp.Trailer, nil
	x.finish(out.body)
	return rep
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// interruption tells why a connection ended early.
func (n *Node) interruption(ctx context.Context, err error) toucancall.Reason {
	switch {
	case ctx.Err() != nil:
		return toucancall.ReasonCancelled
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, errNotConfirmed):
		return toucancall.ReasonDeadline
	}
	return toucancall.ReasonConnectionLost
}

// classify turns a request without an answer into a refusal.
func (n *Node) classify(ctx context.Context, err error, body *inboundBody) *reply {
	var failure *sendError
	if !errors.As(err, &failure) {
		failure = &sendError{sent: true, err: err}
	}
	outcome := toucancall.NotRun
	switch {
	case failure.answered:
		outcome = toucancall.Failed
	case failure.sent:
		outcome = toucancall.Unknown
	}
	if senderErr := body.failure(); senderErr != nil {
		return &reply{refusal: n.senderRefusal(outcome, senderErr), own: true, hop: hopReport{threshold: toucanadmission.AdmitAll}}
	}
	reason := n.interruption(ctx, failure.err)
	if reason == toucancall.ReasonConnectionLost && !failure.sent {
		reason = toucancall.ReasonConnect
	}
	rep := refused(outcome, reason, failure.Error())
	rep.own = true
	return rep
}

// deliver writes a reply to the caller, or to the entry when hop is set. It
// aborts the connection when the answer breaks off after its first byte.
func (n *Node) deliver(w http.ResponseWriter, rep *reply, in *inbound, hop bool) {
	h := w.Header()
	if n.closing.Load() {
		h.Set("Connection", "close")
	}
	if rep.rest == nil && unread(in) {
		giveUpBody(w, in.body)
		defer http.NewResponseController(w).Flush()
	}
	if hop {
		rep.hop.set(h)
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
	outcome, reason := n.stream(w, rep)
	rep.rest.finish(rep.sent)
	if rep.ended != nil {
		rep.ended(outcome, reason)
	}
	if outcome != toucancall.Answered {
		panic(http.ErrAbortHandler)
	}
	rep.copyTrailer(h, rep.rest.resp.Trailer)
}

// unread reports whether a part of the request body is still to come.
func unread(in *inbound) bool {
	if in.r.Body == nil || in.r.Body == http.NoBody {
		return false
	}
	return in.body == nil || !in.body.readToEnd()
}

// bodyLinger is how long a connection whose request body was given up stays
// open, so that the sender can read its answer.
const bodyLinger = 500 * time.Millisecond

// giveUpBody lets the answer go out before the request body has arrived. The
// server would otherwise first wait for the body.
func giveUpBody(w http.ResponseWriter, body *inboundBody) {
	w.Header().Set("Connection", "close")
	if body != nil && body.released != nil {
		return // the goroutine that streams the body reads on, see release
	}
	control := http.NewResponseController(w)
	// Neither fails on the connections of http.Server.
	_ = control.EnableFullDuplex()
	_ = control.SetReadDeadline(time.Now().Add(bodyLinger))
}

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// stream copies the answer as it arrives. A piece is flushed when no more is at
// hand, so that a slow answer is not held back.
func (n *Node) stream(w http.ResponseWriter, rep *reply) (toucancall.Outcome, toucancall.Reason) {
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
		if !rep.rest.buffered() {
			if err := control.Flush(); err != nil {
				return toucancall.Failed, toucancall.ReasonCancelled
			}
		}
		read, err := rep.rest.read(*buf)
		if _, werr := w.Write((*buf)[:read]); werr != nil {
			return toucancall.Failed, toucancall.ReasonCancelled
		}
		if err == io.EOF {
			return toucancall.Answered, ""
		}
		if err != nil {
			return toucancall.Failed, n.interruption(rep.ctx, err)
		}
	}
}

// copyHeader copies the end-to-end fields. Fields of the node protocol are set
// by nodes only.
func (r *reply) copyHeader(h http.Header) {
	connection := r.header["Connection"]
	for key, values := range r.header {
		if !toucancall.IsHopByHop(key, connection) && !ownAnswerField(key) {
			h[key] = values
		}
	}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // keeps the server from guessing one
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

func ownAnswerField(key string) bool {
	switch key {
	case toucancall.HeaderOutcome, toucancall.HeaderReason, toucancall.HeaderThreshold, toucancall.HeaderLoad,
		toucancall.HeaderRetriesLeft, toucancall.HeaderConfigRevision, toucancall.HeaderNotRun:
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

// set writes the fields that an answer carries between nodes.
func (m hopReport) set(h http.Header) {
	h.Set(toucancall.HeaderThreshold, m.threshold.String())
	h.Set(toucancall.HeaderLoad, m.load.String())
	h.Set(toucancall.HeaderRetriesLeft, strconv.Itoa(m.left))
	h.Set(toucancall.HeaderConfigRevision, strconv.FormatUint(m.revision, 10))
}

// readHopReport reads them. A malformed field counts as absent, because the
// answer itself is still good.
func readHopReport(h http.Header, lent int) hopReport {
	var m hopReport
	var thresholdErr, loadErr error
	m.threshold, thresholdErr = toucanadmission.ParseThreshold(h.Get(toucancall.HeaderThreshold))
	m.load, loadErr = toucanadmission.ParseLoad(h.Get(toucancall.HeaderLoad))
	m.reported = thresholdErr == nil && loadErr == nil
	if left, err := strconv.Atoi(h.Get(toucancall.HeaderRetriesLeft)); err == nil && left >= 0 {
		m.left = min(left, lent)
	}
	if revision, err := strconv.ParseUint(h.Get(toucancall.HeaderConfigRevision), 10, 64); err == nil {
		m.revision = revision
	}
	return m
}

// writeRefusal writes outcome and reason, and one line of text.
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

// forwardInterim passes answers with a status of 1xx on.
func forwardInterim(w http.ResponseWriter) interim {
	return func(status int, h http.Header) {
		own := w.Header()
		for key, values := range h {
			if !toucancall.IsHopByHop(key, h["Connection"]) {
				own[key] = values
			}
		}
		w.WriteHeader(status)
		clear(own)
	}
}

// retryDelay waits before another attempt and reports whether time is left.
func retryDelay(ctx context.Context, delay time.Duration, deadline time.Time) bool {
	if delay > 0 && time.Until(deadline) <= delay {
		return false
	}
	return pause(ctx, delay)
}
