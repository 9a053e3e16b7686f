package toucannode

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucancall"
)

// sendRaw writes a raw request to an entry and returns the answer.
func (f *testFleet) sendRaw(n *Node, text string) (*http.Response, string) {
	f.t.Helper()
	c, err := net.Dial("tcp", n.Addresses().Caller)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		f.t.Fatal(err)
	}
	body, _ := io.ReadAll(resp.Body)
	return resp, string(body)
}

// TestLimits checks that a request over a limit is refused with a text that
// names the limit, and that it does not reach the backend server.
func TestLimits(t *testing.T) {
	const start = "POST /orders HTTP/1.1\r\nHost: h\r\nToucan-Service: ordini\r\n"
	tests := []struct {
		name, request string
		status        int
		outcome, text string
	}{
		{"body_length", start + "Content-Length: 100001\r\n\r\n", 413, "not_run too_large", "limit of 100000 bytes"},
		{"body_slow", start + "Content-Length: 10\r\n\r\nhalf", 408, "not_run slow_sender", "within 200ms"},
		{"body_slow_chunked", start + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", 408, "not_run slow_sender", "within 200ms"},
		{"body_bad_chunk", start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 503, "not_run cancelled", "broke off"},
		{"header", start + "X: " + strings.Repeat("x", 20_000) + "\r\n\r\n", 431, "", "431"},
		{"timeout_word", start + "Toucan-Timeout: soon\r\n\r\n", 400, "not_run bad_request", "Toucan-Timeout"},
		{"service_missing", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 400, "not_run bad_request", "Toucan-Service"},
		{"tenant_long", start + "Toucan-Tenant: " + strings.Repeat("t", 129) + "\r\n\r\n", 400, "not_run bad_request", "at most 128 bytes"},
		{"keyed_bad_metadata", start + "Idempotency-Key: k\r\nToucan-Timeout: soon\r\n\r\n", 504, "unknown not_forwarded", "Toucan-Timeout"},
		{"connect", "CONNECT h:1 HTTP/1.1\r\nHost: h:1\r\nToucan-Service: ordini\r\n\r\n", 400, "not_run bad_request", "CONNECT"},
		{"unknown_parent", start + "Toucan-Parent: made-up\r\nContent-Length: 0\r\n\r\n", 503, "not_run cancelled", "not running here"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(t)
			f.settings.Limits.MaxBodyBytes, f.settings.Limits.MaxHeaderBytes = 100_000, 8<<10
			f.settings.Limits.BodyIdleTimeout = 200 * time.Millisecond
			entry := f.startNode("ordini", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				t.Error("the request reached the backend server")
			}))
			resp, body := f.sendRaw(entry, tt.request)
			is.Equal(resp.StatusCode, tt.status)
			is.Equal(outcome(resp), tt.outcome)
			is.True(strings.Contains(body, tt.text))
			if resp.StatusCode == http.StatusServiceUnavailable {
				seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
				is.NoErr(err)
				is.True(seconds >= 1 && seconds <= 5)
			}
			is.Equal(len(f.log.lines("request_run")), 0)
		})
	}
}

// TestLongBodyBreaksOff guards against a long body that stalls, breaks off or
// exceeds the limit after a part of it was forwarded, and that the backend
// server takes for a complete request.
func TestLongBodyBreaksOff(t *testing.T) {
	long := strings.Repeat("x", 50_000)
	tests := []struct{ name, rest, want string }{
		{"stall", "", "unknown slow_sender"},
		{"grow", "c350\r\n" + long + "\r\nc350\r\n" + long + "\r\n", "unknown too_large"},
		{"bad_chunk", "zz\r\n", "unknown cancelled"},
	}
	for _, hops := range []int{1, 2} {
		for _, tt := range tests {
			t.Run(fmt.Sprintf("%s/%d", tt.name, hops), func(t *testing.T) {
				is := is.New(t)
				f := newTestFleet(t)
				f.settings.Limits.MaxBodyBytes, f.settings.Limits.BodyIdleTimeout = 100_000, 200*time.Millisecond
				ended := make(chan error, 1)
				node := f.startNode("ordini", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_, err := io.Copy(io.Discard, r.Body)
					ended <- err
				}))
				entry := node
				if hops == 2 {
					f.settings.Limits.BodyIdleTimeout = 100 * time.Millisecond // the entry must time out first
					entry = f.startNode("", nil)
				}
				resp, _ := f.sendRaw(entry, "POST /orders HTTP/1.1\r\nHost: h\r\nToucan-Service: ordini\r\n"+
					"Transfer-Encoding: chunked\r\n\r\nc350\r\n"+long+"\r\n"+tt.rest)
				is.Equal(outcome(resp), tt.want)
				is.True(<-ended != nil)
				await(t, func() bool { return len(f.log.lines("request_run")) == 1 })
				is.True(strings.Contains(f.log.lines("request_run")[0], "outcome=unknown"))
			})
		}
	}
}

// TestSlowHeaderEnds guards against a sender that keeps a connection open by
// sending its header slowly.
func TestSlowHeaderEnds(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	f.settings.Limits.HeaderTimeout = 200 * time.Millisecond
	c, err := net.Dial("tcp", f.startNode("", nil).Addresses().Caller)
	is.NoErr(err)
	defer c.Close()
	io.WriteString(c, "GET / HTTP/1.1\r\nHost:")
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err = io.ReadAll(c)
	is.NoErr(err) // the node closed the connection before the deadline of the test
}

// TestMetricsAreBounded guards against names invented by callers that break the
// metrics page or increase its size without bound.
func TestMetricsAreBounded(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	n := f.startNode("ordini", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	for _, tenant := range []string{`a"b`, `a\`, `{x="y"}`, "a,b", "é"} {
		n.metrics.countRequest(toucancall.Call{Service: tenant, Class: tenant, Tenant: tenant}, toucancall.Answered, true, time.Second)
	}
	for i := range 2 * maxClassSeries {
		name := fmt.Sprint(i)
		n.metrics.countRequest(toucancall.Call{Service: name, Class: name, Tenant: name}, toucancall.Answered, true, time.Second)
		n.metrics.countRun(toucancall.Call{Service: name, Class: name}, toucancall.Answered, 200, time.Second)
	}
	f.do(n, "GET", "/made/up", nil, toucancall.HeaderService, "made-up-service")
	resp, err := http.Get("http://" + n.Addresses().Admin + "/metrics")
	is.NoErr(err)
	defer resp.Body.Close()
	page, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(strings.Count(string(page), "toucan_tenant_request_duration_seconds_count"), maxTenantSeries+1)
	is.Equal(strings.Count(string(page), "toucan_request_duration_seconds_count"), maxClassSeries+1)
	is.True(strings.Contains(string(page), `toucan_tenant_request_duration_seconds_count{tenant="other"}`))
	is.True(strings.Contains(string(page), `toucan_unanswered_total{reason="no_backend"} 1`))
	is.True(!strings.Contains(string(page), "made-up-service"))
}
