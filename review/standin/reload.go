package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["crash-at-reload"] = crashAtReload }

// configTime is configS: requests that were sent up to this long after a SIGHUP count.
const configTime = 2 * time.Second

// crashAtReload changes the ports for the communication between nodes in the settings
// files of all nodes, and tells two of six by SIGHUP.
func crashAtReload(d *deployment) (broken []string, err error) {
	for i, service := range []string{"ordini", "ordini", "vetrina", "vetrina", "magazzino", "magazzino"} {
		if _, err := d.addNode(fmt.Sprintf("%s-%d", service, i+1), "milano", service, 331); err != nil {
			return nil, err
		}
	}
	homes, told := d.nodes[:2], d.nodes[2:4]
	d.writeConfig(12, []string{"ordini", "vetrina", "magazzino"}, route{name: "ordine-std", prefix: "/ordini/", kind: "unsafe", service: "ordini", timeoutS: 5, targetS: 2.5, priority: 2})
	if err := d.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	if err := d.awaitServed(http.MethodPost, "/ordini/x", 10*time.Second, told...); err != nil {
		return nil, err
	}
	for _, h := range homes {
		h.backend.setRun(func(string) int { time.Sleep(80 * time.Millisecond); return http.StatusOK })
	}
	stop, done := make(chan struct{}), make(chan []reply)
	go func() { done <- d.load(stop, 198, http.MethodPost, "/ordini/x", 5*time.Second, told...) }()
	time.Sleep(2*time.Second + stableWindow)
	if d.trouble {
		for _, n := range d.nodes {
			if n.peers, err = freeAddress(); err != nil {
				return nil, err
			}
			if err := n.writeSettings(); err != nil {
				return nil, err
			}
		}
		d.rec.printf("the settings files of all nodes have other internalPorts")
	}
	hup := time.Now()
	if d.trouble {
		for _, n := range told {
			n.signal(syscall.SIGHUP)
		}
	}
	time.Sleep(configTime + time.Second)
	close(stop)
	replies := <-done
	ran := make(map[string]bool)
	for _, h := range homes {
		for _, a := range h.backend.received() {
			ran[a.id] = true
		}
	}
	counts := make(map[string]int)
	for _, r := range replies {
		switch {
		case r.err == nil:
			counts[fmt.Sprint(r.status)]++
		case !ran[r.id]:
			counts["not passed on"]++
		default:
			counts["passed on, no answer"]++
			if r.sentAt.Before(hup.Add(configTime)) && r.at.After(hup) {
				broken = append(broken, fmt.Sprintf("LOST: %s was passed on to a server, and its connection ended without an answer at %s, %.3f s after the SIGHUP", r.id, d.rec.at(r.at), r.at.Sub(hup).Seconds()))
			}
		}
	}
	d.rec.printf("answers: %v", counts)
	return broken, nil
}
