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
)

// demoClass is the load of one class.
type demoClass struct {
	service, name, method, path string
	share                       float64 // of the capacity, outside the surge
	atMostOnce                  bool
	surges                      bool
}

// demoClasses are the classes from the most to the least urgent.
var demoClasses = []demoClass{
	{service: "ordini", name: "place_order", method: http.MethodPost, path: "/orders", share: 0.08, atMostOnce: true},
	{service: "vetrina", name: "check_availability", method: http.MethodGet, path: "/availability", share: 0.12},
	{service: "ordini", name: "order_status", method: http.MethodGet, path: "/status", share: 0.15},
	{service: "vetrina", name: "browse", method: http.MethodGet, path: "/catalogue", share: 0.25, surges: true},
}

const (
	// demoTimeoutFactor times the latency target is how long callers wait.
	demoTimeoutFactor = 2
	// Callers of the surge repeat a request up to surgeRetries times after
	// surgeRetryDelay, with a new request id, whatever Retry-After says.
	surgeRetries    = 3
	surgeRetryDelay = 50 * time.Millisecond
	// maxSurgeInFlight bounds the sockets that the surge takes.
	maxSurgeInFlight = 1000
)

// demoOutcome is what the caller of a request was told.
type demoOutcome string

const (
	demoOK      demoOutcome = "ok"      // whole answer with status 200
	demoError   demoOutcome = "error"   // whole answer with another status
	demoRefused demoOutcome = "refused" // did not run
	demoFailed  demoOutcome = "failed"
	demoUnknown demoOutcome = "unknown"
	demoWrong   demoOutcome = "wrong" // an answer to another request, or a truncated one
)

// demoRequest is one finished request.
type demoRequest struct {
	class   int // index in demoClasses
	id      string
	outcome demoOutcome
	reason  toucancall.Reason // of a child call for an error status
	ended   time.Duration     // since the begin of the load
	latency time.Duration
}

// demoLoad sends requests and keeps their outcomes.
type demoLoad struct {
	fleet   *demoFleet
	entries []string
	caller  *toucancaller.Client
	surge   *http.Client
	targets []time.Duration
	rand    *rand.Rand // used before the load begins only
	begun   time.Time
	senders sync.WaitGroup
	tokens  chan struct{}

	mu     sync.Mutex
	ended  []demoRequest
	nextID int
	unsent int // surge requests over maxSurgeInFlight
}

func newDemoLoad(f *demoFleet, seed uint64) (*demoLoad, error) {
	random := rand.New(rand.NewPCG(seed, 0))
	caller, err := toucancaller.New(f.entries(), toucancaller.WithTenant("officina-rossi"),
		toucancaller.WithRand(rand.New(rand.NewPCG(seed, 1))))
	if err != nil {
		return nil, err
	}
	l := &demoLoad{
		fleet: f, entries: f.entries(), caller: caller, rand: random, tokens: make(chan struct{}, maxSurgeInFlight),
		surge: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxSurgeInFlight}},
	}
	for _, c := range demoClasses {
		l.targets = append(l.targets, classTarget(c.service, c.name))
	}
	return l, nil
}

// begin starts the senders. They end with the last phase.
func (l *demoLoad) begin(d *demo) {
	l.begun = time.Now()
	for i, c := range demoClasses {
		l.pace(d, c.share*demoCapacity, false, func() { l.ordinary(i) })
		if c.surges && d.surge > 0 {
			l.pace(d, d.surge*demoCapacity, true, func() { l.flood(i) })
		}
	}
}

// pace calls send at random times with a mean rate, in all phases or in those of
// the surge.
func (l *demoLoad) pace(d *demo, rate float64, surge bool, send func()) {
	random := rand.New(rand.NewPCG(l.rand.Uint64(), l.rand.Uint64()))
	length := time.Duration(d.seconds) * time.Second
	l.senders.Go(func() {
		for at := time.Duration(0); ; {
			// Gaps between half and one and a half of the mean keep the demand
			// of a second steady without a beat between the classes.
			at += time.Duration((0.5 + random.Float64()) / rate * float64(time.Second))
			if at >= length {
				return
			}
			if surge && !d.phaseAt(at).surge {
				continue
			}
			time.Sleep(time.Until(l.begun.Add(at)))
			l.senders.Go(send)
		}
	})
}

// wait waits until all requests have ended.
func (l *demoLoad) wait() {
	l.senders.Wait()
	l.caller.CloseIdle()
	l.surge.CloseIdleConnections()
}

func (l *demoLoad) newID(class int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	return fmt.Sprintf("%s-%d", demoClasses[class].name, l.nextID)
}

// ordinary sends one request through the caller library.
func (l *demoLoad) ordinary(class int) {
	c, id, start := demoClasses[class], l.newID(class), time.Now()
	a, err := l.caller.Do(context.Background(), toucancaller.Request{
		Service: c.service, Method: c.method, Path: c.path, RequestID: id,
		Timeout: demoTimeoutFactor * l.targets[class], AtMostOnce: c.atMostOnce,
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
	l.end(class, id, outcome, reason, start)
}

func answeredOutcome(status int, body, id string) demoOutcome {
	switch {
	case status != http.StatusOK:
		return demoError
	case body != demoAnswer(id):
		return demoWrong
	}
	return demoOK
}

// flood sends one request of the surge over plain HTTP and repeats it when it
// is not answered.
func (l *demoLoad) flood(class int) {
	select {
	case l.tokens <- struct{}{}:
		defer func() { <-l.tokens }()
	default:
		l.mu.Lock()
		l.unsent++
		l.mu.Unlock()
		return
	}
	for try := 0; try <= surgeRetries; try++ {
		if try > 0 {
			time.Sleep(surgeRetryDelay)
		}
		id, start := l.newID(class), time.Now()
		outcome, reason := l.plain(class, id)
		l.end(class, id, outcome, reason, start)
		if outcome == demoOK {
			return
		}
	}
}

// plain sends one request over plain HTTP.
func (l *demoLoad) plain(class int, id string) (demoOutcome, toucancall.Reason) {
	c := demoClasses[class]
	req, err := http.NewRequest(c.method, "http://"+l.entries[rand.IntN(len(l.entries))]+c.path, nil)
	if err != nil {
		return demoWrong, ""
	}
	timeout := demoTimeoutFactor * l.targets[class]
	req.Header.Set(toucancall.HeaderService, c.service)
	req.Header.Set(toucancall.HeaderRequestID, id)
	req.Header.Set(toucancall.HeaderTenant, "motore-di-ricerca")
	req.Header.Set(toucancall.HeaderTimeout, fmt.Sprint(timeout.Milliseconds()))
	resp, err := l.surge.Do(req)
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

func (l *demoLoad) end(class int, id string, o demoOutcome, reason toucancall.Reason, start time.Time) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = append(l.ended, demoRequest{class: class, id: id, outcome: o, reason: reason, ended: now.Sub(l.begun), latency: now.Sub(start)})
}

// requests returns the requests that have ended so far, in the order of their
// ends.
func (l *demoLoad) requests() []demoRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended[:len(l.ended):len(l.ended)]
}
