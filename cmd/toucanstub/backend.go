package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"toucanhaven/toucancall"
	"toucanhaven/toucanresponse"
)

// fault is one of the ways in which the backend server can misbehave.
type fault string

const (
	faultNone  fault = "none"
	faultSlow  fault = "slow"  // takes slowFactor times as long
	faultShed  fault = "shed"  // refuses the request and reports that it did not run
	faultBreak fault = "break" // closes the connection after half of the answer
	faultDrop  fault = "drop"  // runs the request and closes the connection without an answer
	faultCrash fault = "crash" // ends the process during the run
)

const slowFactor = 20 // of the service time

func (f fault) isValid() bool {
	switch f {
	case faultNone, faultSlow, faultShed, faultBreak, faultDrop, faultCrash:
		return true
	}
	return false
}

// childCall is a call that the backend server makes for each request, through the
// node beside it.
type childCall struct{ service, method, path string }

// parseChildCall parses service:method:path.
func parseChildCall(s string) (c childCall, err error) {
	parts := strings.SplitN(s, ":", 3)
	if len(parts) != 3 {
		return c, fmt.Errorf("child %q: want service:method:path", s)
	}
	return childCall{parts[0], parts[1], parts[2]}, nil
}

// backend is the stand-in for a backend server.
type backend struct {
	service        string
	slots          chan struct{}
	maxQueue       int64
	serviceTime    time.Duration
	jitter         time.Duration
	minAnswerBytes int
	children       []childCall
	nodeAddress    string // caller address of the node beside the server
	runs           *runFile
	client         *http.Client
	queued         atomic.Int64

	mu         sync.Mutex
	fault      fault
	faultShare float64 // share of the requests that the fault applies to
}

// runFile is a file with one line for each request that ran. Tests compare it with
// the outcomes at the callers.
type runFile struct {
	mu sync.Mutex
	f  *os.File
}

func (r *runFile) record(req *http.Request) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "request_id=%s idempotency_key=%s method=%s uri=%s\n", req.Header.Get(toucancall.HeaderRequestID),
		req.Header.Get(toucancall.HeaderIdempotencyKey), req.Method, req.RequestURI)
}

func backendCommand() command {
	b := &backend{client: &http.Client{Transport: toucanresponse.Checked(&http.Transport{MaxIdleConnsPerHost: 1000})}}
	service, listen, nodeFile, runsFile, faultName := "", "127.0.0.1:0", "", "", string(faultNone)
	slots, queue := 30, 1000
	b.serviceTime, b.faultShare = 10*time.Millisecond, 1
	var children []string
	flags := flaggy.NewSubcommand("backend")
	flags.Description = "run a backend server beside a node"
	flags.String(&service, "", "service", "service that the server offers")
	flags.String(&listen, "", "listen", "address to listen on")
	flags.String(&nodeFile, "n", "node", "addresses file of the node beside the server")
	flags.String(&runsFile, "", "runs", "file that gets one line for each request that ran")
	flags.String(&faultName, "", "fault", "none, slow, shed, break, drop or crash")
	flags.Float64(&b.faultShare, "", "fault-share", "share of the requests that the fault meets")
	flags.Int(&slots, "", "slots", "requests that run at the same time")
	flags.Int(&queue, "", "queue", "requests that wait before the server sheds load")
	flags.Duration(&b.serviceTime, "", "time", "service time of a request")
	flags.Duration(&b.jitter, "", "jitter", "largest random addition to the service time")
	flags.Int(&b.minAnswerBytes, "", "size", "least size of an answer in bytes")
	flags.StringSlice(&children, "", "child", "call made by each request, as service:method:path")
	return command{flags: flags, run: func() int {
		b.service, b.slots, b.maxQueue, b.fault = service, make(chan struct{}, slots), int64(queue), fault(faultName)
		if !b.fault.isValid() {
			return fail(fmt.Errorf("unknown fault %q: want none, slow, shed, break, drop or crash", faultName))
		}
		for _, s := range children {
			c, err := parseChildCall(s)
			if err != nil {
				return fail(err)
			}
			b.children = append(b.children, c)
		}
		if runsFile != "" {
			f, err := os.OpenFile(runsFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
			if err != nil {
				return fail(err)
			}
			b.runs = &runFile{f: f}
		}
		if err := b.serve(listen, nodeFile); err != nil {
			return fail(err)
		}
		return exitOK
	}}
}

// serve listens, announces the server to its node and serves requests until SIGTERM
// or SIGINT.
func (b *backend) serve(listen, nodeFile string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: b}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	if nodeFile != "" {
		addresses, err := readAddresses(nodeFile)
		if err != nil {
			return err
		}
		b.nodeAddress = addresses.Caller
		if err := announce(addresses.Admin, b.service, l.Addr().String()); err != nil {
			return err
		}
	}
	fmt.Printf("listening address=%s service=%s\n", l.Addr(), b.service)
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
		return server.Shutdown(context.Background())
	}
}

// announce sends the service and the address of a backend server to its node.
func announce(admin, service, address string) error {
	body, err := json.Marshal(map[string]string{"service": service, "address": address})
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+admin+"/announce", "application/json", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		text, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("announce: %s: %s", resp.Status, text)
	}
	return nil
}

// ServeHTTP runs a request, or sets the fault if the request is for /stub/fault and
// did not come through a node.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/stub/fault" && r.Header.Get(toucancall.HeaderParent) == "" {
		b.setFault(w, r)
		return
	}
	active := b.chooseFault()
	if active == faultShed || !b.acquireSlot(r.Context()) {
		w.Header().Set(toucancall.HeaderNotRun, "true")
		w.Header().Set(toucancall.HeaderParent, r.Header.Get(toucancall.HeaderParent))
		http.Error(w, "load was shed", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.slots }()
	b.runs.record(r)
	b.runRequest(w, r, active)
}

func (b *backend) setFault(w http.ResponseWriter, r *http.Request) {
	f := fault(r.URL.Query().Get("name"))
	if !f.isValid() {
		http.Error(w, "unknown fault", http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	b.fault = f
	b.mu.Unlock()
}

// chooseFault returns the fault that applies to a request. Faults apply to a random
// share of the requests.
func (b *backend) chooseFault() fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.faultShare < 1 && rand.Float64() >= b.faultShare {
		return faultNone
	}
	return b.fault
}

// acquireSlot waits for a slot and reports whether it got one. It returns false if
// the queue is full or the request is cancelled.
func (b *backend) acquireSlot(ctx context.Context) bool {
	if b.queued.Add(1) > b.maxQueue+int64(cap(b.slots)) {
		b.queued.Add(-1)
		return false
	}
	defer b.queued.Add(-1)
	select {
	case b.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// runRequest makes the child calls of a request, waits for the service time and
// writes the answer. The answer ends with the first word of the request body, so a
// caller can check that it got the answer to its own request.
func (b *backend) runRequest(w http.ResponseWriter, r *http.Request, active fault) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if err := b.callChildren(r); err != nil && active != faultDrop {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	duration := b.serviceTime + time.Duration(rand.Float64()*float64(b.jitter))
	if active == faultSlow {
		duration *= slowFactor
	}
	if active == faultCrash {
		os.Exit(exitError)
	}
	if !sleep(r.Context(), duration) || active == faultDrop {
		panic(http.ErrAbortHandler)
	}
	answer := fmt.Sprintf("service=%s method=%s uri=%s request_id=%s body_bytes=%d\n",
		b.service, r.Method, r.RequestURI, r.Header.Get(toucancall.HeaderRequestID), len(body))
	answer += strings.Repeat(".", max(b.minAnswerBytes-len(answer), 0))
	requestID, _, _ := bytes.Cut(body, []byte(" "))
	answer += string(requestID[:min(len(requestID), toucancall.MaxNameBytes)])
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if active == faultBreak {
		io.WriteString(w, answer[:len(answer)/2])
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	io.WriteString(w, answer)
}

// sleep waits for d and reports whether it did. It returns false as soon as ctx is
// done.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// callChildren makes the child calls of a request one after the other.
func (b *backend) callChildren(r *http.Request) error {
	for _, c := range b.children {
		req, err := http.NewRequestWithContext(r.Context(), c.method, "http://"+b.nodeAddress+c.path, nil)
		if err != nil {
			return err
		}
		req.Header.Set(toucancall.HeaderService, c.service)
		req.Header.Set(toucancall.HeaderParent, r.Header.Get(toucancall.HeaderParent))
		resp, err := b.client.Do(req)
		if err != nil {
			return fmt.Errorf("child call to %s: %w", c.service, err)
		}
		answer, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if outcome := resp.Header.Get(toucancall.HeaderOutcome); err != nil || outcome != string(toucancall.Answered) || resp.StatusCode >= 300 {
			return fmt.Errorf("child call to %s: status %d, outcome %s, reason %s, error %v",
				c.service, resp.StatusCode, outcome, resp.Header.Get(toucancall.HeaderReason), err)
		}
		if id := r.Header.Get(toucancall.HeaderRequestID); !strings.Contains(string(answer), " request_id="+id+" ") {
			return fmt.Errorf("child call to %s: the answer %.100q is not that of request %s", c.service, answer, id)
		}
	}
	return nil
}
