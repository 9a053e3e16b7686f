package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// lateHeartbeats lets a backend leave while the store is down, ends all processes, and then delivers
// the last two pings of the backend, which the network has delayed.
func lateHeartbeats(rec *record, trouble bool) (v verdict, err error) {
	const (
		drainTime   = 2 * time.Second // drainS of the bounds
		stable      = 3 * time.Second // stableWindowS of the bounds
		outage      = 4500 * time.Millisecond
		serves      = 16 * time.Second // after the confirmation
		delay       = 3800 * time.Millisecond
		requestRate = 20 * time.Millisecond
	)
	routes := []route{{"ordine-std", "ordini", "unsafe", 5, 2.5, 2}}
	f, err := startFleet(rec, memoryMB, []service{{name: "ordini", backends: 3, slots: 100, bodyBytes: 500}, {name: "vetrina", backends: 3, slots: 100, bodyBytes: 500}}, routes)
	defer f.stop()
	if err != nil {
		return v, err
	}
	time.Sleep(settle)
	m := f.machines[0]
	b := m.backend
	f.store.setDown(true)
	rec.line("store down")
	began := time.Now()
	time.Sleep(500 * time.Millisecond)
	b.stopBeats()
	late := []string{b.nextPing(), b.nextPing()} // sent one heartbeat apart, and under way
	b.leaving.Store(true)
	var confirmed time.Time
	for end := time.Now().Add(5 * time.Second); confirmed.IsZero() && time.Now().Before(end); {
		status := b.send(m.control, http.MethodDelete, fmt.Sprintf(`{"born":%d}`, b.born))
		rec.line("departure", "backend", b.instance, "status", status)
		if status == http.StatusOK {
			confirmed = time.Now()
		}
	}
	if confirmed.IsZero() {
		return v, fmt.Errorf("the departure was not confirmed")
	}
	if trouble {
		rec.line("all processes killed")
		for _, m := range f.machines {
			m.process.Process.Kill()
		}
		for _, m := range f.machines {
			<-m.exited
		}
		time.Sleep(restartDelay)
		for _, m := range f.machines {
			if err := m.start(); err != nil {
				return v, err
			}
		}
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		time.Sleep(time.Until(confirmed.Add(delay - heartbeat)))
		rec.line("late ping", "status", b.send(m.control, http.MethodPut, late[0]))
		time.Sleep(heartbeat)
		rec.line("late ping", "status", b.send(m.control, http.MethodPut, late[1]))
	})
	wg.Go(func() {
		time.Sleep(time.Until(began.Add(outage)))
		f.store.setDown(false)
		rec.line("store up")
	})
	for _, m := range f.machines {
		if err := m.awaitReady(startTimeout); err != nil {
			return v, err
		}
	}
	calm := time.Now()
	if up := began.Add(outage); calm.Before(up) {
		calm = up
	}
	if last := confirmed.Add(delay); calm.Before(last) {
		calm = last
	}
	calm = calm.Add(stable)
	var mu sync.Mutex
	sent := map[string]time.Time{}
	var clients sync.WaitGroup
	for n := 0; time.Now().Before(confirmed.Add(serves)); n++ {
		time.Sleep(requestRate)
		clients.Go(func() {
			q := request{id: fmt.Sprintf("c%d", n), method: http.MethodPost, path: "/ordine-std/20/x", deadline: 5 * time.Second}
			at := time.Now()
			mu.Lock()
			sent[q.id] = at
			mu.Unlock()
			status, _, _, err := ask(f.machines[1+n%(len(f.machines)-1)].caller, q)
			rec.line("answered", "id", q.id, "sent", rec.at(at), "status", status, "err", err)
		})
	}
	clients.Wait()
	reached, inTouch := 0, 0
	for id, list := range f.runs.byID() {
		for _, r := range list {
			rec.line("run", "id", id, "backend", r.backend, "began", rec.at(r.began))
			if r.backend != b.instance || r.began.Sub(confirmed) <= drainTime {
				continue
			}
			reached++
			if sent[id].After(calm) {
				inTouch++
			}
		}
	}
	return verdict{inTouch > 0, fmt.Sprintf(
		"%d requests reached the backend later than %v after its departure was confirmed, %d of them sent when all machines were in touch",
		reached, drainTime, inTouch)}, nil
}

// nextPing returns the body of the next ping of the backend, which says that it is ready.
func (b *backend) nextPing() string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","coldS_time":0,"sequence":%d,"born":%d}`,
		b.service, b.address, b.zone, b.slots, b.sequence.Add(1), b.born)
}

// send sends a message of the backend about itself and returns the status, or 0 without an answer
// within a second.
func (b *backend) send(control, method, body string) int {
	req, err := http.NewRequest(method, "http://"+control+"/instances/"+b.instance, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
