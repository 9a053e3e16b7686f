package toucannode

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	dialTimeout = time.Second
	// peerIdle is shorter than the idle timeout of the peer listener, and
	// backendIdle shorter than the common keep-alive timeout of 5 s, so that the
	// client side closes an idle connection first. A request that meets a
	// connection being closed by the server ends as unknown.
	peerIdle    = 60 * time.Second
	backendIdle = 4 * time.Second
	// maxIdlePerAddress bounds the connections kept for one address.
	maxIdlePerAddress = 2048
	// maxAnswerHeaderBytes bounds the header of an answer, so that a faulty
	// server cannot fill the memory of its node.
	maxAnswerHeaderBytes = 1 << 20
	readBufferBytes      = 4 << 10
)

// conn is a client connection that carries one request at a time. The package
// does not use http.Transport, because the outcome of a call depends on knowing
// exactly whether a byte was written, and because the transport repeats some
// requests by itself when a pooled connection turns out to be closed.
type conn struct {
	net.Conn
	addr      string
	raw       syscall.RawConn
	r         *bufio.Reader
	head      []byte // request header under construction
	budget    int64  // bytes that may still be read of an answer header
	idleSince time.Time
	open      bool // result of the last check of the idle connection
	check     func(fd uintptr) bool
}

var errHeaderTooLarge = errors.New("answer header is too large")

// Read bounds the bytes of an answer header; budget is negative for the body.
func (c *conn) Read(p []byte) (int, error) {
	if c.budget == 0 {
		return 0, errHeaderTooLarge
	}
	n, err := c.Conn.Read(p)
	if c.budget > 0 {
		c.budget = max(c.budget-int64(n), 0)
	}
	return n, err
}

// usable reports whether the peer has neither closed the idle connection nor
// sent anything on it.
func (c *conn) usable() bool {
	c.open = false
	if err := c.raw.Read(c.check); err != nil {
		return false
	}
	return c.open
}

func (c *conn) peek(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.open = errors.Is(err, syscall.EAGAIN)
	return true
}

// pool keeps idle connections by address.
type pool struct {
	maxIdle time.Duration
	now     func() time.Time

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

func newPool(maxIdle time.Duration, now func() time.Time) *pool {
	return &pool{maxIdle: maxIdle, now: now, idle: map[string][]*conn{}}
}

// get returns an idle connection or dials one. reused tells which.
func (p *pool) get(ctx context.Context, addr string, deadline time.Time) (c *conn, reused bool, err error) {
	for {
		c := p.pop(addr)
		if c == nil {
			break
		}
		if c.usable() {
			return c, true, nil
		}
		c.Close()
	}
	c, err = p.dial(ctx, addr, deadline)
	return c, false, err
}

func (p *pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[addr] = list[:len(list)-1]
	return c
}

func (p *pool) dial(ctx context.Context, addr string, deadline time.Time) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout, Deadline: deadline}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		nc.Close()
		return nil, err
	}
	c := &conn{Conn: nc, addr: addr, raw: raw}
	c.check = c.peek
	c.r = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

func (p *pool) put(c *conn) {
	c.idleSince = p.now()
	p.mu.Lock()
	list := p.idle[c.addr]
	full := p.closed || len(list) >= maxIdlePerAddress
	if !full {
		p.idle[c.addr] = append(list, c)
	}
	p.mu.Unlock()
	if full {
		c.Close()
	}
}

// closeIdle closes connections that have been idle for too long.
func (p *pool) closeIdle() {
	limit := p.now().Add(-p.maxIdle)
	p.closeWhere(func(c *conn) bool { return c.idleSince.Before(limit) })
}

// closeAddress closes the idle connections to one address.
func (p *pool) closeAddress(addr string) {
	p.closeWhere(func(c *conn) bool { return c.addr == addr })
}

// close closes all idle connections and keeps none from then on.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeWhere(func(*conn) bool { return true })
}

func (p *pool) closeWhere(match func(*conn) bool) {
	var drop []io.Closer
	p.mu.Lock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if match(c) {
				drop = append(drop, c)
			} else {
				kept = append(kept, c)
			}
		}
		clear(list[len(kept):])
		if p.idle[addr] = kept; len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
	p.mu.Unlock()
	for _, c := range drop {
		c.Close()
	}
}
