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

type echoService struct{ release chan struct{} }

func (echoService) Echo(text string, answer *string) error {
	*answer = text
	return nil
}

func (e echoService) Hang(_ string, _ *string) error {
	<-e.release
	return nil
}

func startEchoServer(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	echo := echoService{release: make(chan struct{})}
	server := rpc.NewServer()
	if err := server.RegisterName("Echo", echo); err != nil {
		t.Fatal(err)
	}
	go server.Accept(listener)
	t.Cleanup(func() { close(echo.release); listener.Close() })
	return listener.Addr().String()
}

// TestControlCallEndsWithContext guards against a node that hangs on a frozen
// peer, and against a connection that is reused after the reply of a call did
// not arrive in time.
func TestControlCallEndsWithContext(t *testing.T) {
	is := is.New(t)
	address := startEchoServer(t)
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

// TestControlClientsAreBounded guards against an unbounded number of
// connections and against connections that are never closed.
func TestControlClientsAreBounded(t *testing.T) {
	is := is.New(t)
	clock := toucanclock.NewManual(time.Unix(1000, 0))
	clients := &controlClients{clock: clock}
	var answer string
	for range maxControlClients + 2 {
		is.NoErr(clients.call(t.Context(), startEchoServer(t), "Echo.Echo", "a", &answer))
		clock.Advance(time.Millisecond)
	}
	is.Equal(len(clients.clients), maxControlClients)
	clock.Advance(controlIdleTimeout)
	clients.closeIdle()
	is.Equal(len(clients.clients), 0)
}

// longAnswerService replies with a value that takes milliseconds to decode.
type longAnswerService struct{}

const longAnswerItems = 200_000

// Long replies with longAnswerItems empty strings.
func (longAnswerService) Long(_ int, answer *[]string) error {
	*answer = make([]string, longAnswerItems)
	return nil
}

// TestLateAnswerDoesNotWriteValue guards against a reply that arrives after its
// call has timed out and is decoded into a value that the caller already uses.
// The race detector reports such a write.
func TestLateAnswerDoesNotWriteValue(t *testing.T) {
	is := is.New(t)
	server := rpc.NewServer()
	is.NoErr(server.RegisterName("Late", longAnswerService{}))
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
