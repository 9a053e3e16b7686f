package toucanserve_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucanclock"
	"toucanhaven/toucanledger"
	"toucanhaven/toucanmemory"
	"toucanhaven/toucanserve"
)

func startServer(t *testing.T, h toucanserve.Handler) (*toucanserve.Server, string) {
	s := &toucanserve.Server{
		Handler: h, RetryAfter: time.Second, Logger: slog.New(slog.DiscardHandler),
		Ledger: toucanledger.New(toucanledger.Options{
			Memory: toucanmemory.NewBudget(16 << 20), Conns: 100, BufferBytes: 32 << 10, Clock: toucanclock.System{}, Log: slog.New(slog.DiscardHandler),
		}),
		Bounds: func() toucanserve.Bounds {
			return toucanserve.Bounds{HeaderBytes: 1000, BodyBytes: 500, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 300 * time.Millisecond}
		},
	}
	lc := toucanledger.ListenConfig(32 << 10)
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	t.Cleanup(func() { l.Close(); s.Close() })
	return s, l.Addr().String()
}

// echo responds with the method, request target and body of the request.
func echo(_ context.Context, r *toucanserve.Request) *toucanserve.Response {
	return toucanserve.NewResponse(200, nil, fmt.Appendf(nil, "%s %s %s", r.Method, r.URI, r.Body))
}

func TestBodies(t *testing.T) {
	for _, tt := range []struct{ name, request, want string }{
		{"length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi", "POST /a hi"},
		{"chunked", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "POST /a hi"},
		{"both", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "POST /a hi"},
		{"expect", "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nhi", "POST /a hi"},
		{"long_chunks", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3e8\r\n" + strings.Repeat("x", 1000) + "\r\n0\r\n\r\n", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, address := startServer(t, echo)
			c, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer c.Close()
			// A second, pipelined request must not be read as part of the first body.
			_, err = io.WriteString(c, tt.request+"GET /second HTTP/1.1\r\nHost: h\r\n\r\n")
			is.NoErr(err)
			r := bufio.NewReader(c)
			resp, err := http.ReadResponse(r, nil)
			is.NoErr(err)
			if resp.StatusCode == http.StatusContinue {
				resp, err = http.ReadResponse(r, nil)
				is.NoErr(err)
			}
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			if tt.want == "" {
				is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
				return
			}
			is.Equal(string(body), tt.want)
			resp, err = http.ReadResponse(r, nil)
			is.NoErr(err)
			body, err = io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(body), "GET /second ")
		})
	}
}

func TestIdleConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	_, address := startServer(t, echo)
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer c.Close()
	began := time.Now()
	c.SetReadDeadline(began.Add(5 * time.Second))
	_, err = c.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.True(time.Since(began) > 300*time.Millisecond)
}

// While the server drains, all requests that were read must be answered, and the
// connection is closed after the last response.
func TestDrainAnswersReadRequests(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{}, 3)
	release := make(chan struct{})
	s, address := startServer(t, func(ctx context.Context, r *toucanserve.Request) *toucanserve.Response {
		started <- struct{}{}
		<-release
		return echo(ctx, r)
	})
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer c.Close()
	for i := range 3 {
		fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
	}
	for range 3 {
		<-started
	}
	s.Drain()
	is.Equal(s.Active(), 3)
	close(release)
	r := bufio.NewReader(c)
	for i := range 3 {
		resp, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		io.Copy(io.Discard, resp.Body)
		is.Equal(resp.Close, i == 2)
	}
	_, err = r.ReadByte()
	is.Equal(err, io.EOF)
}

// When a caller closes its connection, all its requests must be cancelled,
// including those before a pipelined request.
func TestCallerCloseCancelsAllRequests(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{}, 2)
	_, address := startServer(t, func(ctx context.Context, _ *toucanserve.Request) *toucanserve.Response {
		<-ctx.Done()
		ended <- struct{}{}
		return nil
	})
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	c.Close()
	for range 2 {
		select {
		case <-ended:
		case <-time.After(500 * time.Millisecond):
			t.Fatal("request was not cancelled within 500 ms after its caller closed the connection")
		}
	}
}

// Requests behind a response that its caller does not read must not run once the connection holds
// much, and run when the caller reads.
func TestUnreadAnswerHoldsBackPipeline(t *testing.T) {
	is := is.New(t)
	var handled atomic.Int64
	_, address := startServer(t, func(context.Context, *toucanserve.Request) *toucanserve.Response {
		handled.Add(1)
		return toucanserve.NewResponse(200, nil, make([]byte, 600<<10))
	})
	small := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	c, err := small.Dial("tcp", address)
	is.NoErr(err)
	defer c.Close()
	const requests = 16
	io.WriteString(c, "GET /0 HTTP/1.1\r\nHost: h\r\n\r\n")
	for handled.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond) // the response holds its memory
	for i := range requests - 1 {
		fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i+1)
	}
	time.Sleep(200 * time.Millisecond)
	if n := handled.Load(); n >= requests/2 {
		t.Fatalf("%d of %d requests have run behind an unread response, want less than half", n, requests)
	}
	r := bufio.NewReader(c)
	for range requests {
		resp, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		n, err := io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.Equal(resp.StatusCode, 200)
		is.Equal(n, int64(600<<10))
	}
	is.Equal(handled.Load(), int64(requests))
}

// A response for which there is no memory must not be sent as if the request had been answered, or
// had not run.
func TestResponseBeyondMemoryPromisesNothing(t *testing.T) {
	is := is.New(t)
	_, address := startServer(t, func(context.Context, *toucanserve.Request) *toucanserve.Response {
		return toucanserve.NewResponse(200, nil, make([]byte, 20<<20))
	})
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer c.Close()
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadGateway)
}

// A caller that reads or sends slowly, but makes progress, must not be cut off for the time that it
// takes.
func TestSlowCallerIsServedWhole(t *testing.T) {
	const pause, steps = 250 * time.Millisecond, 45 // longer than 10 s
	body := bytes.Repeat([]byte("0123456789abcdef"), 100<<6)
	_, address := startServer(t, func(_ context.Context, r *toucanserve.Request) *toucanserve.Response {
		if len(r.Body) > 0 {
			return toucanserve.NewResponse(200, nil, r.Body)
		}
		return toucanserve.NewResponse(200, nil, body)
	})
	small := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	t.Run("reads", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		c, err := small.Dial("tcp", address)
		is.NoErr(err)
		defer c.Close()
		io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		var got bytes.Buffer
		for range steps {
			_, err := io.CopyN(&got, c, int64(len(body)/steps))
			is.NoErr(err)
			time.Sleep(pause)
		}
		_, err = io.Copy(&got, c)
		is.NoErr(err)
		is.True(bytes.HasSuffix(got.Bytes(), append([]byte("\r\n\r\n"), body...)))
	})
	t.Run("sends", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer c.Close()
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", steps)
		for range steps {
			_, err := io.WriteString(c, "x")
			is.NoErr(err)
			time.Sleep(pause)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		got, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(got), strings.Repeat("x", steps))
	})
}
