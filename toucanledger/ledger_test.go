package toucanledger_test

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucanclock"
	"toucanhaven/toucanledger"
	"toucanhaven/toucanmemory"
)

// fixture is a ledger with a listener.
type fixture struct {
	t        *testing.T
	clock    *toucanclock.Manual
	memory   *toucanmemory.Budget
	ledger   *toucanledger.Ledger
	listener net.Listener
	log      bytes.Buffer

	mu     sync.Mutex
	closed map[toucanledger.Shortage]int
}

func (f *fixture) countClosed(s toucanledger.Shortage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed[s]++
}

// closedFor returns the number of connections that were closed for a shortage.
func (f *fixture) closedFor(s toucanledger.Shortage) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed[s]
}

func newFixture(t *testing.T, o toucanledger.Options) *fixture {
	f := &fixture{t: t, clock: toucanclock.NewManual(time.Unix(1000, 0)), memory: toucanmemory.NewBudget(1 << 20), closed: make(map[toucanledger.Shortage]int)}
	o.Name, o.Memory, o.Clock, o.Log = "callers", f.memory, f.clock, slog.New(slog.NewTextHandler(&f.log, nil))
	o.OnClose = f.countClosed
	f.ledger = toucanledger.New(o)
	lc := toucanledger.ListenConfig(max(o.BufferBytes, 4<<10))
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.listener = f.ledger.Listen(l)
	t.Cleanup(func() { f.listener.Close() })
	return f
}

// open opens a connection and returns both ends.
func (f *fixture) open() (caller net.Conn, c *toucanledger.Conn) {
	caller, err := net.Dial("tcp", f.listener.Addr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { caller.Close() })
	nc, err := f.listener.Accept()
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { nc.Close() })
	return caller, nc.(*toucanledger.Conn)
}

// isOpen reports whether the process has not closed a connection.
func isOpen(caller net.Conn) bool {
	caller.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := caller.Read(make([]byte, 1))
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// The connection that has held most for longest must be closed for memory, and no other one.
func TestWorstConnectionIsClosedForMemory(t *testing.T) {
	const second = time.Second
	for _, tt := range []struct {
		name  string
		held  []int64
		stall []time.Duration // 0 for a connection that the process does not wait for
		want  int             // index of the closed connection; -1 for none
	}{
		{"holds_most", []int64{300_000, 500_000, 100_000}, []time.Duration{second, second, second}, 1},
		{"holds_for_longest", []int64{300_000, 300_000, 300_000}, []time.Duration{second, second, 2 * second}, 2},
		{"product_decides", []int64{700_000, 100_000, 100_000}, []time.Duration{second, 30 * second, second}, 1},
		{"busy_is_spared", []int64{600_000, 300_000, 0}, []time.Duration{0, second, second}, 1},
		{"progress_spares", []int64{600_000, 300_000, 0}, []time.Duration{100 * time.Millisecond, second, second}, 1},
		{"nothing_to_free", []int64{900_000, 0, 0}, []time.Duration{0, 60 * second, 60 * second}, -1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, toucanledger.Options{Conns: 10})
			var callers []net.Conn
			var conns []*toucanledger.Conn
			for _, held := range tt.held {
				caller, c := f.open()
				c.EndInput()
				is.True(c.Memory().Reserve(held))
				callers, conns = append(callers, caller), append(conns, c)
			}
			_, asking := f.open()
			asking.EndInput()
			longest := time.Duration(0)
			for _, d := range tt.stall {
				longest = max(longest, d)
			}
			start := f.clock.Now()
			for at := time.Duration(0); at <= longest; at += 50 * time.Millisecond {
				f.clock.Set(start.Add(at))
				for i, d := range tt.stall {
					if d > 0 && longest-at == d {
						conns[i].AwaitInput()
					}
				}
			}
			freed := make(chan struct{})
			if tt.want >= 0 {
				go func() { // the owner of the closed connection releases what it holds
					defer close(freed)
					conns[tt.want].Read(make([]byte, 1))
					conns[tt.want].Memory().Release(tt.held[tt.want])
					conns[tt.want].Close()
				}()
			}
			is.Equal(asking.Memory().Reserve(150_000), tt.want >= 0)
			for i, caller := range callers {
				is.Equal(isOpen(caller), i != tt.want)
			}
			if tt.want >= 0 {
				<-freed
				is.Equal(f.closedFor(toucanledger.Memory), 1)
				is.Equal(strings.Count(f.log.String(), "closed connections of callers"), 1)
			}
		})
	}
}

// A new connection beyond the limit must take the place of the one that waits for its caller for
// longest, and not of one that the process works for.
func TestNewConnectionTakesPlaceOfIdleOne(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, toucanledger.Options{Conns: 3})
	busy, b := f.open()
	b.EndInput()
	first, _ := f.open()
	f.clock.Advance(time.Second)
	second, _ := f.open()
	f.clock.Advance(time.Second)
	third, _ := f.open()
	is.True(!isOpen(first))
	for _, c := range []net.Conn{busy, second, third} {
		is.True(isOpen(c))
	}
	is.Equal(f.ledger.Conns(), 3)
	is.Equal(f.closedFor(toucanledger.Connections), 1)
}

// The log lines about closed connections must be bounded however many are closed.
func TestClosedConnectionsAreLoggedTogether(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, toucanledger.Options{Conns: 1})
	for range 20 {
		f.open()
		f.clock.Advance(300 * time.Millisecond)
	}
	is.Equal(f.closedFor(toucanledger.Connections), 19)
	is.True(strings.Count(f.log.String(), "\n") <= 7) // one in each second
}

// A caller that reads slowly must get all of a response, also when the connection is closed after
// it.
func TestSlowReaderGetsAll(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, toucanledger.Options{Conns: 10, BufferBytes: 32 << 10})
	caller, c := f.open()
	body := bytes.Repeat([]byte("0123456789abcdef"), 64<<10)
	written := make(chan error)
	go func() {
		_, err := c.Write(body)
		c.Close()
		written <- err
	}()
	var got bytes.Buffer
	for {
		n, err := io.CopyN(&got, caller, 32<<10)
		if n == 0 || err != nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.NoErr(<-written)
	is.True(bytes.Equal(got.Bytes(), body))
}

// Responses that nobody reads must not fill the kernel's buffers beyond the limit, and the connections
// of callers that read must stay open.
func TestKernelBuffersAreBounded(t *testing.T) {
	is := is.New(t)
	const limit = 500_000
	f := newFixture(t, toucanledger.Options{Conns: 100, KernelBytes: limit, BufferBytes: 64 << 10})
	reading, r := f.open()
	go io.Copy(io.Discard, reading)
	response := make([]byte, 1<<20)
	for range 20 {
		_, c := f.open()
		c.EndInput()
		go c.Write(response)
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && f.ledger.KernelBytes() > limit; time.Sleep(10 * time.Millisecond) {
		f.clock.Advance(100 * time.Millisecond)
		r.EndInput()
		_, err := r.Write([]byte("x"))
		is.NoErr(err)
	}
	is.True(f.ledger.KernelBytes() <= limit)
	is.True(f.closedFor(toucanledger.KernelBuffers) > 0)
	_, err := r.Write([]byte("x"))
	is.NoErr(err)
}

// A response that was written whole must reach a caller that reads it only after the connection was
// closed, and the connection counts until then.
func TestCloseDeliversUnreadBytes(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, toucanledger.Options{Conns: 10, BufferBytes: 64 << 10})
	caller, c := f.open()
	caller.(*net.TCPConn).SetReadBuffer(4 << 10)
	response := make([]byte, 32<<10)
	_, err := c.Write(response)
	is.NoErr(err)
	c.Close()
	got, err := io.ReadAll(caller)
	is.NoErr(err)
	is.Equal(len(got), len(response))
	for end := time.Now().Add(5 * time.Second); f.ledger.Conns() > 0 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
	}
	is.Equal(f.ledger.Conns(), 0)
}

func TestLimits(t *testing.T) {
	for _, tt := range []struct {
		memoryMB, descriptors           int
		callers, control, peers, buffer int
		kernel                          int64
	}{
		{184, 4100, 2628, 64, 368, 184 << 10, 23 << 20},
		{284, 4100, 2628, 64, 512, 256 << 10, 37224448},
		{64, 400, 227, 16, 50, 64 << 10, 8 << 20},
		{16, 4100, 256, 64, 32, 32 << 10, 2 << 20},
	} {
		t.Run(fmt.Sprintf("%d_MB_%d_descriptors", tt.memoryMB, tt.descriptors), func(t *testing.T) {
			is := is.New(t)
			is.Equal(toucanledger.NewLimits(tt.memoryMB, tt.descriptors), toucanledger.Limits{
				CallerConns: tt.callers, ControlConns: tt.control, PeerConns: tt.peers, KernelBytes: tt.kernel, BufferBytes: tt.buffer,
			})
		})
	}
}
