// Package toucanledger knows what the connections of callers hold of a process, from the first
// byte of a request to the last byte of its response: descriptors, memory and kernel
// buffers. When the process runs short of one of them, the connection that has held most for
// longest without progress of its caller is closed.
package toucanledger

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"toucanhaven/toucanclock"
	"toucanhaven/toucanmemory"
)

// Shortage is what a process runs short of.
type Shortage string

// The shortages for which connections are closed.
const (
	Memory        Shortage = "memory"
	Connections   Shortage = "connections"
	KernelBuffers Shortage = "kernel_buffers"
	Slots         Shortage = "slots"
)

const (
	// minStall is the time without progress after which a connection may be closed. It is far
	// above the round-trip time of a caller. New connections beyond the limit need a shorter
	// one if the limit is low, so that maxTurnover of them find a place in a second; a caller
	// that behaves sends its request right after it has connected.
	minStall     = 250 * time.Millisecond
	minConnStall = 10 * time.Millisecond
	maxTurnover  = 1000
	// roomWait is the longest wait for the memory of connections that are being closed, and
	// roomPoll the interval at which it is looked for.
	roomWait = 100 * time.Millisecond
	roomPoll = 5 * time.Millisecond
	// connBytes is the memory of a connection beside the headers and bodies that are counted:
	// its goroutines, buffers and header up to the part that is free.
	connBytes = 32 << 10
	// logInterval is the shortest time between two log lines about closed connections.
	logInterval = time.Second
)

// Options configures a ledger.
type Options struct {
	Name string // of the listener, for the log
	// Memory bounds the bytes of headers and bodies. Others than callers may share it.
	Memory *toucanmemory.Budget
	// Grow replaces the Grow method of Memory if it is not nil.
	Grow        func(held, n int64) (ok bool)
	Conns       int   // largest number of connections
	KernelBytes int64 // largest sum of the bytes in kernel buffers; 0 for no limit
	BufferBytes int   // size of the kernel buffers of each connection; 0 for that of the system
	Clock       toucanclock.Clock
	Log         *slog.Logger
	OnClose     func(s Shortage) // is called for each connection that is closed; may be nil
}

// Ledger knows what the connections of one listener hold. It is safe for concurrent use.
type Ledger struct {
	o       Options
	kernel  atomic.Int64 // bytes that may be in kernel buffers
	started time.Time

	mu       sync.Mutex
	open     map[*Conn]struct{}
	leaving  map[*Conn]struct{} // closed for a shortage; their requests may still hold memory
	freed    chan struct{}      // gets a value when a connection ends
	checking bool               // a check of the kernel buffers is due
	log      closeLog
}

// New returns a ledger without connections.
func New(o Options) *Ledger {
	if o.Grow == nil {
		o.Grow = o.Memory.Grow
	}
	return &Ledger{
		o: o, started: o.Clock.Now(), open: make(map[*Conn]struct{}), leaving: make(map[*Conn]struct{}),
		freed: make(chan struct{}, 1),
	}
}

// Conns returns the number of open connections.
func (l *Ledger) Conns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// KernelBytes returns the bytes that may be in the kernel buffers of the connections.
func (l *Ledger) KernelBytes() int64 { return l.kernel.Load() }

// now returns the time since the ledger was made. It is above 0.
func (l *Ledger) now() time.Duration { return l.o.Clock.Now().Sub(l.started) + 1 }

// add adds a connection if there is room for it, or else closes another one. It reports whether
// it was added.
func (l *Ledger) add(c *Conn) bool {
	l.mu.Lock()
	if len(l.open) < l.o.Conns {
		l.open[c] = struct{}{}
		l.mu.Unlock()
		return true
	}
	victim := l.worst(nil, l.connStall(), func(*Conn) bool { return true })
	l.mu.Unlock()
	l.shut(victim, Connections)
	return false
}

// connStall returns the time without progress after which a connection makes place for a new one.
func (l *Ledger) connStall() time.Duration {
	return min(max(time.Duration(l.o.Conns)*time.Second/maxTurnover, minConnStall), minStall)
}

// remove removes a connection that has ended.
func (l *Ledger) remove(c *Conn) {
	l.mu.Lock()
	delete(l.open, c)
	delete(l.leaving, c)
	l.mu.Unlock()
	l.signalFreed()
}

func (l *Ledger) signalFreed() {
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// grow takes n bytes of memory for a connection that needs them for something that holds some
// already. If there are too few, it closes other connections and waits for their memory.
func (l *Ledger) grow(c *Conn, held, n int64) bool {
	if l.o.Grow(held, n) {
		return true
	}
	for range roomWait / roomPoll {
		if !l.closeForMemory(c, n) {
			return l.o.Grow(held, n)
		}
		time.Sleep(roomPoll)
		if l.o.Grow(held, n) {
			return true
		}
	}
	return false
}

// closeForMemory closes the worst connection other than c unless n bytes are about to come back
// from those that were closed before. It reports whether any memory is about to come back.
func (l *Ledger) closeForMemory(c *Conn, n int64) (coming bool) {
	l.mu.Lock()
	var leaving int64
	for other := range l.leaving {
		leaving += other.memory.Used()
	}
	var victim *Conn
	if leaving < n {
		victim = l.worst(c, minStall, func(other *Conn) bool { return other.memory.Used() > 0 })
	}
	l.mu.Unlock()
	l.shut(victim, Memory)
	return leaving > 0 || victim != nil
}

// CloseForSlot closes the worst connection that holds a slot of a backend server while its caller
// does not read. It reports whether there was one.
func (l *Ledger) CloseForSlot() bool {
	l.mu.Lock()
	victim := l.worst(nil, minStall, func(c *Conn) bool { return c.slot.Load() })
	l.mu.Unlock()
	l.shut(victim, Slots)
	return victim != nil
}

// worst returns the connection that has held most for longest without progress, of those that
// match and have made none for some time, or nil. l.mu must be held.
func (l *Ledger) worst(except *Conn, minStall time.Duration, match func(c *Conn) bool) (worst *Conn) {
	now, most := l.now(), 0.0
	for c := range l.open {
		stall := c.stalledFor(now)
		if stall < minStall || c == except || !match(c) {
			continue
		}
		if score := float64(c.held()) * stall.Seconds(); score > most {
			worst, most = c, score
		}
	}
	return worst
}

// shut closes a connection for a shortage. Its descriptor and kernel buffers are free at once,
// its memory once its requests have ended. A nil connection is none.
func (l *Ledger) shut(c *Conn, s Shortage) {
	if c == nil {
		return
	}
	l.mu.Lock()
	if _, ok := l.open[c]; !ok {
		l.mu.Unlock()
		return
	}
	delete(l.open, c)
	l.leaving[c] = struct{}{}
	line := l.log.count(l.o.Clock.Now(), c.held(), c.stalledFor(l.now()))
	l.mu.Unlock()
	if unreadBytes(c.Conn) > 0 {
		c.discardUnread()
	}
	c.Conn.Close()
	c.setKernelBytes(0)
	l.signalFreed()
	if l.o.OnClose != nil {
		l.o.OnClose(s)
	}
	if line.closed > 0 {
		l.o.Log.Warn("closed connections of callers", "listener", l.o.Name, "shortage", string(s), "closed", line.closed,
			"largest_held", line.largest, "longest_stall", line.longest)
	}
}

// closeLog sums up the closed connections between two log lines.
type closeLog struct {
	closed  int
	largest int64
	longest time.Duration
	logged  time.Time
}

// count counts a closed connection. It returns the sums if a line is due, or none.
func (g *closeLog) count(now time.Time, held int64, stall time.Duration) (line closeLog) {
	g.closed++
	g.largest, g.longest = max(g.largest, held), max(g.longest, stall)
	if now.Sub(g.logged) < logInterval {
		return closeLog{}
	}
	line = *g
	*g = closeLog{logged: now}
	return line
}
