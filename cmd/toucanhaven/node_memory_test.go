package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"toucanhaven/toucankvtest"
)

// nodeMemoryMB is the memory that toucanhaven node may use.
const nodeMemoryMB = 256

// A process of toucanhaven node must stay within its memory whoever sends it bytes without end
// or heads of many short fields.
func TestNodeProcessMemoryBounded(t *testing.T) {
	program := buildWithoutRace(t)
	get := "GET /orders/1 HTTP/1.1\r\nHost: a\r\nToucan-Service: ordini\r\n"
	head := shortFields(64 << 10)
	for _, tt := range []struct {
		name   string
		server func(c net.Conn)
		attack func(n *nodeProcess)
	}{
		{"caller_heads", nil, func(n *nodeProcess) {
			flood(2000, n.addresses["caller_address"], func(c net.Conn) { io.WriteString(c, get+head[:30<<10]) })
		}},
		{"caller_heads_kept", func(net.Conn) { time.Sleep(attackTime) }, func(n *nodeProcess) {
			flood(2000, n.addresses["caller_address"], func(c net.Conn) {
				io.WriteString(c, get+shortFields(30<<10)+"\r\n")
				io.Copy(io.Discard, c)
			})
		}},
		{"peer_heads", nil, func(n *nodeProcess) {
			flood(2000, n.addresses["peer_address"], func(c net.Conn) { io.WriteString(c, get+head[:32<<10]) })
		}},
		{"control_messages", nil, func(n *nodeProcess) {
			flood(500, n.addresses["control_address"], func(c net.Conn) {
				c.Write([]byte{0xfd, 0x20, 0, 0}) // a message of 2 MiB that does not end
				c.Write(make([]byte, 0x1f0000))
			})
		}},
		{"response_heads", func(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+head) }, callNode},
		{"response_heads_whole", func(c net.Conn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+shortFields(60000)+"\r\n")
		}, callNode},
		{"response_bodies", func(c net.Conn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
			for sendBlock(c) {
			}
		}, callNode},
	} {
		t.Run(tt.name, func(t *testing.T) {
			n := startNodeProcess(t, program, tt.server)
			tt.attack(n)
			checkResidentMemory(t, n.cmd.Process.Pid, nodeMemoryMB)
			n.awaitAnswer()
		})
	}
}

// callNode keeps many calls to the faulty backend server in progress.
func callNode(n *nodeProcess) {
	flood(400, n.addresses["caller_address"], func(c net.Conn) {
		in := bufio.NewReader(c)
		for {
			io.WriteString(c, "GET /orders/1 HTTP/1.1\r\nHost: a\r\nToucan-Service: ordini\r\nToucan-Timeout-Ms: 1000\r\n\r\n")
			if _, _, err := readResponse(in); err != nil {
				return
			}
		}
	})
}

// nodeProcess is a process of toucanhaven node beside a faulty backend server.
type nodeProcess struct {
	t         *testing.T
	cmd       *exec.Cmd
	addresses map[string]string
	faulty    atomic.Bool // the backend server is faulty
}

func startNodeProcess(t *testing.T, program string, server func(c net.Conn)) *nodeProcess {
	n := &nodeProcess{t: t}
	kv := httptest.NewServer(&toucankvtest.Server{})
	t.Cleanup(kv.Close)
	dir := t.TempDir()
	settings := fmt.Sprintf("caller_address = \"127.0.0.1:0\"\npeer_address = \"127.0.0.1:0\"\ncontrol_address = \"127.0.0.1:0\"\nadmin_address = \"127.0.0.1:0\"\n"+
		"data_centre = \"mi-1\"\nregion = \"lombardia\"\nkv_address = %q\n", strings.TrimPrefix(kv.URL, "http://"))
	class := "service = \"ordini\"\n[[class]]\nname = \"read_order\"\nmethod = \"GET\"\npath = \"/orders\"\nlatency = \"1s\"\nsuccess = 0.99\n"
	files := map[string]string{"node.toml": settings, "ordini.toml": class}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	n.cmd = exec.Command(program, "node", "--settings", filepath.Join(dir, "node.toml"), "--addresses", filepath.Join(dir, "node.json"))
	if err := n.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.cmd.Process.Kill(); n.cmd.Wait() })
	n.await("addresses", func() bool {
		data, err := os.ReadFile(filepath.Join(dir, "node.json"))
		return err == nil && json.Unmarshal(data, &n.addresses) == nil
	})
	n.await("the backend server is announced", func() bool {
		body := fmt.Sprintf(`{"service": "ordini", "address": %q}`, n.serveBackend(server))
		resp, err := http.Post("http://"+n.addresses["admin_address"]+"/announce", "application/json", strings.NewReader(body))
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode < 300
	})
	n.await("the class file is in force", func() bool {
		return exec.Command(program, "apply", "--admin", n.addresses["admin_address"], "--replaces", "0", "--author", "anna", filepath.Join(dir, "ordini.toml")).Run() == nil
	})
	n.awaitAnswer()
	n.faulty.Store(server != nil)
	return n
}

// longPath begins the paths of requests that are answered with longStream, which no kernel buffer
// holds.
const longPath = "/orders/long"

var longStream = make([]byte, 16<<20)

// serveBackend starts a backend server and returns its address.
func (n *nodeProcess) serveBackend(server func(c net.Conn)) string {
	return serveConns(n.t, func(c net.Conn) {
		in := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			switch {
			case n.faulty.Load():
				server(c)
			case strings.HasPrefix(req.URL.Path, longPath):
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(longStream))
				c.Write(longStream)
			default:
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
			}
		}
	})
}

// ordinaryClient opens a connection for each request.
var ordinaryClient = http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// awaitAnswer waits for a whole answer of the backend server, which is no longer faulty.
func (n *nodeProcess) awaitAnswer() {
	n.t.Helper()
	n.faulty.Store(false)
	n.await("an answer", func() bool {
		request, err := http.NewRequest(http.MethodGet, "http://"+n.addresses["caller_address"]+"/orders/1", nil)
		if err != nil {
			n.t.Fatal(err)
		}
		request.Header.Set("Toucan-Service", "ordini")
		resp, err := ordinaryClient.Do(request)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		return err == nil && resp.StatusCode == http.StatusOK && string(body) == "whole"
	})
}

func (n *nodeProcess) await(what string, f func() bool) {
	n.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	n.t.Fatalf("condition not met: %s", what)
}
