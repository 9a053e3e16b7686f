package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["call-cut-at-stop"] = callCutAtStop }

// Durations of callCutAtStop. The site file bounds the work of an order at 2.1 s and that
// of a font fetch, with the five calls that it makes one after the other, at 1.98 s.
const (
	orderWork     = 2 * time.Second
	orderDeadline = 6 * time.Second
	fetchWork     = 1600 * time.Millisecond
	fetchDeadline = 2500 * time.Millisecond
	graceTime     = 6 * time.Second // graceS
	stopLimit     = 3 * time.Second // a request that was sent this long after the SIGTERM is not excused
)

// callCutAtStop stops a node by SIGTERM while the backend server beside it runs orders for
// other nodes. At the end of each order the server makes a call through its node.
func callCutAtStop(d *deployment) (broken []string, err error) {
	var all []*node
	for _, x := range []struct{ name, service string }{
		{"bestelling-1", "bestelling"}, {"bestelling-2", "bestelling"}, {"proefdruk-1", "proefdruk"}, {"proefdruk-2", "proefdruk"}, {"catalogus-1", "catalogus"},
	} {
		n, err := d.addNode(x.name, "nl-west-a", x.service, 86)
		if err != nil {
			return nil, err
		}
		all = append(all, n)
	}
	stopped, entry := all[0], all[4]
	d.writeConfig(12, []string{"bestelling", "proefdruk", "catalogus"},
		route{name: "order-place", prefix: "/orders/", kind: "unsafe", service: "bestelling", timeoutS: 6, targetS: 4, priority: 2},
		route{name: "font-fetch", prefix: "/fonts/", kind: "safe", service: "proefdruk", timeoutS: 2.5, targetS: 1.2, priority: 2})
	if err := d.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	if err := d.awaitServed(http.MethodPost, "/orders/x", 10*time.Second, entry, stopped); err != nil {
		return nil, err
	}
	if err := d.awaitServed(http.MethodGet, "/fonts/x", 10*time.Second, entry, stopped); err != nil {
		return nil, err
	}
	time.Sleep(stableWindow)

	var mu sync.Mutex
	var calls []reply // calls that the server of the stopped node made
	var wg sync.WaitGroup
	for _, n := range all[:2] {
		n.backend.setRun(func(id string) int {
			time.Sleep(orderWork)
			r := d.sendAs(id+".c1", n, http.MethodGet, "/fonts/x", fetchDeadline)
			if n == stopped {
				mu.Lock()
				calls = append(calls, r)
				mu.Unlock()
			}
			if r.status != http.StatusOK {
				return http.StatusInternalServerError
			}
			return http.StatusOK
		})
	}
	for _, n := range all[2:4] {
		n.backend.setRun(func(string) int { time.Sleep(fetchWork); return http.StatusOK })
	}
	// The sheet has 37 orders a second for three servers.
	stop, done := make(chan struct{}), make(chan []reply)
	go func() { done <- d.load(stop, 24, http.MethodPost, "/orders/x", orderDeadline, entry) }()
	time.Sleep(4 * time.Second)
	term := time.Now()
	if d.trouble {
		stopped.signal(syscall.SIGTERM)
		ended := make(chan struct{})
		go func() { stopped.wait(); close(ended) }()
		select {
		case <-ended:
		case <-time.After(graceTime):
			stopped.kill()
		}
		d.rec.printf("node %s ran for %.2f s after the SIGTERM", stopped.name, time.Since(term).Seconds())
	} else {
		time.Sleep(graceTime)
	}
	close(stop)
	orders := <-done
	wg.Wait()

	passedOn := make(map[string]bool)
	for _, n := range all[2:4] {
		for _, a := range n.backend.received() {
			passedOn[a.id] = true
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for _, r := range calls {
		sent := r.sentAt.Sub(term)
		if sent > stopLimit && r.status == 0 && passedOn[r.id] && r.at.Sub(r.sentAt) < fetchDeadline {
			broken = append(broken, fmt.Sprintf("LOST: call %s, sent %.2f s after the SIGTERM and passed on to a server, got no answer: the connection ended after %.2f s of its %.1f s", r.id, sent.Seconds(), r.at.Sub(r.sentAt).Seconds(), fetchDeadline.Seconds()))
		}
	}
	counts := make(map[int]int)
	for _, r := range orders {
		counts[r.status]++
	}
	d.rec.printf("orders by status: %v", counts)
	return broken, nil
}
