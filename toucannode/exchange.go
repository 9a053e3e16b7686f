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
)

// outgoing is a request as it goes on the wire to the next hop.
type outgoing struct {
	method, uri, host string
	header            http.Header // end-to-end fields
	extra             fields      // fields of the hop, which replace those in header
	body              *inboundBody
	confirm           func() bool // asked directly before the first byte; nil when nothing depends on it
}

// errNotConfirmed ends a request that was no longer allowed to start.
var errNotConfirmed = errors.New("the idempotency key expired before the request was sent")

// fields are header fields with one value each; an empty value leaves the field
// out. A slice of about 15 fields takes a quarter of the memory of a map.
type fields []field

type field struct{ key, value string }

// hopFields is the capacity that the fields of one hop need.
const hopFields = 20

func (f *fields) set(key, value string) { *f = append(*f, field{key, value}) }

func (f fields) has(key string) bool {
	for i := range f {
		if f[i].key == key {
			return true
		}
	}
	return false
}

// sendError says how far a request came that has no answer.
type sendError struct {
	sent     bool // at least one byte of the request was written
	answered bool // an answer header arrived
	err      error
}

func (e *sendError) Error() string { return e.err.Error() }
func (e *sendError) Unwrap() error { return e.err }

// exchange is one request on one connection, from the moment that its answer
// header has arrived.
type exchange struct {
	pool    *toucanconn.Pool
	c       *toucanconn.Conn
	resp    *http.Response
	stop    func() bool // stops cancellation; false when it has fired
	writing chan error  // ends with the streamed body; nil without one
	whole   bool        // the answer was read to its end
}

var errUpgrade = errors.New("answer switches protocols, which the request did not ask for")

// interim receives answers with a status of 1xx.
type interim func(status int, h http.Header)

// send writes the request on a pooled or new connection and reads the answer
// header. The connection is interrupted when ctx ends or the deadline passes.
func send(ctx context.Context, p *toucanconn.Pool, deadline time.Time, addr string, out *outgoing, onInterim interim) (*exchange, error) {
	for {
		c, reused, err := p.Get(ctx, addr, deadline)
		if err != nil {
			return nil, &sendError{err: err}
		}
		x, err := sendOn(ctx, p, c, deadline, out, onInterim)
		var failure *sendError
		if reused && errors.As(err, &failure) && !failure.sent && failure.err != errNotConfirmed && ctx.Err() == nil && time.Now().Before(deadline) {
			continue // the pooled connection was closed before a byte was written
		}
		return x, err
	}
}

func sendOn(ctx context.Context, p *toucanconn.Pool, c *toucanconn.Conn, deadline time.Time, out *outgoing, onInterim interim) (x *exchange, err error) {
	if err := c.SetDeadline(deadline); err != nil {
		c.Close()
		return nil, &sendError{err: err}
	}
	x = &exchange{pool: p, c: c}
	x.stop = context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	if out.confirm != nil && !out.confirm() {
		x.close()
		return nil, &sendError{err: errNotConfirmed}
	}
	var sent atomic.Bool
	if err = x.write(out, &sent); err == nil {
		x.resp, err = readAnswer(c, out.method, onInterim)
	}
	if err == nil {
		return x, nil
	}
	x.close()
	if x.writing != nil && ctx.Err() != nil {
		// The server also cancels a request whose body cannot be read; the
		// goroutine that streams the body knows why.
		x.awaitWriting()
	}
	return nil, &sendError{sent: sent.Load(), answered: errors.Is(err, errUpgrade), err: err}
}

// write sends header and buffered body in one piece. The rest of a longer body
// is streamed by a goroutine, because the answer may start before it ends.
func (x *exchange) write(out *outgoing, sent *atomic.Bool) error {
	x.c.RequestBuf = appendHead(x.c.RequestBuf[:0], out)
	if out.body.plain() {
		if out.body != nil {
			x.c.RequestBuf = append(x.c.RequestBuf, out.body.prefix...)
		}
		return writeAll(x.c, x.c.RequestBuf, sent)
	}
	if err := writeAll(x.c, x.c.RequestBuf, sent); err != nil {
		return err
	}
	x.writing, out.body.released = make(chan error, 1), make(chan struct{})
	out.body.started = out.body.r != nil
	go func() {
		defer close(out.body.released)
		err := out.body.copyTo(x.c)
		if out.body.failure() != nil {
			x.c.Close() // the rest of the body will never come
		}
		x.writing <- err
		if err != nil && out.body.failure() == nil && out.body.r != nil {
			out.body.discard()
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

func readAnswer(c *toucanconn.Conn, method string, onInterim interim) (*http.Response, error) {
	c.LimitHeader()
	for {
		resp, err := http.ReadResponse(c.R, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errUpgrade
		case resp.StatusCode >= 200:
			c.RemoveHeaderLimit()
			return resp, nil
		case resp.StatusCode != http.StatusContinue && onInterim != nil:
			onInterim(resp.StatusCode, resp.Header)
		}
	}
}

// read reads the body of the answer and notes its end.
func (x *exchange) read(p []byte) (int, error) {
	n, err := x.resp.Body.Read(p)
	if err == io.EOF {
		x.whole = true
	}
	return n, err
}

// buffered reports whether a read would return at once.
func (x *exchange) buffered() bool { return x.c.R.Buffered() > 0 }

// finish returns the connection to the pool when nothing is left on it, and
// closes it otherwise.
func (x *exchange) finish(body *inboundBody) {
	clean := x.whole && !x.resp.Close
	if x.writing != nil {
		clean = clean && body.readToEnd() && x.awaitWriting()
	}
	clean = x.stop() && clean && x.c.R.Buffered() == 0
	if clean && x.c.SetDeadline(time.Time{}) == nil {
		x.pool.Put(x.c)
		return
	}
	x.close()
}

// lastWrite is the time that the end of a request body may take after the
// answer has ended. A server that does not read it is not waited for.
const lastWrite = 50 * time.Millisecond

// awaitWriting reports whether the body was sent whole.
func (x *exchange) awaitWriting() bool {
	t := time.NewTimer(lastWrite)
	defer t.Stop()
	select {
	case err := <-x.writing:
		return err == nil
	case <-t.C:
		return false
	}
}

func (x *exchange) close() {
	x.stop()
	x.c.Close()
}

// appendHead writes request line and header fields. Framing follows from the
// body alone, so a request can never carry two lengths.
func appendHead(b []byte, out *outgoing) []byte {
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
	// chunkOverhead is the space for the size line and the end of one chunk.
	chunkOverhead = 16
)

// inboundBody is the body of a request on its way through the node. A short
// body is read whole before the request goes on, so that a slow sender holds no
// slot and a body that breaks off ends as not run.
type inboundBody struct {
	r       io.Reader // rest of the body; nil when prefix holds it all
	length  int64     // -1 when unknown
	prefix  []byte
	trailer http.Header // announced trailer fields, filled at the end of the body
	started bool        // bytes of r were consumed, so the body cannot be sent again

	sender   *senderReader         // nil when the body is plain
	released chan struct{}         // closed when the goroutine that streams the body ended
	err      atomic.Pointer[error] // failure of the sender
}

func (b *inboundBody) whole() bool { return b == nil || b.r == nil }

// repeatable reports whether the body can be sent again.
func (b *inboundBody) repeatable() bool { return b.whole() || !b.started }

// release ends the goroutine that streams the body. For the linger time it may
// read on, because a sender whose connection is closed while it sends may lose
// the answer.
func (b *inboundBody) release(linger time.Duration) {
	if b == nil || b.released == nil {
		return
	}
	t := time.NewTimer(linger)
	defer t.Stop()
	select {
	case <-b.released:
		return
	case <-t.C:
	}
	b.sender.stop()
	<-b.released
}

// discard reads the rest of the body after the next hop stopped taking it.
func (b *inboundBody) discard() {
	buf := make([]byte, copyBufferBytes)
	for {
		if _, err := b.r.Read(buf); err != nil {
			return
		}
	}
}

// readToEnd reports whether nothing is left to read from the sender.
func (b *inboundBody) readToEnd() bool { return b.whole() || b.sender.ended.Load() }

// failure returns why the sender's body could not be read, or nil.
func (b *inboundBody) failure() error {
	if b == nil {
		return nil
	}
	if err := b.err.Load(); err != nil {
		return *err
	}
	return nil
}

// plain reports whether the body is at hand and needs no chunks.
func (b *inboundBody) plain() bool { return b == nil || b.r == nil && len(b.trailer) == 0 }

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

// copyTo streams the body to the next hop. A failure of the sender is kept
// apart from a failure of the connection.
func (b *inboundBody) copyTo(w io.Writer) error {
	bw := bufio.NewWriterSize(w, copyBufferBytes)
	buf := make([]byte, copyBufferBytes-chunkOverhead)
	var rest io.Reader = bytes.NewReader(b.prefix)
	if b.r != nil {
		rest = io.MultiReader(rest, b.r)
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
			if !errors.Is(err, errStopped) {
				b.err.Store(&err)
			}
			return err
		}
	}
	if b.chunked() {
		if err := b.writeEnd(bw); err != nil {
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

func (b *inboundBody) writeEnd(w *bufio.Writer) error {
	w.WriteString("0\r\n")
	if err := b.trailer.Write(w); err != nil {
		return err
	}
	_, err := w.WriteString("\r\n")
	return err
}
