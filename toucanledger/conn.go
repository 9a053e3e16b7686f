package toucanledger

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"toucanhaven/toucanmemory"
)

const (
	// stallTimeout closes a connection whose caller accepts no byte of a response.
	stallTimeout = 30 * time.Second
	// writeStep is the number of bytes that are written at a time. A caller that accepts them
	// makes progress.
	writeStep = 16 << 10
	// inputStep is the number of bytes of a body that a caller must send to make progress.
	inputStep = 4 << 10
	// unreadPoll is the interval at which a connection that is being closed is looked at.
	unreadPoll = 100 * time.Millisecond
)

// Conn is a connection of a caller. Its methods are safe for concurrent use.
type Conn struct {
	net.Conn
	ledger    *Ledger
	memory    *toucanmemory.Budget
	shared    atomic.Int64 // bytes of responses that are counted as holdings of others too
	kernel    atomic.Int64 // bytes that may be in kernel buffers
	input     stall        // while the process waits for a request
	output    stall        // while it waits until a response is accepted
	inputLeft atomic.Int64 // bytes until the next progress of the input
	slot      atomic.Bool  // it holds a slot of a backend server
	closing   sync.Once

	deadline atomic.Pointer[time.Time] // of writes; nil for none
	reset    atomic.Bool               // the end of the connection is a reset
}

// stall is the time at which the process began to wait for the caller, or at which the caller last
// made progress, since the start of the ledger. It is 0 while the process does not wait.
type stall struct{ since atomic.Int64 }

func (s *stall) begin(now time.Duration) { s.since.CompareAndSwap(0, int64(now)) }
func (s *stall) progress(now time.Duration) {
	if s.since.Load() != 0 {
		s.since.Store(int64(now))
	}
}
func (s *stall) end() { s.since.Store(0) }

func (s *stall) lasted(now time.Duration) time.Duration {
	since := s.since.Load()
	if since == 0 {
		return 0
	}
	return now - time.Duration(since)
}

// Memory returns the budget of the headers and bodies that the connection holds. Its bytes are
// taken of the memory of the ledger, which closes other connections to make room.
func (c *Conn) Memory() *toucanmemory.Budget { return c.memory }

// Share counts bytes that the connection holds and that are counted in the memory as a
// Holding. A negative number ends that.
func (c *Conn) Share(bytes int64) { c.shared.Add(bytes) }

// held returns the bytes that the connection holds.
func (c *Conn) held() int64 {
	return connBytes + c.memory.Used() + c.shared.Load() + c.kernel.Load()
}

// stalledFor returns how long the process has waited for progress of the caller.
func (c *Conn) stalledFor(now time.Duration) time.Duration {
	return max(c.input.lasted(now), c.output.lasted(now))
}

// HoldSlot sets whether the connection holds a slot of a backend server while its caller reads
// an answer.
func (c *Conn) HoldSlot(holds bool) { c.slot.Store(holds) }

// AwaitInput marks that the process waits for the caller to send.
func (c *Conn) AwaitInput() {
	c.inputLeft.Store(inputStep)
	c.input.begin(c.ledger.now())
}

// CountInput counts bytes of a body that the caller has sent.
func (c *Conn) CountInput(n int) {
	if c.inputLeft.Add(-int64(n)) <= 0 {
		c.inputLeft.Store(inputStep)
		c.input.progress(c.ledger.now())
	}
}

// EndInput marks that the process no longer waits for the caller to send.
func (c *Conn) EndInput() { c.input.end() }

// PauseInput marks that the process does not read what the caller sends, which then stays in the
// kernel.
func (c *Conn) PauseInput() { c.countKernelBytes(int64(c.ledger.o.BufferBytes)) }

// Write writes p. It fails when the caller accepts no byte for 30 s; a write that makes progress
// may take as long as it needs.
func (c *Conn) Write(p []byte) (n int, err error) {
	now := c.ledger.now()
	c.output.begin(now)
	defer c.output.end()
	for {
		if err := c.Conn.SetWriteDeadline(c.nextDeadline()); err != nil {
			return n, err
		}
		m, err := c.Conn.Write(p[n:min(n+writeStep, len(p))])
		n += m
		c.countKernelBytes(int64(m))
		switch stalled := errors.Is(err, os.ErrDeadlineExceeded) && !c.expired(); {
		case stalled && m == 0:
			c.discardUnread()
			return n, err
		case err != nil && !stalled:
			return n, err
		}
		if n == len(p) {
			return n, nil
		}
		c.output.progress(c.ledger.now())
	}
}

// nextDeadline returns the time by which the caller must have accepted a byte.
func (c *Conn) nextDeadline() time.Time {
	next := time.Now().Add(stallTimeout)
	if set := c.deadline.Load(); set != nil && set.Before(next) {
		return *set
	}
	return next
}

// expired reports whether the deadline of writes has passed.
func (c *Conn) expired() bool {
	set := c.deadline.Load()
	return set != nil && !set.After(time.Now())
}

// SetWriteDeadline sets a deadline for all writes, in addition to the one for progress.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() {
		c.deadline.Store(nil)
	} else {
		c.deadline.Store(&t)
	}
	return c.Conn.SetWriteDeadline(t) // also for a write in progress
}

// SetDeadline sets the deadlines of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.Conn.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// ResetOnClose sets whether the connection is reset when it is closed, also if the process ends.
func (c *Conn) ResetOnClose(reset bool) {
	c.reset.Store(reset)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		linger := -1 // the default
		if reset {
			linger = 0
		}
		_ = tcp.SetLinger(linger) // fails only on a closed connection
	}
}

// Close closes the connection. What the kernel still has to send is sent, while the caller makes
// progress; until then the connection stays in the ledger.
func (c *Conn) Close() error {
	c.closing.Do(func() {
		if !c.reset.Load() && unreadBytes(c.Conn) > 0 && c.CloseWrite() == nil {
			go c.awaitUnread()
		} else {
			c.end()
		}
	})
	return nil
}

// awaitUnread ends the connection when the caller has accepted all bytes, or accepts none.
func (c *Conn) awaitUnread() {
	defer c.end()
	c.EndInput()
	c.output.begin(c.ledger.now())
	left := unreadBytes(c.Conn)
	for c.stalledFor(c.ledger.now()) < stallTimeout {
		time.Sleep(unreadPoll)
		now := unreadBytes(c.Conn)
		switch {
		case now == 0: // also if the connection was closed for a shortage
			return
		case now < left:
			c.output.progress(c.ledger.now())
		}
		left = now
	}
	c.discardUnread()
}

// discardUnread makes the end of the connection drop what the kernel has still to send.
func (c *Conn) discardUnread() { c.ResetOnClose(true) }

// end closes the connection and removes it from the ledger.
func (c *Conn) end() {
	c.Conn.Close()
	c.setKernelBytes(0)
	c.ledger.remove(c)
}

// CloseWrite ends the responses; the caller can still send.
func (c *Conn) CloseWrite() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return tcp.CloseWrite()
}
