package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["departed-in-use"] = departedInUse }

const (
	// restartDelay is the time after which the platform starts a killed process again.
	restartDelay = 500 * time.Millisecond
	// startSpread is the time within which the platform starts all processes.
	startSpread = 300 * time.Millisecond
	// departureRetry is the time between two attempts of a server to announce its
	// departure while its node does not answer.
	departureRetry = 200 * time.Millisecond
	// serveAfterDeparture is how long the server goes on after the confirmation.
	serveAfterDeparture = 9 * time.Second
)

// departedInUse ends the processes of all nodes at the same moment while a backend server
// leaves. The server announces its departure until that is confirmed, and serves on for
// some seconds.
func departedInUse(d *deployment) (broken []string, err error) {
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

	if d.trouble {
		d.rec.printf("disruption: all processes of the system are killed")
		for _, n := range d.nodes {
			go n.kill()
		}
		time.Sleep(50 * time.Millisecond)
	}
	leaving.backend.stopHeartbeats()
	confirmed := make(chan time.Time, 1)
	go announceDeparture(d, leaving, confirmed)
	if d.trouble {
		time.Sleep(restartDelay)
		for _, n := range d.nodes {
			if err := n.start(); err != nil {
				return nil, err
			}
			time.Sleep(startSpread / time.Duration(len(d.nodes)))
		}
	}
	inTouch := time.Now().Add(stableWindow)
	var acknowledged time.Time
	select {
	case acknowledged = <-confirmed:
	case <-time.After(10 * time.Second):
		return nil, fmt.Errorf("the departure of server %s was not confirmed", leaving.backend.id)
	}
	time.Sleep(time.Until(acknowledged.Add(serveAfterDeparture)))
	leaving.backend.exit()
	d.rec.printf("server %s exits", leaving.backend.id)
	time.Sleep(time.Second)
	close(stop)
	return drainViolations(d, leaving.backend, acknowledged, inTouch, <-done), nil
}

// drainViolations returns the requests that reached a backend server too long after its
// departure was confirmed. Only requests that clients sent while all machines were in
// touch count.
func drainViolations(d *deployment, b *backend, acknowledged, inTouch time.Time, replies []reply) (broken []string) {
	sentAt := make(map[string]time.Time)
	served := 0
	for _, r := range replies {
		sentAt[r.id] = r.sentAt
		if r.status == http.StatusOK && r.sentAt.After(inTouch) {
			served++
		}
	}
	d.rec.printf("%d requests answered with success after all machines were in touch", served)
	for _, a := range b.received() {
		if a.at.After(acknowledged.Add(drainTime)) && sentAt[a.id].After(inTouch) {
			broken = append(broken, fmt.Sprintf("DRAIN: %s reached server %s at %s, %.1f s after its departure was confirmed", a.id, b.id, d.rec.at(a.at), a.at.Sub(acknowledged).Seconds()))
		}
	}
	return broken
}

// announceDeparture sends the departure of the backend server of a node until it is
// confirmed.
func announceDeparture(d *deployment, n *node, confirmed chan<- time.Time) {
	for {
		status, err := n.backend.sendDeparture(n.control)
		if status == http.StatusOK {
			d.rec.printf("server %s announced its departure: confirmed with status 200", n.backend.id)
			confirmed <- time.Now()
			return
		}
		d.rec.printf("server %s announced its departure: status %d, %v", n.backend.id, status, err)
		time.Sleep(departureRetry)
	}
}
