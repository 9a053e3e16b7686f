package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// reply is what a client got for one request.
type reply struct {
	id        string
	sentAt    time.Time
	at        time.Time
	status    int // 0: the connection ended without a complete answer
	signature string
	body      string
	err       error
}

var requestCount atomic.Uint64

// nextID returns an id that no other request has.
func nextID() string { return fmt.Sprintf("q%06d", requestCount.Add(1)) }

// send sends one request on a new connection and waits for the answer until the deadline.
func (d *deployment) send(n *node, method, path string, deadline time.Duration) reply {
	return d.sendAs(nextID(), n, method, path, deadline)
}

// sendAs sends one request with the given id, as send does.
func (d *deployment) sendAs(id string, n *node, method, path string, deadline time.Duration) reply {
	r := reply{id: id, sentAt: time.Now()}
	d.exchange(n, &r, method, path, deadline)
	r.at = time.Now()
	if r.err != nil {
		d.rec.printf("client: %s %s %s through %s: no answer: %v", method, path, r.id, n.name, r.err)
	} else {
		d.rec.printf("client: %s %s %s through %s, sent at %s: %d signature=%q", method, path, r.id, n.name, d.rec.at(r.sentAt), r.status, r.signature)
	}
	return r
}

func (d *deployment) exchange(n *node, r *reply, method, path string, deadline time.Duration) {
	c, err := net.DialTimeout("tcp", n.outbound, time.Second)
	if err != nil {
		r.err = err
		return
	}
	defer c.Close()
	c.SetDeadline(r.sentAt.Add(deadline + 500*time.Millisecond))
	body := ""
	if method != http.MethodGet {
		body = "Content-Length: 5\r\n"
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n", method, path, host, r.id, deadline.Milliseconds(), body)
	if body != "" {
		head += "order"
	}
	if _, r.err = io.WriteString(c, head); r.err != nil {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		r.err = err
		return
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		r.err = err
		return
	}
	r.status, r.signature, r.body = resp.StatusCode, resp.Header.Get("X-Response-Signature"), string(data)
}

// awaitServed sends requests through the nodes until each has answered with success.
func (d *deployment) awaitServed(method, path string, timeout time.Duration, nodes ...*node) error {
	end := time.Now().Add(timeout)
	for _, n := range nodes {
		for d.send(n, method, path, time.Second).status != http.StatusOK {
			if time.Now().After(end) {
				return fmt.Errorf("node %s serves no request after %v", n.name, timeout)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// load sends perSecond requests a second through the nodes in turn until stop is closed.
// It returns the replies.
func (d *deployment) load(stop <-chan struct{}, perSecond int, method, path string, deadline time.Duration, nodes ...*node) []reply {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var replies []reply
	t := time.NewTicker(time.Second / time.Duration(perSecond))
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			wg.Wait()
			return replies
		case <-t.C:
		}
		n := nodes[i%len(nodes)]
		wg.Go(func() {
			r := d.send(n, method, path, deadline)
			mu.Lock()
			replies = append(replies, r)
			mu.Unlock()
		})
	}
}
