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
)

// fault is a way in which the backend server misbehaves. The set is closed.
type fault string

const (
	faultNone  fault = "none"
	faultSlow  fault = "slow"  // takes slowFactor times as long
	faultShed  fault = "shed"  // refuses, and says that the request did not run
	faultBreak fault = "break" // breaks the answer off in its middle
	faultDrop  fault = "drop"  // runs the request and closes the connection without an answer
	faultCrash fault = "crash" // ends the process during the run
)

const slowFactor = 20

func (f fault) valid() bool {
	switch f {
	case faultNone, faultSlow, faultShed, faultBreak, faultDrop, faultCrash:
		return true
	}
	return false
}

// child is a call that each run makes through the node beside the server.
type child struct{ service, method, path string }

// parseChild reads service:method:path.
func parseChild(s string) (c child, err error) {
	parts := strings.SplitN(s, ":", 3)
	if len(parts) != 3 {
		return c, fmt.Errorf("child %q: want service:method:path", s)
	}
	return child{parts[0], parts[1], parts[2]}, nil
}

// backend is the stand-in for a backend server.
type backend struct {
	service  string
	slots    chan struct{}
	maxQueue int64
	time     time.Duration
	jitter   time.Duration
	size     int
	children []child
	node     string // caller address of the node beside the server
	runs     *runFile
	client   *http.Client
	queued   atomic.Int64

	mu    sync.Mutex
	fault fault
	share float64 // of the requests that the fault meets
}

// runFile records one line for each request that ran, to compare with what the
// callers were told.
type runFile struct {
	mu sync.Mutex
	f  *os.File
}

func (r *runFile) add(req *http.Request) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "request_id=%s idempotency_key=%s method=%s uri=%s\n", req.Header.Get(toucancall.HeaderRequestID),
		req.Header.Get(toucancall.HeaderIdempotencyKey), req.Method, req.RequestURI)
}

func backendCommand() command {
	b := &backend{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}}
	service, listen, nodeFile, runsFile, faultName := "", "127.0.0.1:0", "", "", string(faultNone)
	slots, queue := 30, 1000
	b.time, b.share = 10*time.Millisecond, 1
	var children []string
	sub := flaggy.NewSubcommand("backend")
	sub.Description = "run a backend server beside a node"
	sub.String(&service, "", "service", "service that the server offers")
	sub.String(&listen, "", "listen", "address to listen on")
	sub.String(&nodeFile, "n", "node", "addresses file of the node beside the server")
	sub.String(&runsFile, "", "runs", "file that gets one line for each request that ran")
	sub.String(&faultName, "", "fault", "none, slow, shed, break, drop or crash")
	sub.Float64(&b.share, "", "fault-share", "share of the requests that the fault meets")
	sub.Int(&slots, "", "slots", "requests that run at the same time")
	sub.Int(&queue, "", "queue", "requests that wait before the server sheds load")
	sub.Duration(&b.time, "", "time", "service time of a request")
	sub.Duration(&b.jitter, "", "jitter", "largest random addition to the service time")
	sub.Int(&b.size, "", "size", "least size of an answer in bytes")
	sub.StringSlice(&children, "", "child", "call made by each request, as service:method:path")
	return command{sub: sub, run: func() int {
		b.service, b.slots, b.maxQueue, b.fault = service, make(chan struct{}, slots), int64(queue), fault(faultName)
		if !b.fault.valid() {
			return fail(fmt.Errorf("unknown fault %q", faultName))
		}
		for _, s := range children {
			c, err := parseChild(s)
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

// serve listens, announces the server to its node and runs until a signal.
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
		b.node = addresses.Caller
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

// announce tells the node where its backend server listens.
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

// ServeHTTP runs one request, or changes the fault.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/stub/fault" && r.Header.Get(toucancall.HeaderParent) == "" {
		b.setFault(w, r)
		return
	}
	present := b.present()
	if present == faultShed || !b.enter(r.Context()) {
		w.Header().Set(toucancall.HeaderNotRun, "true")
		http.Error(w, "load was shed", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.slots }()
	b.runs.add(r)
	b.work(w, r, present)
}

func (b *backend) setFault(w http.ResponseWriter, r *http.Request) {
	f := fault(r.URL.Query().Get("name"))
	if !f.valid() {
		http.Error(w, "unknown fault", http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	b.fault = f
	b.mu.Unlock()
}

// present returns the fault that this request meets.
func (b *backend) present() fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.share < 1 && rand.Float64() >= b.share {
		return faultNone
	}
	return b.fault
}

// enter waits for a slot. It returns false when the queue is full or the
// request was cancelled.
func (b *backend) enter(ctx context.Context) bool {
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

func (b *backend) work(w http.ResponseWriter, r *http.Request, present fault) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if err := b.callChildren(r); err != nil && present != faultDrop {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	duration := b.time + time.Duration(rand.Float64()*float64(b.jitter))
	if present == faultSlow {
		duration *= slowFactor
	}
	if present == faultCrash {
		os.Exit(exitError)
	}
	if !sleep(r.Context(), duration) || present == faultDrop {
		panic(http.ErrAbortHandler)
	}
	answer := fmt.Sprintf("service=%s method=%s uri=%s request_id=%s body_bytes=%d\n",
		b.service, r.Method, r.RequestURI, r.Header.Get(toucancall.HeaderRequestID), len(body))
	answer += strings.Repeat(".", max(b.size-len(answer), 0))
	word, _, _ := bytes.Cut(body, []byte(" "))
	answer += string(word[:min(len(word), toucancall.MaxNameBytes)])
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if present == faultBreak {
		io.WriteString(w, answer[:len(answer)/2])
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	io.WriteString(w, answer)
}

// sleep waits for d unless the request is cancelled.
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

// callChildren makes the child calls of a run, one after the other.
func (b *backend) callChildren(r *http.Request) error {
	for _, c := range b.children {
		req, err := http.NewRequestWithContext(r.Context(), c.method, "http://"+b.node+c.path, nil)
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
