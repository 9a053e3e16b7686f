package toucanpeer

import (
	"context"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucancall"
)

// fakeHost answers other nodes; run says what a call does.
type fakeHost struct {
	incarnation uint64
	awaits      atomic.Int64
	run         func(ctx context.Context, c *Call) Result
	await       func(q AwaitRequest) Result
}

func (h *fakeHost) Run(ctx context.Context, c *Call) Result { return h.run(ctx, c) }
func (h *fakeHost) Cancel(string)                           {}
func (h *fakeHost) Await(_ context.Context, q AwaitRequest) Result {
	h.awaits.Add(1)
	return h.await(q)
}
func (h *fakeHost) Hello(Hello) HelloReply { return HelloReply{Incarnation: h.incarnation} }
func (h *fakeHost) Ping(string, Ping) Pong { return Pong{} }
func (h *fakeHost) Document() Document     { return Document{} }

// quietObserver ignores what a link learns.
type quietObserver struct{}

func (quietObserver) LinkUp(string, HelloReply)              {}
func (quietObserver) LinkDown(string, error)                 {}
func (quietObserver) ReportReceived(string, *Member, Report) {}

// breaker is a listener whose connections a test can close.
type breaker struct {
	net.Listener
	accepted atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

func (b *breaker) Accept() (net.Conn, error) {
	c, err := b.Listener.Accept()
	if err == nil {
		b.accepted.Add(1)
		b.mu.Lock()
		b.conns = append(b.conns, c)
		b.mu.Unlock()
	}
	return c, err
}

func (b *breaker) cut() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.conns {
		c.Close()
	}
	b.conns = nil
}

func connected(t *testing.T, h Handler) (*Link, *breaker) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &breaker{Listener: l}
	link := dialled(t, b, h)
	t.Cleanup(b.cut)
	return link, b
}

// dialled returns a link that is connected to a host behind a listener.
func dialled(t *testing.T, l net.Listener, h Handler) *Link {
	go Serve(l, h, slog.New(slog.DiscardHandler))
	link := NewLink(l.Addr().String(), func() Hello { return Hello{} }, func() Ping { return Ping{} }, quietObserver{})
	t.Cleanup(func() { link.Close(); l.Close() })
	for end := time.Now().Add(5 * time.Second); !link.Up(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the link does not connect")
		}
		link.Tick(time.Now(), time.Second)
	}
	return link
}

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
			h := &fakeHost{
				run:   func(ctx context.Context, _ *Call) Result { close(started); <-ctx.Done(); return Result{} },
				await: func(AwaitRequest) Result { return tt.answer },
			}
			link, b := connected(t, h)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			done := make(chan Result, 1)
			go func() { done <- link.Run(ctx, &Call{ID: "x"}) }()
			<-started
			b.cut()
			got := <-done
			is.Equal(got.Outcome, tt.answer.Outcome)
			is.Equal(h.awaits.Load(), int64(1))
		})
	}
}

// A node that closes each connection at once is dialled at a bounded rate, and
// a waiting call does not keep the processor busy.
func TestLostLinkDoesNotSpin(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{})
	h := &fakeHost{
		run: func(ctx context.Context, _ *Call) Result { close(started); <-ctx.Done(); return Result{} },
	}
	link, b := connected(t, h)
	h.await = func(AwaitRequest) Result { b.cut(); return Result{} }
	ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
	defer cancel()
	done := make(chan Result, 1)
	go func() { done <- link.Run(ctx, &Call{ID: "x"}) }()
	<-started
	b.cut()
	is.Equal((<-done).Outcome, toucancall.Unknown)
	is.True(h.awaits.Load() <= 20)
	is.True(b.accepted.Load() <= 20)
}

// A call on a connection that has ended, but is not known to have, is not tried
// on it again and again.
func TestDeadClientIsDropped(t *testing.T) {
	is := is.New(t)
	h := &fakeHost{
		run:   func(context.Context, *Call) Result { return Result{Outcome: toucancall.Answered} },
		await: func(AwaitRequest) Result { return Result{Outcome: toucancall.NotRun} },
	}
	link, b := connected(t, h)
	// As after a message that could not be decoded: the client has ended, the
	// connection has not.
	near, far := net.Pipe()
	far.Close()
	dead := rpc.NewClient(near)
	dead.Call(methodPing, Ping{}, new(Pong))
	link.mu.Lock()
	link.client = dead
	link.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	is.Equal(link.Run(ctx, &Call{ID: "x"}).Outcome, toucancall.NotRun)
	is.Equal(h.awaits.Load(), int64(1))
	is.True(b.accepted.Load() <= 3)
}

// muteConn loses what is written to it once it is silent.
type muteConn struct {
	net.Conn
	silent *atomic.Bool
}

func (c muteConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// muteListener accepts connections that go silent together.
type muteListener struct {
	net.Listener
	silent atomic.Bool
}

func (l *muteListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return muteConn{c, &l.silent}, nil
}

func TestSilentLinkIsGivenUp(t *testing.T) {
	is := is.New(t)
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := &muteListener{Listener: nl}
	h := &fakeHost{run: func(ctx context.Context, _ *Call) Result { <-ctx.Done(); return Result{} }}
	link := dialled(t, l, h)
	l.silent.Store(true)
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

// A member is sent on a connection when it has changed, and now and then, because
// probes of all nodes to all others are most of what an idle deployment sends.
func TestMemberIsSentOnChange(t *testing.T) {
	is := is.New(t)
	var to told
	m, now := Member{Node: "a", Serving: true}, time.Unix(1000, 0)
	is.Equal(*to.news(m, now), m)
	is.True(to.news(m, now.Add(time.Second)) == nil)
	m.Serving = false
	is.Equal(*to.news(m, now.Add(2*time.Second)), m)
	is.True(to.news(m, now.Add(3*time.Second)) == nil)
	is.Equal(*to.news(m, now.Add(2*time.Second+retellTime)), m)
}
