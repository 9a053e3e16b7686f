package toucannode

import (
	"context"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucanclock"
)

type controlEcho struct{ release chan struct{} }

func (controlEcho) Echo(text string, answer *string) error {
	*answer = text
	return nil
}

func (e controlEcho) Hang(_ string, _ *string) error {
	<-e.release
	return nil
}

func serveEcho(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	echo := controlEcho{release: make(chan struct{})}
	server := rpc.NewServer()
	if err := server.RegisterName("Echo", echo); err != nil {
		t.Fatal(err)
	}
	go server.Accept(listener)
	t.Cleanup(func() { close(echo.release); listener.Close() })
	return listener.Addr().String()
}

// Guards against a node that hangs on a frozen peer, and against a connection
// that is used again after its answer did not come in time.
func TestControlCallEndsWithContext(t *testing.T) {
	is := is.New(t)
	address := serveEcho(t)
	clients := &controlClients{clock: toucanclock.System{}}
	defer clients.close()
	var answer string
	is.NoErr(clients.call(t.Context(), address, "Echo.Echo", "a", &answer))
	is.Equal(answer, "a")
	is.Equal(len(clients.clients), 1)
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	is.True(clients.call(ctx, address, "Echo.Hang", "a", &answer) != nil)
	is.Equal(len(clients.clients), 0)
	is.NoErr(clients.call(t.Context(), address, "Echo.Echo", "b", &answer))
	is.Equal(answer, "b")
}

// Guards against unbounded connections and against connections kept open for
// ever.
func TestControlClientsAreBounded(t *testing.T) {
	is := is.New(t)
	clock := toucanclock.NewManual(time.Unix(1000, 0))
	clients := &controlClients{clock: clock}
	var answer string
	for range maxControlClients + 2 {
		is.NoErr(clients.call(t.Context(), serveEcho(t), "Echo.Echo", "a", &answer))
		clock.Advance(time.Millisecond)
	}
	is.Equal(len(clients.clients), maxControlClients)
	clock.Advance(controlIdleTimeout)
	clients.closeIdle()
	is.Equal(len(clients.clients), 0)
}

// longReply answers with a value that takes milliseconds to decode.
type longReply struct{}

const longAnswer = 200_000

// Long is the method of longReply.
func (longReply) Long(_ int, answer *[]string) error {
	*answer = make([]string, longAnswer)
	return nil
}

// Guards against an answer that arrives after its call has timed out and is
// decoded into a value that the caller already uses. The race detector reports
// it.
func TestLateAnswerLeavesTheValueAlone(t *testing.T) {
	is := is.New(t)
	server := rpc.NewServer()
	is.NoErr(server.RegisterName("Late", longReply{}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go server.Accept(l)
	clients := &controlClients{clock: toucanclock.System{}}
	defer clients.close()
	for i := range 50 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i)*time.Millisecond)
		var answer []string
		if err := clients.call(ctx, l.Addr().String(), "Late.Long", i, &answer); err != nil {
			is.Equal(len(answer), 0)
		}
		for j := range answer {
			answer[j] = "used by the caller"
		}
		cancel()
	}
}
