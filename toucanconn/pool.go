// Package toucanconn keeps client connections that carry one request at a time.
package toucanconn

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
	// DialTimeout bounds a connection attempt.
	DialTimeout = time.Second
	// maxIdlePerAddress bounds the connections kept for one address.
	maxIdlePerAddress = 2048
	// MaxHeaderBytes bounds the header of an answer, so that a faulty
	// server cannot fill the memory of its node.
	MaxHeaderBytes  = 1 << 20
	readBufferBytes = 4 << 10
)

// Conn is a client connection that carries one request at a time. The package
// does not use http.Transport, because the outcome of a call depends on knowing
// exactly whether a byte was written, and because the transport repeats some
// requests by itself when a pooled connection turns out to be closed.
type Conn struct {
	net.Conn
	addr       string
	raw        syscall.RawConn
	R          *bufio.Reader
	RequestBuf []byte // request header under construction
	budget     int64  // bytes that may still be read of an answer header
	idleSince  time.Time
	open       bool // result of the last check of the idle connection
	check      func(fd uintptr) bool
}

var errHeaderTooLarge = errors.New("answer header is too large")

// LimitHeader bounds the bytes that are read until LimitNone is called, so that
// a faulty server cannot fill the memory of its node.
func (c *Conn) LimitHeader() { c.budget = MaxHeaderBytes }

// RemoveHeaderLimit ends the bound of LimitHeader.
func (c *Conn) RemoveHeaderLimit() { c.budget = -1 }

// IdleSince returns when the connection was returned to its pool.
func (c *Conn) IdleSince() time.Time { return c.idleSince }

// Read bounds the bytes of an answer header; budget is negative for the body.
func (c *Conn) Read(p []byte) (int, error) {
	if c.budget == 0 {
		return 0, errHeaderTooLarge
	}
	n, err := c.Conn.Read(p)
	if c.budget > 0 {
		c.budget = max(c.budget-int64(n), 0)
	}
	return n, err
}

// Usable reports whether the peer has neither closed the idle connection nor
// sent anything on it.
func (c *Conn) Usable() bool {
	c.open = false
	if err := c.raw.Read(c.check); err != nil {
		return false
	}
	return c.open
}

func (c *Conn) peek(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.open = errors.Is(err, syscall.EAGAIN)
	return true
}

// Pool keeps idle connections by address.
type Pool struct {
	maxIdle time.Duration
	now     func() time.Time

	mu     sync.Mutex
	idle   map[string][]*Conn
	closed bool
}

// NewPool returns an empty pool that closes connections after an idle time.
func NewPool(maxIdle time.Duration, now func() time.Time) *Pool {
	return &Pool{maxIdle: maxIdle, now: now, idle: map[string][]*Conn{}}
}

// Get returns an idle connection or dials one. reused tells which.
func (p *Pool) Get(ctx context.Context, addr string, deadline time.Time) (c *Conn, reused bool, err error) {
	for {
		c := p.Pop(addr)
		if c == nil {
			break
		}
		if c.Usable() {
			return c, true, nil
		}
		c.Close()
	}
	c, err = p.dial(ctx, addr, deadline)
	return c, false, err
}

// Pop returns the connection to an address that was used last, or nil.
func (p *Pool) Pop(addr string) *Conn {
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

func (p *Pool) dial(ctx context.Context, addr string, deadline time.Time) (*Conn, error) {
	d := net.Dialer{Timeout: DialTimeout, Deadline: deadline}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		nc.Close()
		return nil, err
	}
	c := &Conn{Conn: nc, addr: addr, raw: raw}
	c.check = c.peek
	c.R = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

// Put returns a connection on which nothing is left to read.
func (p *Pool) Put(c *Conn) {
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

// CloseIdle closes connections that have been idle for too long.
func (p *Pool) CloseIdle() {
	limit := p.now().Add(-p.maxIdle)
	p.closeWhere(func(c *Conn) bool { return c.idleSince.Before(limit) })
}

// CloseAddress closes the idle connections to one address.
func (p *Pool) CloseAddress(addr string) {
	p.closeWhere(func(c *Conn) bool { return c.addr == addr })
}

// Close closes all idle connections and keeps none from then on.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeWhere(func(*Conn) bool { return true })
}

func (p *Pool) closeWhere(match func(*Conn) bool) {
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
