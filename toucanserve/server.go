// Package toucanserve serves the HTTP/1.1 connections of callers. It runs
// pipelined requests side by side, answers them in order, and notices a caller
// that leaves while requests are waiting, which net/http does not do behind a
// pipelined request.
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
)

// Request is one request with its whole body.
type Request struct {
	Method  string
	URI     string // request target, without scheme and host
	Path    string // request target without query
	Host    string
	Header  http.Header
	Body    []byte
	Arrived time.Time
}

// Response is a whole response. A nil Response closes the connection.
type Response struct {
	Status int
	Header http.Header // end-to-end fields; framing is set by the server
	Body   []byte
}

// Handler answers a request. ctx ends when the caller leaves.
type Handler func(ctx context.Context, r *Request) *Response

// Bounds is what a caller may send and how long it may take.
type Bounds struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Server accepts connections for one handler.
type Server struct {
	Handler Handler
	Bounds  func() Bounds
	// BufferBytes bounds the request bodies held at the same time.
	BufferBytes int64
	// RetryAfter is sent with the server's own refusals.
	RetryAfter time.Duration
	Logger     *slog.Logger

	draining atomic.Bool
	held     atomic.Int64 // bytes of request bodies
	active   atomic.Int64 // requests without an answer
	mu       sync.Mutex
	conns    map[*conn]struct{}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.Logger.Warn("accept failed", "err", err)
			time.Sleep(acceptPause)
			continue
		}
		go s.newConn(nc).serve()
	}
}

// acceptPause keeps a lack of descriptors from turning into a busy loop.
const acceptPause = 10 * time.Millisecond

// Drain marks the connections to be closed after their next response.
func (s *Server) Drain() { s.draining.Store(true) }

// Close closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.cancel()
		c.nc.Close()
	}
}

// Active returns the number of requests that have no answer yet.
func (s *Server) Active() int { return int(s.active.Load()) }

func (s *Server) newConn(nc net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{server: s, nc: nc, ctx: ctx, cancel: cancel}
	c.r.Reset(&meteredReader{c: c})
	c.last = closedChan
	s.mu.Lock()
	if s.conns == nil {
		s.conns = make(map[*conn]struct{})
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	return c
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

var closedChan = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()
