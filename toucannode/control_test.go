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

func (controlEcho) Slow(size int, answer *[]byte) error {
	time.Sleep(time.Millisecond)
	*answer = make([]byte, size)
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

// Guards against an answer that net/rpc still decodes after the call has ended,
// which the race detector reports, and against a write that blocks for ever.
func TestControlAnswerIsNotWrittenLate(t *testing.T) {
	address := serveEcho(t)
	clients := &controlClients{clock: toucanclock.System{}}
	defer clients.close()
	for i := range 100 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond+time.Duration(i)*20*time.Microsecond)
		var answer []byte
		err := clients.call(ctx, address, "Echo.Slow", 1<<20, &answer)
		if err == nil && len(answer) != 1<<20 {
			t.Errorf("answer of %d bytes", len(answer))
		}
		answer = nil
		cancel()
	}
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
	clock.Advance(controlIdle)
	clients.closeIdle()
	is.Equal(len(clients.clients), 0)
}
