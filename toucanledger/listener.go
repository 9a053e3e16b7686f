package toucanledger

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"toucanhaven/toucanmemory"
)

// placePoll is the interval at which a new connection looks for a place.
const placePoll = 2 * time.Millisecond

// Listener accepts connections and enters them in a ledger.
type Listener struct {
	net.Listener
	ledger    *Ledger
	closed    chan struct{}
	closeOnce sync.Once
}

// Listen returns a listener whose connections are entered in the ledger. They are of type
// *Conn. The listener inside is one of a ListenConfig with the same size of kernel buffers.
func (l *Ledger) Listen(inner net.Listener) *Listener {
	return &Listener{Listener: inner, ledger: l, closed: make(chan struct{})}
}

// Accept waits for a connection and for room for it. If there is none, it closes another one
// that waits for its caller. Without descriptors it does so too.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		l.ledger.closeWorst()
	}
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: nc, ledger: l.ledger}
	c.memory = toucanmemory.NewPart(l.ledger.o.Memory, func(held, n int64) bool { return l.ledger.grow(c, held, n) })
	for !l.ledger.add(c) {
		select {
		case <-l.ledger.freed:
		case <-time.After(placePoll):
		case <-l.closed:
			nc.Close()
			return nil, net.ErrClosed
		}
	}
	c.AwaitInput()
	return c, nil
}

// Close closes the listener. Its connections stay open.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// closeWorst closes the worst connection for a shortage of descriptors.
func (l *Ledger) closeWorst() {
	l.mu.Lock()
	victim := l.worst(nil, l.connStall(), func(*Conn) bool { return true })
	l.mu.Unlock()
	l.shut(victim, Connections)
}

// ConnState is the hook of an http.Server that serves a Listener.
func ConnState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew, http.StateIdle:
		c.AwaitInput()
	case http.StateActive:
		c.EndInput()
	}
}
