package toucanbackend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"toucanhaven/toucancall"
)

// A response behind the first bytes of an extra one must not take over the status of those bytes.
func TestResponseBehindCutExtraResponse(t *testing.T) {
	for _, tt := range []struct{ name, extra, status string }{
		{"refusal", "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: queue full\r\nRetry-After: 1\r\nX-Request-Id: y\r\n", "200 OK"},
		{"misdirected", "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: y\r\n", "200 OK"},
		{"failure", "HTTP/1.1 500 Internal Server Error\r\nX-Response-Signature: old\r\nX-Request-Id: y\r\n", "200 OK"},
		{"success", "HTTP/1.1 200 OK\r\nX-Response-Signature: old\r\nX-Request-Id: y\r\n", "500 Internal Server Error"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			status, response := tt.status[:3], "HTTP/1.1 "+tt.status+"\r\nX-Request-Id: x\r\nX-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok"
			var cut atomic.Int64
			r, _ := rawServer(t, func(c *net.TCPConn) {
				b := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(b)
					if err != nil {
						return
					}
					io.Copy(io.Discard, req.Body)
					io.WriteString(c, tt.extra[:cut.Load()]+response)
				}
			})
			heartbeat := r.Server().Heartbeat
			for n := range len(tt.extra) + 1 {
				cut.Store(int64(n))
				heartbeat.Sequence++
				r.Observe(heartbeat) // a 421 response removes the server
				c := newCall("x")
				c.Left = 200 * time.Millisecond
				got := freshRun(r, c)
				if got.Outcome != toucancall.Unknown && (got.Outcome != toucancall.Answered || fmt.Sprint(got.Status) != status) {
					t.Errorf("behind %q: %s with status %d, but the server ran the call and answered %s", tt.extra[:n], got.Outcome, got.Status, status)
				}
			}
		})
	}
}
