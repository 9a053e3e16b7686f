package toucannode

import (
	"io"
	"strings"
	"sync/atomic"
	"testing"

	"toucanhaven/toucancall"
)

// An answer behind the first bytes of an extra one must not take over the status of those bytes.
func TestAnswerBehindCutExtraAnswer(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, tt := range []struct{ name, extra string }{
		{"refusal", "HTTP/1.1 503 Busy\r\nToucan-Not-Run: true\r\nX-Other: 1\r\n"},
		{"failure", "HTTP/1.1 500 Internal Server Error\r\nX-Other: 1\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var cut atomic.Int64
			b := newScriptedBackend(t, func(c *scriptedConn) {
				for req := c.readRequest(); req != nil; req = c.readRequest() {
					io.WriteString(c, tt.extra[:cut.Load()]+answer)
				}
			})
			f := newTestFleet(t)
			node := f.startNode("", nil)
			node.announceBackend("ordini", b.Addr().String())
			for n := range len(tt.extra) + 1 {
				cut.Store(int64(n))
				resp, _ := f.do(node, "POST", "/orders", strings.NewReader("cup"), toucancall.HeaderTimeout, "1000")
				got := outcome(resp)
				if strings.HasPrefix(got, "not_run") || got == "answered" && resp.StatusCode != 200 {
					t.Errorf("behind %q: status %d, %s, but it ran and was answered 200", tt.extra[:n], resp.StatusCode, got)
				}
			}
		})
	}
}
