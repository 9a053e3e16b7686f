package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a backend has begun to work on.
type run struct {
	id      string
	backend string
	method  string
	body    int64         // bytes of the body
	began   time.Time     // when its work began
	ended   time.Time     // when its work ended; zero while it lasts
	work    time.Duration // that it takes if nobody ends it
	how     string        // answered, dropped or deadline
}

// runs records what the backends of a case have run.
type runs struct {
	mu   sync.Mutex
	list []*run
}

func (l *runs) begin(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, r)
}

func (l *runs) end(r *run, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ended, r.how = time.Now(), how
}

// byID returns copies of the runs so far, by request id.
func (l *runs) byID() map[string][]run {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := make(map[string][]run)
	for _, r := range l.list {
		m[r.id] = append(m[r.id], *r)
	}
	return m
}

// backend is a stand-in of an application backend. A request of the form /prefix/MS/... takes
// MS milliseconds of work. The backend drops a request when its connection closes.
type backend struct {
	service, instance, address, zone string
	slots                            int
	born                             int64
	runs                             *runs
	slot                             chan struct{}
	waiting                          atomic.Int64
	leaving                          atomic.Bool
	sequence                         atomic.Int64
	silent                           chan struct{} // closed by stopBeats
	bodyBytes                        int           // of each response

	server *http.Server
}

// queued is the number of requests beyond its slots that a backend holds.
const queued = 40

func (b *backend) start() error {
	l, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	b.born, b.slot, b.silent = time.Now().UnixMilli(), make(chan struct{}, b.slots), make(chan struct{})
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve), IdleTimeout: 10 * time.Second}
	go b.server.Serve(l)
	return nil
}

// beat reports the backend as ready until ctx ends or stopBeats is called.
func (b *backend) beat(ctx context.Context, control string, interval time.Duration) {
	for {
		b.send(control, http.MethodPut, b.nextPing())
		wait := interval
		if b.sequence.Load() < 4 {
			wait = interval / 4
		}
		select {
		case <-time.After(wait):
		case <-b.silent:
			return
		case <-ctx.Done():
			return
		}
	}
}

// stopBeats ends the pings of a backend that leaves with DELETE.
func (b *backend) stopBeats() { close(b.silent) }

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", b.instance)
		if b.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Request-Id")
	refuse := func(status int) {
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != b.instance {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	ms, err := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64)
	if id == "" || err != nil {
		refuse(http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer deadline.Stop()
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	if b.waiting.Add(1) > int64(b.slots+queued) {
		b.waiting.Add(-1)
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer b.waiting.Add(-1)
	select {
	case b.slot <- struct{}{}:
	case <-r.Context().Done():
		return
	case <-deadline.C:
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.slot }()
	one := &run{id: id, backend: b.instance, method: r.Method, body: n, began: time.Now(), work: workOf(r.URL.Path)}
	b.runs.begin(one)
	select {
	case <-time.After(one.work):
	case <-r.Context().Done():
		b.runs.end(one, "dropped")
		return
	case <-deadline.C:
		b.runs.end(one, "deadline")
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("X-Response-Signature", "late."+id)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	b.runs.end(one, "answered")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Signature", "sig."+id)
	w.Header().Set("Content-Length", strconv.Itoa(b.bodyBytes))
	io.WriteString(w, strings.Repeat("x", b.bodyBytes))
}

// workOf returns the work of a request, which its path gives.
func workOf(path string) time.Duration {
	parts := strings.Split(path, "/")
	if len(parts) < 3 {
		return 0
	}
	ms, _ := strconv.Atoi(parts[2])
	return time.Duration(ms) * time.Millisecond
}

func (b *backend) stop() error { return b.server.Close() }
