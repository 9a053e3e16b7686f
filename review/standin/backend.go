package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// action is what a backend server does with a request. The set is closed.
type action string

const (
	answer       action = "answer"        // runs it and answers it
	shed         action = "shed"          // does not run it and says so
	runThenReset action = "run and reset" // runs it and resets the connection
	hang         action = "run and hang"  // runs it and never answers
)

// backend is a stand-in of a backend server.
type backend struct {
	rec     *record
	id      string
	service string
	address string
	zone    string
	slots   int
	born    int64

	mu       sync.Mutex
	work     time.Duration
	decide   func(r *http.Request) action // nil: answer
	run      func(id string) (status int) // runs a request; nil: takes the time work
	sequence int
	arrivals []arrival
	gone     bool // the process has ended
	listener net.Listener
	conns    map[net.Conn]bool
	stopBeat chan struct{}
}

// arrival is a request that reached a backend server.
type arrival struct {
	id  string
	at  time.Time
	ran bool
	uri string
}

func newBackend(rec *record, id, service, zone string, slots int) (*backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{
		rec: rec, id: id, service: service, address: l.Addr().String(), zone: zone, slots: slots,
		born: time.Now().UnixMilli(), work: 20 * time.Millisecond, listener: l, conns: make(map[net.Conn]bool), stopBeat: make(chan struct{}),
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns[c] = true
			b.mu.Unlock()
			go b.serve(c)
		}
	}()
	return b, nil
}

// setDecide sets what the server does with requests.
func (b *backend) setDecide(f func(r *http.Request) action) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decide = f
}

func (b *backend) serve(c net.Conn) {
	defer func() {
		c.Close()
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("X-Request-Id")
		if want := req.Header.Get("X-Target-Instance"); want != "" && want != b.id {
			b.rec.printf("server %s answers 421 to %s, which is for %s", b.id, id, want)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, b.id)
			continue
		}
		b.mu.Lock()
		do := answer
		if b.decide != nil {
			do = b.decide(req)
		}
		work, run := b.work, b.run
		b.arrivals = append(b.arrivals, arrival{id: id, at: time.Now(), ran: do != shed, uri: req.RequestURI})
		b.mu.Unlock()
		b.rec.printf("server %s gets %s %s: %s", b.id, req.Method, id, do)
		if do == shed {
			fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		if do == hang {
			io.Copy(io.Discard, c)
			return
		}
		if ms, err := strconv.Atoi(req.Header.Get("X-Deadline-Ms")); err == nil {
			work = min(work, time.Duration(ms)*time.Millisecond)
		}
		status := http.StatusOK
		if run != nil {
			status = run(id)
		} else {
			time.Sleep(work)
		}
		if do == runThenReset {
			c.(*net.TCPConn).SetLinger(0)
			return
		}
		body := "answer to " + id
		if _, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Response-Signature: s-%s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), id, id, len(body), body); err != nil {
			return
		}
	}
}

// setRun sets the function that runs requests.
func (b *backend) setRun(f func(id string) (status int)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.run = f
}

// received returns the requests that have reached the server.
func (b *backend) received() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]arrival(nil), b.arrivals...)
}

// startHeartbeats sends a heartbeat each interval to the control address of its node.
func (b *backend) startHeartbeats(control string, interval time.Duration) {
	go func() {
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			if status, err := b.sendHeartbeat(control, "ready"); err != nil {
				b.rec.printf("server %s: heartbeat not answered: %v", b.id, err)
			} else if status != http.StatusOK {
				b.rec.printf("server %s: heartbeat answered %d", b.id, status)
			}
			select {
			case <-t.C:
			case <-b.stopBeat:
				return
			}
		}
	}()
}

// stopHeartbeats ends the heartbeats.
func (b *backend) stopHeartbeats() { close(b.stopBeat) }

// controlClient sends the messages of backend servers. An answer counts if it arrives
// within a second.
var controlClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (b *backend) sendHeartbeat(control, state string) (int, error) {
	b.mu.Lock()
	b.sequence++
	data, err := json.Marshal(map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": b.slots,
		"state": state, "coldS_time": 0, "sequence": b.sequence, "born": b.born,
	})
	b.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return b.send(http.MethodPut, control, data)
}

// sendDeparture sends the message that the server leaves.
func (b *backend) sendDeparture(control string) (int, error) {
	return b.send(http.MethodDelete, control, fmt.Appendf(nil, `{"born":%d}`, b.born))
}

func (b *backend) send(method, control string, data []byte) (int, error) {
	req, err := http.NewRequest(method, "http://"+control+"/instances/"+b.id, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := controlClient.Do(req)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}

// exit ends the server.
func (b *backend) exit() {
	b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		c.Close()
	}
}
