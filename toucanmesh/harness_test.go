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
	"toucanhaven/toucanstore"
)

// testDeployment is a set of nodes with their backend servers and one store.
type testDeployment struct {
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

func newDeployment(t testing.TB, routes ...platformtest.Route) *testDeployment {
	s := &testDeployment{t: t, store: platformtest.NewStore(t), logs: &lockedBuffer{}}
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

func (s *testDeployment) configure(version int, routes ...platformtest.Route) {
	s.store.Write(platform.ConfigKey, platformtest.Config(version, []string{"orders", "stock"}, routes...))
}

// safeRoute and unsafeRoute return routes to the service orders.
func safeRoute() platformtest.Route {
	return platformtest.Route{Name: "read", Prefix: "/read/", Type: "safe", Services: map[string]int{"orders": 1}, TimeoutS: 2, TargetS: 0.5, Priority: 1}
}

func unsafeRoute() platformtest.Route {
	return platformtest.Route{Name: "order", Prefix: "/order/", Type: "unsafe", Services: map[string]int{"orders": 1}, TimeoutS: 2, TargetS: 0.5}
}

// testNode is a node with its backend server.
type testNode struct {
	*toucanmesh.Node
	deployment   *testDeployment
	settings     toucanmesh.Settings
	settingsFile string // empty for none
	wrapStore    func(toucanstore.Store) toucanstore.Store
	backend      *platformtest.Backend
	stopped      bool
}

// startNode starts a node for a service. Its backend server sends a heartbeat
// that it is ready.
func (s *testDeployment) startNode(name, service string) *testNode {
	m := s.newNode(name, service)
	m.run()
	m.sendHeartbeat("ready", http.StatusOK)
	return m
}

// newNode returns a node that has not been started.
func (s *testDeployment) newNode(name, service string) *testNode {
	m := &testNode{deployment: s, backend: platformtest.NewBackend(s.t, service, "i-"+name, "")}
	m.settings = toucanmesh.Settings{
		Node: name, Service: service, DataCentre: "dc", CallerAddress: platformtest.FreeAddress(s.t), ReadyAddress: platformtest.FreeAddress(s.t),
		ControlAddress: platformtest.FreeAddress(s.t), PeerAddress: platformtest.FreeAddress(s.t), BackendAddress: m.backend.Address, StoreAddress: s.store.Address,
		MemoryMB: 256, RetryRatio: 0.2, RetrySlack: 50,
	}
	m.settings.PeerAdvertised = m.settings.PeerAddress
	m.settings.ConfigDelay.Duration = 2 * time.Second
	m.settings.Grace.Duration, m.settings.RetryWindow.Duration, m.settings.Heartbeat.Duration = 4*time.Second, 10*time.Second, 1500*time.Millisecond
	return m
}

// run starts the node, also again after kill.
func (m *testNode) run() {
	t := m.deployment.t
	var store toucanstore.Store = platform.NewStore(m.settings.StoreAddress)
	if m.wrapStore != nil {
		store = m.wrapStore(store)
	}
	node, err := toucanmesh.New(toucanmesh.Options{
		Settings: m.settings, SettingsFile: m.settingsFile, Store: store, Clock: toucanclock.System{},
		Log: toucanlog.NewLogger(m.deployment.logs, slog.LevelInfo).With("at", m.settings.Node),
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

// kill stops the node at once.
func (m *testNode) kill() {
	if !m.stopped {
		m.stopped = true
		m.Node.Kill()
	}
}

// sendHeartbeat sends heartbeats until one is answered with the wanted status.
func (m *testNode) sendHeartbeat(state string, want int) {
	m.deployment.t.Helper()
	awaitCondition(m.deployment.t, "heartbeat is answered", func() bool {
		status, err := m.backend.SendHeartbeat(m.settings.ControlAddress, state)
		return err == nil && status == want
	})
}

// awaitCondition fails the test if f does not return true within 5 s.
func awaitCondition(t testing.TB, what string, f func() bool) {
	t.Helper()
	awaitConditionWithin(t, what, 5*time.Second, f)
}

// awaitConditionWithin fails the test if f does not return true within d.
func awaitConditionWithin(t testing.TB, what string, d time.Duration, f func() bool) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("condition not met within %v: %s", d, what)
}

// response is the response that a caller received.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// requestText returns the bytes of a request.
func requestText(method, path, id string, deadline time.Duration, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, platformtest.Host, id, deadline.Milliseconds(), len(body), body)
}

// send sends one request on a new connection.
func (m *testNode) send(method, path, id string) response {
	c, err := net.Dial("tcp", m.settings.CallerAddress)
	if err != nil {
		return response{err: err}
	}
	defer c.Close()
	if _, err := io.WriteString(c, requestText(method, path, id, 3*time.Second, "")); err != nil {
		return response{err: err}
	}
	return readResponse(bufio.NewReader(c))
}

func readResponse(r *bufio.Reader) response {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return response{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// probeCount makes the request ids of awaitServed unique, because a request id
// runs at most once.
var probeCount atomic.Int64

// awaitServed waits until the node answers requests for a path prefix with
// status 200.
func (m *testNode) awaitServed(path string) {
	m.deployment.t.Helper()
	awaitCondition(m.deployment.t, path+" is served", func() bool {
		return m.send("GET", path+"probe", fmt.Sprintf("probe-%d", probeCount.Add(1))).status == http.StatusOK
	})
}
