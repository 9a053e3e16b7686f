package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucancaller"
	"toucanhaven/toucanresponse"
)

// demoClass is the load of one class.
type demoClass struct {
	service, name, method, path string
	capacityShare               float64 // share of demoCapacityPerSecond, outside the surge
	atMostOnce                  bool
	inSurge                     bool
}

// demoClasses are the classes from the most to the least urgent.
var demoClasses = []demoClass{
	{service: "ordini", name: "place_order", method: http.MethodPost, path: "/orders", capacityShare: 0.08, atMostOnce: true},
	{service: "vetrina", name: "check_availability", method: http.MethodGet, path: "/availability", capacityShare: 0.12},
	{service: "ordini", name: "order_status", method: http.MethodGet, path: "/status", capacityShare: 0.15},
	{service: "vetrina", name: "browse", method: http.MethodGet, path: "/catalogue", capacityShare: 0.25, inSurge: true},
}

const (
	// demoTimeoutFactor is the timeout of callers as a multiple of the latency
	// target.
	demoTimeoutFactor = 2
	// Callers of the surge retry a request up to surgeRetries times, each time after
	// surgeRetryDelay and with a new request id. They ignore Retry-After.
	surgeRetries    = 3
	surgeRetryDelay = 50 * time.Millisecond
	// maxSurgeInFlight limits the number of sockets that the surge uses.
	maxSurgeInFlight = 1000
)

// demoOutcome is the outcome of a request as its caller sees it.
type demoOutcome string

const (
	demoOK      demoOutcome = "ok"      // whole answer with status 200
	demoError   demoOutcome = "error"   // whole answer with another status
	demoRefused demoOutcome = "refused" // the node reported that the request did not run
	demoFailed  demoOutcome = "failed"
	demoUnknown demoOutcome = "unknown"
	demoWrong   demoOutcome = "wrong" // an answer to another request, or a truncated one
)

// demoRequest is one finished request.
type demoRequest struct {
	class   int // index in demoClasses
	id      string
	outcome demoOutcome
	reason  toucancall.Reason // given by the node; with demoError, the reason of the failed child call
	endedAt time.Duration     // since the start of the load
	latency time.Duration
}

// demoLoad sends requests and records their outcomes.
type demoLoad struct {
	fleet          *demoFleet
	entries        []string
	caller         *toucancaller.Client
	surgeClient    *http.Client
	latencyTargets []time.Duration
	rand           *rand.Rand // used only before the load starts
	startedAt      time.Time
	senders        sync.WaitGroup
	surgeSlots     chan struct{}

	mu          sync.Mutex
	finished    []demoRequest
	lastID      int
	unsentSurge int // surge requests that were not sent because of maxSurgeInFlight
}

func newDemoLoad(f *demoFleet, seed uint64) (*demoLoad, error) {
	random := rand.New(rand.NewPCG(seed, 0))
	caller, err := toucancaller.New(f.entries(), toucancaller.WithTenant("officina-rossi"),
		toucancaller.WithRand(rand.New(rand.NewPCG(seed, 1))))
	if err != nil {
		return nil, err
	}
	l := &demoLoad{
		fleet: f, entries: f.entries(), caller: caller, rand: random, surgeSlots: make(chan struct{}, maxSurgeInFlight),
		surgeClient: &http.Client{Transport: toucanresponse.Checked(&http.Transport{MaxIdleConnsPerHost: maxSurgeInFlight})},
	}
	for _, c := range demoClasses {
		l.latencyTargets = append(l.latencyTargets, latencyTarget(c.service, c.name))
	}
	return l, nil
}

// startSenders starts the senders, which end with the last phase.
func (l *demoLoad) startSenders(d *demo) {
	l.startedAt = time.Now()
	for i, c := range demoClasses {
		l.startSender(d, c.capacityShare*demoCapacityPerSecond, false, func() { l.sendOrdinary(i) })
		if c.inSurge && d.surge > 0 {
			l.startSender(d, d.surge*demoCapacityPerSecond, true, func() { l.sendSurge(i) })
		}
	}
}

// startSender starts a goroutine that calls send at random times with a mean rate per
// second, in all phases or, if surge is set, only in the phases of the surge.
func (l *demoLoad) startSender(d *demo, rate float64, surge bool, send func()) {
	random := rand.New(rand.NewPCG(l.rand.Uint64(), l.rand.Uint64()))
	length := time.Duration(d.seconds) * time.Second
	l.senders.Go(func() {
		for at := time.Duration(0); ; {
			// Random gaps from 0.5 to 1.5 times the mean keep the demand of each
			// second steady and prevent the classes from sending in step.
			at += time.Duration((0.5 + random.Float64()) / rate * float64(time.Second))
			if at >= length {
				return
			}
			if surge && !d.phaseAt(at).surge {
				continue
			}
			time.Sleep(time.Until(l.startedAt.Add(at)))
			l.senders.Go(send)
		}
	})
}

// awaitSenders waits until all requests have ended and closes idle connections.
func (l *demoLoad) awaitSenders() {
	l.senders.Wait()
	l.caller.CloseIdle()
	l.surgeClient.CloseIdleConnections()
}

func (l *demoLoad) newID(class int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	return fmt.Sprintf("%s-%d", demoClasses[class].name, l.lastID)
}

// sendOrdinary sends one request of a class through the caller library.
func (l *demoLoad) sendOrdinary(class int) {
	c, id, start := demoClasses[class], l.newID(class), time.Now()
	a, err := l.caller.Do(context.Background(), toucancaller.Request{
		Service: c.service, Method: c.method, Path: c.path, RequestID: id,
		Timeout: demoTimeoutFactor * l.latencyTargets[class], AtMostOnce: c.atMostOnce,
	})
	outcome, reason := demoWrong, toucancall.Reason("")
	switch a := a.(type) {
	case toucancaller.Answered:
		outcome, reason = answeredOutcome(a.Status, string(a.Body), id), toucancall.Reason(a.Header.Get(demoChildReason))
	case toucancaller.Refused:
		outcome, reason = demoRefused, a.Reason
	case toucancaller.Failed:
		outcome, reason = demoFailed, a.Reason
	case toucancaller.Unknown:
		outcome, reason = demoUnknown, a.Reason
	}
	if err != nil {
		outcome = demoWrong
	}
	l.recordEnd(class, id, outcome, reason, start)
}

// answeredOutcome returns the outcome of an answered request from its response.
func answeredOutcome(status int, body, id string) demoOutcome {
	switch {
	case status != http.StatusOK:
		return demoError
	case body != demoAnswer(id):
		return demoWrong
	}
	return demoOK
}

// sendSurge sends one request of the surge over plain HTTP. It retries the request
// until its outcome is demoOK or its retries are used up.
func (l *demoLoad) sendSurge(class int) {
	select {
	case l.surgeSlots <- struct{}{}:
		defer func() { <-l.surgeSlots }()
	default:
		l.mu.Lock()
		l.unsentSurge++
		l.mu.Unlock()
		return
	}
	for attempt := 0; attempt <= surgeRetries; attempt++ {
		if attempt > 0 {
			time.Sleep(surgeRetryDelay)
		}
		id, start := l.newID(class), time.Now()
		outcome, reason := l.sendHTTP(class, id)
		l.recordEnd(class, id, outcome, reason, start)
		if outcome == demoOK {
			return
		}
	}
}

// sendHTTP sends one request over plain HTTP to a random entry.
func (l *demoLoad) sendHTTP(class int, id string) (demoOutcome, toucancall.Reason) {
	c := demoClasses[class]
	req, err := http.NewRequest(c.method, "http://"+l.entries[rand.IntN(len(l.entries))]+c.path, nil)
	if err != nil {
		return demoWrong, ""
	}
	timeout := demoTimeoutFactor * l.latencyTargets[class]
	req.Header.Set(toucancall.HeaderService, c.service)
	req.Header.Set(toucancall.HeaderRequestID, id)
	req.Header.Set(toucancall.HeaderTenant, "motore-di-ricerca")
	req.Header.Set(toucancall.HeaderTimeout, fmt.Sprint(timeout.Milliseconds()))
	resp, err := l.surgeClient.Do(req)
	if err != nil {
		return demoUnknown, toucancall.ReasonConnectionLost
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	reason := toucancall.Reason(resp.Header.Get(toucancall.HeaderReason))
	switch outcome := toucancall.Outcome(resp.Header.Get(toucancall.HeaderOutcome)); {
	case outcome == toucancall.Answered && err == nil:
		return answeredOutcome(resp.StatusCode, string(body), id), toucancall.Reason(resp.Header.Get(demoChildReason))
	case outcome == toucancall.Answered, outcome == toucancall.Failed:
		return demoFailed, reason
	case outcome == toucancall.NotRun:
		return demoRefused, reason
	case outcome == toucancall.Unknown:
		return demoUnknown, reason
	}
	return demoWrong, ""
}

// recordEnd records a finished request.
func (l *demoLoad) recordEnd(class int, id string, o demoOutcome, reason toucancall.Reason, start time.Time) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finished = append(l.finished, demoRequest{class: class, id: id, outcome: o, reason: reason, endedAt: now.Sub(l.startedAt), latency: now.Sub(start)})
}

// requests returns the requests that have finished so far, in the order in which they
// finished.
func (l *demoLoad) requests() []demoRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.finished[:len(l.finished):len(l.finished)]
}
