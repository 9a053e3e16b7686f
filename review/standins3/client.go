package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is one client attempt.
type request struct {
	id, method, path string
	deadline         time.Duration
	body             []byte
	closeAfter       bool // asks the node to close the connection after the response
}

func (q request) bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, host, q.id, q.deadline.Milliseconds())
	if q.closeAfter {
		b.WriteString("Connection: close\r\n")
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	b.Write(q.body)
	return b.Bytes()
}

// connectTimeout is how long a client waits for a new connection.
const connectTimeout = time.Second

// ask sends a request on a new connection and returns the response. The status is 0 if there is
// none.
func ask(address string, q request) (status int, header http.Header, body []byte, err error) {
	c, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return 0, nil, nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(q.deadline))
	sent := make(chan error, 1)
	go func() {
		_, err := c.Write(q.bytes())
		sent <- err
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		return 0, nil, nil, err
	}
	body, err = io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, body, err
}
