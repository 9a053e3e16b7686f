package toucannode

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucancall"
	"toucanhaven/toucankv"
	"toucanhaven/toucankvtest"
	"toucanhaven/toucanlog"
)

// testControlPlane is a set of nodes that discover each other through the KV
// and exchange control messages.
type testControlPlane struct {
	*testFleet
	kv      *toucankvtest.Server
	address string
}

func newTestControlPlane(t *testing.T) *testControlPlane {
	p := &testControlPlane{testFleet: newTestFleet(t), kv: &toucankvtest.Server{}}
	server := httptest.NewServer(p.kv)
	t.Cleanup(server.Close)
	p.address = server.Listener.Addr().String()
	return p
}

// startFollowingNode starts a node that follows membership and configuration.
// If name is not empty, the node gets a backend server that answers with it.
func (p *testControlPlane) startFollowingNode(service, name string) *Node {
	p.t.Helper()
	n, err := New(Options{
		Settings: p.settings, Logger: toucanlog.NewLogger(p.log, slog.LevelDebug),
		KV: toucankv.NewClient(p.address, toucankv.WithTimeout(500*time.Millisecond)),
	})
	if err != nil {
		p.t.Fatal(err)
	}
	n.Start()
	p.t.Cleanup(func() {
		if !n.stopping.Load() {
			_ = n.Stop(cancelledContext())
		}
	})
	if name != "" {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, name) }))
		p.t.Cleanup(server.Close)
		n.announceBackend(service, server.Listener.Addr().String())
	}
	return n
}

// applyClassFile applies a class file at a node and returns the status of the
// response.
func (p *testControlPlane) applyClassFile(n *Node, service string, replaces int, source string) int {
	p.t.Helper()
	body, err := json.Marshal(map[string]any{
		"replaces": replaces, "author": "anna", "nonce": fmt.Sprint("n", replaces), "class_file": source,
	})
	if err != nil {
		p.t.Fatal(err)
	}
	resp, err := http.Post("http://"+n.Addresses().Admin+"/config/"+service, "application/json", bytes.NewReader(body))
	if err != nil {
		p.t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

func classFile(success string) string {
	return "service = \"ordini\"\n[[class]]\nname = \"read_order\"\nmethod = \"GET\"\npath = \"/orders\"\nlatency = \"1s\"\nsuccess = " + success + "\n"
}

// revision returns the revision of the class file in force at a node.
func (p *testControlPlane) revision(n *Node, service string) uint64 {
	_, revision, err := n.classFiles.ClassFile(p.t.Context(), service)
	if err != nil {
		p.t.Fatal(err)
	}
	return revision
}

// isAnswered reports whether a request sent to an entry is answered.
func (p *testControlPlane) isAnswered(n *Node) bool {
	resp, _ := p.do(n, "GET", "/orders", nil)
	return resp.Header.Get(toucancall.HeaderOutcome) == string(toucancall.Answered)
}

// TestNodesDiscoverMembersAndConfiguration checks the whole control plane:
// nodes that know only the address of the KV discover each other, a change
// reaches every node within 8 s, and the nodes continue to work through a KV
// outage that begins right after the change was accepted.
func TestNodesDiscoverMembersAndConfiguration(t *testing.T) {
	is := is.New(t)
	p := newTestControlPlane(t)
	entry := p.startFollowingNode("", "")
	members := []*Node{p.startFollowingNode("ordini", "a"), p.startFollowingNode("ordini", "b"), p.startFollowingNode("ordini", "c")}
	await(t, func() bool { return len(members[0].directory.BackendServers(t.Context(), "ordini")) == 3 })
	await(t, func() bool { return p.isAnswered(entry) })
	is.Equal(p.applyClassFile(entry, "ordini", 0, classFile("0.99")), http.StatusOK)
	p.kv.SetFaults(toucankvtest.Faults{Down: true})
	accepted := time.Now()
	for _, n := range append(members, entry) {
		await(t, func() bool { return p.revision(n, "ordini") == 1 })
	}
	is.True(time.Since(accepted) < 8*time.Second)
	is.True(p.isAnswered(entry))
	is.Equal(p.applyClassFile(members[0], "ordini", 1, classFile("0.98")), http.StatusServiceUnavailable)

	// A leaving backend server gets no further calls.
	members[1].drainBackend()
	await(t, func() bool {
		for range 10 {
			if _, body := p.do(entry, "GET", "/orders", nil); body == "b" {
				return false
			}
		}
		return true
	})
}

// TestCallsWaitForTheClassFile guards against an at-most-once request that is
// treated as safe to retry because the class file of its service could not be
// read yet.
func TestCallsWaitForTheClassFile(t *testing.T) {
	is := is.New(t)
	p := newTestControlPlane(t)
	p.kv.SetFaults(toucankvtest.Faults{Down: true})
	n := p.startFollowingNode("ordini", "a")
	resp, body := p.do(n, "POST", "/orders", strings.NewReader("cup"), toucancall.HeaderTimeout, "300")
	is.Equal(outcome(resp), "not_run no_backend")
	is.True(strings.Contains(body, "class file"))
	p.kv.SetFaults(toucankvtest.Faults{})
	await(t, func() bool { return p.isAnswered(n) })
}
