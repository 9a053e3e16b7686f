package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// padana is the deployment of Padana as its sheet gives it.
func padana() []service {
	return []service{
		{name: "vetrina", backends: 4, slots: 248, bodyBytes: 5000},
		{name: "ordini", backends: 3, slots: 331, bodyBytes: 5000},
		{name: "assistenza", backends: 3, slots: 331, bodyBytes: 6000},
		{name: "magazzino", backends: 3, slots: 31, bodyBytes: 400},
	}
}

// settle is the time after the start in which the nodes connect to each other and the backends
// prove that they take calls. It is longer than stableWindowS.
const settle = 4 * time.Second

// largeBodies sends requests at all machines, one at a time at each. Their bodies are half as large
// as the configuration allows or, without the trouble, of the usual size.
func largeBodies(rec *record, trouble bool) (v verdict, err error) {
	const (
		duration = 85 * time.Second
		largest  = maxBodyBytes / 2
		usual    = 7200
		pause    = 500 * time.Millisecond
		needed   = 3 // ends of a process on each of two machines
	)
	routes := []route{
		{"catalogo", "vetrina", "safe", 5, 1.2, 1},
		{"ordine-std", "ordini", "unsafe", 5, 2.5, 2},
		{"intervento", "assistenza", "unsafe", 5, 2.5, 1},
		{"disponibilita", "magazzino", "safe", 5, 2.5, 0},
	}
	f, err := startFleet(rec, memoryMB, padana(), routes)
	defer f.stop()
	if err != nil {
		return v, err
	}
	time.Sleep(settle)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.limitMemory(ctx)
	size := usual
	if trouble {
		size = largest
	}
	body := make([]byte, size)
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for i, m := range f.machines {
		wg.Go(func() {
			for n, end := 0, time.Now().Add(duration); time.Now().Before(end); n++ {
				r := routes[n%len(routes)]
				q := request{id: fmt.Sprintf("c%d-%d", i, n), method: http.MethodPost, path: r.prefix() + "20/x", deadline: 5 * time.Second, body: body}
				began := time.Now()
				status, _, _, err := ask(m.caller, q)
				rec.line("request", "id", q.id, "node", m.name, "route", r.name, "body", len(body), "status", status, "took", time.Since(began).Round(time.Millisecond), "err", err)
				mu.Lock()
				statuses[status]++
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	wg.Wait()
	cancel()
	f.watchers.Wait()
	broken, all := 0, 0
	for _, m := range f.machines {
		rec.line("machine", "node", m.name, "service", m.backend.service, "ends", len(m.ends), "peak_mb", m.peakKB>>10)
		all += len(m.ends)
		if len(m.ends) >= needed {
			broken++
		}
	}
	for id, list := range f.runs.byID() {
		rec.line("run", "id", id, "times", len(list), "backend", list[0].backend, "body", list[0].body)
	}
	return verdict{broken >= 2, fmt.Sprintf("%d ends of processes, %d machines with %d or more; statuses %v", all, broken, needed, statuses)}, nil
}

// leaveEach is the number of clients of which one leaves before its deadline.
const leaveEach = 5

// leavers plays clients that leave before their deadline, and judges what the backends do after.
type leavers struct {
	mu     sync.Mutex
	closed map[string]time.Time // when the client of a request closed its connection
}

func (l *leavers) close(c net.Conn, ids ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		l.closed[id] = time.Now()
	}
	c.Close()
}

// judge counts the requests that reached a backend over half a second after their client had left,
// and those of the idempotent ones that would have lasted so long at which a backend was still at
// work then.
func (l *leavers) judge(rec *record, all map[string][]run) verdict {
	const (
		limit = 500 * time.Millisecond
		few   = 3
	)
	late, lasting, atWork := 0, 0, 0
	for id, list := range all {
		for _, r := range list {
			rec.line("run", "id", id, "backend", r.backend, "method", r.method, "began", rec.at(r.began), "ended", rec.at(r.ended), "how", r.how, "client_left", rec.at(l.closed[id]))
			left, ok := l.closed[id]
			if !ok {
				continue
			}
			if r.began.Sub(left) > limit {
				late++
			}
			if r.method == http.MethodGet && r.began.Before(left) && r.began.Add(r.work).Sub(left) > limit {
				lasting++
				if r.ended.IsZero() || r.ended.Sub(left) > limit {
					atWork++
				}
			}
		}
	}
	return verdict{late > few || 4*atWork > lasting, fmt.Sprintf(
		"%d clients' requests left; %d reached a backend over 0.5 s later; of %d idempotent ones that would have lasted 0.5 s more, a backend was still at work on %d",
		len(l.closed), late, lasting, atWork)}
}

// closedRequest sends requests on new connections, of which each carries one request and says so
// by "Connection: close". A fifth of the clients leaves before the deadline.
func closedRequest(rec *record, trouble bool) (v verdict, err error) {
	routes := []route{{"catalogo", "vetrina", "safe", 5, 2.5, 1}, {"ordine-std", "ordini", "unsafe", 5, 2.5, 2}}
	f, err := startFleet(rec, memoryMB, []service{
		{name: "vetrina", backends: 3, slots: 60, bodyBytes: 5000},
		{name: "ordini", backends: 3, slots: 8, bodyBytes: 5000},
	}, routes)
	defer f.stop()
	if err != nil {
		return v, err
	}
	time.Sleep(settle)
	const (
		clients  = 300
		deadline = 5 * time.Second
		stay     = 600 * time.Millisecond // half the objective is 1.25 s
	)
	keep := os.Getenv("KEEP_ALIVE") == "1" // the clients would use their connections again
	l := &leavers{closed: map[string]time.Time{}}
	var wg sync.WaitGroup
	for i := range clients {
		m := f.machines[i%len(f.machines)]
		r, method, work := routes[i/len(f.machines)%2], http.MethodGet, 2000
		if r.kind != "safe" {
			method, work = http.MethodPost, 1200
		}
		time.Sleep(10 * time.Millisecond)
		wg.Go(func() {
			q := request{id: fmt.Sprintf("c%d", i), method: method, path: fmt.Sprintf("%s%d/x", r.prefix(), work), deadline: deadline, closeAfter: !keep}
			if trouble && i/len(f.machines)/2%leaveEach == 0 {
				c, err := net.DialTimeout("tcp", m.caller, connectTimeout)
				if err != nil {
					rec.line("not sent", "id", q.id, "err", err)
					return
				}
				c.Write(q.bytes())
				rec.line("sent", "id", q.id, "node", m.name, "method", method)
				time.Sleep(stay)
				l.close(c, q.id)
				rec.line("client left", "id", q.id)
				return
			}
			rec.line("sent", "id", q.id, "node", m.name, "method", method)
			status, _, _, err := ask(m.caller, q)
			rec.line("answered", "id", q.id, "status", status, "err", err)
		})
	}
	wg.Wait()
	time.Sleep(5 * time.Second)
	return l.judge(rec, f.runs.byID()), nil
}
