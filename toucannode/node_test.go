package toucannode

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclass"
	"toucanhaven/toucanlog"
	"toucanhaven/toucansettings"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// lines returns the log lines of one event.
func (l *logBuffer) lines(event string) (found []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.SplitSeq(l.buf.String(), "\n") {
		if strings.Contains(line, "event="+event+" ") {
			found = append(found, line)
		}
	}
	return found
}

// testFleet is a set of nodes that share a directory and class files.
type testFleet struct {
	t          testing.TB
	directory  *MemoryDirectory
	classFiles *MemoryClassFiles
	log        *logBuffer
	settings   toucansettings.Settings
	options    Options
}

func newTestFleet(t testing.TB) *testFleet {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	f := &testFleet{t: t, directory: &MemoryDirectory{}, classFiles: &MemoryClassFiles{}, log: &logBuffer{}}
	f.settings = toucansettings.Settings{
		CallerAddress: loopback, PeerAddress: loopback, ControlAddress: loopback, AdminAddress: loopback,
		DataCentre: "dc1", Region: "r1", Limits: toucansettings.DefaultLimits, StopTimeout: 10 * time.Second,
	}
	f.classFiles.Set(toucanclass.File{Service: "ordini", Classes: []toucanclass.Class{
		{Name: "place_order", Method: "POST", Path: "/orders", Latency: time.Second, Success: 0.9999, AtMostOnce: true},
		{Name: "read_order", Method: "GET", Path: "/orders", Latency: time.Second, Success: 0.99},
	}})
	return f
}

// startNode starts a node. If h is not nil, the node gets a backend server of
// the service.
func (f *testFleet) startNode(service string, h http.Handler) *Node {
	f.t.Helper()
	o := f.options
	o.Settings, o.Directory, o.ClassFiles = f.settings, f.directory, f.classFiles
	o.Logger = toucanlog.NewLogger(f.log, slog.LevelDebug)
	n, err := New(o)
	if err != nil {
		f.t.Fatal(err)
	}
	n.Start()
	if h != nil {
		server := httptest.NewServer(h)
		f.t.Cleanup(server.Close)
		n.announceBackend(service, server.Listener.Addr().String())
	}
	f.t.Cleanup(func() {
		if !n.stopping.Load() {
			_ = n.Stop(cancelledContext())
		}
	})
	return n
}

// do sends a request to an entry. pairs are alternating header field names and
// values.
func (f *testFleet) do(n *Node, method, path string, body io.Reader, pairs ...string) (*http.Response, string) {
	f.t.Helper()
	req, err := http.NewRequest(method, "http://"+n.Addresses().Caller+path, body)
	if err != nil {
		f.t.Fatal(err)
	}
	req.GetBody = nil
	req.Header.Set(toucancall.HeaderService, "ordini")
	for i := 0; i+1 < len(pairs); i += 2 {
		req.Header.Set(pairs[i], pairs[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return resp, string(answer)
}

// outcome returns the outcome and the reason of an answer.
func outcome(resp *http.Response) string {
	return strings.TrimSpace(resp.Header.Get(toucancall.HeaderOutcome) + " " + resp.Header.Get(toucancall.HeaderReason))
}

func TestCallCrossesTwoNodes(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	entry := f.startNode("", nil)
	f.startNode("ordini", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.WriteHeader(http.StatusCreated)
		io.WriteString(w, r.Method+" "+r.RequestURI+" "+string(body))
	}))
	resp, body := f.do(entry, "POST", "/orders?brand=%C3%A9", strings.NewReader("cup"))
	is.Equal(resp.StatusCode, http.StatusCreated)
	is.Equal(outcome(resp), "answered")
	is.Equal(body, "POST /orders?brand=%C3%A9 cup")
	is.Equal(len(f.log.lines("request_run")), 1)
	is.Equal(len(f.log.lines("request_start")), 1)
}

// cancelledContext returns a cancelled context, with which Stop does not wait.
func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
