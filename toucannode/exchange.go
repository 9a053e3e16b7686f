package toucannode

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanconn"
	"toucanhaven/toucanresponse"
)

// outgoingRequest is a request as it is sent to the next hop.
type outgoingRequest struct {
	method, uri, host string
	header            http.Header // end-to-end fields
	extra             fields      // fields for this hop, which replace fields in header
	body              *inboundBody
	confirmStart      func() bool // called directly before the first byte is sent; nil if no check is needed
	newConn           bool        // the request is sent on a new connection
}

// errKeyExpired is returned if confirmStart no longer allows the request to
// start.
var errKeyExpired = errors.New("the idempotency key expired before the request was sent")

// fields are header fields with one value each. A field with an empty value is
// not sent, but still replaces the field of the caller. A slice is used because
// about 15 fields take a quarter of the memory of a map.
type fields []field

type field struct{ key, value string }

// hopFieldsCapacity is the capacity for the fields that are set on one hop.
const hopFieldsCapacity = 20

func (f *fields) set(key, value string) { *f = append(*f, field{key, value}) }

func (f fields) has(key string) bool {
	for i := range f {
		if f[i].key == key {
			return true
		}
	}
	return false
}

// sendError is the error of a request that has no answer. It records how far
// the request got.
type sendError struct {
	bytesSent bool // at least one byte of the request was written
	answered  bool // an answer header was received
	err       error
}

func (e *sendError) Error() string { return e.err.Error() }
func (e *sendError) Unwrap() error { return e.err }

// exchange is one request on one connection. sendRequest returns it once the
// answer header has been received.
type exchange struct {
	pool        *toucanconn.Pool
	c           *toucanconn.Conn
	reused      bool // the connection carried other requests before
	resp        *http.Response
	stopCancel  func() bool // stops the cancellation by ctx; returns false if it has happened
	headerHeld  int64       // bytes of the memory for headers that the answer header holds
	bodyWritten chan error  // receives the result of streaming the request body; nil if it is not streamed
	fullyRead   bool        // the answer body was read to its end
}

var errUpgrade = errors.New("answer switches protocols, which the request did not ask for")

// interimHandler is called for each interim answer, which has a 1xx status.
type interimHandler func(status int, h http.Header)

// sendRequest writes the request on a pooled or new connection and reads the
// answer header. The connection is interrupted when ctx ends or the deadline
// passes.
func sendRequest(ctx context.Context, p *toucanconn.Pool, deadline time.Time, addr string, out *outgoingRequest, onInterim interimHandler) (*exchange, error) {
	for {
		c, reused, err := getConn(ctx, p, deadline, addr, out.newConn)
		if err != nil {
			return nil, &sendError{err: err}
		}
		x, err := sendOnConn(ctx, p, c, deadline, out, onInterim)
		if err == nil {
			x.reused = reused
		}
		var failure *sendError
		if reused && errors.As(err, &failure) && !failure.bytesSent && failure.err != errKeyExpired && ctx.Err() == nil && time.Now().Before(deadline) {
			continue // the server closed the pooled connection before a byte was written
		}
		return x, err
	}
}

// getConn returns a connection from the pool or a new one. A connection that must be new
// takes the place of an idle one, so that the server holds no more connections.
func getConn(ctx context.Context, p *toucanconn.Pool, deadline time.Time, addr string, newConn bool) (c *toucanconn.Conn, reused bool, err error) {
	if !newConn {
		return p.Get(ctx, addr, deadline)
	}
	if idle := p.Pop(addr); idle != nil {
		idle.Close()
	}
	c, err = p.Dial(ctx, addr, deadline)
	return c, false, err
}

func sendOnConn(ctx context.Context, p *toucanconn.Pool, c *toucanconn.Conn, deadline time.Time, out *outgoingRequest, onInterim interimHandler) (x *exchange, err error) {
	if err := c.SetDeadline(deadline); err != nil {
		c.Close()
		return nil, &sendError{err: err}
	}
	x = &exchange{pool: p, c: c}
	x.stopCancel = context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	if out.confirmStart != nil && !out.confirmStart() {
		x.close()
		return nil, &sendError{err: errKeyExpired}
	}
	var sent atomic.Bool
	if err = x.writeRequest(out, &sent); err == nil {
		x.resp, x.headerHeld, err = readAnswerHeader(c, out.method, onInterim)
	}
	if err == nil {
		return x, nil
	}
	x.close()
	if x.bodyWritten != nil && ctx.Err() != nil {
		// http.Server also cancels a request whose body cannot be read. Wait for the
		// goroutine that streams the body, which records the reason.
		x.awaitBodyWritten()
	}
	return nil, &sendError{bytesSent: sent.Load(), answered: errors.Is(err, errUpgrade), err: err}
}

// writeRequest writes the header and a buffered body in one write. A longer
// body is streamed by a goroutine, because the answer may start before the body
// ends.
func (x *exchange) writeRequest(out *outgoingRequest, sent *atomic.Bool) error {
	x.c.RequestBuf = appendHead(x.c.RequestBuf[:0], out)
	if out.body.fitsOneWrite() {
		if out.body != nil {
			x.c.RequestBuf = append(x.c.RequestBuf, out.body.prefix...)
		}
		return writeAll(x.c, x.c.RequestBuf, sent)
	}
	if err := writeAll(x.c, x.c.RequestBuf, sent); err != nil {
		return err
	}
	x.bodyWritten, out.body.streamDone = make(chan error, 1), make(chan struct{})
	out.body.consumed = out.body.rest != nil
	go func() {
		defer close(out.body.streamDone)
		err := out.body.copyTo(x.c)
		if out.body.senderFailure() != nil {
			x.c.Close() // the rest of the body will not arrive
		}
		x.bodyWritten <- err
		if err != nil && out.body.senderFailure() == nil && out.body.rest != nil {
			out.body.discardRest()
		}
	}()
	return nil
}

func writeAll(c *toucanconn.Conn, p []byte, sent *atomic.Bool) error {
	n, err := c.Conn.Write(p)
	if n > 0 {
		sent.Store(true)
	}
	return err
}

// readAnswerHeader reads interim answers and the header of the final one, which together may
// have toucanconn.MaxHeaderBytes. It returns the bytes of the memory for headers that the final
// one holds.
func readAnswerHeader(c *toucanconn.Conn, method string, onInterim interimHandler) (resp *http.Response, held int64, err error) {
	if err := c.LimitHeader(); err != nil {
		return nil, 0, err
	}
	for {
		resp, err := toucanresponse.Read(c.R, method)
		if err != nil {
			return nil, 0, err
		}
		switch {
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, 0, errUpgrade
		case resp.StatusCode >= 200:
			return resp, c.RemoveHeaderLimit(), nil
		case resp.StatusCode != http.StatusContinue && onInterim != nil:
			onInterim(resp.StatusCode, resp.Header)
		}
	}
}

// readBody reads from the body of the answer and records whether its end was
// reached.
func (x *exchange) readBody(p []byte) (int, error) {
	n, err := x.resp.Body.Read(p)
	if err == io.EOF {
		x.fullyRead = true
	}
	return n, err
}

// hasBufferedData reports whether a read would return without waiting.
func (x *exchange) hasBufferedData() bool { return x.c.R.Buffered() > 0 }

// finish returns the connection to the pool if no data of this exchange is left
// on it, and closes it otherwise.
func (x *exchange) finish(body *inboundBody) {
	reusable := x.fullyRead && !x.resp.Close
	if x.bodyWritten != nil {
		reusable = reusable && body.fullyRead() && x.awaitBodyWritten()
	}
	x.releaseHeader()
	reusable = x.stopCancel() && reusable && x.c.R.Buffered() == 0
	if reusable && x.c.SetDeadline(time.Time{}) == nil {
		x.pool.Put(x.c)
		return
	}
	x.close()
}

// requestBodyWait bounds the wait for the end of the request body once the
// answer has ended. If the server stops reading the body, the connection is
// closed.
const requestBodyWait = 50 * time.Millisecond

// awaitBodyWritten reports whether the request body was sent completely.
func (x *exchange) awaitBodyWritten() bool {
	t := time.NewTimer(requestBodyWait)
	defer t.Stop()
	select {
	case err := <-x.bodyWritten:
		return err == nil
	case <-t.C:
		return false
	}
}

func (x *exchange) releaseHeader() {
	x.c.ReleaseHeader(x.headerHeld)
	x.headerHeld = 0
}

func (x *exchange) close() {
	x.releaseHeader()
	x.stopCancel()
	x.c.Close()
}

// appendHead appends the request line and the header fields. The framing fields
// are derived only from the body, so a request cannot carry two lengths.
func appendHead(b []byte, out *outgoingRequest) []byte {
	b = append(b, out.method...)
	b = append(b, ' ')
	b = append(b, out.uri...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, out.host...)
	b = append(b, "\r\n"...)
	connection := out.header["Connection"]
	for key, values := range out.header {
		if out.extra.has(key) || toucancall.IsHopByHop(key, connection) {
			continue
		}
		for _, value := range values {
			b = appendField(b, key, value)
		}
	}
	for _, f := range out.extra {
		if f.value != "" {
			b = appendField(b, f.key, f.value)
		}
	}
	b = out.body.appendFraming(b)
	return append(b, "\r\n"...)
}

func appendField(b []byte, key, value string) []byte {
	b = append(b, key...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

const (
	copyBufferBytes = 32 << 10
	// chunkOverheadBytes is the space for the size line and the end of one
	// chunk.
	chunkOverheadBytes = 16
)

// inboundBody is the body of an inbound request. A short body is read
// completely before the request is forwarded, so that a slow sender holds no
// slot and a request whose body breaks off is not run.
type inboundBody struct {
	rest     io.Reader // unread rest of the body; nil if prefix holds the whole body
	length   int64     // -1 if unknown
	prefix   []byte
	trailer  http.Header // announced trailer fields; their values are set at the end of the body
	consumed bool        // reading of rest has begun, so the body cannot be sent again

	sender     *senderReader         // nil for an empty body
	streamDone chan struct{}         // closed when the goroutine that streams the body ends
	senderErr  atomic.Pointer[error] // why the body could not be read from the sender
}

func (b *inboundBody) isBuffered() bool { return b == nil || b.rest == nil }

// replayable reports whether the body can be sent again.
func (b *inboundBody) replayable() bool { return b.isBuffered() || !b.consumed }

// release ends the goroutine that streams the body. The goroutine may read on
// for the linger time, because a sender may lose the answer if its connection
// is closed while it sends.
func (b *inboundBody) release(linger time.Duration) {
	if b == nil || b.streamDone == nil {
		return
	}
	t := time.NewTimer(linger)
	defer t.Stop()
	select {
	case <-b.streamDone:
		return
	case <-t.C:
	}
	b.sender.stop()
	<-b.streamDone
}

// discardRest reads and drops the rest of the body after the next hop has
// stopped reading it.
func (b *inboundBody) discardRest() {
	buf := make([]byte, copyBufferBytes)
	for {
		if _, err := b.rest.Read(buf); err != nil {
			return
		}
	}
}

// fullyRead reports whether the body was read from the sender to its end.
func (b *inboundBody) fullyRead() bool { return b.isBuffered() || b.sender.reachedEnd.Load() }

// senderFailure returns why the body could not be read from the sender, or nil.
func (b *inboundBody) senderFailure() error {
	if b == nil {
		return nil
	}
	if err := b.senderErr.Load(); err != nil {
		return *err
	}
	return nil
}

// fitsOneWrite reports whether the whole body is buffered and needs no chunked
// encoding, so that it can be written together with the header.
func (b *inboundBody) fitsOneWrite() bool { return b == nil || b.rest == nil && len(b.trailer) == 0 }

func (b *inboundBody) chunked() bool { return b.length < 0 || len(b.trailer) > 0 }

func (b *inboundBody) appendFraming(head []byte) []byte {
	if b == nil {
		return head
	}
	if b.chunked() {
		if len(b.trailer) > 0 {
			head = append(append(head, "Trailer: "...), trailerNames(b.trailer)...)
			head = append(head, "\r\n"...)
		}
		return append(head, "Transfer-Encoding: chunked\r\n"...)
	}
	head = append(head, "Content-Length: "...)
	head = strconv.AppendInt(head, b.length, 10)
	return append(head, "\r\n"...)
}

func trailerNames(h http.Header) string {
	names := make([]string, 0, len(h))
	for name := range h {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// copyTo streams the body to the next hop. It records a read error of the
// sender, so that it is told apart from a write error of the connection.
func (b *inboundBody) copyTo(w io.Writer) error {
	bw := bufio.NewWriterSize(w, copyBufferBytes)
	buf := make([]byte, copyBufferBytes-chunkOverheadBytes)
	var rest io.Reader = bytes.NewReader(b.prefix)
	if b.rest != nil {
		rest = io.MultiReader(rest, b.rest)
	}
	for {
		n, err := rest.Read(buf)
		if n > 0 {
			if err := b.writePiece(bw, buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			if !errors.Is(err, errReadStopped) {
				b.senderErr.Store(&err)
			}
			return err
		}
	}
	if b.chunked() {
		if err := b.writeLastChunk(bw); err != nil {
			return err
		}
	}
	return bw.Flush()
}

func (b *inboundBody) writePiece(w *bufio.Writer, p []byte) error {
	if b.chunked() {
		fmt.Fprintf(w, "%x\r\n", len(p))
		w.Write(p)
		w.WriteString("\r\n")
	} else {
		w.Write(p)
	}
	return w.Flush()
}

func (b *inboundBody) writeLastChunk(w *bufio.Writer) error {
	w.WriteString("0\r\n")
	if err := b.trailer.Write(w); err != nil {
		return err
	}
	_, err := w.WriteString("\r\n")
	return err
}
