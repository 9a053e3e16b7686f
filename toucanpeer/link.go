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
	"toucanhaven/toucanmemory"
)

const (
	// dialTimeout is the timeout of a connection attempt. Nodes of one region are a
	// few milliseconds apart.
	dialTimeout = 400 * time.Millisecond
	// busyProbeDelay is the time without received bytes after which a link with
	// calls in progress is probed. replyTimeout is the time without received bytes
	// after which a link with a probe in progress is closed; it is also the timeout
	// of the hello.
	busyProbeDelay = 100 * time.Millisecond
	replyTimeout   = 350 * time.Millisecond
	// redialMinDelay and redialMaxDelay bound the exponential backoff between
	// connection attempts.
	redialMinDelay = 100 * time.Millisecond
	redialMaxDelay = time.Second
	// outcomeTimeout is how long a call that may be retried waits for its outcome
	// after its connection broke.
	outcomeTimeout = 150 * time.Millisecond
	// IDRetention is the least time for which a node keeps the id of a call that has
	// ended. Later its "not run" does not count, as it may have forgotten the call.
	IDRetention = 60 * time.Second
)

// Observer receives the events of links. The address is that of the other node.
// LinkDown is called when a connection ends and at the first failed attempt of a
// series. ReportReceived gets a nil self if the message had no member record.
type Observer interface {
	LinkUp(addr string, reply HelloReply)
	LinkDown(addr string, err error)
	ReportReceived(addr string, self *Member, r Report)
}

// Link is a connection to another node. It is dialled again when it breaks.
type Link struct {
	addr        string
	hello       func() Hello
	ping        func() Ping
	observer    Observer
	messages    MessageMemory
	idRetention time.Duration

	mu           sync.Mutex
	client       *rpc.Client
	conn         *watchedConn
	incarnation  uint64
	dialDone     chan struct{} // closed when the attempt in progress ends
	dialFailures int
	nextDial     time.Time
	closed       bool

	pendingCalls atomic.Int64
	probing      atomic.Bool
}

// NewLink returns a link that is not connected. Tick dials it.
func NewLink(addr string, hello func() Hello, ping func() Ping, o Observer, m MessageMemory) *Link {
	return &Link{addr: addr, hello: hello, ping: ping, observer: o, messages: m, idRetention: IDRetention}
}

// Up reports whether the link is connected.
func (l *Link) Up() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.client != nil
}

// Close closes the connection. The link is not dialled again.
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

// Tick dials the link if it is not connected and its redial delay has passed. If
// it is connected, Tick probes it once no bytes have arrived for probeInterval, or
// for busyProbeDelay while calls are in progress. Tick doesn't block.
func (l *Link) Tick(now time.Time, probeInterval time.Duration) {
	l.mu.Lock()
	client, conn := l.client, l.conn
	l.mu.Unlock()
	if client == nil {
		l.redial(now)
		return
	}
	idle := conn.idleTime(now)
	busy := l.pendingCalls.Load() > 0
	switch {
	case l.probing.Load() && idle > replyTimeout:
		conn.closeWithError(errNoReply)
	case !l.probing.Load() && (busy && idle > busyProbeDelay || idle > probeInterval):
		l.probe(client, conn)
	}
}

var errNoReply = errors.New("no answer to a probe")

// probe sends a ping in the background unless one is in progress.
func (l *Link) probe(client *rpc.Client, conn *watchedConn) {
	if !l.probing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer l.probing.Store(false)
		var pong Pong
		if client.Call(methodPing, l.nextPing(conn), &pong) == nil {
			l.observer.ReportReceived(l.addr, pong.Self, pong.Report)
		}
	}()
}

// nextPing returns the next ping to send. It leaves out the member record if that
// is unchanged since it was last sent on the connection; see sentMember.
func (l *Link) nextPing(conn *watchedConn) Ping {
	p := l.ping()
	if p.From != nil {
		p.From = conn.sentSelf.nextUpdate(*p.From, time.Now())
	}
	return p
}

// Announce sends the state of this node to the other node. It reports whether the
// other node answers before ctx ends.
func (l *Link) Announce(ctx context.Context) bool {
	l.mu.Lock()
	client, conn := l.client, l.conn
	l.mu.Unlock()
	return client != nil && call(ctx, client, methodPing, l.nextPing(conn), new(Pong)) == nil
}

// PushMembers sends a change of the listed members to the other node and waits for
// its reply until ctx ends.
func (l *Link) PushMembers(ctx context.Context, u MemberUpdate) {
	l.mu.Lock()
	client := l.client
	l.mu.Unlock()
	if client != nil {
		call(ctx, client, methodMembers, u, new(bool)) // a node that missed it gets all members when the link connects again
	}
}

// RecordDeparture asks the other node to record a departure in the store. It reports
// whether the other node answers before ctx ends that the store has it.
func (l *Link) RecordDeparture(ctx context.Context, d Departure) bool {
	return l.callDeparture(ctx, methodRecordDeparture, d)
}

func (l *Link) callDeparture(ctx context.Context, method string, d Departure) bool {
	l.mu.Lock()
	client := l.client
	l.mu.Unlock()
	if client == nil {
		return false
	}
	var done bool // not read after an error: a late reply may be decoded after ctx has ended
	return call(ctx, client, method, d, &done) == nil && done
}

// WitnessDeparture asks the other node to remember a departure. It reports whether the
// other node answers before ctx ends that it does.
func (l *Link) WitnessDeparture(ctx context.Context, d Departure) bool {
	return l.callDeparture(ctx, methodWitnessDeparture, d)
}

// redial starts a connection attempt unless the link is connected or closed, or
// its redial delay has not passed. It returns a channel that is closed when the
// attempt in progress ends, or nil if there is none.
func (l *Link) redial(now time.Time) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dialDone != nil {
		return l.dialDone
	}
	if l.closed || l.client != nil || now.Before(l.nextDial) {
		return nil
	}
	l.dialDone = make(chan struct{})
	go l.dial()
	return l.dialDone
}

func (l *Link) dial() {
	client, conn, reply, err := l.connect()
	l.mu.Lock()
	close(l.dialDone)
	l.dialDone = nil
	if err != nil {
		l.dialFailures++
		l.nextDial = time.Now().Add(min(redialMinDelay<<min(l.dialFailures-1, 4), redialMaxDelay))
	} else {
		l.dialFailures, l.client, l.conn, l.incarnation = 0, client, conn, reply.Incarnation
	}
	firstFailure, closed := l.dialFailures == 1, l.closed
	l.mu.Unlock()
	switch {
	case err != nil && firstFailure:
		l.observer.LinkDown(l.addr, err)
	case err == nil && closed:
		client.Close()
	case err == nil:
		l.observer.LinkUp(l.addr, reply)
		go l.awaitClose(client, conn)
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
	conn = newWatchedConn(nc, l.messages)
	client = rpc.NewClient(conn)
	var answer HelloReply // not reply itself: a late reply may be decoded after the timeout
	call := client.Go(methodHello, l.hello(), &answer, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-time.After(replyTimeout):
		err = errNoReply
	}
	if err != nil {
		client.Close()
		return nil, nil, reply, err
	}
	return client, conn, answer, nil
}

// awaitClose waits until the connection ends and then dials again.
func (l *Link) awaitClose(client *rpc.Client, conn *watchedConn) {
	<-conn.done
	l.handleDisconnect(client, conn)
}

// handleDisconnect closes the client, removes the connection from the link and
// dials again. If the link has another connection by now, it only closes the
// client.
func (l *Link) handleDisconnect(client *rpc.Client, conn *watchedConn) {
	client.Close()
	l.mu.Lock()
	current := l.client == client
	if current {
		l.client, l.conn = nil, nil
		l.nextDial = time.Time{}
		if time.Since(conn.opened) < redialMaxDelay { // the node may be closing each connection at once
			l.nextDial = time.Now().Add(redialMinDelay)
		}
	}
	closed := l.closed
	l.mu.Unlock()
	if current && !closed {
		l.observer.LinkDown(l.addr, conn.err())
		l.redial(time.Now())
	}
}

// Run sends a call and waits for its outcome until ctx ends. If the connection
// breaks, it asks for the outcome on a new connection.
func (l *Link) Run(ctx context.Context, c *Call) Result {
	l.mu.Lock()
	client, incarnation := l.client, l.incarnation
	l.mu.Unlock()
	if client == nil {
		return Result{Outcome: toucancall.NotRun, Reason: toucancall.ReasonConnect}
	}
	l.pendingCalls.Add(1)
	defer l.pendingCalls.Add(-1)
	var r Result
	sent := time.Now()
	err := call(ctx, client, methodRun, c, &r)
	switch {
	case err == nil:
		l.observer.ReportReceived(l.addr, nil, r.Report)
		return r
	case ctx.Err() != nil:
		client.Go(methodCancel, c.ID, new(bool), make(chan *rpc.Call, 1))
		return Result{Outcome: toucancall.Unknown, Reason: toucancall.ReasonCancelled}
	}
	l.disconnect(client, err)
	if c.Repeatable {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, outcomeTimeout)
		defer cancel()
	}
	r = l.awaitOutcome(ctx, AwaitRequest{ID: c.ID, Incarnation: incarnation})
	if r.Outcome == toucancall.NotRun && time.Since(sent) >= l.idRetention {
		return Result{Outcome: toucancall.Unknown, Reason: toucancall.ReasonConnectionLost, Report: r.Report}
	}
	return r
}

// awaitOutcome asks the node for the outcome of a call whose connection broke. If
// there is no reply before ctx ends, the outcome is unknown.
func (l *Link) awaitOutcome(ctx context.Context, q AwaitRequest) Result {
	unknown := Result{Outcome: toucancall.Unknown, Reason: toucancall.ReasonConnectionLost}
	for ctx.Err() == nil {
		client, ok := l.awaitConnection(ctx)
		if !ok {
			return unknown
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
			l.disconnect(client, err)
		}
	}
	return unknown
}

// disconnect closes a connection on which a call failed, so that no other call is
// sent on it before its reader notices the failure.
func (l *Link) disconnect(client *rpc.Client, err error) {
	l.mu.Lock()
	conn := l.conn
	current := l.client == client
	l.mu.Unlock()
	if current {
		conn.closeWithError(err)
		l.handleDisconnect(client, conn)
	}
}

// awaitConnection waits until the link is connected. It returns false when ctx
// ends or the link is closed.
func (l *Link) awaitConnection(ctx context.Context) (*rpc.Client, bool) {
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
			attempt = closedAfter(redialMinDelay)
		}
		select {
		case <-attempt:
		case <-ctx.Done():
			return nil, false
		}
	}
}

// closedAfter returns a channel that is closed after d.
func closedAfter(d time.Duration) <-chan struct{} {
	c := make(chan struct{})
	time.AfterFunc(d, func() { close(c) })
	return c
}

// Document fetches the configuration document of the node.
func (l *Link) Document(ctx context.Context) (d Document, err error) {
	l.mu.Lock()
	client := l.client
	l.mu.Unlock()
	if client == nil {
		return d, fmt.Errorf("fetch the configuration document: no connection to %s", l.addr)
	}
	var answer Document // not d itself: a late reply may be decoded after ctx has ended
	if err := call(ctx, client, methodDocument, true, &answer); err != nil {
		return d, fmt.Errorf("fetch the configuration document of %s: %w", l.addr, err)
	}
	return answer, nil
}

// call calls an RPC method and waits for the reply or the end of ctx.
func call(ctx context.Context, client *rpc.Client, method string, args, reply any) error {
	c := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-c.Done:
		return c.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}

// watchedConn records when bytes last arrived and when and why the connection
// ended.
type watchedConn struct {
	net.Conn
	messages  *toucanmemory.Messages // reads from Conn
	lastRead  atomic.Int64           // nanoseconds since opened
	opened    time.Time
	sentSelf  sentMember
	done      chan struct{}
	closeOnce sync.Once
	closeErr  error
}

func newWatchedConn(nc net.Conn, m MessageMemory) *watchedConn {
	return &watchedConn{Conn: nc, messages: m.reader(nc), opened: time.Now(), done: make(chan struct{})}
}

func (c *watchedConn) Read(p []byte) (int, error) {
	c.SetReadDeadline(c.messages.Deadline())
	n, err := c.messages.Read(p)
	c.lastRead.Store(int64(time.Since(c.opened)))
	if err != nil {
		c.closeWithError(err)
	}
	return n, err
}

func (c *watchedConn) Write(p []byte) (int, error) {
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.Conn.Write(p)
	if err != nil {
		c.closeWithError(err)
	}
	return n, err
}

// Close closes the connection.
func (c *watchedConn) Close() error {
	c.closeWithError(net.ErrClosed)
	return nil
}

func (c *watchedConn) closeWithError(err error) {
	c.closeOnce.Do(func() {
		c.closeErr = err
		close(c.done)
		c.Conn.Close()
	})
}

// err returns why the connection ended. It may be called only after done is
// closed.
func (c *watchedConn) err() error { return c.closeErr }

// idleTime returns the time since bytes last arrived.
func (c *watchedConn) idleTime(now time.Time) time.Duration {
	return now.Sub(c.opened) - time.Duration(c.lastRead.Load())
}
