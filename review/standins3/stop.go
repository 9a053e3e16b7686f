package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// stopBesideUpload stops a node again and again as planned work does. Its clients send safe requests
// and, at nearly the same time, a request with a long body.
func stopBesideUpload(rec *record, trouble bool) (v verdict, err error) {
	const (
		cycles    = 5
		rounds    = 2 // in the time in which a stopping node serves all callers
		gets      = 6
		roundTime = 950 * time.Millisecond
		ahead     = 10 * time.Millisecond // of the end of the long body
		deadline  = 5 * time.Second
	)
	routes := []route{{"catalogo", "vetrina", "safe", 5, 2.5, 1}, {"ordine-std", "ordini", "unsafe", 5, 2.5, 2}}
	f, err := startFleet(rec, memoryMB, []service{{name: "ordini", backends: 3, slots: 100, bodyBytes: 500}, {name: "vetrina", backends: 3, slots: 100, bodyBytes: 500}}, routes)
	defer f.stop()
	if err != nil {
		return v, err
	}
	m := f.machines[0]
	body := make([]byte, uploadBytes())
	var mu sync.Mutex
	answers := map[string]answer{}
	broken, asked := 0, 0
	for cycle := range cycles {
		time.Sleep(settle)
		conns := make([]net.Conn, gets)
		for i := range conns {
			if conns[i], err = net.DialTimeout("tcp", m.caller, connectTimeout); err != nil {
				return v, err
			}
		}
		time.Sleep(time.Second)
		var stopped time.Time
		if trouble {
			stopped = time.Now()
			m.process.Process.Signal(syscall.SIGTERM)
			rec.line("SIGTERM", "node", m.name)
		}
		time.Sleep(100 * time.Millisecond)
		var wg sync.WaitGroup
		for round := range rounds {
			began := time.Now()
			up, err := net.DialTimeout("tcp", m.caller, connectTimeout)
			if err != nil {
				return v, err
			}
			q := request{id: fmt.Sprintf("u%d-%d", cycle, round), method: http.MethodPost, path: "/catalogo/20/x", deadline: deadline, body: body}
			all := q.bytes()
			up.Write(all[:len(all)-1])
			time.Sleep(100 * time.Millisecond)
			for i := range gets {
				wg.Go(func() {
					q := request{id: fmt.Sprintf("c%d-%d-%d", cycle, round, i), method: http.MethodGet, path: "/catalogo/500/x", deadline: deadline}
					c := conns[i]
					if round > 0 { // a stopping node closes a connection after its next response
						var err error
						if c, err = net.DialTimeout("tcp", m.caller, connectTimeout); err != nil {
							rec.line("not sent", "id", q.id, "err", err)
							return
						}
					}
					defer c.Close()
					a := answer{sent: time.Now(), stopped: stopped}
					c.SetDeadline(a.sent.Add(deadline))
					c.Write(q.bytes())
					a.status, _, a.err = readAnswer(bufio.NewReader(c))
					a.got = time.Now()
					mu.Lock()
					answers[q.id] = a
					mu.Unlock()
				})
			}
			time.Sleep(ahead)
			up.Write(all[len(all)-1:])
			wg.Go(func() {
				defer up.Close()
				up.SetDeadline(time.Now().Add(deadline))
				status, _, err := readAnswer(up)
				rec.line("upload answered", "id", q.id, "status", status, "err", err)
			})
			time.Sleep(time.Until(began.Add(roundTime)))
		}
		wg.Wait()
		if trouble {
			<-m.exited
			rec.line("stopped", "node", m.name, "took", time.Since(stopped).Round(time.Millisecond))
			if err := m.start(); err != nil {
				return v, err
			}
			if err := m.awaitReady(startTimeout); err != nil {
				return v, err
			}
		}
	}
	all := f.runs.byID()
	for id, a := range answers {
		asked++
		rec.line("answered", "id", id, "sent", rec.at(a.sent), "got", rec.at(a.got), "status", a.status, "err", a.err)
		for _, r := range all[id] {
			rec.line("run", "id", id, "backend", r.backend, "began", rec.at(r.began), "ended", rec.at(r.ended), "how", r.how)
			if a.status != http.StatusOK && !a.stopped.IsZero() && r.began.Before(a.got) && (r.ended.IsZero() || r.ended.After(a.got)) {
				broken++
				break
			}
		}
	}
	return verdict{broken > 0, fmt.Sprintf("of %d safe requests, %d were broken off by a stopping node while their backend was at work", asked, broken)}, nil
}

// answer is what a client got.
type answer struct {
	sent, got, stopped time.Time
	status             int
	err                error
}

// uploadBytes returns the size of the long body: three quarters of what the configuration allows,
// or the usual one if SHORT is set.
func uploadBytes() int {
	if os.Getenv("SHORT") == "1" {
		return 7200
	}
	return maxBodyBytes * 3 / 4
}
