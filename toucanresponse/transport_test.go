package toucanresponse_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"toucanhaven/toucanresponse"
	"toucanhaven/toucanresponse/toucanresponsetest"
)

// server answers each request with its response.
type server struct {
	net.Listener
	response atomic.Pointer[string]
	conns    atomic.Int64
	kept     bool // connections are kept open
}

func startServer(t *testing.T, kept bool) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &server{Listener: l, kept: kept}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(c)
		}
	}()
	return s
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for more := true; more; more = s.kept {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		io.WriteString(c, *s.response.Load())
	}
}

// exchange sends a request and returns the response with its body.
func (s *server) exchange(client *http.Client, method, response string) (*http.Response, string, error) {
	s.response.Store(&response)
	req, err := http.NewRequest(method, "http://"+s.Addr().String()+"/", strings.NewReader("cup"))
	if err != nil {
		return nil, "", err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func newClient(t *testing.T) *http.Client {
	client := &http.Client{Transport: toucanresponse.Checked(&http.Transport{DisableCompression: true})}
	t.Cleanup(client.CloseIdleConnections)
	return client
}

func TestCheckedBroken(t *testing.T) {
	s, client := startServer(t, false), newClient(t)
	for _, c := range toucanresponsetest.Broken() {
		t.Run(c.Name, func(t *testing.T) {
			if resp, body, err := s.exchange(client, "POST", c.Response("200 OK", "X-B: w\r\n", "ok")); err == nil {
				t.Errorf("accepted status %d, header %v and body %q", resp.StatusCode, resp.Header, body)
			}
		})
	}
}

// Sound responses must arrive whole, on one connection while they do not end it.
func TestCheckedSound(t *testing.T) {
	s, client := startServer(t, true), newClient(t)
	closing := 0
	for _, c := range toucanresponsetest.Sound() {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			text := c.Response("200 OK", "X-B: w\r\n", "ok")
			got, body, err := s.exchange(client, "POST", text)
			is.NoErr(err)
			is.Equal(body, "ok")
			_, want, _, _, err := readAll(text, "POST", readReference)
			is.NoErr(err)
			compareHeads(is, got, want)
			if want.Close {
				closing++
			}
			got, body, err = s.exchange(client, "HEAD", "HTTP/1.1 200 OK\r\nX-B: w\r\nContent-Length: 5\r\n\r\n")
			is.NoErr(err)
			is.Equal(body, "")
			is.Equal(got.Header.Get("Content-Length"), "5")
		})
	}
	is.New(t).Equal(s.conns.Load(), int64(1+closing))
}

// A large body must arrive as it was sent, and its end by the end of the connection. The server
// announces that it closes the connection, because a client may send its next request on one that
// is closed without notice.
func TestCheckedLargeBody(t *testing.T) {
	s, client := startServer(t, false), newClient(t)
	large := strings.Repeat("0123456789abcdef", 10_000)
	for _, framing := range []string{"Content-Length: 160000\r\n\r\n" + large, "Transfer-Encoding: chunked\r\n\r\n27100\r\n" + large + "\r\n0\r\n\r\n", "\r\n" + large} {
		is := is.New(t)
		_, body, err := s.exchange(client, "POST", "HTTP/1.1 200 OK\r\nConnection: close\r\n"+framing)
		is.NoErr(err)
		is.True(body == large)
	}
}

// A response that nobody asked for must not be taken for that of the next request.
func TestCheckedUnsolicited(t *testing.T) {
	is := is.New(t)
	s, client := startServer(t, true), newClient(t)
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for range 20 {
		_, body, err := s.exchange(client, "POST", whole+strings.Replace(whole, "ok", "no", 1))
		is.True(err != nil || body == "ok")
	}
}
