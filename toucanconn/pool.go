// Package toucanconn implements a pool of client connections that carry one request
// at a time.
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

	"toucanhaven/toucanmemory"
)

const (
	// DialTimeout is the time allowed for one connection attempt.
	DialTimeout = time.Second
	// maxIdlePerAddress bounds the idle connections to one address.
	maxIdlePerAddress = 2048
	// MaxHeaderBytes bounds a response header, so that a faulty server cannot exhaust
	// the memory of its node.
	MaxHeaderBytes  = 64 << 10
	readBufferBytes = 4 << 10
)

// Conn is a client connection that carries one request at a time. The package
// does not use http.Transport for two reasons: the outcome of a call depends on
// whether a byte was written, which the transport does not tell, and the transport
// retries some requests itself if a pooled connection turns out to be closed.
type Conn struct {
	net.Conn
	addr       string
	raw        syscall.RawConn
	R          *bufio.Reader
	RequestBuf []byte // buffer in which the user of the connection builds the request
	readLimit  int64  // bytes of the response header that may still be read; negative: no limit
	memory     Memory
	header     toucanmemory.Header
	idleSince  time.Time
	peerOpen   bool                  // result of the last peekSocket
	peekFunc   func(fd uintptr) bool // peekSocket
}

var errHeaderTooLarge = errors.New("answer header is too large")

// Memory is where the headers that arrive on connections are counted.
type Memory struct {
	Budget *toucanmemory.Budget
	Grow   func(held, n int64) (ok bool) // replaces the Grow method of Budget if it is not nil
}

// LimitHeader allows MaxHeaderBytes to be read, and counts their memory, until
// RemoveHeaderLimit is called. It is called before a response header is read. The error is
// toucanmemory.ErrExhausted.
func (c *Conn) LimitHeader() error {
	c.readLimit = MaxHeaderBytes
	c.header.Start(c.memory.Budget, c.memory.Grow)
	buffered, _ := c.R.Peek(c.R.Buffered())
	return c.header.Count(buffered)
}

// RemoveHeaderLimit removes the limit that LimitHeader set. It is called before the
// response body is read. It returns the bytes of the memory that the header holds, which
// the caller must release.
func (c *Conn) RemoveHeaderLimit() (held int64) {
	c.readLimit = -1
	return c.header.Take()
}

// ReleaseHeader returns what RemoveHeaderLimit returned to the memory.
func (c *Conn) ReleaseHeader(held int64) { c.memory.Budget.Release(held) }

// Close closes the connection and releases the memory of an unfinished header.
func (c *Conn) Close() error {
	c.header.Release()
	return c.Conn.Close()
}

// IdleSince returns when the connection was returned to its pool.
func (c *Conn) IdleSince() time.Time { return c.idleSince }

// Read reads from the connection, and fails once the limit of LimitHeader or the memory is
// used up.
func (c *Conn) Read(p []byte) (int, error) {
	if c.readLimit == 0 {
		return 0, errHeaderTooLarge
	}
	n, err := c.Conn.Read(p)
	if c.readLimit > 0 {
		c.readLimit = max(c.readLimit-int64(n), 0)
		if err := c.header.Count(p[:n]); err != nil {
			return n, err
		}
	}
	return n, err
}

// Usable reports whether the idle connection can take a request: the peer has
// neither closed it nor sent anything on it.
func (c *Conn) Usable() bool {
	c.peerOpen = false
	if err := c.raw.Read(c.peekFunc); err != nil {
		return false
	}
	return c.peerOpen
}

// peekSocket sets peerOpen if the socket is open and has nothing to read. It does
// not block.
func (c *Conn) peekSocket(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.peerOpen = errors.Is(err, syscall.EAGAIN)
	return true
}

// Pool holds idle connections by address.
type Pool struct {
	idleTimeout time.Duration
	now         func() time.Time
	memory      Memory

	mu     sync.Mutex
	idle   map[string][]*Conn
	closed bool
}

// NewPool returns an empty pool. Its CloseIdle closes the connections that have been
// idle for longer than idleTimeout. The headers that its connections read are counted in
// m.
func NewPool(idleTimeout time.Duration, now func() time.Time, m Memory) *Pool {
	return &Pool{idleTimeout: idleTimeout, now: now, memory: m, idle: map[string][]*Conn{}}
}

// Get returns a usable idle connection, or dials one if there is none. reused reports
// whether the connection was idle. Idle connections that are not usable are closed.
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
	c, err = p.Dial(ctx, addr, deadline)
	return c, false, err
}

// Pop removes and returns the most recently used idle connection to an address, or
// returns nil. The connection may be unusable.
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

// Dial opens a new connection, which Put returns to the pool.
func (p *Pool) Dial(ctx context.Context, addr string, deadline time.Time) (*Conn, error) {
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
	c := &Conn{Conn: nc, addr: addr, raw: raw, memory: p.memory}
	c.peekFunc = c.peekSocket
	c.R = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

// Put returns a connection to the pool. Nothing may be left to read on it.
func (p *Pool) Put(c *Conn) {
	c.idleSince = p.now()
	p.mu.Lock()
	list := p.idle[c.addr]
	discard := p.closed || len(list) >= maxIdlePerAddress
	if !discard {
		p.idle[c.addr] = append(list, c)
	}
	p.mu.Unlock()
	if discard {
		c.Close()
	}
}

// CloseIdle closes the connections that have been idle for longer than the idle
// timeout.
func (p *Pool) CloseIdle() {
	cutoff := p.now().Add(-p.idleTimeout)
	p.closeWhere(func(c *Conn) bool { return c.idleSince.Before(cutoff) })
}

// CloseAddress closes the idle connections to one address.
func (p *Pool) CloseAddress(addr string) {
	p.closeWhere(func(c *Conn) bool { return c.addr == addr })
}

// Close closes all idle connections. Connections that are returned later are closed.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeWhere(func(*Conn) bool { return true })
}

func (p *Pool) closeWhere(match func(*Conn) bool) {
	var closers []io.Closer
	p.mu.Lock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if match(c) {
				closers = append(closers, c)
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
	for _, c := range closers {
		c.Close()
	}
}
