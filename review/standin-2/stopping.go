package main

import (
	"sync"
	"syscall"
	"time"
)

func init() { cases["stopping"] = stopping }

// stopping: while a node stops, its backend server, which goes on to work, makes a call through
// it that lasts some seconds.
func stopping(rec *record, trouble bool) int {
	const (
		graceS = 6 * time.Second
		callAt = 3150 * time.Millisecond // after SIGTERM
		long   = 2600 * time.Millisecond // how long the call is worked on
	)
	p := newPair(rec, 2)
	go p.x.beat(p.stop)
	p.x.work = func(uri string) time.Duration {
		if uri == "/leny950/long" {
			return long
		}
		return 60 * time.Millisecond
	}
	e := p.others[0]
	parentEnd := make(chan struct{})
	p.servers[0].work = func(uri string) time.Duration {
		if uri == "/dosa3/long" {
			<-parentEnd
		}
		return 60 * time.Millisecond
	}
	waitFor("requests are served", 10*time.Second, func() bool { return e.send("GET", "/leny950/2f", time.Second, nil).status == 200 })
	waitFor("requests are served", 10*time.Second, func() bool { return p.others[1].send("POST", "/dosa3/2f", time.Second, nil).status == 200 })
	for range 100 { // the usual traffic of the machine
		e.send("GET", "/leny950/2f", 5*time.Second, nil)
	}
	start := time.Now()
	if trouble {
		e.signal(syscall.SIGTERM)
	}
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { // the request whose run makes the call
		defer wg.Done()
		p.others[1].send("POST", "/dosa3/long", 5*time.Second, []byte("job"))
	}()
	time.Sleep(callAt - time.Since(start))
	a := e.send("GET", "/leny950/long", 3800*time.Millisecond, nil)
	close(parentEnd)
	wg.Wait()
	ran := false
	for _, r := range p.x.allRuns() {
		ran = ran || r.id == a.id
	}
	rec.log("the call was sent %.3f s and answered with %d %.3f s after the signal; it ran: %v", a.sent.Sub(start).Seconds(), a.status, a.got.Sub(start).Seconds(), ran)
	// A refusal that was not passed on is allowed.
	if ran && !a.signed && a.sent.Sub(start) > 3*time.Second && a.got.Sub(start) < graceS+time.Second {
		return broken
	}
	return held
}
