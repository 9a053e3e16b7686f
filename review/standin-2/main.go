// Command review2 plays the scripted cases 6 to 10 of the review: it starts mesh nodes as
// processes and is their store, backend servers, clients and operator.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	noRun  = 2
)

var (
	tempDir  string
	allNodes []*node
)

// cannotRun ends the case because it could not run.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	for _, n := range allNodes {
		if !n.isReady() {
			log, _ := os.ReadFile(filepath.Join(tempDir, n.name+".log"))
			fmt.Fprintf(os.Stderr, "node %s: %s\n", n.name, log[max(0, len(log)-2000):])
		}
	}
	cleanUp()
	os.Exit(noRun)
}

func cleanUp() {
	for _, n := range allNodes {
		n.kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(tempDir)
	}
}

// record is the file record.txt.
type record struct {
	mu    sync.Mutex
	w     *bufio.Writer
	began time.Time
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.w, format+"\n", args...)
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE DIRECTORY")
		os.Exit(noRun)
	}
	f, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err == nil {
		tempDir, err = os.MkdirTemp("", "review2-")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(noRun)
	}
	rec := &record{w: bufio.NewWriter(f), began: time.Now()}
	play, ok := cases[os.Args[1]]
	if !ok {
		cannotRun("no case %q", os.Args[1])
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, trouble %v", os.Args[1], trouble)
	status := play(rec, trouble)
	cleanUp()
	rec.log("exit status %d", status)
	rec.mu.Lock()
	rec.w.Flush()
	f.Close()
	os.Exit(status)
}

// node is a process of the mesh node.
type node struct {
	name, service, zone                                string
	caller, ready, control, peer, metrics, backendAddr string
	memoryMB                                           int
	file                                               string
	rec                                                *record

	mu  sync.Mutex
	cmd *exec.Cmd
	end chan struct{} // closed when the process has ended
}

// reserved are the listeners that keep ports from other cases.
var reserved []net.Listener

// freeAddr returns an address of which nobody uses the port. The port is below those of outgoing
// connections. A listener on a second loopback address keeps it from other cases.
func freeAddr() string {
	for range 1000 {
		port := 12000 + rand.IntN(19000)
		reservation, err := net.Listen("tcp", fmt.Sprintf("127.0.0.2:%d", port))
		if err != nil {
			continue
		}
		reserved = append(reserved, reservation)
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		l.Close()
		return addr
	}
	cannotRun("no free port")
	return ""
}

// newNode returns a node that is not started. Its settings are those of the template of the
// deploy file for a small deployment.
func newNode(rec *record, s *store, name, service, zone, backendAddr string) *node {
	n := &node{name: name, service: service, zone: zone, rec: rec, memoryMB: 284, backendAddr: backendAddr,
		caller: freeAddr(), ready: freeAddr(), control: freeAddr(), peer: freeAddr(), metrics: freeAddr()}
	n.file = filepath.Join(tempDir, name+".toml")
	n.writeSettings(s)
	allNodes = append(allNodes, n)
	return n
}

func (n *node) writeSettings(s *store) {
	text := fmt.Sprintf("node = %q\nservice = %q\ndata_centre = %q\ncaller_address = %q\nready_address = %q\ncontrol_address = %q\n"+
		"peer_address = %q\nmetrics_address = %q\nbackend_address = %q\nstore_address = %q\nmemory_mb = %d\n"+
		"heartbeat = \"1.5s\"\ngrace = \"6s\"\nconfig_delay = \"2s\"\nretry_ratio = 0.2\nretry_slack = 48\nretry_window = \"10s\"\n",
		n.name, n.service, n.zone, n.caller, n.ready, n.control, n.peer, n.metrics, n.backendAddr, s.addr, n.memoryMB)
	if err := os.WriteFile(n.file, []byte(text), 0o600); err != nil {
		cannotRun("%v", err)
	}
}

// start starts the process with the command of the deploy file.
func (n *node) start() {
	log, err := os.OpenFile(filepath.Join(tempDir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	program, err := filepath.Abs("target/toucanhaven")
	if err != nil {
		cannotRun("%v", err)
	}
	cmd := exec.Command(program, "mesh", "--settings", n.file)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		cannotRun("%v", err)
	}
	log.Close()
	end := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.end = cmd, end
	n.mu.Unlock()
	n.rec.log("node %s started, process %d", n.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		n.rec.log("node %s process %d ended: %v", n.name, cmd.Process.Pid, err)
		close(end)
	}()
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.end:
	default:
		n.rec.log("node %s gets %v", n.name, s)
		n.cmd.Process.Signal(s)
	}
}

// kill ends the process at once and waits for its end.
func (n *node) kill() {
	if n.cmd == nil {
		return
	}
	select {
	case <-n.end:
		return
	default:
	}
	n.signal(syscall.SIGKILL)
	<-n.end
}

// isReady reports whether the readiness check is answered with 200.
func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + n.ready + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

// answer is what a client got for one request.
type answer struct {
	id        string
	sent, got time.Time
	status    int // 0: the connection ended without an answer
	signed    bool
	body      string
	err       error
}

var (
	idMu    sync.Mutex
	idCount int
)

func newID() string {
	idMu.Lock()
	defer idMu.Unlock()
	idCount++
	return fmt.Sprintf("%08x%08x", os.Getpid(), idCount)
}

// send sends one request on a new connection and reads its answer.
func (n *node) send(method, uri string, deadline time.Duration, body []byte) answer {
	a := answer{id: newID(), sent: time.Now()}
	n.rec.log("client sends %s %s %s to %s", a.id, method, uri, n.name)
	c, err := net.DialTimeout("tcp", n.caller, time.Second)
	if err != nil {
		a.got, a.err = time.Now(), err
		n.rec.log("client got no connection for %s: %v", a.id, err)
		return a
	}
	defer c.Close()
	n.exchange(c, bufio.NewReader(c), method, uri, deadline, body, &a)
	return a
}

// exchange sends a request on a connection and reads its answer.
func (n *node) exchange(c net.Conn, r *bufio.Reader, method, uri string, deadline time.Duration, body []byte, a *answer) {
	c.SetDeadline(time.Now().Add(deadline + 3*time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, uri, host, a.id, deadline.Milliseconds())
	if method != "GET" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := c.Write(append([]byte(head+"\r\n"), body...))
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(r, &http.Request{Method: method})
	}
	var data []byte
	if err == nil {
		data, err = io.ReadAll(resp.Body)
	}
	a.got, a.err = time.Now(), err
	if err != nil && !errors.Is(err, io.EOF) {
		n.rec.log("client read for %s: %v", a.id, err)
	}
	if err == nil {
		a.status, a.signed, a.body = resp.StatusCode, resp.Header.Get("X-Response-Signature") != "", string(data)
	}
	n.rec.log("client got %d for %s after %.3f s", a.status, a.id, a.got.Sub(a.sent).Seconds())
}

// waitFor waits until f returns true, or ends the case.
func waitFor(what string, limit time.Duration, f func() bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	cannotRun("not within %v: %s", limit, what)
}
