package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stopload"] = stopLoad }

func stopLoad(rec *record, trouble bool) int {
	p := newPair(rec, 2)
	go p.x.beat(p.stop)
	p.x.slots = 300
	p.x.work = func(uri string) time.Duration {
		if strings.HasPrefix(uri, "/puka") {
			return time.Duration(20+rand.IntN(1500)) * time.Millisecond
		}
		return time.Duration(20+rand.IntN(700)) * time.Millisecond
	}
	e := p.others[0]
	waitFor("requests are served", 10*time.Second, func() bool { return e.send("GET", "/leny950/2f", time.Second, nil).status == 200 })
	bad := 0
	for round := range 3 {
		stop := make(chan struct{})
		var mu sync.Mutex
		var all []answer
		var wg sync.WaitGroup
		for i := range 60 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				var c net.Conn
				var r *bufio.Reader
				for {
					select {
					case <-stop:
						if c != nil {
							c.Close()
						}
						return
					default:
					}
					if c == nil {
						var err error
						if c, err = net.Dial("tcp", e.caller); err != nil {
							c = nil
							time.Sleep(20 * time.Millisecond)
							continue
						}
						r = bufio.NewReader(c)
					}
					a := answer{id: newID(), sent: time.Now()}
					if i%2 == 0 {
						e.exchange(c, r, "POST", "/puka111/2f", 5*time.Second, []byte("x"), &a)
					} else {
						e.exchange(c, r, "GET", "/leny950/2f", 5*time.Second, nil, &a)
					}
					mu.Lock()
					all = append(all, a)
					mu.Unlock()
					if a.err != nil || a.status == 503 {
						c.Close()
						c = nil
					}
					time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
				}
			}()
		}
		time.Sleep(3 * time.Second)
		at := time.Now()
		e.signal(syscall.SIGTERM)
		<-e.end
		took := time.Since(at)
		time.Sleep(300 * time.Millisecond)
		close(stop)
		wg.Wait()
		ran := map[string]bool{}
		for _, b := range append(p.servers, p.x) {
			for _, x := range b.allRuns() {
				ran[x.id] = true
			}
		}
		n := map[string]int{}
		for _, a := range all {
			n[fmt.Sprint(a.status, ran[a.id])]++
			if ran[a.id] && !a.signed && a.sent.Sub(at) > -time.Second {
				bad++
				fmt.Printf("round %d: %s sent %.3f got %.3f status %d err %v\n", round, a.id, a.sent.Sub(at).Seconds(), a.got.Sub(at).Seconds(), a.status, a.err)
			}
			if !ran[a.id] && a.status == 0 && a.got.Sub(a.sent) > 200*time.Millisecond {
				fmt.Printf("round %d: not run %s sent %.3f got %.3f err %v\n", round, a.id, a.sent.Sub(at).Seconds(), a.got.Sub(at).Seconds(), a.err)
			}
		}
		fmt.Println("round", round, "took", took, n)
		e.start()
		waitFor("ready", 5*time.Second, e.isReady)
		time.Sleep(time.Second)
	}
	fmt.Println("bad", bad)
	return held
}
