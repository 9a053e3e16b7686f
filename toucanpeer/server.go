package toucanpeer

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"toucanhaven/toucanmemory"
)

// Handler handles the messages of other nodes.
type Handler interface {
	// Run runs a call. ctx is cancelled orphanedCallTimeout after the connection on
	// which the call arrived has ended.
	Run(ctx context.Context, c *Call) Result
	// Cancel cancels the call with the given id.
	Cancel(id string)
	// Await waits for the outcome of a call whose connection broke.
	Await(ctx context.Context, r AwaitRequest) Result
	// Hello handles the first message on a connection.
	Hello(h Hello) HelloReply
	// Ping handles a ping from the node with the given peer address.
	Ping(address string, p Ping) Pong
	// UpdateMembers applies a change of the listed members.
	UpdateMembers(u MemberUpdate)
	// RecordDeparture records a departure in the store and reports whether the store
	// has it.
	RecordDeparture(ctx context.Context, d Departure) bool
	// WitnessDeparture remembers a departure for the node beside the backend server, and
	// reports whether it does.
	WitnessDeparture(d Departure) bool
	// Document returns the configuration document in force.
	Document() Document
}

// orphanedCallTimeout is how long calls keep running after their connection
// broke, so that the sender can ask for the outcome on a new connection.
const orphanedCallTimeout = 800 * time.Millisecond

// MessageMemory bounds the memory of messages of other nodes that are being read. The zero
// value has no limit but that of gob.
type MessageMemory struct {
	Budget *toucanmemory.Budget
	Limit  int64 // largest message, in bytes
}

func (m MessageMemory) reader(r io.Reader) *toucanmemory.Messages {
	if m.Budget == nil {
		m = MessageMemory{Budget: &toucanmemory.Budget{}, Limit: 1 << 30}
	}
	return toucanmemory.NewMessages(r, m.Budget, m.Limit)
}

// Serve accepts connections of other nodes and passes their messages to the
// handler until the listener is closed.
func Serve(l net.Listener, handler Handler, m MessageMemory, log *slog.Logger) error {
	var mu sync.Mutex
	conns := make(map[net.Conn]struct{})
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			mu.Lock()
			defer mu.Unlock()
			for c := range conns {
				c.Close()
			}
			return nil
		}
		if err != nil {
			log.Warn("peer accept failed", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		mu.Lock()
		conns[nc] = struct{}{}
		mu.Unlock()
		go func() {
			serveConn(nc, handler, m)
			mu.Lock()
			delete(conns, nc)
			mu.Unlock()
		}()
	}
}

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 10 * time.Millisecond

func serveConn(nc net.Conn, handler Handler, m MessageMemory) {
	ctx, cancel := context.WithCancel(context.Background())
	s := rpc.NewServer()
	conn := &serverConn{Conn: nc, messages: m.reader(nc), opened: time.Now()}
	if err := s.RegisterName(serviceName, &session{handler: handler, ctx: ctx, greet: conn.greet}); err != nil {
		panic(err) // the method set is fixed at compile time
	}
	newServerCodec(s, conn, func() { time.AfterFunc(orphanedCallTimeout, cancel) }).serve()
}

const (
	serviceName            = "Node"
	methodRun              = serviceName + ".Run"
	methodCancel           = serviceName + ".Cancel"
	methodAwait            = serviceName + ".Await"
	methodHello            = serviceName + ".Hello"
	methodPing             = serviceName + ".Ping"
	methodMembers          = serviceName + ".Members"
	methodRecordDeparture  = serviceName + ".RecordDeparture"
	methodWitnessDeparture = serviceName + ".WitnessDeparture"
	methodDocument         = serviceName + ".Document"
)

// session is the net/rpc receiver of one connection.
type session struct {
	handler     Handler
	ctx         context.Context
	sentSelf    sentMember
	greet       func()                 // is called when the hello has arrived
	fromAddress atomic.Pointer[string] // peer address of the node that opened the connection; nil before its hello
}

func (s *session) Run(c *Call, r *Result) error {
	*r = s.handler.Run(s.ctx, c)
	return nil
}

func (s *session) Cancel(id string, _ *bool) error {
	s.handler.Cancel(id)
	return nil
}

func (s *session) Await(q AwaitRequest, r *Result) error {
	*r = s.handler.Await(s.ctx, q)
	return nil
}

func (s *session) Hello(h Hello, r *HelloReply) error {
	s.fromAddress.Store(&h.From.Address)
	s.greet()
	*r = s.handler.Hello(h)
	return nil
}

func (s *session) Ping(p Ping, r *Pong) error {
	from := s.fromAddress.Load()
	if from == nil {
		return errNoHello
	}
	*r = s.handler.Ping(*from, p)
	if r.Self != nil {
		r.Self = s.sentSelf.nextUpdate(*r.Self, time.Now())
	}
	return nil
}

func (s *session) Members(u MemberUpdate, _ *bool) error {
	s.handler.UpdateMembers(u)
	return nil
}

func (s *session) RecordDeparture(d Departure, recorded *bool) error {
	*recorded = s.handler.RecordDeparture(s.ctx, d)
	return nil
}

func (s *session) WitnessDeparture(d Departure, kept *bool) error {
	*kept = s.handler.WitnessDeparture(d)
	return nil
}

var errNoHello = errors.New("the connection did not begin with a hello")

func (s *session) Document(_ bool, d *Document) error {
	*d = s.handler.Document()
	return nil
}

const (
	// writeTimeout is the timeout of a write, which closes the connection to a node
	// that does not read.
	writeTimeout = time.Second
	// helloTimeout is the time in which the hello must arrive on a new connection.
	helloTimeout = 2 * time.Second
	// silenceTimeout closes a connection whose node sends nothing more, for example
	// because it lost power. Nodes with many links probe them about once a minute.
	silenceTimeout = 3 * time.Minute
)

// serverConn is a connection that another node opened. It has a deadline for each read and
// write, and bounds the messages that it reads.
type serverConn struct {
	net.Conn
	messages *toucanmemory.Messages // reads from Conn
	opened   time.Time

	mu      sync.Mutex
	greeted bool
}

func (c *serverConn) Read(p []byte) (int, error) {
	c.setReadDeadline(c.messages.Deadline())
	return c.messages.Read(p)
}

// setReadDeadline sets the deadline of the next read: that of the current message, if it has
// one, and otherwise that of the connection.
func (c *serverConn) setReadDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.greeted:
		deadline = c.opened.Add(helloTimeout)
	case deadline.IsZero():
		deadline = time.Now().Add(silenceTimeout)
	}
	c.SetReadDeadline(deadline)
}

// greet ends the wait for the hello, also for a read that has begun.
func (c *serverConn) greet() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.greeted = true
	c.SetReadDeadline(time.Now().Add(silenceTimeout))
}

func (c *serverConn) Write(p []byte) (int, error) {
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.Conn.Write(p)
}
