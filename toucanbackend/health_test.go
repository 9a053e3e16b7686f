package toucanbackend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucanbackend"
	"toucanhaven/toucanresponse/toucanresponsetest"
)

// Only an answer with status 200 and an instance id may show that a server takes calls, and
// a health check must end whatever the server sends.
func TestCheckHealth(t *testing.T) {
	for _, tt := range []struct{ name, response, want string }{
		{"healthy", "HTTP/1.1 200 OK\r\nX-Instance-Id: i-1\r\nContent-Length: 0\r\n\r\n", "i-1"},
		{"leaving", "HTTP/1.1 503 Service Unavailable\r\nX-Instance-Id: i-1\r\nContent-Length: 0\r\n\r\n", ""},
		{"no_id", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""},
		{"redirected", "HTTP/1.1 302 Found\r\nX-Instance-Id: i-1\r\nContent-Length: 0\r\n\r\n", ""},
		{"cut", "HTTP/1.1 200 OK\r\nX-Instance-Id: i-1\r\n", ""},
		{"no_answer", "", ""},
		{"endless_header", "HTTP/1.1 200 OK\r\nX-Instance-Id: i-1\r\nX-A: " + strings.Repeat("a", 1<<20), ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			requests := make(chan *http.Request, 1)
			r, _ := rawServer(t, func(c *net.TCPConn) {
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				requests <- req
				io.WriteString(c, tt.response)
			})
			got, err := r.CheckHealth(context.Background(), r.Server().Address, "/health")
			is.Equal(got, tt.want)
			is.Equal(err == nil, tt.want != "")
			is.Equal((<-requests).RequestURI, "/health")
		})
	}
	t.Run("silent", func(t *testing.T) {
		is := is.New(t)
		r, _ := rawServer(t, func(c *net.TCPConn) { io.Copy(io.Discard, c) })
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, err := r.CheckHealth(ctx, r.Server().Address, "/health")
		is.True(err != nil)
		is.True(time.Since(began) < 500*time.Millisecond)
	})
}

// A broken response to a health check must show neither that the server takes calls nor that
// it is leaving.
func TestBrokenHealthResponse(t *testing.T) {
	for _, c := range toucanresponsetest.Broken() {
		for _, status := range []string{"200 OK", "503 Service Unavailable"} {
			t.Run(c.Name+"/"+status[:3], func(t *testing.T) {
				got, err := checkHealth(t, c, status)
				if got != "" || err == nil || toucanbackend.IsFailing(err) {
					t.Errorf("got instance %q and error %v", got, err)
				}
			})
		}
	}
}

// A sound response to a health check must be taken, in whichever of the allowed forms it comes.
func TestSoundHealthResponse(t *testing.T) {
	for _, c := range toucanresponsetest.Sound() {
		if c.OwnStatus() {
			continue
		}
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			got, err := checkHealth(t, c, "200 OK")
			is.NoErr(err)
			is.Equal(got, "i-1")
			_, err = checkHealth(t, c, "503 Service Unavailable")
			is.True(toucanbackend.IsFailing(err))
		})
	}
}

func checkHealth(t *testing.T, c toucanresponsetest.Case, status string) (instance string, err error) {
	r := respondingRunner(t, c.Response(status, "X-Instance-Id: i-1\r\n", "ok"))
	return r.CheckHealth(context.Background(), r.Server().Address, "/health")
}
