package toucanserve_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucanmemory"
	"toucanhaven/toucanserve"
)

func startServer(t *testing.T, h toucanserve.Handler) (*toucanserve.Server, string) {
	s := &toucanserve.Server{
		Handler: h, Bodies: toucanmemory.NewBudget(1000), RetryAfter: time.Second, Logger: slog.New(slog.DiscardHandler),
		Bounds: func() toucanserve.Bounds {
			return toucanserve.Bounds{HeaderBytes: 1000, BodyBytes: 500, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 300 * time.Millisecond}
		},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
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
