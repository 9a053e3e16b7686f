package main

import (
	"sync"
	"time"
)

var cases = map[string]func(rec *record, trouble bool) int{
	"late-ping":  latePing,
	"first-ping": firstPing,
}

// pair is a store, a node with a backend server x of service "ordini", and nodes of other
// services, through which the clients send.
type pair struct {
	rec     *record
	store   *store
	x       *backend
	home    *node
	others  []*node
	servers []*backend // beside others
	stop    chan struct{}
	wg      sync.WaitGroup
}

func newPair(rec *record, entries int) *pair {
	p := &pair{rec: rec, store: newStore(), stop: make(chan struct{})}
	p.store.operatorWrite("op/config", configDoc(7, []string{"ordini", "vetrina", "assistenza"},
		route{name: "r-order", prefix: "/puka111/", kind: "unsafe", service: "ordini", timeoutS: 5, targetS: 2.5, priority: 2},
		route{name: "r-price", prefix: "/leny950/", kind: "safe", service: "ordini", timeoutS: 5, targetS: 1.2, priority: 1},
		route{name: "r-job", prefix: "/dosa3/", kind: "unsafe", service: "vetrina", timeoutS: 5, targetS: 2.5, priority: 2},
	))
	quick := func(string) time.Duration { return 20 * time.Millisecond }
	p.x = &backend{service: "ordini", id: "i-7f3a91c2", addr: freeAddr(), slots: 50, work: quick, rec: rec}
	p.x.start()
	p.home = newNode(rec, p.store, "sidecar-milano-1", "ordini", "milano", p.x.addr)
	p.x.control = p.home.control
	p.home.start()
	for i := range entries {
		service := []string{"vetrina", "assistenza"}[i%2]
		b := &backend{service: service, id: "i-0000000" + string(rune('1'+i)), addr: freeAddr(), slots: 50, work: quick, rec: rec}
		b.start()
		n := newNode(rec, p.store, "sidecar-milano-"+string(rune('2'+i)), service, "milano", b.addr)
		b.control = n.control
		n.start()
		p.others, p.servers = append(p.others, n), append(p.servers, b)
		waitFor("node listens", 5*time.Second, n.isReady)
		go b.beat(p.stop)
	}
	waitFor("node listens", 5*time.Second, p.home.isReady)
	return p
}

// restart starts x again under the id that it had.
func (p *pair) restart() *backend {
	b := &backend{service: p.x.service, id: p.x.id, addr: p.x.addr, slots: p.x.slots, control: p.x.control, work: p.x.work, rec: p.rec}
	b.start()
	return b
}

// traffic sends a request to the first entry every 50 ms until stop is closed.
func (p *pair) traffic(stop <-chan struct{}) {
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			p.wg.Add(1)
			go func() {
				defer p.wg.Done()
				p.others[0].send("POST", "/puka111/2f", 2*time.Second, []byte("order"))
			}()
		}
	}()
}

// lateRuns logs and counts the requests that reached a server later than drainS after a
// departure was acknowledged.
func lateRuns(rec *record, b *backend, acked time.Time) int {
	const drainS = 2 * time.Second
	late := 0
	for _, r := range b.allRuns() {
		if r.at.Sub(acked) > drainS {
			late++
		}
	}
	rec.log("%d requests reached server %s born %d later than %v after its departure was acknowledged", late, b.id, b.born, drainS)
	return late
}

// latePing: a ping of an earlier start of a server arrives after the next start, which has
// the same id, has left.
func latePing(rec *record, trouble bool) int {
	p := newPair(rec, 2)
	go p.x.beat(p.stop)
	waitFor("requests are served", 10*time.Second, func() bool { return p.others[0].send("POST", "/puka111/2f", time.Second, nil).status == 200 })
	time.Sleep(4 * time.Second) // all machines are in touch
	end := make(chan struct{})
	p.traffic(end)
	time.Sleep(2 * time.Second)
	first := p.x
	if trouble {
		go first.ping("ready", 5400*time.Millisecond)
	} else {
		first.ping("ready", 0)
	}
	time.Sleep(20 * time.Millisecond)
	first.crash("crashes")
	time.Sleep(300 * time.Millisecond)
	second := p.restart()
	if s := second.ping("ready", 0); s != 200 {
		cannotRun("ping answered %d", s)
	}
	time.Sleep(300 * time.Millisecond)
	if s := second.leave(); s != 200 {
		cannotRun("departure answered %d", s)
	}
	acked := time.Now()
	time.Sleep(8 * time.Second)
	close(end)
	p.wg.Wait()
	second.crash("exits")
	if lateRuns(rec, second, acked) > 0 {
		return broken
	}
	return held
}

// firstPing: a server starts again under the id that it had and leaves before its first
// pings, which are late, have arrived.
func firstPing(rec *record, trouble bool) int {
	p := newPair(rec, 2)
	go p.x.beat(p.stop)
	waitFor("requests are served", 10*time.Second, func() bool { return p.others[0].send("POST", "/puka111/2f", time.Second, nil).status == 200 })
	time.Sleep(4 * time.Second)
	end := make(chan struct{})
	p.traffic(end)
	time.Sleep(2 * time.Second)
	p.x.crash("crashes")
	time.Sleep(300 * time.Millisecond)
	second := p.restart()
	delay := time.Duration(0)
	if trouble {
		delay = 5 * time.Second
	}
	go second.ping("ready", delay)
	time.Sleep(1 * time.Second)
	if s := second.leave(); s != 200 {
		cannotRun("departure answered %d", s)
	}
	acked := time.Now()
	time.Sleep(8 * time.Second)
	close(end)
	p.wg.Wait()
	second.crash("exits")
	if lateRuns(rec, second, acked) > 0 {
		return broken
	}
	return held
}
