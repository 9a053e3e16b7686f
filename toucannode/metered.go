package toucannode

import (
	"net"
	"net/http"
	"time"

	"toucanhaven/toucanledger"
	"toucanhaven/toucanmemory"
)

const (
	// maxControlMessageBytes bounds a control message of another node, and all of them that
	// are being read. The largest carry a class file.
	maxControlMessageBytes = 8 << 20
)

// meteredListener accepts connections that count the headers of their requests.
type meteredListener struct{ *toucanledger.Listener }

func (l meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: c.(*toucanledger.Conn)}, nil
}

// meteredConn is a connection of a caller whose request headers are counted in its memory
// while they are read and as long as their requests are active. A connection whose header
// does not fit is closed, which says nothing about a request that was not read.
type meteredConn struct {
	*toucanledger.Conn
	header toucanmemory.Header
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err := c.header.Count(p[:n]); err != nil {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: err} // net/http answers other errors with 400
	}
	return n, err
}

// meterState is the ConnState of the servers that use a meteredListener. A connection
// becomes active when the header of a request has been read, and idle when that is
// answered.
func meterState(c net.Conn, state http.ConnState) {
	m, ok := c.(*meteredConn)
	if !ok {
		return
	}
	toucanledger.ConnState(m.Conn, state)
	switch state {
	case http.StateNew, http.StateIdle:
		m.header.Start(m.Memory(), nil)
	case http.StateActive:
		m.header.Stop()
	case http.StateClosed, http.StateHijacked:
		m.header.Release()
	}
}

// slotPoll is the interval at which a connection whose caller does not read an answer is closed
// while calls wait for its slot.
const slotPoll = 50 * time.Millisecond

// freeSlots closes the worst connection that holds a slot without progress of its caller, if calls
// wait for a slot.
func (n *Node) freeSlots(admission Admission) {
	if admission.Status().Queued > 0 {
		n.closeStalledStream()
	}
}

func (n *Node) closeStalledStream() {
	if !n.callerConns.CloseForSlot() {
		n.callingNodes.CloseForSlot()
	}
}

// messageConn is a control connection whose messages are bounded.
type messageConn struct {
	net.Conn
	messages *toucanmemory.Messages
}

func (c *messageConn) Read(p []byte) (int, error) { return c.messages.Read(p) }

func limitMessages(c net.Conn, b *toucanmemory.Budget) net.Conn {
	if b == nil {
		return c
	}
	return &messageConn{c, toucanmemory.NewMessages(c, b, maxControlMessageBytes)}
}
