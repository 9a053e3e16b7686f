package toucannode

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucanadmission"
	"toucanhaven/toucancall"
	"toucanhaven/toucancaller"
	"toucanhaven/toucankv"
	"toucanhaven/toucankvtest"
)

// orders is a backend server that records the request ids of the orders that
// ran.
type orders struct {
	mu      sync.Mutex
	ran     []string
	keys    []string // idempotency keys that the backend server received
	started chan struct{}
	release chan struct{} // blocks each order until it is closed; nil if orders end at once
}

func (o *orders) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	o.ran = append(o.ran, r.Header.Get(toucancall.HeaderRequestID))
	o.keys = append(o.keys, r.Header.Get(toucancall.HeaderIdempotencyKey))
	o.mu.Unlock()
	if o.release != nil {
		o.started <- struct{}{}
		<-o.release
	}
	w.Header().Set("Location", "/orders/7")
	w.WriteHeader(http.StatusCreated)
	io.WriteString(w, "order of "+r.Header.Get(toucancall.HeaderRequestID))
}

func (o *orders) runs() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string(nil), o.ran...)
}

func newBlockingOrders() *orders {
	return &orders{started: make(chan struct{}, 10), release: make(chan struct{})}
}

// newTestFleetWithKV returns a fleet whose nodes use a key-value service.
func newTestFleetWithKV(t *testing.T) (*testFleet, *toucankvtest.Server) {
	t.Helper()
	kv := &toucankvtest.Server{}
	server := httptest.NewServer(kv)
	t.Cleanup(server.Close)
	f := newTestFleet(t)
	f.options.KV = toucankv.NewClient(server.Listener.Addr().String())
	return f, kv
}

// issueKeys gets keys of the service from an entry.
func (f *testFleet) issueKeys(entry *Node, count string) []string {
	f.t.Helper()
	resp, err := http.Post("http://"+entry.Addresses().Caller+"/keys?service=ordini&count="+count, "", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	var answer struct{ Keys []string }
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		f.t.Fatal(err)
	}
	return answer.Keys
}

// placeOrder places an order with a key. It returns the body and location of an
// answer, or the outcome and reason of a refusal.
func (f *testFleet) placeOrder(entry *Node, key, requestID string) string {
	f.t.Helper()
	resp, body := f.do(entry, "POST", "/orders", strings.NewReader("motor"), toucancall.HeaderIdempotencyKey, key,
		toucancall.HeaderRequestID, requestID, toucancall.HeaderTimeout, "5000")
	if resp.Header.Get(toucancall.HeaderOutcome) == string(toucancall.Answered) {
		return body + " " + resp.Header.Get("Location")
	}
	return outcome(resp)
}

// checkRunLog checks that the request log, from which invoices are built, holds
// exactly the runs of the backend servers, and that no request ran twice.
func (f *testFleet) checkRunLog(servers ...*orders) {
	f.t.Helper()
	want := map[string]int{}
	for _, o := range servers {
		for _, id := range o.runs() {
			want[id]++
		}
	}
	total := 0
	for id, runs := range want {
		total += runs
		if runs != 1 {
			f.t.Errorf("request %s ran %d times", id, runs)
		}
		logged := 0
		for _, line := range f.log.lines("request_run") {
			if strings.Contains(line, "request_id="+id+" ") {
				logged++
			}
		}
		if logged != 1 {
			f.t.Errorf("request %s is logged %d times", id, logged)
		}
	}
	if logged := len(f.log.lines("request_run")); logged != total {
		f.t.Errorf("%d runs are logged, %d took place", logged, total)
	}
}

// TestSameKeyThroughTwoEntries guards against a second run if one order arrives
// through two entries at the same time, and against a retry that gets another
// answer than the first attempt.
func TestSameKeyThroughTwoEntries(t *testing.T) {
	for _, kind := range []string{"issued", "caller-made"} {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			f, kv := newTestFleetWithKV(t)
			one, two := f.startNode("", nil), f.startNode("", nil)
			servers := []*orders{newBlockingOrders(), newBlockingOrders()}
			for _, s := range servers {
				f.startNode("ordini", s)
			}
			key := "brand-7-order-1"
			if kind == "issued" {
				key = f.issueKeys(one, "1")[0]
			}
			answers := make(chan string, 2)
			go func() { answers <- f.placeOrder(one, key, "a") }()
			go func() { answers <- f.placeOrder(two, key, "b") }()
			select { // both orders are sent to the same home
			case <-servers[0].started:
			case <-servers[1].started:
			}
			close(servers[0].release)
			close(servers[1].release)
			first := <-answers
			is.Equal(<-answers, first)
			is.True(first == "order of a /orders/7" || first == "order of b /orders/7")
			is.Equal(f.placeOrder(two, key, "c"), first)
			is.Equal(f.placeOrder(one, key, "d"), first)
			is.Equal(len(servers[0].runs())+len(servers[1].runs()), 1)
			f.checkRunLog(servers...)
			if kind == "issued" {
				is.Equal(kv.Counters().Total(), 0) // an issued key is used without the KV
				return
			}
			var text strings.Builder
			two.metrics.set.WritePrometheus(&text)
			is.True(strings.Contains(text.String(), `toucan_keyed_requests_total{outcome="answered"} 2`))
			is.True(strings.Contains(text.String(), `toucan_claims_total{`))
			is.Equal(append(servers[0].keys, servers[1].keys...), []string{key})
			is.True(strings.Contains(f.log.lines("request_run")[0], "caller_key="+key))
		})
	}
}

// TestCallerMadeKeyWithoutReplies guards against a caller-made key that is
// forwarded although it is not known whether its claim was made, and against a
// key that is claimed twice after the reply of the KV was lost.
func TestCallerMadeKeyWithoutReplies(t *testing.T) {
	is := is.New(t)
	f, kv := newTestFleetWithKV(t)
	one, two := f.startNode("", nil), f.startNode("", nil)
	servers := []*orders{{}, {}}
	for _, s := range servers {
		f.startNode("ordini", s)
	}
	is.Equal(f.placeOrder(one, "k0", "a0"), "order of a0 /orders/7") // entry one opens its session
	kv.SetFaults(toucankvtest.Faults{LoseReplies: 1})
	is.Equal(f.placeOrder(one, "k1", "a1"), "order of a1 /orders/7")
	is.Equal(f.placeOrder(two, "k1", "b1"), "order of a1 /orders/7")

	kv.SetFaults(toucankvtest.Faults{Down: true})
	is.Equal(f.placeOrder(one, "k2", "a2"), "unknown not_forwarded")
	is.Equal(f.placeOrder(two, "k1", "c1"), "unknown not_forwarded")
	issued := f.issueKeys(one, "4")
	for i, key := range issued {
		id := string(rune('p' + i))
		is.Equal(f.placeOrder(one, key, id), "order of "+id+" /orders/7") // issued keys still run
		is.Equal(f.placeOrder(two, key, id+id), "order of "+id+" /orders/7")
	}
	is.Equal(len(issued), 4)
	kv.SetFaults(toucankvtest.Faults{})
	is.Equal(f.placeOrder(two, "k1", "d1"), "order of a1 /orders/7")
	f.checkRunLog(servers...)
}

// TestSlowKVDelayIsBounded guards against a KV outage that uses up the
// deadlines of callers.
func TestSlowKVDelayIsBounded(t *testing.T) {
	is := is.New(t)
	f, kv := newTestFleetWithKV(t)
	entry := f.startNode("", nil)
	f.startNode("ordini", &orders{})
	kv.SetFaults(toucankvtest.Faults{Delay: 2 * time.Second})
	start := time.Now()
	for range breakerFailureLimit {
		is.Equal(f.placeOrder(entry, "k", "a"), "unknown not_forwarded")
	}
	is.True(time.Since(start) < breakerFailureLimit*(maxClaimWait+time.Second))
	seen := kv.Counters()
	is.Equal(f.placeOrder(entry, "k", "a"), "unknown not_forwarded") // the circuit breaker is open
	is.Equal(kv.Counters(), seen)
	is.Equal(len(f.log.lines("kv_unreachable")), 1)
}

// TestRetryAfterHomeStopped guards against a false "not run" and against a
// second run after a graceful shutdown of the home.
func TestRetryAfterHomeStopped(t *testing.T) {
	is := is.New(t)
	f, _ := newTestFleetWithKV(t)
	entry, s := f.startNode("", nil), &orders{}
	home := f.startNode("ordini", s)
	keys := f.issueKeys(entry, "3")
	is.Equal(f.placeOrder(entry, keys[0], "a"), "order of a /orders/7")
	is.Equal(f.placeOrder(entry, "k", "b"), "order of b /orders/7")
	is.NoErr(home.Stop(context.Background()))
	is.Equal(len(f.log.lines("seal_written")), 1)
	later := &orders{}
	f.startNode("ordini", later)
	is.Equal(f.placeOrder(entry, keys[0], "c"), "unknown key_unknown")
	is.Equal(f.placeOrder(entry, "k", "d"), "unknown key_unknown")
	is.Equal(f.placeOrder(entry, keys[1], "e"), "not_run leaving")
	is.Equal(len(later.runs()), 0)
	f.checkRunLog(s, later)
}

// TestRetryAfterHomeReplaced guards against a second run and against "not run"
// after the home was replaced at its address without a graceful shutdown.
func TestRetryAfterHomeReplaced(t *testing.T) {
	is := is.New(t)
	f, _ := newTestFleetWithKV(t)
	entry, s := f.startNode("", nil), &orders{}
	crashed := f.startNode("ordini", s)
	keys := f.issueKeys(entry, "2")
	is.Equal(f.placeOrder(entry, keys[0], "a"), "order of a /orders/7")
	is.Equal(f.placeOrder(entry, "k", "b"), "order of b /orders/7")
	cancelledCtx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = crashed.Stop(cancelledCtx) // as in a crash, no seal is written
	is.Equal(len(f.log.lines("seal_written")), 0)
	for _, key := range []string{keys[0], keys[1], "k"} {
		got := f.placeOrder(entry, key, "c")
		is.True(got == "unknown not_forwarded" || got == "unknown connection_lost")
	}
	earlier := f.settings.ControlAddress
	f.settings.ControlAddress = netip.MustParseAddrPort(crashed.ID())
	later := &orders{}
	f.startNode("ordini", later)
	f.settings.ControlAddress = earlier
	for _, key := range []string{keys[0], keys[1], "k"} {
		is.Equal(f.placeOrder(entry, key, "d"), "unknown key_unknown")
	}
	is.Equal(f.placeOrder(entry, "k2", "e"), "order of e /orders/7")
	f.checkRunLog(s, later)
}

// TestEntryRefusesKeys guards against a refusal by an entry that a later
// attempt with the same key contradicts, and against a connection to the
// address that a forged key names.
func TestEntryRefusesKeys(t *testing.T) {
	is := is.New(t)
	f, _ := newTestFleetWithKV(t)
	f.options.Gate = refusingGate{}
	refusing := f.startNode("", nil)
	f.options.Gate = nil
	entry, s := f.startNode("", nil), &orders{}
	home := f.startNode("ordini", s)
	keys := f.issueKeys(entry, "3")
	is.Equal(f.placeOrder(refusing, keys[0], "a"), "not_run overload")
	is.Equal(f.placeOrder(entry, keys[0], "b"), "not_run key_refused")
	is.Equal(f.placeOrder(entry, keys[1], "c"), "order of c /orders/7")
	is.Equal(f.placeOrder(refusing, keys[1], "d"), "unknown not_forwarded")
	is.Equal(f.placeOrder(refusing, "k", "e"), "unknown not_forwarded")

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	go func() {
		if c, err := listener.Accept(); err == nil {
			t.Error("an address of a forged key was dialled")
			c.Close()
		}
	}()
	forged := strings.Replace(keys[2], home.ID(), listener.Addr().String(), 1)
	is.Equal(f.placeOrder(entry, forged, "f"), "unknown not_forwarded")
	is.Equal(f.placeOrder(refusing, forged, "f"), "unknown not_forwarded")
	f.checkRunLog(s)
}

type refusingGate struct{}

func (refusingGate) ObserveThreshold(toucancall.Call, bool, toucanadmission.Threshold) {}

func (refusingGate) Check(toucancall.Call, bool) (int, toucancall.Reason) {
	return 0, toucancall.ReasonOverload
}

// TestCallerLibraryGetsKeys guards against a node and a caller library that
// disagree on the format of keys.
func TestCallerLibraryGetsKeys(t *testing.T) {
	is := is.New(t)
	f, kv := newTestFleetWithKV(t)
	entry := f.startNode("", nil)
	servers := []*orders{{}, {}, {}}
	for _, s := range servers {
		f.startNode("ordini", s)
	}
	c, err := toucancaller.New([]string{entry.Addresses().Caller})
	is.NoErr(err)
	defer c.CloseIdle()
	for range 9 {
		a, err := c.Do(t.Context(), toucancaller.Request{Service: "ordini", Method: "POST", Path: "/orders", AtMostOnce: true})
		is.NoErr(err)
		_, ok := a.(toucancaller.Answered)
		is.True(ok)
	}
	for _, s := range servers {
		is.Equal(len(s.runs()), 3) // the keys of all homes are used in turn
	}
	is.Equal(kv.Counters().Total(), 0)
	f.checkRunLog(servers...)
}

// TestRetryOfLongAnswer guards against an empty answer to a retry of a request
// whose answer was too long to store. It also guards against two runs of an
// issued key if the entry does not know that its class is at-most-once.
func TestRetryOfLongAnswer(t *testing.T) {
	is := is.New(t)
	f, _ := newTestFleetWithKV(t)
	entry, runs := f.startNode("", nil), 0
	for range 2 {
		f.startNode("ordini", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			runs++
			w.Write(make([]byte, 2*maxBufferedAnswerBytes))
		}))
	}
	key := f.issueKeys(entry, "1")[0]
	send := func() (string, int) {
		resp, body := f.do(entry, "POST", "/proofs", strings.NewReader("cup"), toucancall.HeaderIdempotencyKey, key)
		return outcome(resp), len(body)
	}
	got, size := send()
	is.Equal(got, "answered")
	is.Equal(size, 2*maxBufferedAnswerBytes)
	for range 10 { // an entry that ignores the key would choose both nodes
		got, _ = send()
		is.Equal(got, "unknown answer_forgotten")
	}
	is.Equal(runs, 1)
}

// TestSessionEnds guards against an entry that continues to use a session which
// the KV has ended.
func TestSessionEnds(t *testing.T) {
	is := is.New(t)
	f, kv := newTestFleetWithKV(t)
	entry, s := f.startNode("", nil), &orders{}
	f.startNode("ordini", s)
	is.Equal(f.placeOrder(entry, "k1", "a"), "order of a /orders/7")
	kv.ExpireAllSessions()
	is.Equal(f.placeOrder(entry, "k2", "b"), "unknown not_forwarded")
	is.Equal(f.placeOrder(entry, "k2", "c"), "order of c /orders/7")
	is.Equal(f.placeOrder(entry, "k2", "d"), "order of c /orders/7")
	f.checkRunLog(s)
}

// TestConfirmBeforeFirstByte guards against a run whose key expired while it
// waited for a connection.
func TestConfirmBeforeFirstByte(t *testing.T) {
	is := is.New(t)
	f, _ := newTestFleetWithKV(t)
	s := &orders{}
	home := f.startNode("ordini", s)
	deduplicator := home.deduplicator
	home.deduplicator = expiredKeyDeduplicator{deduplicator}
	key := f.issueKeys(home, "1")[0]
	is.Equal(f.placeOrder(home, key, "a"), "not_run deadline")
	is.Equal(f.placeOrder(home, key, "b"), "not_run key_refused")
	is.Equal(len(s.runs()), 0)
	f.checkRunLog(s)
}

// expiredKeyDeduplicator lets no run start, as if its key had expired.
type expiredKeyDeduplicator struct{ Deduplicator }

func (u expiredKeyDeduplicator) BeginRun(ctx context.Context, c toucancall.Call) (KeyedRun, *StoredAnswer, *Refusal) {
	run, stored, refusal := u.Deduplicator.BeginRun(ctx, c)
	if run != nil {
		run = expiredKeyRun{run}
	}
	return run, stored, refusal
}

type expiredKeyRun struct{ KeyedRun }

func (expiredKeyRun) ConfirmStart() bool { return false }
