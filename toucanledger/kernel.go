package toucanledger

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// countKernelBytes counts bytes that the kernel may hold for the caller, at most the size of a
// buffer in each direction. They count until the kernel is asked, which is not before there are
// too many in all.
func (c *Conn) countKernelBytes(n int64) {
	for {
		before := c.kernel.Load()
		after := before + n
		if most := 2 * int64(c.ledger.o.BufferBytes); most > 0 {
			after = min(after, most)
		}
		if after == before {
			return
		}
		if c.kernel.CompareAndSwap(before, after) {
			if total := c.ledger.kernel.Add(after - before); c.ledger.o.KernelBytes > 0 && total > c.ledger.o.KernelBytes {
				c.ledger.scheduleCheck(0)
			}
			return
		}
	}
}

func (c *Conn) setKernelBytes(n int64) { c.ledger.kernel.Add(n - c.kernel.Swap(n)) }

// scheduleCheck checks the kernel buffers after a delay, unless a check is due.
func (l *Ledger) scheduleCheck(after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.checking {
		l.checking = true
		time.AfterFunc(after, l.checkKernelBuffers)
	}
}

// checkKernelBuffers asks the kernel what it holds, and closes connections while that is too much.
// It comes back while too much is left that it could not close yet.
func (l *Ledger) checkKernelBuffers() {
	l.mu.Lock()
	l.checking = false
	conns := make([]*Conn, 0, len(l.open))
	for c := range l.open {
		if c.kernel.Load() > 0 {
			conns = append(conns, c)
		}
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.setKernelBytes(queuedBytes(c.Conn, unix.SIOCOUTQ) + queuedBytes(c.Conn, unix.SIOCINQ))
	}
	for l.kernel.Load() > l.o.KernelBytes {
		l.mu.Lock()
		victim := l.worst(nil, minStall, func(c *Conn) bool { return c.kernel.Load() > 0 })
		l.mu.Unlock()
		if victim == nil {
			l.scheduleCheck(minStall)
			return
		}
		l.shut(victim, KernelBuffers)
	}
}

// queuedBytes returns the length of a queue of the kernel: SIOCOUTQ, what was sent and not
// acknowledged, or SIOCINQ, what was received and not read. It is 0 if the kernel does not tell.
func queuedBytes(c net.Conn, queue uint) (bytes int64) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) { // fails only if the connection is closed
		if n, err := unix.IoctlGetInt(int(fd), queue); err == nil {
			bytes = int64(n)
		}
	})
	return bytes
}

// unreadBytes returns the bytes of responses that the caller's side has not acknowledged.
func unreadBytes(c net.Conn) int64 { return queuedBytes(c, unix.SIOCOUTQ) }

// ListenConfig returns the configuration of a listener whose connections have kernel buffers of a
// size. They have it from their first byte on; the system lets others grow to several MiB.
func ListenConfig(bufferBytes int) net.ListenConfig {
	return net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) {
			for _, option := range []int{unix.SO_SNDBUF, unix.SO_RCVBUF} {
				if setErr := unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, bufferBytes); setErr != nil {
					err = fmt.Errorf("set kernel buffers of %d bytes: %w", bufferBytes, setErr)
				}
			}
		})
		return errors.Join(err, controlErr)
	}}
}
