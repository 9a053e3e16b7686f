package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["departure-forgotten"] = departureForgotten }

const (
	// outageTime is how long the store answers 503 (platform_down, how = "busy").
	outageTime = 4500 * time.Millisecond
	// departAfter and killAfter are times from the start of the outage.
	departAfter = time.Second
	killAfter   = 2 * time.Second
)

// departureForgotten lets a backend server leave while the store is down, and ends the
// processes of all nodes at the same moment soon after the departure is confirmed.
func departureForgotten(d *deployment) (broken []string, err error) {
	leaving, err := d.addNode("ordini-1", "milano", "ordini", 331)
	if err != nil {
		return nil, err
	}
	for i := range 4 {
		service := []string{"ordini", "vetrina", "vetrina", "magazzino"}[i]
		if _, err := d.addNode(fmt.Sprintf("%s-%d", service, i+2), "milano", service, 248); err != nil {
			return nil, err
		}
	}
	entries := d.nodes[2:]
	d.writeConfig(12, []string{"ordini", "vetrina", "magazzino"}, route{name: "ordine-std", prefix: "/ordini/", kind: "unsafe", service: "ordini", timeoutS: 5, targetS: 2.5, priority: 2})
	if err := d.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	if err := d.awaitServed(http.MethodPost, "/ordini/x", 10*time.Second, entries...); err != nil {
		return nil, err
	}
	stop, done := make(chan struct{}), make(chan []reply)
	go func() { done <- d.load(stop, 100, http.MethodPost, "/ordini/x", 5*time.Second, entries...) }()
	time.Sleep(4 * time.Second)

	outage := time.Now()
	if d.trouble {
		d.rec.printf("disruption: the store answers 503")
		d.store.setIntercept(func(w http.ResponseWriter, _ *http.Request) bool {
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		})
	}
	time.Sleep(departAfter)
	leaving.backend.stopHeartbeats()
	confirmed := make(chan time.Time, 1)
	go announceDeparture(d, leaving, confirmed)
	var acknowledged time.Time
	select {
	case acknowledged = <-confirmed:
	case <-time.After(10 * time.Second):
		return nil, fmt.Errorf("the departure of server %s was not confirmed", leaving.backend.id)
	}
	if d.trouble {
		time.Sleep(time.Until(outage.Add(killAfter)))
		d.rec.printf("disruption: all processes of the system are killed")
		for _, n := range d.nodes {
			go n.kill()
		}
		time.Sleep(restartDelay)
		for _, n := range d.nodes {
			if err := n.start(); err != nil {
				return nil, err
			}
			time.Sleep(startSpread / time.Duration(len(d.nodes)))
		}
	}
	time.Sleep(time.Until(outage.Add(outageTime)))
	d.store.setIntercept(nil)
	d.rec.printf("the store answers again")
	inTouch := time.Now().Add(stableWindow)
	time.Sleep(time.Until(acknowledged.Add(serveAfterDeparture)))
	leaving.backend.exit()
	d.rec.printf("server %s exits", leaving.backend.id)
	time.Sleep(time.Second)
	close(stop)
	return drainViolations(d, leaving.backend, acknowledged, inTouch, <-done), nil
}
