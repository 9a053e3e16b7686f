// Package toucanserve serves the HTTP/1.1 connections of callers.
//
// It handles pipelined requests concurrently and sends the responses in order. It
// detects that a caller closed the connection while requests are in progress. The
// net/http server doesn't detect this once a pipelined request has arrived.
package toucanserve

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"toucanhaven/toucanledger"
)

// Request is a request with its complete body.
type Request struct {
	Method  string
	URI     string // request target, without scheme and host
	Path    string // request target without query
	Host    string
	Header  http.Header
	Body    []byte
	Arrived time.Time
	// Pipelined is set if the request before on the connection had no response yet. The
	// response to this request follows that one.
	Pipelined bool

	conn         *conn
	held         int64 // bytes of memory that the header and the body hold
	answerMemory int64 // bytes of memory that are taken for the response
}

// ReserveAnswer takes memory for a response of a size, before the request runs. It returns
// false if there is too little, even after other connections have been closed. Bytes that the
// response does not need are released when the handler returns.
func (r *Request) ReserveAnswer(size int64) (ok bool) {
	need := size - r.answerMemory
	if need <= 0 || r.conn == nil {
		return true
	}
	if !r.conn.nc.Memory().Grow(r.answerMemory, need) {
		return false
	}
	r.answerMemory += need
	return true
}

// TakeAnswer takes the memory of a response beyond what has been reserved for it. It returns
// false if there is too little. The request may have run then.
func (r *Request) TakeAnswer(resp *Response) (ok bool) {
	return r.ReserveAnswer(resp.Memory() - resp.counted.Bytes())
}

// ReleaseAnswer releases the memory that ReserveAnswer took.
func (r *Request) ReleaseAnswer() { r.keepAnswerMemory(0) }

// releaseSurplus releases the memory that was reserved beyond what a response needs.
func (r *Request) releaseSurplus(resp *Response) {
	r.keepAnswerMemory(max(0, resp.Memory()-resp.counted.Bytes()))
}

// keepAnswerMemory releases the memory taken for the response beyond n bytes.
func (r *Request) keepAnswerMemory(n int64) {
	if surplus := r.answerMemory - n; surplus > 0 {
		r.conn.nc.Memory().Release(surplus)
		r.answerMemory = n
	}
}

// Handler handles a request. ctx ends when the caller closes the connection. If
// the handler returns nil, the server closes the connection without a response.
type Handler func(ctx context.Context, r *Request) *Response

// Bounds are the limits on the size of a request and on the time that a caller may
// take.
type Bounds struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Server serves HTTP connections with one handler.
type Server struct {
	Handler Handler
	Bounds  func() Bounds // called for each request
	// Ledger bounds what the connections hold. A request that does not fit into its memory
	// gets status 503.
	Ledger *toucanledger.Ledger
	// RetryAfter is the value of the Retry-After header in these 503 responses.
	RetryAfter time.Duration
	Logger     *slog.Logger

	draining       atomic.Bool
	activeRequests atomic.Int64 // number of requests without a response
	mu             sync.Mutex
	conns          map[*conn]struct{}
	listeners      []*toucanledger.Listener

	workersOnce  sync.Once
	workers      *workerPool
	closeWorkers sync.Once
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	s.startWorkers()
	entered := s.Ledger.Listen(l)
	s.mu.Lock()
	s.listeners = append(s.listeners, entered)
	s.mu.Unlock()
	for {
		nc, err := entered.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.Logger.Warn("accept failed", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		go s.newConn(nc.(*toucanledger.Conn)).serve()
	}
}

// acceptRetryDelay is the delay after a failed accept. It prevents a busy loop
// while the process has no free file descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// Drain starts a graceful shutdown: each connection is closed after the response
// to the last request that was read from it. An idle connection stays open until
// its next response or its idle timeout.
func (s *Server) Drain() { s.draining.Store(true) }

// CancelRequests ends the contexts of all requests in progress, as if their callers had closed
// the connections. Their responses are still sent, in order.
func (s *Server) CancelRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.cancel()
	}
}

// Close closes the listeners and all connections, and cancels their requests.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		l.Close()
	}
	for c := range s.conns {
		c.cancel()
		c.nc.Close()
	}
	s.startWorkers()
	s.closeWorkers.Do(s.workers.close)
}

// startWorkers creates the workers that handle requests.
func (s *Server) startWorkers() {
	s.workersOnce.Do(func() { s.workers = newWorkerPool() })
}

// Active returns the number of requests without a response.
func (s *Server) Active() int { return int(s.activeRequests.Load()) }

func (s *Server) newConn(nc *toucanledger.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{server: s, nc: nc, ctx: ctx, cancel: cancel}
	c.r.Reset(&limitedReader{c: c})
	c.lastDone = closedChan
	s.mu.Lock()
	if s.conns == nil {
		s.conns = make(map[*conn]struct{})
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	return c
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

var closedChan = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()
