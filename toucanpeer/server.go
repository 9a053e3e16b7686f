package toucanpeer

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"
)

// Handler answers the calls of other nodes.
type Handler interface {
	// Run runs a call; ctx ends some time after the connection it came on.
	Run(ctx context.Context, c *Call) Result
	Cancel(id string)
	Await(ctx context.Context, r AwaitRequest) Result
	Hello(h Hello) HelloReply
	// Ping takes a ping of the node at an address.
	Ping(address string, p Ping) Pong
	Document() Document
}

// orphanTime is how long the calls of a broken connection go on, so that their
// sender can ask for the outcome on a new one.
const orphanTime = 800 * time.Millisecond

// Serve answers other nodes until the listener is closed.
func Serve(l net.Listener, host Handler, log *slog.Logger) error {
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
			time.Sleep(acceptPause)
			continue
		}
		mu.Lock()
		conns[nc] = struct{}{}
		mu.Unlock()
		go func() {
			serveConn(nc, host)
			mu.Lock()
			delete(conns, nc)
			mu.Unlock()
		}()
	}
}

const acceptPause = 10 * time.Millisecond

func serveConn(nc net.Conn, host Handler) {
	ctx, cancel := context.WithCancel(context.Background())
	s := rpc.NewServer()
	if err := s.RegisterName(serviceName, &session{host: host, ctx: ctx}); err != nil {
		panic(err) // the method set is fixed at compile time
	}
	s.ServeConn(&writeDeadlineConn{nc})
	time.AfterFunc(orphanTime, cancel)
}

const (
	serviceName  = "Node"
	methodRun    = serviceName + ".Run"
	methodCancel = serviceName + ".Cancel"
	methodAwait  = serviceName + ".Await"
	methodHello  = serviceName + ".Hello"
	methodPing   = serviceName + ".Ping"
	methodDoc    = serviceName + ".Document"
)

// session holds the methods that net/rpc calls for one connection.
type session struct {
	host Handler
	ctx  context.Context
	told told
	from atomic.Pointer[string] // address of the node that opened the connection
}

func (s *session) Run(c *Call, r *Result) error {
	*r = s.host.Run(s.ctx, c)
	return nil
}

func (s *session) Cancel(id string, _ *bool) error {
	s.host.Cancel(id)
	return nil
}

func (s *session) Await(q AwaitRequest, r *Result) error {
	*r = s.host.Await(s.ctx, q)
	return nil
}

func (s *session) Hello(h Hello, r *HelloReply) error {
	s.from.Store(&h.From.Address)
	*r = s.host.Hello(h)
	return nil
}

func (s *session) Ping(p Ping, r *Pong) error {
	from := s.from.Load()
	if from == nil {
		return errNoHello
	}
	*r = s.host.Ping(*from, p)
	if r.Self != nil {
		r.Self = s.told.news(*r.Self, time.Now())
	}
	return nil
}

var errNoHello = errors.New("the connection did not begin with a hello")

func (s *session) Document(_ bool, d *Document) error {
	*d = s.host.Document()
	return nil
}

// writeTimeout ends a connection whose peer does not read.
const writeTimeout = time.Second

type writeDeadlineConn struct{ net.Conn }

func (c *writeDeadlineConn) Write(p []byte) (int, error) {
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.Conn.Write(p)
}
