package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// program is the program that the build of the deploy file makes, from the root of the
// repository.
const program = "target/toucanhaven"

// Bounds of the deployment, as in the sites of the users' pages.
const (
	heartbeatInterval = 1500 * time.Millisecond
	drainTime         = 2 * time.Second // drainS
	stableWindow      = 3 * time.Second // stableWindowS
)

// deployment is a small deployment on loopback addresses.
type deployment struct {
	rec     *record
	trouble bool // whether the disruption takes place
	dir     string
	store   *store
	nodes   []*node
}

// node is a process of toucanhaven with the backend server beside it.
type node struct {
	d                               *deployment
	name, zone                      string
	backend                         *backend
	outbound, ready, control, peers string
	peersSeen                       string // address that other nodes use; a proxy or peers itself
	metrics, storeAddress, settings string

	mu  sync.Mutex
	cmd *exec.Cmd
}

func newDeployment(rec *record, trouble bool) (*deployment, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &deployment{rec: rec, trouble: trouble, dir: dir, store: s}, nil
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	for _, n := range d.nodes {
		n.kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.dir)
	}
}

// Ports of the nodes lie below those that the system gives to outgoing connections, which
// could take the port of a node while its process is down.
const (
	firstPort = 16000
	lastPort  = 30000
)

// usedAddresses are the addresses that freeAddress has returned.
var usedAddresses = make(map[string]bool)

// freeAddress returns a loopback address with a port that is free.
func freeAddress() (string, error) {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if usedAddresses[address] {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			usedAddresses[address] = true
			l.Close()
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

// addNode adds a node with a backend server of a service. The node is not started.
func (d *deployment) addNode(name, zone, service string, slots int) (*node, error) {
	b, err := newBackend(d.rec, "i-"+name, service, zone, slots)
	if err != nil {
		return nil, err
	}
	n := &node{d: d, name: name, zone: zone, backend: b, storeAddress: d.store.address, settings: filepath.Join(d.dir, name+".toml")}
	for _, a := range []*string{&n.outbound, &n.ready, &n.control, &n.peers, &n.metrics} {
		if *a, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	d.nodes = append(d.nodes, n)
	return n, nil
}

// writeSettings writes the settings file of the node.
func (n *node) writeSettings() error {
	settings := fmt.Sprintf(`node = %q
service = %q
data_centre = %q
caller_address = %q
ready_address = %q
control_address = %q
peer_address = %q
metrics_address = %q
backend_address = %q
store_address = %q
memory_mb = 284
heartbeat = "1.5s"
grace = "6s"
config_delay = "2s"
retry_ratio = 0.2
retry_slack = 48
retry_window = "10s"
`, n.name, n.backend.service, n.zone, n.outbound, n.ready, n.control, n.peers, n.metrics, n.backend.address, n.storeAddress)
	if n.peersSeen != "" {
		settings += fmt.Sprintf("peer_advertised = %q\n", n.peersSeen)
	}
	return os.WriteFile(n.settings, []byte(settings), 0o600)
}

// start starts the process of the node.
func (n *node) start() error {
	if err := n.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program, "mesh", "--settings", n.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	n.mu.Lock()
	n.cmd = cmd
	n.mu.Unlock()
	n.d.rec.printf("node %s started", n.name)
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		n.d.rec.printf("node %s gets signal %d (%v)", n.name, int(s), s)
		n.cmd.Process.Signal(s)
	}
}

// kill ends the process at once and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	n.cmd.Process.Kill()
	n.cmd.Wait()
	n.cmd = nil
	n.d.rec.printf("node %s killed", n.name)
}

// wait waits for the end of a process that was told to stop.
func (n *node) wait() {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Wait()
	n.mu.Lock()
	n.cmd = nil
	n.mu.Unlock()
	n.d.rec.printf("node %s ended", n.name)
}

// startAll starts all nodes and the heartbeats of their backend servers.
func (d *deployment) startAll() error {
	for _, n := range d.nodes {
		if err := n.start(); err != nil {
			return err
		}
		n.backend.startHeartbeats(n.control, heartbeatInterval)
	}
	return nil
}
