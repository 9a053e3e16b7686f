package toucanmesh

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"toucanhaven/toucanledger"
	"toucanhaven/toucanmemory"
)

const (
	// controlTimeout limits a request on the listeners for heartbeats, readiness checks and
	// metrics, controlIdleTimeout an idle connection, and maxControlHeader the header of a
	// request in bytes.
	controlTimeout     = 3 * time.Second
	controlIdleTimeout = 10 * time.Second
	maxControlHeader   = 8 << 10
	// peerBufferBytes is the size of each kernel buffer of a connection of another node.
	peerBufferBytes = 256 << 10
)

// serveHTTP serves an address with a handler in the background. What clients can make it hold is
// bounded. name tells the listener apart in the log.
func (n *Node) serveHTTP(name, address string, h http.Handler) error {
	l, err := n.listen(address, toucanledger.ControlBufferBytes)
	if err != nil {
		return err
	}
	ledger := toucanledger.New(toucanledger.Options{
		Name: name, Memory: &toucanmemory.Budget{}, Conns: n.limits.ControlConns, BufferBytes: toucanledger.ControlBufferBytes,
		Clock: n.clock, Log: n.log, OnClose: n.metrics.closedConn(name),
	})
	srv := &http.Server{
		Handler: h, ReadTimeout: controlTimeout, IdleTimeout: controlIdleTimeout, MaxHeaderBytes: maxControlHeader,
		ConnState: toucanledger.ConnState,
	}
	n.servers = append(n.servers, srv)
	go func() {
		err := srv.Serve(ledger.Listen(l))
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			n.logListenerError(err)
		}
	}()
	return nil
}

// newCallerLedger returns the ledger of the connections of callers.
func (n *Node) newCallerLedger() *toucanledger.Ledger {
	return toucanledger.New(toucanledger.Options{
		Name: "callers", Memory: n.bodies, Grow: n.runner.Grow, Conns: n.limits.CallerConns,
		KernelBytes: n.limits.KernelBytes, BufferBytes: n.limits.BufferBytes,
		Clock: n.clock, Log: n.log, OnClose: n.metrics.closedConn("callers"),
	})
}

// limitedListener accepts at most cap(free) connections at a time.
type limitedListener struct {
	net.Listener
	free      chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

func newLimitedListener(l net.Listener, conns int) *limitedListener {
	return &limitedListener{Listener: l, free: make(chan struct{}, conns), closed: make(chan struct{})}
}

func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.free <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.free
		return nil, err
	}
	return &limitedConn{Conn: c, release: sync.OnceFunc(func() { <-l.free })}, nil
}

func (l *limitedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	release func()
}

func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
