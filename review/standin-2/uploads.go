package main

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["uploads"] = uploads }

const (
	memoryMB = 284
	homes    = 2 // machines of the service that runs the orders
	machines = 13
	// A burst has 2.25 times the clients for 6 s; the site's list has x = 2.4 for 6.2 s.
	usualClients = 4
	burstClients = 9
	bursts       = 12
	burstTime    = 6 * time.Second
	burstGap     = 2 * time.Second
	pause        = 900 * time.Millisecond // between two orders of a client
	bodyBytes    = 16 << 20               // the limit of the configuration is 64 MiB
	// processEnds is how often the processes of a machine must end for the rule, and
	// machinesEnding on how many machines.
	processEnds    = 3
	machinesEnding = 2
)

// memory returns the anonymous memory of the process in kB: what it holds, without the pages
// of its program.
func (n *node) memory() (kB int) {
	n.mu.Lock()
	pid := n.cmd.Process.Pid
	n.mu.Unlock()
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if _, rest, ok := strings.Cut(string(data), "RssAnon:"); ok {
		fmt.Sscan(rest, &kB)
	}
	return kB
}

// keepWithinMemory does what the platform does: it kills a process that exceeds its memory and
// starts it again after a short delay.
func (n *node) keepWithinMemory(stop <-chan struct{}, wg *sync.WaitGroup, ends *int, peak *int) {
	defer wg.Done()
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		kB := n.memory()
		*peak = max(*peak, kB)
		if kB <= memoryMB<<10 {
			continue
		}
		*ends++
		n.rec.log("node %s holds %d kB, its limit is %d kB", n.name, kB, memoryMB<<10)
		n.kill()
		time.Sleep(500 * time.Millisecond)
		n.start()
	}
}

// uploads: orders with long bodies come at once, one for each machine.
func uploads(rec *record, trouble bool) int {
	s := newStore()
	s.operatorWrite("op/config", configDoc(7, []string{"ordini", "vetrina"},
		route{name: "r-order", prefix: "/puka111/", kind: "unsafe", service: "ordini", timeoutS: 5, targetS: 2.5, priority: 2}))
	stop := make(chan struct{})
	var nodes []*node
	var servers []*backend
	for i := range machines {
		service := "vetrina"
		if i < homes {
			service = "ordini"
		}
		b := &backend{service: service, id: fmt.Sprintf("i-%08d", i), addr: freeAddr(), slots: 331, rec: rec,
			work: func(string) time.Duration { return 78 * time.Millisecond }}
		b.start()
		n := newNode(rec, s, fmt.Sprintf("sidecar-%d", i), service, []string{"milano", "bergamo", "brescia"}[i%3], b.addr)
		b.control = n.control
		n.start()
		go b.beat(stop)
		nodes, servers = append(nodes, n), append(servers, b)
	}
	for _, n := range nodes {
		waitFor("node is ready", 10*time.Second, n.isReady)
	}
	waitFor("orders are served", 10*time.Second, func() bool { return nodes[12].send("POST", "/puka111/2f", time.Second, nil).status == 200 })
	time.Sleep(3 * time.Second)
	ends, peaks := make([]int, len(nodes)), make([]int, len(nodes))
	over := make(chan struct{})
	var watch sync.WaitGroup
	for i, n := range nodes {
		watch.Add(1)
		go n.keepWithinMemory(over, &watch, &ends[i], &peaks[i])
	}
	body := bytes.Repeat([]byte("x"), bodyBytes)
	var mu sync.Mutex
	counts := map[int]int{}
	ran := map[string]bool{}
	var unanswered []string
	stopAll := make(chan struct{})
	var clients sync.WaitGroup
	client := func(n *node, stop <-chan struct{}) { // sends one order after another
		defer clients.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
			a := n.send("POST", "/puka111/2f", 5*time.Second, body)
			mu.Lock()
			counts[a.status]++
			if a.status != 200 {
				unanswered = append(unanswered, a.id)
			}
			mu.Unlock()
		}
	}
	for i := range usualClients {
		clients.Add(1)
		go client(nodes[(homes+i)%len(nodes)], stopAll)
	}
	for range bursts {
		burst := make(chan struct{})
		if trouble {
			rec.log("burst: %d clients instead of %d", burstClients, usualClients)
			for i := usualClients; i < burstClients; i++ {
				clients.Add(1)
				go client(nodes[(homes+i)%len(nodes)], burst)
			}
		}
		time.Sleep(burstTime)
		close(burst)
		time.Sleep(burstGap)
	}
	close(stopAll)
	clients.Wait()
	close(over)
	watch.Wait()
	close(stop)
	for _, b := range servers {
		for _, r := range b.allRuns() {
			ran[r.id] = true
		}
	}
	lost := 0
	for _, id := range unanswered {
		if ran[id] {
			lost++
		}
	}
	rec.log("answers by status (0: none): %v; %d orders ran and got no success", counts, lost)
	ending := 0
	for i, n := range nodes {
		rec.log("node %s: at most %d kB, ended %d times over its limit of %d kB", n.name, peaks[i], ends[i], memoryMB<<10)
		if ends[i] >= processEnds {
			ending++
		}
	}
	rec.log("processes of %d machines ended %d times or more", ending, processEnds)
	if ending >= machinesEnding {
		return broken
	}
	return held
}
