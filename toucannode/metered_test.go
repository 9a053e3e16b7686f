package toucannode

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucanclock"
	"toucanhaven/toucanledger"
	"toucanhaven/toucanmemory"
)

// A request whose header does not fit into the memory must get no answer, because one of
// net/http would say nothing about whether the request ran; other requests must be answered.
func TestHeaderBeyondMemory(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	budget := toucanmemory.NewBudget(100_000)
	server := &http.Server{
		Handler:   http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "whole") }),
		ConnState: meterState,
	}
	ledger := toucanledger.New(toucanledger.Options{
		Memory: budget, Conns: 100, Clock: toucanclock.System{}, Log: slog.New(slog.DiscardHandler),
	})
	go server.Serve(meteredListener{ledger.Listen(l)})
	t.Cleanup(func() { server.Close() })
	exchange := func(request string) string {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer c.Close()
		c.SetDeadline(time.Now().Add(5 * time.Second))
		io.WriteString(c, request)
		answer, _ := io.ReadAll(c) // a reset ends it too
		return string(answer)
	}
	const head = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
	fits := head + strings.Repeat("A: b\r\n", 300) + "\r\n"
	for _, tt := range []struct {
		request  string
		answered bool
	}{
		{head + "\r\n", true}, {fits, true}, {head + strings.Repeat("A: b\r\n", 3000) + "\r\n", false}, {fits, true},
	} {
		answer := exchange(tt.request)
		is.Equal(strings.HasSuffix(answer, "whole"), tt.answered)
		is.Equal(answer == "", !tt.answered)
	}
	for end := time.Now().Add(5 * time.Second); budget.Used() > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	is.Equal(budget.Used(), int64(0))
}
