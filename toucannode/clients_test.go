package toucannode

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Callers that do not read their answers must not keep the slots of the backend server from an
// ordinary caller until their deadlines.
func TestUnreadStreamsGiveUpSlots(t *testing.T) {
	is := is.New(t)
	long := make([]byte, 16<<20)
	f := newTestFleet(t)
	n := f.startNode("ordini", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/orders/long") {
			w.Header().Set("Content-Length", fmt.Sprint(len(long)))
			w.Write(long)
			return
		}
		io.WriteString(w, "whole")
	}))
	send := func(path, timeoutMillis string) net.Conn {
		small := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
		}}
		c, err := small.Dial("tcp", n.Addresses().Caller)
		is.NoErr(err)
		t.Cleanup(func() { c.Close() })
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\nToucan-Service: ordini\r\nToucan-Timeout: %s\r\n\r\n", path, timeoutMillis)
		return c
	}
	limit := n.admission.Status().Limit
	for range limit {
		send("/orders/long", "60000")
	}
	for end := time.Now().Add(10 * time.Second); n.admission.Status().Running < limit && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
	}
	is.Equal(n.admission.Status().Running, limit)
	resp, err := http.ReadResponse(bufio.NewReader(send("/orders/1", "5000")), nil)
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(string(body), "whole")
}
