package toucanresponse

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// copyBytes is the part of a body that is passed on at a time.
const copyBytes = 4 << 10

var errUnsolicited = errors.New("bytes on a connection without a request")

// Checked returns a round tripper that makes its calls with t, which gets only responses that
// Read accepts. The others are errors. Checked replaces the dial function of t.
func Checked(t *http.Transport) http.RoundTripper {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: c, r: bufio.NewReader(c)}, nil
	}
	return checkedTransport{t}
}

type checkedTransport struct{ *http.Transport }

// RoundTrip tells the connection the method of the request, which decides whether its response
// has a body.
func (t checkedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*checkedConn); ok {
			c.expectResponse(req.Method)
		}
	}}
	return t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
}

// checkedConn is a connection on which only checked responses are read. http.Transport parses
// them once more from the form in which they are written to out.
type checkedConn struct {
	net.Conn
	r    *bufio.Reader
	out  bytes.Buffer
	resp *http.Response  // the one whose body is read; nil between responses
	buf  [copyBytes]byte // holds a part of the body
	err  error           // ends the connection

	mu       sync.Mutex
	method   string
	expected bool // a request has no final response yet
}

func (c *checkedConn) expectResponse(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.method, c.expected = method, true
}

func (c *checkedConn) Read(p []byte) (int, error) {
	for c.out.Len() == 0 {
		if c.err != nil {
			return 0, c.err
		}
		if c.resp == nil {
			c.err = c.readHead()
		} else {
			c.err = c.readBody()
		}
	}
	return c.out.Read(p)
}

// readHead writes the head of the next response to out. It returns io.EOF if the connection
// ends before it.
func (c *checkedConn) readHead() error {
	if _, err := c.r.Peek(1); err != nil {
		return err
	}
	c.mu.Lock()
	method, expected := c.method, c.expected
	c.mu.Unlock()
	if !expected {
		return errUnsolicited
	}
	resp, err := Read(c.r, method)
	if err != nil {
		return err
	}
	writeHead(&c.out, resp)
	if resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
		return nil
	}
	c.resp = resp
	if resp.Body == http.NoBody {
		return c.endResponse()
	}
	return nil
}

// endResponse returns an error if bytes follow the response, which belong to no request.
func (c *checkedConn) endResponse() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resp, c.expected = nil, false
	if c.r.Buffered() > 0 {
		return errUnsolicited
	}
	return nil
}

// readBody writes the next part of the body to out.
func (c *checkedConn) readBody() error {
	n, err := c.resp.Body.Read(c.buf[:])
	chunked := len(c.resp.TransferEncoding) > 0
	switch {
	case !chunked:
		c.out.Write(c.buf[:n])
	case n > 0:
		fmt.Fprintf(&c.out, "%x\r\n%s\r\n", n, c.buf[:n])
	}
	if err != io.EOF {
		return err
	}
	if chunked {
		c.out.WriteString("0\r\n")
		_ = c.resp.Trailer.Write(&c.out) // a bytes.Buffer returns no error
		c.out.WriteString("\r\n")
	}
	if _, ok := c.resp.Body.(untilClose); ok {
		return io.EOF
	}
	return c.endResponse()
}

// writeHead writes a head as http.Transport reads it.
func writeHead(w *bytes.Buffer, resp *http.Response) {
	fmt.Fprintf(w, "%s %s\r\n", resp.Proto, resp.Status)
	_ = resp.Header.Write(w) // a bytes.Buffer returns no error
	if len(resp.TransferEncoding) > 0 {
		w.WriteString("Transfer-Encoding: chunked\r\n")
	}
	for key := range resp.Trailer {
		fmt.Fprintf(w, "Trailer: %s\r\n", key)
	}
	w.WriteString("\r\n")
}
