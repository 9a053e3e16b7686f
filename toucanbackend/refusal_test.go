package toucanbackend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"toucanhaven/toucancall"
)

// A refusal that the server writes again must not make a later call "not run" that the
// server ran, wherever the copies come on a kept connection and whatever id they bear.
func TestRepeatedRefusalOnKeptConnection(t *testing.T) {
	const sameID = "same"
	ids := map[string]func(id string) string{
		"earlier_id": func(id string) string { return "X-Request-Id: " + id + "\r\n" },
		"other_id":   func(string) string { return "X-Request-Id: other\r\n" },
		"no_id":      func(string) string { return "" },
		sameID:       func(id string) string { return "X-Request-Id: " + id + "\r\n" },
	}
	for _, tt := range []struct {
		name                                  string
		atOnce, whileIdle, afterRead, afterOK int // copies at each moment
		runTime                               time.Duration
	}{
		{name: "at_once", atOnce: 1},
		{name: "at_once_several", atOnce: 3},
		{name: "while_idle", whileIdle: 1},
		{name: "while_idle_several", whileIdle: 6},
		{name: "after_next_request", afterRead: 1},
		{name: "after_next_request_long_run", afterRead: 1, runTime: 20 * time.Millisecond},
		{name: "after_next_request_several", afterRead: 3},
		{name: "after_next_request_many", afterRead: 6},
		{name: "after_next_response", afterOK: 1},
		{name: "after_next_response_several", afterOK: 6},
		{name: "always", atOnce: 1, whileIdle: 1, afterRead: 1, afterOK: 1},
	} {
		for _, status := range []int{503, 429, 421, 408, 400} {
			for idName, idField := range ids {
				t.Run(fmt.Sprintf("%s/%d/%s", tt.name, status, idName), func(t *testing.T) {
					var mu sync.Mutex
					runs := map[string]int{}
					idleWritten := make(chan struct{}, 100)
					r, _ := rawServer(t, func(c *net.TCPConn) {
						in, refusal := bufio.NewReader(c), ""
						for {
							req, err := http.ReadRequest(in)
							if err != nil {
								return
							}
							io.Copy(io.Discard, req.Body)
							id := req.Header.Get("X-Request-Id")
							if refusal == "" && req.Header.Get("X-Refuse") != "" {
								const format = "HTTP/1.1 %d Refused\r\n%sX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
								refusal = fmt.Sprintf(format, status, idField(id))
								first := refusal
								if idName == "other_id" { // of the copies only
									first = fmt.Sprintf(format, status, "X-Request-Id: "+id+"\r\n")
								}
								io.WriteString(c, first+strings.Repeat(refusal, tt.atOnce))
								if tt.whileIdle > 0 {
									time.Sleep(2 * time.Millisecond)
									io.WriteString(c, strings.Repeat(refusal, tt.whileIdle))
								}
								idleWritten <- struct{}{}
								continue
							}
							mu.Lock()
							runs[req.Header.Get("X-Number")]++
							mu.Unlock()
							io.WriteString(c, strings.Repeat(refusal, tt.afterRead))
							time.Sleep(tt.runTime)
							io.WriteString(c, strings.ReplaceAll(responseHead, ": x", ": "+id)+"Content-Length: 2\r\n\r\nok")
							io.WriteString(c, strings.Repeat(refusal, tt.afterOK))
						}
					})
					for i := range 5 {
						c := newCall(fmt.Sprint("x", i))
						c.Header = []string{"X-Number", fmt.Sprint(i)}
						if i == 0 {
							c.Header = append(c.Header, "X-Refuse", "1")
						}
						if idName == sameID {
							c.ID, c.Repeat = "x", i > 0
							r.Forget("x")
						}
						got := r.Run(context.Background(), c)
						mu.Lock()
						n := runs[fmt.Sprint(i)]
						mu.Unlock()
						if n > 0 && got.Outcome == toucancall.NotRun {
							t.Errorf("call %d is not run with reason %s, but it ran", i, got.Reason)
						}
						if n > 1 {
							t.Errorf("call %d ran %d times", i, n)
						}
						if got.Outcome == toucancall.Answered && string(got.Body) != "ok" {
							t.Errorf("call %d has status %d and body %q", i, got.Status, got.Body)
						}
						if i == 0 {
							<-idleWritten
							if got.Outcome != toucancall.NotRun {
								t.Errorf("the refused call has outcome %s", got.Outcome)
							}
						}
						if tt.whileIdle+tt.afterOK > 0 {
							time.Sleep(2 * time.Millisecond) // lets the copies arrive
						}
					}
				})
			}
		}
	}
}
