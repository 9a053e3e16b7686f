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

	"toucanhaven/toucancall"
	"toucanhaven/toucanledger"
	"toucanhaven/toucanmemory"
)

const (
	// maxPipelined is the number of unanswered requests of one connection at which
	// the server stops reading from it.
	maxPipelined = 32
	// headerSlack is the number of bytes by which a header may exceed its limit,
	// because clients and servers count the request line and line ends differently.
	headerSlack = 4 << 10
	// bodyTimeout is the longest wait for the next bytes of a request body.
	bodyTimeout = 10 * time.Second
	// requestBytes is the memory of a request that is handled beside another one of its
	// connection: its goroutine, and its header up to the part that is free.
	requestBytes = 16 << 10
	// maxHeldBehind is the memory of a connection from which on its next request is handled
	// only when the ones before are answered.
	maxHeldBehind = 256 << 10
	// idleSlack is added to the idle timeout, so that the server keeps a connection
	// open for longer than callers reuse it.
	idleSlack = time.Second
	// headerCapacity is the initial buffer size for a response header, which is
	// enough for most headers.
	headerCapacity = 512
	// maxCopiedBody is the size up to which a response body is copied, to send it in
	// one write with the header.
	maxCopiedBody = 16 << 10
	// lingerTimeout is how long the server discards further bytes of the caller
	// before it closes a connection. Closing a connection with unread bytes would
	// reset it before the caller has read the last response.
	lingerTimeout = 500 * time.Millisecond
)

// conn is a connection of a caller. One goroutine reads the requests. Each request
// is handled in its own goroutine, which writes the response once the response to
// the request before is written.
type conn struct {
	server       *Server
	nc           *toucanledger.Conn
	r            bufio.Reader
	headerBudget int // number of bytes that may still be read of a header
	header       toucanmemory.Header
	ctx          context.Context
	cancel       context.CancelFunc

	lastDone chan struct{} // closed when the newest request has been answered

	mu      sync.Mutex
	pending int  // number of requests read and not answered
	closing bool // no further response will be started
}

var errHeaderTooLarge = errors.New("request header is too large")

// limitedReader limits the number of bytes of a request header.
type limitedReader struct{ c *conn }

func (m *limitedReader) Read(p []byte) (int, error) {
	if m.c.headerBudget <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := m.c.nc.Read(p)
	m.c.headerBudget -= n
	if err := m.c.header.Count(p[:n]); err != nil {
		return n, err
	}
	return n, err
}

// serve reads and handles requests until the connection ends.
func (c *conn) serve() {
	defer c.server.removeConn(c)
	defer c.awaitResponsesAndClose()
	for c.readNext() {
	}
}

// awaitResponsesAndClose waits until all requests that were read have been handled
// and closes the connection.
func (c *conn) awaitResponsesAndClose() {
	<-c.lastDone
	c.cancel()
	if c.nc.CloseWrite() == nil {
		c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
		io.Copy(io.Discard, c.nc)
	}
	c.nc.Close()
}

// readNext reads one request and starts its handler. It reports whether another
// request may follow.
func (c *conn) readNext() bool {
	c.headerBudget = math.MaxInt
	c.setIdleDeadline()
	if _, err := c.r.Peek(1); err != nil {
		c.handleCallerClose()
		return false
	}
	c.nc.AwaitInput()
	b := c.server.Bounds()
	c.setReadTimeout(b.HeaderTimeout)
	hr, headerHeld, err := c.readHeader(b)
	if err != nil {
		c.handleReadError(err)
		return false
	}
	arrived := time.Now()
	body, bodyHeld, err := c.readBody(hr, b)
	if err != nil {
		c.nc.Memory().Release(headerHeld)
		c.handleReadError(err)
		return false
	}
	uri := hr.RequestURI
	if !strings.HasPrefix(uri, "/") { // the request target is in absolute form
		uri = hr.URL.RequestURI()
	}
	path, _, _ := strings.Cut(uri, "?")
	r := &Request{
		Method: hr.Method, URI: uri, Path: path, Host: hr.Host,
		Header: hr.Header, Body: body, Arrived: arrived, conn: c, held: headerHeld + bodyHeld,
	}
	return c.startRequest(r, hr.Close)
}

// readHeader reads the header of a request and returns the bytes of memory that it
// holds.
func (c *conn) readHeader(b Bounds) (hr *http.Request, held int64, err error) {
	c.headerBudget = b.HeaderBytes + headerSlack
	c.header.Start(c.nc.Memory(), nil)
	buffered, _ := c.r.Peek(c.r.Buffered())
	if err = c.header.Count(buffered); err == nil {
		hr, err = http.ReadRequest(&c.r)
	}
	if err != nil {
		c.header.Release()
		return nil, 0, err
	}
	c.headerBudget = math.MaxInt
	return hr, c.header.Take(), nil
}

// startRequest starts the handler of a request unless the connection is closing. If there is no
// memory to handle it beside the requests before, it waits until those are answered. With
// maxPipelined unanswered requests, it waits until this one is answered. It reports whether
// another request may follow.
func (c *conn) startRequest(r *Request, closeAfter bool) bool {
	prev, done := c.lastDone, make(chan struct{})
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		c.nc.Memory().Release(r.held)
		return false
	}
	r.Pipelined = c.pending > 0
	c.pending++
	full := c.pending >= maxPipelined
	c.nc.EndInput()
	c.mu.Unlock()
	c.lastDone = done
	c.server.activeRequests.Add(1)
	if r.Pipelined && !c.reserveBeside(r) {
		c.nc.PauseInput()
		<-prev
		if c.isClosing() {
			c.endRequest(r, done)
			return false
		}
	}
	c.server.workers.run(func() { c.handleRequest(r, prev, done, closeAfter) })
	if full {
		c.nc.PauseInput()
		<-done
	}
	return !closeAfter
}

// reserveBeside takes memory for the handling of a request beside others of the connection. It
// returns false if they hold so much that it has to wait for them.
func (c *conn) reserveBeside(r *Request) bool {
	memory := c.nc.Memory()
	if memory.Used()-r.held > maxHeldBehind || !memory.Reserve(requestBytes) {
		return false
	}
	r.held += requestBytes
	return true
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// endRequest ends a request that is not handled, because its connection is closing.
func (c *conn) endRequest(r *Request, done chan struct{}) {
	c.nc.Memory().Release(r.held)
	c.server.activeRequests.Add(-1)
	close(done)
}

// handleRequest runs the handler and writes the response once prev is closed.
func (c *conn) handleRequest(r *Request, prev <-chan struct{}, done chan struct{}, closeAfter bool) {
	defer close(done)
	defer c.server.activeRequests.Add(-1)
	resp := c.takeMemory(r, c.server.Handler(c.ctx, r))
	defer c.releaseMemory(r, resp)
	<-prev
	c.writeResponse(r, resp, closeAfter)
}

// takeMemory exchanges the memory of a request for that of its response. If there is too little
// and the handler has not taken it, it returns another response, which promises nothing.
func (c *conn) takeMemory(r *Request, resp *Response) *Response {
	c.nc.Memory().Release(r.held)
	if resp == nil {
		r.ReleaseAnswer()
		return nil
	}
	if !r.TakeAnswer(resp) {
		resp.counted.Release()
		resp = NewResponse(http.StatusBadGateway, nil, nil)
	}
	r.releaseSurplus(resp)
	c.nc.Share(resp.counted.Bytes())
	return resp
}

// releaseMemory releases the memory of a response that has been written.
func (c *conn) releaseMemory(r *Request, resp *Response) {
	r.ReleaseAnswer()
	if resp != nil {
		c.nc.Share(-resp.counted.Bytes())
		resp.counted.Release()
	}
}

// writeResponse writes the response, or nothing if the connection is already
// closing. It then closes the connection if closeAfter is set, if the response is
// nil, or if the server is draining and no further request has been read.
func (c *conn) writeResponse(r *Request, resp *Response, closeAfter bool) {
	c.mu.Lock()
	c.pending--
	if c.closing {
		c.mu.Unlock()
		return
	}
	if resp == nil || closeAfter || c.server.draining.Load() && c.pending == 0 {
		c.closing = true
	}
	closing, idle := c.closing, c.pending == 0
	c.mu.Unlock()
	var err error
	if resp != nil {
		err = c.send(r, resp, closing)
	}
	switch {
	case err != nil:
		c.cancel()
		c.nc.Close()
	case closing:
		c.nc.SetReadDeadline(time.Unix(1, 0)) // interrupts the reading goroutine
	case idle:
		c.setIdleDeadline()
	}
}

// setIdleDeadline sets the deadline for the start of the next request: the idle
// timeout, or none while requests are in progress.
func (c *conn) setIdleDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closing:
	case c.pending > 0:
		c.nc.SetReadDeadline(time.Time{})
	default:
		c.nc.AwaitInput()
		c.nc.SetReadDeadline(time.Now().Add(c.server.Bounds().IdleTimeout + idleSlack))
	}
}

// setReadTimeout sets the read deadline unless the connection is closing.
func (c *conn) setReadTimeout(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		c.nc.SetReadDeadline(time.Now().Add(d))
	}
}

// handleCallerClose cancels the requests in progress after the caller closed the
// connection.
func (c *conn) handleCallerClose() {
	c.mu.Lock()
	closing := c.closing
	c.closing = true
	c.mu.Unlock()
	if !closing {
		c.cancel()
	}
}

// handleReadError ends a connection on which no complete request could be read. It
// sends a response unless the caller closed the connection.
func (c *conn) handleReadError(err error) {
	var ne net.Error
	switch {
	case errors.Is(err, errHeaderTooLarge):
		c.refuseRequest(http.StatusRequestHeaderFieldsTooLarge)
	case errors.Is(err, toucanmemory.ErrTooLarge):
		c.refuseRequest(http.StatusRequestEntityTooLarge)
	case errors.Is(err, toucanmemory.ErrExhausted):
		c.refuseRequest(http.StatusServiceUnavailable)
	case errors.As(err, &ne) && ne.Timeout():
		c.refuseRequest(http.StatusRequestTimeout)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &ne):
		c.handleCallerClose()
	default:
		c.refuseRequest(http.StatusBadRequest)
	}
}

// refuseRequest sends a response to a request that was not read completely, after
// the responses to earlier requests, and closes the connection.
func (c *conn) refuseRequest(status int) {
	<-c.lastDone
	c.mu.Lock()
	c.pending++
	c.mu.Unlock()
	c.writeResponse(&Request{}, c.newUnreadResponse(status), true)
}

// newUnreadResponse returns the response to a request that no handler was given.
func (c *conn) newUnreadResponse(status int) *Response {
	if !toucancall.PromisesNotRun(status) {
		return NewResponse(status, nil, nil)
	}
	proof, _ := toucancall.NewAttempts().ProveNotRun()
	retryAfter := time.Duration(0)
	if status == http.StatusServiceUnavailable {
		retryAfter = c.server.RetryAfter
	}
	return NewRefusal(status, proof, retryAfter)
}

// readBody reads the complete body and returns the bytes of memory that it holds.
// A slow sender then takes no slot of a backend server while it sends, and the request can
// be retried.
func (c *conn) readBody(hr *http.Request, b Bounds) (body []byte, held int64, err error) {
	if hr.Body == nil || hr.Body == http.NoBody {
		return nil, 0, nil
	}
	if hr.ContentLength > b.BodyBytes {
		return nil, 0, toucanmemory.ErrTooLarge
	}
	if strings.EqualFold(hr.Header.Get("Expect"), "100-continue") {
		<-c.lastDone
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, 0, err
		}
	}
	c.setReadTimeout(bodyTimeout)
	return toucanmemory.Reader{Budget: c.nc.Memory(), Limit: b.BodyBytes}.ReadAll(bodyReader{hr.Body, c}, hr.ContentLength)
}

// bodyReader reads a request body, for as long as the caller makes progress.
type bodyReader struct {
	io.Reader
	c *conn
}

func (r bodyReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.c.nc.CountInput(n)
		r.c.setReadTimeout(bodyTimeout)
	}
	return n, err
}

// send writes a response. A small body is sent in one write with the header, a large one
// is not copied.
func (c *conn) send(r *Request, resp *Response, closing bool) error {
	bodyless := r.Method == http.MethodHead || resp.status == http.StatusNoContent || resp.status == http.StatusNotModified
	b := appendHeader(make([]byte, 0, headerCapacity+min(len(resp.body), maxCopiedBody)), r, resp, closing, bodyless)
	if bodyless || len(resp.body) <= maxCopiedBody {
		if !bodyless {
			b = append(b, resp.body...)
		}
		_, err := c.nc.Write(b)
		return err
	}
	if _, err := c.nc.Write(b); err != nil {
		return err
	}
	_, err := c.nc.Write(resp.body)
	return err
}

// appendHeader appends the status line and the header of a response.
func appendHeader(b []byte, r *Request, resp *Response, closing, bodyless bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(resp.status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(resp.status)...)
	b = append(b, "\r\n"...)
	for key, values := range resp.header {
		if key == "Content-Length" && (r.Method != http.MethodHead || len(resp.body) > 0) {
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
	if !bodyless {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(resp.body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}
