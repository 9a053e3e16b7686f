package toucankv

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"toucanhaven/toucanresponse/toucanresponsetest"
)

// respondingClient returns a client of a service that answers each request with a response
// and closes the connection.
func respondingClient(t *testing.T, response string) *Client {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		io.WriteString(conn, response)
		conn.(*net.TCPConn).Close()
	}))
	t.Cleanup(server.Close)
	return NewClient(server.Listener.Addr().String())
}

// A broken response must say neither that a write took effect nor that it was refused, and
// must not be the reply to a read.
func TestBrokenResponse(t *testing.T) {
	for _, c := range toucanresponsetest.Broken() {
		for _, status := range []string{"200 OK", "429 Too Many Requests", "400 Bad Request"} {
			t.Run(c.Name+"/"+status[:3], func(t *testing.T) {
				is := is.New(t)
				err := respondingClient(t, c.Response(status, "X-Consul-Index: 7\r\n", "true")).Create(t.Context(), "k", nil)
				var unknown *UnknownResultError
				is.True(errors.As(err, &unknown))
			})
		}
		t.Run(c.Name+"/read", func(t *testing.T) {
			is := is.New(t)
			_, err := respondingClient(t, c.Response("200 OK", "X-Consul-Index: 7\r\n", "[]")).Get(t.Context(), "k")
			var unavailable *UnavailableError
			is.True(errors.As(err, &unavailable))
		})
	}
}

// A sound response must be taken, in whichever of the allowed forms it comes.
func TestSoundResponse(t *testing.T) {
	for _, c := range toucanresponsetest.Sound() {
		if c.OwnStatus() {
			continue
		}
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			is.NoErr(respondingClient(t, c.Response("200 OK", "X-Consul-Index: 7\r\n", "true")).Create(t.Context(), "k", nil))
			err := respondingClient(t, c.Response("400 Bad Request", "", "no")).Create(t.Context(), "k", nil)
			var rejected *RejectedError
			is.True(errors.As(err, &rejected))
		})
	}
}
