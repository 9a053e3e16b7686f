package toucanpeer

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucancall"
)

// fakeHandler is a Handler whose run and await fields handle Run and Await.
type fakeHandler struct {
	incarnation uint64
	awaits      atomic.Int64
	run         func(ctx context.Context, c *Call) Result
	await       func(q AwaitRequest) Result
}

func (h *fakeHandler) Run(ctx context.Context, c *Call) Result { return h.run(ctx, c) }
func (h *fakeHandler) Cancel(string)                           {}
func (h *fakeHandler) Await(_ context.Context, q AwaitRequest) Result {
	h.awaits.Add(1)
	return h.await(q)
}
func (h *fakeHandler) Hello(Hello) HelloReply          { return HelloReply{Incarnation: h.incarnation} }
func (h *fakeHandler) Ping(string, Ping) Pong          { return Pong{} }
func (h *fakeHandler) UpdateMembers(MemberUpdate)      {}
func (h *fakeHandler) Document() Document              { return Document{} }
func (h *fakeHandler) WitnessDeparture(Departure) bool { return false }

func (h *fakeHandler) RecordDeparture(context.Context, Departure) bool {
	return false
}

// noopObserver ignores the events of a link.
type noopObserver struct{}

func (noopObserver) LinkUp(string, HelloReply)              {}
func (noopObserver) LinkDown(string, error)                 {}
func (noopObserver) ReportReceived(string, *Member, Report) {}

// closableListener is a listener whose accepted connections a test can close.
type closableListener struct {
	net.Listener
	accepted atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

func (b *closableListener) Accept() (net.Conn, error) {
	c, err := b.Listener.Accept()
	if err == nil {
		b.accepted.Add(1)
		b.mu.Lock()
		b.conns = append(b.conns, c)
		b.mu.Unlock()
	}
	return c, err
}

func (b *closableListener) closeConns() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.conns {
		c.Close()
	}
	b.conns = nil
}

// newClosableLink returns a link that is connected to a handler, and the listener
// whose connections the test can close.
func newClosableLink(t *testing.T, h Handler) (*Link, *closableListener) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &closableListener{Listener: l}
	link := newConnectedLink(t, b, h)
	t.Cleanup(b.closeConns)
	return link, b
}

// newConnectedLink serves a handler on a listener and returns a link that is
// connected to it.
func newConnectedLink(t *testing.T, l net.Listener, h Handler) *Link {
	go Serve(l, h, MessageMemory{}, slog.New(slog.DiscardHandler))
	link := NewLink(l.Addr().String(), func() Hello { return Hello{} }, func() Ping { return Ping{} }, noopObserver{}, MessageMemory{})
	t.Cleanup(func() { link.Close(); l.Close() })
	for end := time.Now().Add(5 * time.Second); !link.Up(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the link did not connect within 5 s")
		}
		link.Tick(time.Now(), time.Second)
	}
	return link
}

// After its connection breaks, a call must get its real outcome from a new
// connection.
func TestRunAsksForOutcomeAfterBreak(t *testing.T) {
	for _, tt := range []struct {
		name   string
		answer Result
	}{
		{"ran", Result{Outcome: toucancall.Answered, Status: 200}},
		{"not_begun", Result{Outcome: toucancall.NotRun, Reason: toucancall.ReasonConnectionLost}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			started := make(chan struct{})
			h := &fakeHandler{
				run:   func(ctx context.Context, _ *Call) Result { close(started); <-ctx.Done(); return Result{} },
				await: func(AwaitRequest) Result { return tt.answer },
			}
			link, b := newClosableLink(t, h)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			done := make(chan Result, 1)
			go func() { done <- link.Run(ctx, &Call{ID: "x"}) }()
			<-started
			b.closeConns()
			got := <-done
			is.Equal(got.Outcome, tt.answer.Outcome)
			is.Equal(h.awaits.Load(), int64(1))
		})
	}
}

// A node that may have forgotten the call by now must not be believed that it did not run.
func TestNotRunIsUnknownAfterIDRetention(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{})
	h := &fakeHandler{
		run:   func(ctx context.Context, _ *Call) Result { close(started); <-ctx.Done(); return Result{} },
		await: func(AwaitRequest) Result { return Result{Outcome: toucancall.NotRun} },
	}
	link, b := newClosableLink(t, h)
	link.idRetention = 50 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	done := make(chan Result, 1)
	go func() { done <- link.Run(ctx, &Call{ID: "x"}) }()
	<-started
	time.Sleep(link.idRetention)
	b.closeConns()
	is.Equal((<-done).Outcome, toucancall.Unknown)
	is.Equal(h.awaits.Load(), int64(1))
}

// A node that closes each connection at once must be dialled at a bounded rate. A
// call that waits for its outcome must not redial in a busy loop.
func TestRedialRateIsBounded(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{})
	h := &fakeHandler{
		run: func(ctx context.Context, _ *Call) Result { close(started); <-ctx.Done(); return Result{} },
	}
	link, b := newClosableLink(t, h)
	h.await = func(AwaitRequest) Result { b.closeConns(); return Result{} }
	ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
	defer cancel()
	done := make(chan Result, 1)
	go func() { done <- link.Run(ctx, &Call{ID: "x"}) }()
	<-started
	b.closeConns()
	is.Equal((<-done).Outcome, toucancall.Unknown)
	is.True(h.awaits.Load() <= 20)
	is.True(b.accepted.Load() <= 20)
}

// When an rpc client has failed but its connection has not been closed, a call
// must dial a new connection instead of using the failed client again in a loop.
func TestFailedClientIsNotReused(t *testing.T) {
	is := is.New(t)
	h := &fakeHandler{
		run:   func(context.Context, *Call) Result { return Result{Outcome: toucancall.Answered} },
		await: func(AwaitRequest) Result { return Result{Outcome: toucancall.NotRun} },
	}
	link, b := newClosableLink(t, h)
	// The same state follows a message that cannot be decoded: the client has shut
	// down, but the connection is open.
	clientConn, serverConn := net.Pipe()
	serverConn.Close()
	failedClient := rpc.NewClient(clientConn)
	failedClient.Call(methodPing, Ping{}, new(Pong))
	link.mu.Lock()
	link.client = failedClient
	link.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	is.Equal(link.Run(ctx, &Call{ID: "x"}).Outcome, toucancall.NotRun)
	is.Equal(h.awaits.Load(), int64(1))
	is.True(b.accepted.Load() <= 3)
}

// blackholeConn discards what is written to it while discardWrites is set.
type blackholeConn struct {
	net.Conn
	discardWrites *atomic.Bool
}

func (c blackholeConn) Write(p []byte) (int, error) {
	if c.discardWrites.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// blackholeListener accepts connections that share one discardWrites switch.
type blackholeListener struct {
	net.Listener
	discardWrites atomic.Bool
}

func (l *blackholeListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return blackholeConn{c, &l.discardWrites}, nil
}

// A node that stops sending without closing the connection must not keep a call
// waiting until its deadline: the link probes the node and closes when it gets no
// reply.
func TestUnresponsiveLinkIsClosed(t *testing.T) {
	is := is.New(t)
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := &blackholeListener{Listener: nl}
	h := &fakeHandler{run: func(ctx context.Context, _ *Call) Result { <-ctx.Done(); return Result{} }}
	link := newConnectedLink(t, l, h)
	l.discardWrites.Store(true)
	began := time.Now()
	done := make(chan Result, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	go func() { done <- link.Run(ctx, &Call{ID: "x", Repeatable: true}) }()
	for {
		select {
		case got := <-done:
			is.Equal(got.Outcome, toucancall.Unknown)
			is.True(time.Since(began) < time.Second)
			return
		case <-time.After(20 * time.Millisecond):
			link.Tick(time.Now(), time.Second)
		}
	}
}

// Probes between all nodes are most of the traffic of an idle deployment, so a
// probe carries the member record only when it has changed or resendInterval has
// passed.
func TestMemberIsSentOnChange(t *testing.T) {
	is := is.New(t)
	var sent sentMember
	m, now := Member{Node: "a", Serving: true}, time.Unix(1000, 0)
	is.Equal(*sent.nextUpdate(m, now), m)
	is.True(sent.nextUpdate(m, now.Add(time.Second)) == nil)
	m.Serving = false
	is.Equal(*sent.nextUpdate(m, now.Add(2*time.Second)), m)
	is.True(sent.nextUpdate(m, now.Add(3*time.Second)) == nil)
	is.Equal(*sent.nextUpdate(m, now.Add(2*time.Second+resendInterval)), m)
}

// A call whose connection has ended must be cancelled after orphanedCallTimeout, even
// though it is still running.
func TestOrphanedCallIsCancelled(t *testing.T) {
	is := is.New(t)
	started, cancelled := make(chan struct{}), make(chan time.Time, 1)
	h := &fakeHandler{run: func(ctx context.Context, _ *Call) Result {
		close(started)
		<-ctx.Done()
		cancelled <- time.Now()
		return Result{}
	}, await: func(AwaitRequest) Result { return Result{} }}
	l, listener := newClosableLink(t, h)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx, &Call{ID: "1"})
	<-started
	ended := time.Now()
	listener.closeConns()
	select {
	case at := <-cancelled:
		is.True(at.Sub(ended) >= orphanedCallTimeout)
	case <-time.After(2 * orphanedCallTimeout):
		t.Fatal("the call was not cancelled after its connection had ended")
	}
}

// Calls of one connection must run concurrently, more of them than workers that wait.
func TestCallsOfAConnectionRunConcurrently(t *testing.T) {
	const calls = 50
	var round atomic.Pointer[sync.WaitGroup]
	h := &fakeHandler{run: func(_ context.Context, c *Call) Result {
		running := round.Load()
		running.Done()
		running.Wait()
		return Result{Status: len(c.ID)}
	}}
	l, _ := newClosableLink(t, h)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for range 3 { // the later rounds use the workers of the earlier ones again
		var running, done sync.WaitGroup
		running.Add(calls)
		round.Store(&running)
		for i := range calls {
			done.Go(func() {
				id := strings.Repeat("x", i+1)
				if r := l.Run(ctx, &Call{ID: id}); r.Status != len(id) {
					t.Errorf("call %d got the response %+v", i, r)
				}
			})
		}
		done.Wait()
	}
}

// A connection on which nothing is sent after the hello must stay open for longer than a
// hello may take, and one without a hello must not.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	link := newConnectedLink(t, l, &fakeHandler{})
	link.mu.Lock()
	conn := link.conn
	link.mu.Unlock()
	began := time.Now()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	c.SetDeadline(began.Add(2 * helloTimeout))
	_, err = c.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.True(time.Since(began) >= helloTimeout-100*time.Millisecond)
	time.Sleep(200 * time.Millisecond)
	select {
	case <-conn.done:
		t.Errorf("the connection ended after %v: %v", time.Since(began), conn.err())
	default:
	}
	is.True(link.Up())
}
