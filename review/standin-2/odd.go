package main

import (
	"bytes"
	"fmt"
	"time"
)

func init() { cases["odd-entries"] = oddEntries }

// oddEntries: another writer has left entries that cannot be read among the members, and then all
// processes are killed and started again.
func oddEntries(rec *record, trouble bool) int {
	const (
		entries   = 18
		valueSize = 1000 * 1000 // valueBytes is 1048576
		recoveryS = 15 * time.Second
	)
	p := newPair(rec, 3)
	go p.x.beat(p.stop)
	waitFor("requests are served", 10*time.Second, func() bool { return p.others[0].send("POST", "/puka111/2f", time.Second, nil).status == 200 })
	time.Sleep(3 * time.Second)
	if trouble {
		rec.log("another writer writes %d entries of %d bytes", entries, valueSize)
		for i := range entries {
			p.store.operatorWrite(fmt.Sprintf("members/x%03d", i), bytes.Repeat([]byte("["), valueSize))
		}
	}
	share := func(what string, length time.Duration) float64 {
		served, all := 0, 0
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			for _, n := range p.others {
				all++
				if a := n.send("POST", "/puka111/2f", time.Second, []byte("order")); a.status == 200 && a.signed {
					served++
				}
			}
		}
		rec.log("%s: %d of %d requests were served", what, served, all)
		return float64(served) / float64(all)
	}
	before := share("before the final fault", 5*time.Second)
	nodes := append([]*node{p.home}, p.others...)
	for _, n := range nodes {
		n.kill()
	}
	time.Sleep(500 * time.Millisecond)
	for _, n := range nodes {
		n.start()
	}
	back := time.Now()
	share("during the recovery", recoveryS)
	time.Sleep(time.Until(back.Add(recoveryS)))
	after := share("later than recoveryS", 15*time.Second)
	if before >= 0.25 && after < 0.25 {
		return broken
	}
	if before < 0.25 {
		return noRun
	}
	return held
}
