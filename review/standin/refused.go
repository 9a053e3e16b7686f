package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

func init() { cases["refused-and-run"] = refusedAndRun }

// Disruptions of refusedAndRun, at the largest doses that the site file lists.
const (
	shedShare = 0.55            // srv_grey, how = "shed all", for at most 8.5 s
	lostShare = 0.4             // answer_lost, how = "reset", share = 0.6, for 4 s
	roundTime = 4 * time.Second // both last this long
	pauseTime = 2 * time.Second // between two rounds
	rounds    = 5
	orderRate = 198 // orders a second, as on the sheet
	orderTime = 5 * time.Second
)

// refusedAndRun sends orders through a node beside another service. In each round
// the three backend servers of the order service refuse a part of their requests, and say
// so, and two of them lose the answers of a part of those that they ran.
func refusedAndRun(d *deployment) (broken []string, err error) {
	var homes []*node
	for i := range 3 {
		n, err := d.addNode(fmt.Sprintf("ordini-%d", i+1), "milano", "ordini", 331)
		if err != nil {
			return nil, err
		}
		homes = append(homes, n)
	}
	entry, err := d.addNode("vetrina-1", "milano", "vetrina", 248)
	if err != nil {
		return nil, err
	}
	d.writeConfig(12, []string{"ordini", "vetrina"}, route{name: "ordine-std", prefix: "/ordini/", kind: "unsafe", service: "ordini", timeoutS: 5, targetS: 2.5, priority: 2})
	if err := d.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	if err := d.awaitServed(http.MethodPost, "/ordini/x", 10*time.Second, entry); err != nil {
		return nil, err
	}
	stop, done := make(chan struct{}), make(chan []reply)
	go func() { done <- d.load(stop, orderRate, http.MethodPost, "/ordini/x", orderTime, entry) }()
	time.Sleep(12 * time.Second) // a node spends none of the fixed part of the retry budget in its first 10 s
	for range rounds {
		if d.trouble {
			d.rec.printf("disruption: servers refuse %v of their requests; two of them lose %v of the answers", shedShare, lostShare)
			for i, h := range homes {
				h.backend.setDecide(decideRefused(i > 0))
			}
		}
		time.Sleep(roundTime)
		for _, h := range homes {
			h.backend.setDecide(nil)
		}
		d.rec.printf("disruption ended")
		time.Sleep(pauseTime)
	}
	close(stop)
	replies := <-done

	ran := make(map[string]string)
	for _, h := range homes {
		for _, a := range h.backend.received() {
			if a.ran {
				ran[a.id] = fmt.Sprintf("server %s ran it at %s", h.backend.id, d.rec.at(a.at))
			}
		}
	}
	counts := make(map[int]int)
	for _, r := range replies {
		counts[r.status]++
		switch r.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if by := ran[r.id]; by != "" {
				broken = append(broken, fmt.Sprintf("REFUSED: %s was answered %d at %s, but %s", r.id, r.status, d.rec.at(r.at), by))
			}
		}
	}
	d.rec.printf("answers by status: %v", counts)
	return broken, nil
}

// decideRefused returns what a backend server does with a request during the disruption.
func decideRefused(losesAnswers bool) func(*http.Request) action {
	return func(*http.Request) action {
		switch {
		case rand.Float64() < shedShare:
			return shed
		case losesAnswers && rand.Float64() < lostShare:
			return runThenReset
		}
		return answer
	}
}
