package toucanmesh_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"toucanhaven/platform"
	"toucanhaven/platform/platformtest"
	"toucanhaven/toucanclock"
	"toucanhaven/toucanlog"
	"toucanhaven/toucanmesh"
)

// site is a deployment of nodes, backend servers and a store.
type site struct {
	t     testing.TB
	store *platformtest.Store
	logs  *lockedBuffer
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func newSite(t testing.TB, routes ...platformtest.Route) *site {
	s := &site{t: t, store: platformtest.NewStore(t), logs: &lockedBuffer{}}
	if len(routes) > 0 {
		s.configure(2, routes...)
	}
	t.Cleanup(func() {
		if t.Failed() && testing.Verbose() {
			t.Log(s.logs.String())
		}
	})
	return s
}

func (s *site) configure(version int, routes ...platformtest.Route) {
	s.store.Write(platform.ConfigKey, platformtest.Config(version, []string{"orders", "stock"}, routes...))
}

// safeRoute and unsafeRoute lead to the service orders.
func safeRoute() platformtest.Route {
	return platformtest.Route{Name: "read", Prefix: "/read/", Type: "safe", Services: map[string]int{"orders": 1}, TimeoutS: 2, TargetS: 0.5, Priority: 1}
}

func unsafeRoute() platformtest.Route {
	return platformtest.Route{Name: "order", Prefix: "/order/", Type: "unsafe", Services: map[string]int{"orders": 1}, TimeoutS: 2, TargetS: 0.5}
}

// member is a node with the backend server beside it.
type member struct {
	*toucanmesh.Node
	site     *site
	settings toucanmesh.Settings
	backend  *platformtest.Backend
	stopped  bool
}

// start runs a node for a service. The backend server says that it is ready.
func (s *site) start(name, service string) *member {
	m := s.prepare(name, service)
	m.run()
	m.beat("ready", http.StatusOK)
	return m
}

// prepare returns a node that does not run yet.
func (s *site) prepare(name, service string) *member {
	m := &member{site: s, backend: platformtest.NewBackend(s.t, service, "i-"+name, "")}
	m.settings = toucanmesh.Settings{
		Node: name, Service: service, DataCentre: "dc", CallerAddress: platformtest.FreeAddress(s.t), ReadyAddress: platformtest.FreeAddress(s.t),
		ControlAddress: platformtest.FreeAddress(s.t), PeerAddress: platformtest.FreeAddress(s.t), BackendAddress: m.backend.Address, StoreAddress: s.store.Address,
		MemoryMB: 256, RetryRatio: 0.2, RetrySlack: 50,
	}
	m.settings.PeerAdvertised = m.settings.PeerAddress
	m.settings.Grace.Duration, m.settings.RetryWindow.Duration, m.settings.Heartbeat.Duration = 4*time.Second, 10*time.Second, 1500*time.Millisecond
	return m
}

// run starts the process of the node, again after kill.
func (m *member) run() {
	t := m.site.t
	node, err := toucanmesh.New(toucanmesh.Options{
		Settings: m.settings, Store: platform.NewStore(m.settings.StoreAddress), Clock: toucanclock.System{},
		Log: toucanlog.NewLogger(m.site.logs, slog.LevelInfo).With("at", m.settings.Node),
		Platform: toucanmesh.Platform{
			Headers: platform.Headers(), ConfigKey: platform.ConfigKey, DecodeConfig: platform.DecodeConfig,
			ControlHandler: func(n *toucanmesh.Node, log *slog.Logger) http.Handler { return platform.ControlHandler(n, log) },
			ReadyHandler:   platform.ReadyHandler,
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := node.Start(); err != nil {
		t.Fatal(err)
	}
	m.Node, m.stopped = node, false
	t.Cleanup(m.kill)
}

// kill ends the node without notice.
func (m *member) kill() {
	if !m.stopped {
		m.stopped = true
		m.Node.Kill()
	}
}

func (m *member) beat(state string, want int) {
	m.site.t.Helper()
	eventually(m.site.t, "heartbeat is answered", func() bool {
		status, err := m.backend.Beat(m.settings.ControlAddress, state)
		return err == nil && status == want
	})
}

func eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	within(t, what, 5*time.Second, f)
}

func within(t testing.TB, what string, d time.Duration, f func() bool) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("not within %v: %s", d, what)
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// text returns the bytes of a request.
func text(method, path, id string, deadline time.Duration, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, platformtest.Host, id, deadline.Milliseconds(), len(body), body)
}

// ask sends one request on a new connection.
func (m *member) ask(method, path, id string) answer {
	c, err := net.Dial("tcp", m.settings.CallerAddress)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	if _, err := io.WriteString(c, text(method, path, id, 3*time.Second, "")); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(c))
}

func readAnswer(r *bufio.Reader) answer {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// probes numbers the requests of served: an id runs at most once.
var probes atomic.Int64

// served waits until the node answers requests of a path prefix.
func (m *member) served(path string) {
	m.site.t.Helper()
	eventually(m.site.t, path+" is served", func() bool {
		return m.ask("GET", path+"probe", fmt.Sprintf("probe-%d", probes.Add(1))).status == http.StatusOK
	})
}
