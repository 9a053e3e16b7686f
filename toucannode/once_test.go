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

// orders is a backend server that records which orders ran, by request id.
type orders struct {
	mu      sync.Mutex
	ran     []string
	keys    []string // idempotency keys as the backend server saw them
	started chan struct{}
	release chan struct{} // nil lets every order end at once
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

func gatedOrders() *orders {
	return &orders{started: make(chan struct{}, 10), release: make(chan struct{})}
}

// withKV gives the nodes of a fleet a key-value service.
func withKV(t *testing.T) (*fleet, *toucankvtest.Server) {
	t.Helper()
	kv := &toucankvtest.Server{}
	server := httptest.NewServer(kv)
	t.Cleanup(server.Close)
	f := newFleet(t)
	f.parts.KV = toucankv.NewClient(server.Listener.Addr().String())
	return f, kv
}

// issue gets keys of the service from an entry.
func (f *fleet) issue(entry *Node, count string) []string {
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

// order places an order with a key and returns outcome, reason and answer.
func (f *fleet) order(entry *Node, key, requestID string) string {
	f.t.Helper()
	resp, body := f.do(entry, "POST", "/orders", strings.NewReader("motor"), toucancall.HeaderIdempotencyKey, key,
		toucancall.HeaderRequestID, requestID, toucancall.HeaderTimeout, "5000")
	if resp.Header.Get(toucancall.HeaderOutcome) == string(toucancall.Answered) {
		return body + " " + resp.Header.Get("Location")
	}
	return outcome(resp)
}

// agree checks that the request log holds exactly the runs of the backend
// servers. Invoices are built from it.
func (f *fleet) agree(servers ...*orders) {
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

// Guards against a second run when one order arrives through two entries at the
// same time, and against a repeat that gets another answer than the first.
func TestSameKeyThroughTwoEntries(t *testing.T) {
	for _, kind := range []string{"issued", "caller-made"} {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			f, kv := withKV(t)
			one, two := f.node("", nil), f.node("", nil)
			servers := []*orders{gatedOrders(), gatedOrders()}
			for _, s := range servers {
				f.node("ordini", s)
			}
			key := "brand-7-order-1"
			if kind == "issued" {
				key = f.issue(one, "1")[0]
			}
			answers := make(chan string, 2)
			go func() { answers <- f.order(one, key, "a") }()
			go func() { answers <- f.order(two, key, "b") }()
			select { // the orders go to one home
			case <-servers[0].started:
			case <-servers[1].started:
			}
			close(servers[0].release)
			close(servers[1].release)
			first := <-answers
			is.Equal(<-answers, first)
			is.True(first == "order of a /orders/7" || first == "order of b /orders/7")
			is.Equal(f.order(two, key, "c"), first)
			is.Equal(f.order(one, key, "d"), first)
			is.Equal(len(servers[0].runs())+len(servers[1].runs()), 1)
			f.agree(servers...)
			if kind == "issued" {
				is.Equal(kv.Counters().Total(), 0) // an issued key needs no KV
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

// Guards against a caller-made key that is forwarded although its claim is not
// certain, and against one that is bound twice after a reply of the KV was lost.
func TestCallerMadeKeyWithoutReplies(t *testing.T) {
	is := is.New(t)
	f, kv := withKV(t)
	one, two := f.node("", nil), f.node("", nil)
	servers := []*orders{{}, {}}
	for _, s := range servers {
		f.node("ordini", s)
	}
	is.Equal(f.order(one, "k0", "a0"), "order of a0 /orders/7") // opens the session of one
	kv.SetFaults(toucankvtest.Faults{LoseReplies: 1})
	is.Equal(f.order(one, "k1", "a1"), "order of a1 /orders/7")
	is.Equal(f.order(two, "k1", "b1"), "order of a1 /orders/7")

	kv.SetFaults(toucankvtest.Faults{Down: true})
	is.Equal(f.order(one, "k2", "a2"), "unknown not_forwarded")
	is.Equal(f.order(two, "k1", "c1"), "unknown not_forwarded")
	issued := f.issue(one, "4")
	for i, key := range issued {
		id := string(rune('p' + i))
		is.Equal(f.order(one, key, id), "order of "+id+" /orders/7") // issued keys go on
		is.Equal(f.order(two, key, id+id), "order of "+id+" /orders/7")
	}
	is.Equal(len(issued), 4)
	kv.SetFaults(toucankvtest.Faults{})
	is.Equal(f.order(two, "k1", "d1"), "order of a1 /orders/7")
	f.agree(servers...)
}

// Guards against an outage of the KV that uses up the deadlines of callers.
func TestSlowKVCostsLittle(t *testing.T) {
	is := is.New(t)
	f, kv := withKV(t)
	entry := f.node("", nil)
	f.node("ordini", &orders{})
	kv.SetFaults(toucankvtest.Faults{Delay: 2 * time.Second})
	start := time.Now()
	for range breakerFailures {
		is.Equal(f.order(entry, "k", "a"), "unknown not_forwarded")
	}
	is.True(time.Since(start) < breakerFailures*(maxClaimWait+time.Second))
	seen := kv.Counters()
	is.Equal(f.order(entry, "k", "a"), "unknown not_forwarded") // short-circuited
	is.Equal(kv.Counters(), seen)
	is.Equal(len(f.log.lines("kv_unreachable")), 1)
}

// Guards against a false "not run" and a second run after the home has stopped
// in order.
func TestRepeatAfterStop(t *testing.T) {
	is := is.New(t)
	f, _ := withKV(t)
	entry, s := f.node("", nil), &orders{}
	home := f.node("ordini", s)
	keys := f.issue(entry, "3")
	is.Equal(f.order(entry, keys[0], "a"), "order of a /orders/7")
	is.Equal(f.order(entry, "k", "b"), "order of b /orders/7")
	is.NoErr(home.Stop(context.Background()))
	is.Equal(len(f.log.lines("seal_written")), 1)
	later := &orders{}
	f.node("ordini", later)
	is.Equal(f.order(entry, keys[0], "c"), "unknown key_unknown")
	is.Equal(f.order(entry, "k", "d"), "unknown key_unknown")
	is.Equal(f.order(entry, keys[1], "e"), "not_run leaving")
	is.Equal(len(later.runs()), 0)
	f.agree(s, later)
}

// Guards against a second run, or a "not run", after the home was replaced at
// its address without a stop.
func TestRepeatAfterReplacement(t *testing.T) {
	is := is.New(t)
	f, _ := withKV(t)
	entry, s := f.node("", nil), &orders{}
	crashed := f.node("ordini", s)
	keys := f.issue(entry, "2")
	is.Equal(f.order(entry, keys[0], "a"), "order of a /orders/7")
	is.Equal(f.order(entry, "k", "b"), "order of b /orders/7")
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = crashed.Stop(ended) // no time for a seal, as in a crash
	is.Equal(len(f.log.lines("seal_written")), 0)
	for _, key := range []string{keys[0], keys[1], "k"} {
		got := f.order(entry, key, "c")
		is.True(got == "unknown not_forwarded" || got == "unknown connection_lost")
	}
	earlier := f.settings.ControlAddress
	f.settings.ControlAddress = netip.MustParseAddrPort(crashed.ID())
	later := &orders{}
	f.node("ordini", later)
	f.settings.ControlAddress = earlier
	for _, key := range []string{keys[0], keys[1], "k"} {
		is.Equal(f.order(entry, key, "d"), "unknown key_unknown")
	}
	is.Equal(f.order(entry, "k2", "e"), "order of e /orders/7")
	f.agree(s, later)
}

// Guards against a refusal by an entry that a later copy of the request
// contradicts, and against a dial of an address that a forged key names.
func TestEntryRefusesKeys(t *testing.T) {
	is := is.New(t)
	f, _ := withKV(t)
	f.parts.Gate = closedGate{}
	refusing := f.node("", nil)
	f.parts.Gate = nil
	entry, s := f.node("", nil), &orders{}
	home := f.node("ordini", s)
	keys := f.issue(entry, "3")
	is.Equal(f.order(refusing, keys[0], "a"), "not_run overload")
	is.Equal(f.order(entry, keys[0], "b"), "not_run key_refused")
	is.Equal(f.order(entry, keys[1], "c"), "order of c /orders/7")
	is.Equal(f.order(refusing, keys[1], "d"), "unknown not_forwarded")
	is.Equal(f.order(refusing, "k", "e"), "unknown not_forwarded")

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
	is.Equal(f.order(entry, forged, "f"), "unknown not_forwarded")
	is.Equal(f.order(refusing, forged, "f"), "unknown not_forwarded")
	f.agree(s)
}

type closedGate struct{}

func (closedGate) Observe(toucancall.Call, bool, toucanadmission.Threshold) {}

func (closedGate) Check(toucancall.Call, bool) (int, toucancall.Reason) {
	return 0, toucancall.ReasonOverload
}

// Guards against a node and a caller library that differ on the form of keys.
func TestCallerLibraryGetsKeys(t *testing.T) {
	is := is.New(t)
	f, kv := withKV(t)
	entry := f.node("", nil)
	servers := []*orders{{}, {}, {}}
	for _, s := range servers {
		f.node("ordini", s)
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
		is.Equal(len(s.runs()), 3) // keys come from all homes in turn
	}
	is.Equal(kv.Counters().Total(), 0)
	f.agree(servers...)
}

// Guards against an empty answer to the repeat of a request whose answer was too
// long to remember, and against two runs of an issued key whose class the entry
// does not know as at-most-once.
func TestRepeatOfLongAnswer(t *testing.T) {
	is := is.New(t)
	f, _ := withKV(t)
	entry, runs := f.node("", nil), 0
	for range 2 {
		f.node("ordini", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			runs++
			w.Write(make([]byte, 2*wholeAnswerBytes))
		}))
	}
	key := f.issue(entry, "1")[0]
	send := func() (string, int) {
		resp, body := f.do(entry, "POST", "/proofs", strings.NewReader("cup"), toucancall.HeaderIdempotencyKey, key)
		return outcome(resp), len(body)
	}
	got, size := send()
	is.Equal(got, "answered")
	is.Equal(size, 2*wholeAnswerBytes)
	for range 10 { // an entry that overlooks the key meets both nodes
		got, _ = send()
		is.Equal(got, "unknown answer_forgotten")
	}
	is.Equal(runs, 1)
}

// Guards against an entry that keeps using a session that the KV has ended.
func TestSessionEnds(t *testing.T) {
	is := is.New(t)
	f, kv := withKV(t)
	entry, s := f.node("", nil), &orders{}
	f.node("ordini", s)
	is.Equal(f.order(entry, "k1", "a"), "order of a /orders/7")
	kv.ExpireAllSessions()
	is.Equal(f.order(entry, "k2", "b"), "unknown not_forwarded")
	is.Equal(f.order(entry, "k2", "c"), "order of c /orders/7")
	is.Equal(f.order(entry, "k2", "d"), "order of c /orders/7")
	f.agree(s)
}

// Guards against a run whose key expired while it waited for its connection.
func TestConfirmBeforeFirstByte(t *testing.T) {
	is := is.New(t)
	f, _ := withKV(t)
	s := &orders{}
	home := f.node("ordini", s)
	once := home.once
	home.once = unconfirmed{once}
	key := f.issue(home, "1")[0]
	is.Equal(f.order(home, key, "a"), "not_run deadline")
	is.Equal(f.order(home, key, "b"), "not_run key_refused")
	is.Equal(len(s.runs()), 0)
	f.agree(s)
}

type unconfirmed struct{ Once }

func (u unconfirmed) Begin(ctx context.Context, c toucancall.Call) (OnceRun, *StoredAnswer, *Refusal) {
	run, repeat, refusal := u.Once.Begin(ctx, c)
	if run != nil {
		run = unconfirmedRun{run}
	}
	return run, repeat, refusal
}

type unconfirmedRun struct{ OnceRun }

func (unconfirmedRun) Confirm() bool { return false }
