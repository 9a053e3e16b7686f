package toucanserve_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"toucanhaven/toucanserve"
)

// The requests that reach the handler must be the first ones that net/http reads from the
// same bytes, in the same order and with the same bodies: no request may be smuggled
// inside another one.
func FuzzRequests(f *testing.F) {
	f.Add("GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n")
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhiGET /b HTTP/1.1\r\nHost: h\r\n\r\n")
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n")
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, data string) {
		var mu sync.Mutex
		got := make(map[string]int) // a pipelined request may be handled before an earlier one
		_, address := startServer(t, func(_ context.Context, r *toucanserve.Request) *toucanserve.Response {
			mu.Lock()
			defer mu.Unlock()
			got[r.Method+" "+r.URI+" "+string(r.Body)]++
			return toucanserve.NewResponse(200, nil, nil)
		})
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(2 * time.Second))
		go func() {
			io.WriteString(c, data)
			c.(*net.TCPConn).CloseWrite()
		}()
		io.Copy(io.Discard, c)
		reference := bufio.NewReader(strings.NewReader(data))
		for {
			r, err := http.ReadRequest(reference)
			if err != nil {
				break
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				break
			}
			uri := r.RequestURI
			if !strings.HasPrefix(uri, "/") {
				uri = r.URL.RequestURI()
			}
			mu.Lock()
			got[r.Method+" "+uri+" "+string(body)]--
			mu.Unlock()
		}
		mu.Lock()
		defer mu.Unlock()
		for request, n := range got {
			if n > 0 {
				t.Fatalf("handled %q, which the reference does not read", request)
			}
		}
	})
}
