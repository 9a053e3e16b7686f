package toucanpeer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"toucanhaven/toucancall"
)

const (
	// dialTimeout bounds a connection attempt. Nodes of one region are a few
	// milliseconds apart.
	dialTimeout = 400 * time.Millisecond
	// quietTime is the silence after which a link with calls in progress is
	// probed, and silentTime the one after which it is given up.
	quietTime  = 100 * time.Millisecond
	silentTime = 350 * time.Millisecond
	// redialMin and redialMax bound the pause between connection attempts.
	redialMin = 100 * time.Millisecond
	redialMax = time.Second
	// lostTime is how long a call that may be repeated waits for its outcome
	// after its connection broke.
	lostTime = 150 * time.Millisecond
)

// Observer is told what a link learns.
type Observer interface {
	LinkUp(addr string, reply HelloReply)
	LinkDown(addr string, err error)
	ReportReceived(addr string, self *Member, r Report)
}

// Link is a connection to another node that is dialled again when it breaks.
type Link struct {
	addr     string
	hello    func() Hello
	ping     func() Ping
	observer Observer

	mu          sync.Mutex
	client      *rpc.Client
	conn        *watchedConn
	incarnation uint64
	dialing     chan struct{} // closed when the attempt in progress ends
	failures    int
	nextDial    time.Time
	closed      bool

	pending atomic.Int64
	probing atomic.Bool
}

// NewLink returns a link that is not connected yet; see Tick.
func NewLink(addr string, hello func() Hello, ping func() Ping, o Observer) *Link {
	return &Link{addr: addr, hello: hello, ping: ping, observer: o}
}

// Up reports whether the link is connected.
func (l *Link) Up() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.client != nil
}

// Close ends the link for good.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	client := l.client
	l.client = nil
	l.mu.Unlock()
	if client != nil {
		client.Close()
	}
}

// Tick dials a link that is down and probes one that is quiet, for the time every
// if it has no calls. It returns at once.
func (l *Link) Tick(now time.Time, every time.Duration) {
	l.mu.Lock()
	client, conn := l.client, l.conn
	l.mu.Unlock()
	if client == nil {
		l.redial(now)
		return
	}
	quiet := conn.quiet(now)
	busy := l.pending.Load() > 0
	switch {
	case l.probing.Load() && quiet > silentTime:
		conn.fail(errSilent)
	case !l.probing.Load() && (busy && quiet > quietTime || quiet > every):
		l.probe(client, conn)
	}
}

var errSilent = errors.New("no answer to a probe")

func (l *Link) probe(client *rpc.Client, conn *watchedConn) {
	if !l.probing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer l.probing.Store(false)
		var pong Pong
		if client.Call(methodPing, l.news(conn), &pong) == nil {
			l.observer.ReportReceived(l.addr, pong.Self, pong.Report)
		}
	}()
}

// news describes this node, without what the other one was told before.
func (l *Link) news(conn *watchedConn) Ping {
	p := l.ping()
	if p.From != nil {
		p.From = conn.told.news(*p.From, time.Now())
	}
	return p
}

// Announce tells the node how this one is now. It reports whether the node has
// heard it before ctx ends.
func (l *Link) Announce(ctx context.Context) bool {
	l.mu.Lock()
	client, conn := l.client, l.conn
	l.mu.Unlock()
	return client != nil && call(ctx, client, methodPing, l.news(conn), new(Pong)) == nil
}

// redial starts a connection attempt unless one is in progress or the pause
// after the last one has not passed.
func (l *Link) redial(now time.Time) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dialing != nil {
		return l.dialing
	}
	if l.closed || l.client != nil || now.Before(l.nextDial) {
		return nil
	}
	l.dialing = make(chan struct{})
	go l.dial()
	return l.dialing
}

func (l *Link) dial() {
	client, conn, reply, err := l.connect()
	l.mu.Lock()
	close(l.dialing)
	l.dialing = nil
	if err != nil {
		l.failures++
		l.nextDial = time.Now().Add(min(redialMin<<min(l.failures-1, 4), redialMax))
	} else {
		l.failures, l.client, l.conn, l.incarnation = 0, client, conn, reply.Incarnation
	}
	first, closed := l.failures == 1, l.closed
	l.mu.Unlock()
	switch {
	case err != nil && first:
		l.observer.LinkDown(l.addr, err)
	case err == nil && closed:
		client.Close()
	case err == nil:
		l.observer.LinkUp(l.addr, reply)
		go l.await(client, conn)
	}
}

func (l *Link) connect() (client *rpc.Client, conn *watchedConn, reply HelloReply, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("connect to %s: %w", l.addr, err)
		}
	}()
	nc, err := net.DialTimeout("tcp", l.addr, dialTimeout)
	if err != nil {
		return nil, nil, reply, err
	}
	conn = newWatchedConn(nc)
	client = rpc.NewClient(conn)
	var answer HelloReply // a late answer may be decoded after the time-out
	call := client.Go(methodHello, l.hello(), &answer, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-time.After(silentTime):
		err = errSilent
	}
	if err != nil {
		client.Close()
		return nil, nil, reply, err
	}
	return client, conn, answer, nil
}

// await notes the end of the connection.
func (l *Link) await(client *rpc.Client, conn *watchedConn) {
	<-conn.done
	l.ended(client, conn)
}

// ended clears the connection and dials again, once.
func (l *Link) ended(client *rpc.Client, conn *watchedConn) {
	client.Close()
	l.mu.Lock()
	current := l.client == client
	if current {
		l.client, l.conn = nil, nil
		l.nextDial = time.Time{}
		if time.Since(conn.opened) < redialMax { // a node that ends each connection at once
			l.nextDial = time.Now().Add(redialMin)
		}
	}
	closed := l.closed
	l.mu.Unlock()
	if current && !closed {
		l.observer.LinkDown(l.addr, conn.err())
		l.redial(time.Now())
	}
}

// Run sends a call and waits for its outcome, at most until ctx ends. When the
// connection breaks, it asks for the outcome on a new one.
func (l *Link) Run(ctx context.Context, c *Call) Result {
	l.mu.Lock()
	client, incarnation := l.client, l.incarnation
	l.mu.Unlock()
	if client == nil {
		return Result{Outcome: toucancall.NotRun, Reason: toucancall.ReasonConnect}
	}
	l.pending.Add(1)
	defer l.pending.Add(-1)
	var r Result
	err := call(ctx, client, methodRun, c, &r)
	switch {
	case err == nil:
		l.observer.ReportReceived(l.addr, nil, r.Report)
		return r
	case ctx.Err() != nil:
		client.Go(methodCancel, c.ID, new(bool), make(chan *rpc.Call, 1))
		return Result{Outcome: toucancall.Unknown, Reason: toucancall.ReasonCancelled}
	}
	l.lose(client, err)
	if c.Repeatable {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, lostTime)
		defer cancel()
	}
	return l.outcome(ctx, AwaitRequest{ID: c.ID, Incarnation: incarnation})
}

// outcome asks for the outcome of a call whose connection broke.
func (l *Link) outcome(ctx context.Context, q AwaitRequest) Result {
	lost := Result{Outcome: toucancall.Unknown, Reason: toucancall.ReasonConnectionLost}
	for ctx.Err() == nil {
		client, ok := l.reconnected(ctx)
		if !ok {
			return lost
		}
		if deadline, ok := ctx.Deadline(); ok {
			q.Left = time.Until(deadline)
		}
		var r Result
		err := call(ctx, client, methodAwait, q, &r)
		if err == nil {
			return r
		}
		if ctx.Err() == nil {
			l.lose(client, err)
		}
	}
	return lost
}

// lose ends a connection on which a call failed, so that nobody tries it again
// before its reader has noticed.
func (l *Link) lose(client *rpc.Client, err error) {
	l.mu.Lock()
	conn := l.conn
	current := l.client == client
	l.mu.Unlock()
	if current {
		conn.fail(err)
		l.ended(client, conn)
	}
}

// reconnected waits until the link is connected again.
func (l *Link) reconnected(ctx context.Context) (*rpc.Client, bool) {
	for {
		l.mu.Lock()
		client, closed := l.client, l.closed
		l.mu.Unlock()
		if client != nil {
			return client, true
		}
		if closed {
			return nil, false
		}
		attempt := l.redial(time.Now())
		if attempt == nil {
			attempt = after(redialMin)
		}
		select {
		case <-attempt:
		case <-ctx.Done():
			return nil, false
		}
	}
}

func after(d time.Duration) <-chan struct{} {
	c := make(chan struct{})
	time.AfterFunc(d, func() { close(c) })
	return c
}

// Document fetches the configuration of the node.
func (l *Link) Document(ctx context.Context) (d Document, err error) {
	l.mu.Lock()
	client := l.client
	l.mu.Unlock()
	if client == nil {
		return d, fmt.Errorf("%s is not connected", l.addr)
	}
	var answer Document // a late answer may be decoded after ctx has ended
	if err := call(ctx, client, methodDoc, true, &answer); err != nil {
		return d, fmt.Errorf("fetch the document of %s: %w", l.addr, err)
	}
	return answer, nil
}

func call(ctx context.Context, client *rpc.Client, method string, args, reply any) error {
	c := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-c.Done:
		return c.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}

// watchedConn notes when bytes last arrived and when the connection ended.
type watchedConn struct {
	net.Conn
	lastRead atomic.Int64 // nanoseconds since opened
	opened   time.Time
	told     told
	done     chan struct{}
	once     sync.Once
	cause    error
}

func newWatchedConn(nc net.Conn) *watchedConn {
	return &watchedConn{Conn: nc, opened: time.Now(), done: make(chan struct{})}
}

func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.lastRead.Store(int64(time.Since(c.opened)))
	if err != nil {
		c.fail(err)
	}
	return n, err
}

func (c *watchedConn) Write(p []byte) (int, error) {
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.Conn.Write(p)
	if err != nil {
		c.fail(err)
	}
	return n, err
}

// Close ends the connection.
func (c *watchedConn) Close() error {
	c.fail(net.ErrClosed)
	return nil
}

func (c *watchedConn) fail(err error) {
	c.once.Do(func() {
		c.cause = err
		close(c.done)
		c.Conn.Close()
	})
}

// err returns why the connection ended; done is closed.
func (c *watchedConn) err() error { return c.cause }

func (c *watchedConn) quiet(now time.Time) time.Duration {
	return now.Sub(c.opened) - time.Duration(c.lastRead.Load())
}
