package toucanserve

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxPipelined bounds the unanswered requests of one connection; reading
	// stops at the bound.
	maxPipelined = 32
	// headerSlack is what a header may exceed its limit by: request line and
	// line ends count differently for different parties.
	headerSlack = 4 << 10
	// bodyStall bounds the time that a request body may take.
	bodyStall = 10 * time.Second
	// idleSlack keeps a connection open longer than callers reuse it.
	idleSlack = time.Second
	// headRoom is the space that most response headers fit in.
	headRoom = 512
	// lingerTime lets a caller read the last response before its unread bytes
	// would reset the connection.
	lingerTime = 500 * time.Millisecond
)

// conn is one connection of a caller. One goroutine reads requests; each
// request runs in a goroutine of its own and writes its response after the
// response before it.
type conn struct {
	server *Server
	nc     net.Conn
	r      bufio.Reader
	budget int // bytes that may still be read of a header
	ctx    context.Context
	cancel context.CancelFunc

	last chan struct{} // closed when the newest request was answered

	mu      sync.Mutex
	pending int  // requests read and not answered
	closing bool // the last response was written or announced
}

var (
	errHeaderTooLarge = errors.New("request header is too large")
	errBodyTooLarge   = errors.New("request body is too large")
)

// meteredReader bounds the bytes of a request header.
type meteredReader struct{ c *conn }

func (m *meteredReader) Read(p []byte) (int, error) {
	if m.c.budget <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := m.c.nc.Read(p)
	m.c.budget -= n
	return n, err
}

func (c *conn) serve() {
	defer c.server.forget(c)
	defer c.finish()
	for c.next() {
	}
}

// finish waits until the responses of the requests in progress are written,
// unless the caller has gone.
func (c *conn) finish() {
	<-c.last
	c.cancel()
	if tcp, ok := c.nc.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		c.nc.SetReadDeadline(time.Now().Add(lingerTime))
		io.Copy(io.Discard, c.nc)
	}
	c.nc.Close()
}

// next reads one request and starts it. It reports whether another may follow.
func (c *conn) next() bool {
	c.budget = math.MaxInt
	c.awaitIdle()
	if _, err := c.r.Peek(1); err != nil {
		c.leave()
		return false
	}
	b := c.server.Bounds()
	c.setReading(b.HeaderTimeout)
	c.budget = b.HeaderBytes + headerSlack
	hr, err := http.ReadRequest(&c.r)
	if err != nil {
		c.reject(err)
		return false
	}
	c.budget = math.MaxInt
	arrived := time.Now()
	body, err := c.readBody(hr, b)
	if err != nil {
		c.reject(err)
		return false
	}
	uri := hr.RequestURI
	if !strings.HasPrefix(uri, "/") { // absolute form
		uri = hr.URL.RequestURI()
	}
	path, _, _ := strings.Cut(uri, "?")
	r := &Request{
		Method: hr.Method, URI: uri, Path: path, Host: hr.Host,
		Header: hr.Header, Body: body, Arrived: arrived,
	}
	return c.start(r, hr.Close)
}

// start runs the request unless the connection is closing.
func (c *conn) start(r *Request, last bool) bool {
	prev, done := c.last, make(chan struct{})
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		c.server.held.Add(-int64(len(r.Body)))
		return false
	}
	c.pending++
	full := c.pending >= maxPipelined
	c.mu.Unlock()
	c.last = done
	c.server.active.Add(1)
	go c.run(r, prev, done, last)
	if full {
		<-done
	}
	return !last
}

func (c *conn) run(r *Request, prev <-chan struct{}, done chan struct{}, last bool) {
	defer close(done)
	defer c.server.active.Add(-1)
	resp := c.server.Handler(c.ctx, r)
	c.server.held.Add(-int64(len(r.Body)))
	<-prev
	c.answer(r, resp, last)
}

// answer writes the response. The connection stays open unless the caller or
// the handler wants it closed, or the server is draining and no further request
// was read.
func (c *conn) answer(r *Request, resp *Response, last bool) {
	c.mu.Lock()
	c.pending--
	if c.closing {
		c.mu.Unlock()
		return
	}
	if resp == nil || last || c.server.draining.Load() && c.pending == 0 {
		c.closing = true
	}
	closing, idle := c.closing, c.pending == 0
	c.mu.Unlock()
	var err error
	if resp != nil {
		c.nc.SetWriteDeadline(time.Now().Add(bodyStall))
		_, err = c.nc.Write(encode(r, resp, closing))
	}
	switch {
	case err != nil:
		c.cancel()
		c.nc.Close()
	case closing:
		c.nc.SetReadDeadline(time.Unix(1, 0)) // wakes the reader
	case idle:
		c.awaitIdle()
	}
}

// awaitIdle bounds the wait for the next request, if none is in progress.
func (c *conn) awaitIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closing:
	case c.pending > 0:
		c.nc.SetReadDeadline(time.Time{})
	default:
		c.nc.SetReadDeadline(time.Now().Add(c.server.Bounds().IdleTimeout + idleSlack))
	}
}

func (c *conn) setReading(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		c.nc.SetReadDeadline(time.Now().Add(d))
	}
}

// leave ends the requests in progress when the caller has closed the connection.
func (c *conn) leave() {
	c.mu.Lock()
	closing := c.closing
	c.closing = true
	c.mu.Unlock()
	if !closing {
		c.cancel()
	}
}

// reject ends a connection on which no whole request could be read. A caller
// that has gone gets no answer.
func (c *conn) reject(err error) {
	var ne net.Error
	switch {
	case errors.Is(err, errHeaderTooLarge):
		c.refuse(http.StatusRequestHeaderFieldsTooLarge)
	case errors.Is(err, errBodyTooLarge):
		c.refuse(http.StatusRequestEntityTooLarge)
	case errors.Is(err, errBufferFull):
		c.refuse(http.StatusServiceUnavailable)
	case errors.As(err, &ne) && ne.Timeout():
		c.refuse(http.StatusRequestTimeout)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &ne):
		c.leave()
	default:
		c.refuse(http.StatusBadRequest)
	}
}

// refuse answers a request that was not read whole, after the requests before
// it, and closes the connection.
func (c *conn) refuse(status int) {
	<-c.last
	h := http.Header{}
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(c.server.RetryAfter.Seconds(), 'f', 2, 64))
	}
	c.mu.Lock()
	c.pending++
	c.mu.Unlock()
	c.answer(&Request{}, &Response{Status: status, Header: h}, true)
}

var errBufferFull = errors.New("too many request bodies are held")

// readBody reads the whole body, so that a slow sender holds no slot of a
// backend server and the request can be sent again.
func (c *conn) readBody(hr *http.Request, b Bounds) ([]byte, error) {
	if hr.Body == nil || hr.Body == http.NoBody {
		return nil, nil
	}
	if hr.ContentLength > b.BodyBytes {
		return nil, errBodyTooLarge
	}
	if strings.EqualFold(hr.Header.Get("Expect"), "100-continue") {
		<-c.last
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, err
		}
	}
	c.setReading(bodyStall)
	if hr.ContentLength < 0 {
		return c.readChunked(hr.Body, b.BodyBytes)
	}
	if !c.hold(hr.ContentLength) {
		return nil, errBufferFull
	}
	body := make([]byte, hr.ContentLength)
	if _, err := io.ReadFull(hr.Body, body); err != nil {
		c.server.held.Add(-hr.ContentLength)
		return nil, err
	}
	return body, nil
}

func (c *conn) readChunked(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, min(limit, c.server.BufferBytes)+1))
	switch {
	case err != nil:
		return nil, err
	case int64(len(body)) > limit:
		return nil, errBodyTooLarge
	case !c.hold(int64(len(body))):
		return nil, errBufferFull
	}
	return body, nil
}

// hold counts the bytes of a body in, unless the server holds too many.
func (c *conn) hold(n int64) bool {
	if c.server.held.Add(n) > c.server.BufferBytes {
		c.server.held.Add(-n)
		return false
	}
	return true
}

// encode returns the bytes of a response, so that it goes out in one write.
func encode(r *Request, resp *Response, closing bool) []byte {
	b := make([]byte, 0, headRoom+len(resp.Body))
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(resp.Status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(resp.Status)...)
	b = append(b, "\r\n"...)
	for key, values := range resp.Header {
		if key == "Content-Length" && (r.Method != http.MethodHead || len(resp.Body) > 0) {
			continue
		}
		for _, v := range values {
			b = append(b, key...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if closing {
		b = append(b, "Connection: close\r\n"...)
	}
	bodyless := r.Method == http.MethodHead || resp.Status == http.StatusNoContent || resp.Status == http.StatusNotModified
	if !bodyless {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(resp.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	if !bodyless {
		b = append(b, resp.Body...)
	}
	return b
}
