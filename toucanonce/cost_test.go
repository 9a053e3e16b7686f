package toucanonce

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclock"
)

// countingKV is a Claims without faults that counts its calls.
type countingKV struct {
	claims        map[string]string
	writes, reads int
}

func (kv *countingKV) OpenSession(context.Context) (string, error) {
	kv.writes++
	return fmt.Sprint("session-", kv.writes), nil
}

func (kv *countingKV) Acquire(_ context.Context, _, path, value string) (string, error) {
	kv.writes++
	if current, bound := kv.claims[path]; bound {
		kv.reads++ // the reply to a lost race does not carry the value
		return current, nil
	}
	kv.claims[path] = value
	return value, nil
}

func (kv *countingKV) Read(_ context.Context, path string) (string, error) {
	kv.reads++
	return kv.claims[path], nil
}

func (kv *countingKV) ReadSeal(context.Context, string) ([]byte, error) {
	kv.reads++
	return nil, nil
}

// drive carries out the effects of one attempt against a home and a KV.
func drive(a *Attempt, timer *Timer, home *Home, kv Claims) Reply {
	ctx := context.Background()
	effect := a.Start()
	for {
		switch e := effect.(type) {
		case GetKey:
			effect = a.Step(KeyResult{Key: home.Issue(1)[0], Received: timer.Now()})
		case OpenSession:
			opened := timer.Now()
			session, err := kv.OpenSession(ctx)
			effect = a.Step(SessionResult{Session: session, Opened: opened, Err: err})
		case Claim:
			current, err := kv.Acquire(ctx, e.Session, e.Path, e.Value)
			effect = a.Step(ClaimResult{Current: current, Err: err})
		case ReadClaim:
			current, err := kv.Read(ctx, e.Path)
			effect = a.Step(ClaimResult{Current: current, Err: err})
		case Forward:
			if _, run := home.Begin(e.Key).(Run); run {
				home.Finish(e.Key, answered("ok"))
			}
			effect = a.Step(ForwardResult{Replied})
		case RefuseAtHome:
			effect = a.Step(RefuseResult{home.Refuse(e.Key)})
		case ReadSeal:
			record, err := kv.ReadSeal(ctx, e.Path)
			effect = a.Step(SealResult{Record: record, Err: err})
		case Reply:
			return e
		}
	}
}

// countWrites returns the KV writes per call of calls through two entries, of
// which one in twenty repeats the key of the call before through the other entry.
func countWrites(key func(i int, home *Home) string) float64 {
	const calls, repeatEvery = 20_000, 20
	clock := toucanclock.NewManual(testStart)
	home, err := NewHome(testHome, testSecret, clock)
	if err != nil {
		panic(err)
	}
	kv := &countingKV{claims: map[string]string{}}
	timer := NewTimer(clock)
	leases := [2]Lease{}
	last := ""
	for i := range calls {
		if i%repeatEvery != 0 || last == "" {
			last = key(i, home)
		}
		drive(NewAttempt("ordini", last, &leases[i%2], ""), timer, home, kv)
	}
	return float64(kv.writes) / calls
}

// Assumptions of the KV write figures; docs/ONCE.md states them.
const (
	nodesToday, nodesLater = 27, 18_000
	callsPerNode           = 870_000.0 / nodesLater // the same at both sizes
	onceNodes              = 12.0 / 27              // share of nodes whose service has an at-most-once class, as today
	callerMade             = 0.01                   // share of caller-made keys among at-most-once calls
	renewalSeconds         = 10.0                   // of a partition lease of 30 s
	stopsPerNode           = 6_100.0 / nodesLater / 86_400
	sealWrites             = 2.0             // session and record
	sessionsPerEntry       = 1.0 / (30 * 60) // at most, if every entry sees caller-made keys
	percent                = 100
)

// The KV writes per second of the weighed ways, for three shares of at-most-once
// calls among all calls. Writes per call are counted from the state machine.
func Example_kvWrites() {
	made := countWrites(func(i int, _ *Home) string { return fmt.Sprint("order-", i) })
	issued := countWrites(func(_ int, home *Home) string { return home.Issue(1)[0].String() })
	fmt.Printf("writes per call: caller-made %.4f, issued %.4f\n", made, issued)
	fmt.Println("nodes share claim_per_key leased_partitions issued issued_and_claims")
	for _, nodes := range []float64{nodesToday, nodesLater} {
		for _, share := range []float64{0.01, 0.05, 0.20} {
			calls := nodes * callsPerNode * share
			seals := nodes * onceNodes * stopsPerNode * sealWrites
			sessions := nodes * sessionsPerEntry
			fmt.Printf("%5.0f %4.0f%% %13.3g %17.3g %6.2g %17.3g\n", nodes, share*percent,
				calls*made+sessions, nodes*onceNodes/renewalSeconds, seals+calls*issued,
				seals+calls*(1-callerMade)*issued+calls*callerMade*made+sessions)
		}
	}
	// Output:
	// writes per call: caller-made 1.0001, issued 0.0000
	// nodes share claim_per_key leased_partitions issued issued_and_claims
	//    27    1%          13.1               1.2 9.4e-05             0.146
	//    27    5%          65.3               1.2 9.4e-05             0.668
	//    27   20%           261               1.2 9.4e-05              2.63
	// 18000    1%      8.71e+03               800  0.063              97.1
	// 18000    5%      4.35e+04               800  0.063               445
	// 18000   20%      1.74e+05               800  0.063          1.75e+03
}

var benchmarkKeys = []int{1_000, 10_000, 100_000, 1_000_000}

func issueAll(h *Home, n int) []Key {
	keys := make([]Key, 0, n)
	for len(keys) < n {
		keys = append(keys, h.Issue(min(MaxIssue, n-len(keys)))...)
	}
	return keys
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkHome measures one key's life at the home and the memory that the home
// keeps per key without its answer.
func BenchmarkHome(b *testing.B) {
	for _, n := range benchmarkKeys {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			before := heap()
			h, _ := newTestHome(b, WithAnswerBytes(0))
			for left := n; left > 0; left -= MaxIssue {
				h.Issue(min(left, MaxIssue))
			}
			perKey := float64(heap()-before) / float64(n)
			runtime.KeepAlive(h)
			h, _ = newTestHome(b, WithAnswerBytes(0))
			keys := issueAll(h, n)
			for i := 0; b.Loop(); i++ {
				k := keys[i%n]
				if _, run := h.Begin(k).(Run); !run {
					h.states.set(k.Sequence, running)
				}
				h.Finish(k, Answer{Outcome: toucancall.Answered})
			}
			b.ReportMetric(perKey, "B/key")
		})
	}
}

// BenchmarkBegin measures the decision about a key that is done.
func BenchmarkBegin(b *testing.B) {
	for _, n := range benchmarkKeys {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			h, _ := newTestHome(b, WithAnswerBytes(0))
			keys := issueAll(h, n)
			for _, k := range keys {
				h.states.set(k.Sequence, done)
			}
			for i := 0; b.Loop(); i++ {
				h.Begin(keys[i%n])
			}
		})
	}
}

func BenchmarkIssue(b *testing.B) {
	h, clock := newTestHome(b)
	for i := 0; b.Loop(); i++ {
		if len(h.Issue(10)) < 10 {
			clock.Advance(KeyTTL)
		}
	}
}

func BenchmarkParseKey(b *testing.B) {
	h, _ := newTestHome(b)
	text := h.Issue(1)[0].String()
	for b.Loop() {
		if _, err := ParseKey(text); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRememberedAnswer measures the memory per remembered answer with a body
// of 200 bytes and four headers, what the budget charges for it, and the processor
// time to remember one while the oldest is evicted.
func BenchmarkRememberedAnswer(b *testing.B) {
	newAnswer := func() Answer {
		a := answered(strings.Repeat("a", 200))
		a.Header = http.Header{"Content-Type": {"application/json"}, "Content-Length": {"200"},
			"Date": {"Fri, 04 Dec 2026 09:00:00 GMT"}, "Location": {strings.Clone("/orders/4711")}}
		return a
	}
	for _, n := range []int{1_000, 4_000, 16_000, 64_000} {
		b.Run(fmt.Sprintf("answers=%d", n), func(b *testing.B) {
			size := newAnswer().size()
			h, _ := newTestHome(b, WithAnswerBytes(n*size))
			keys := issueAll(h, min(16*n, 1_000_000))
			before := heap()
			remember := func(i int) {
				h.states.set(keys[i%len(keys)].Sequence, running)
				h.Finish(keys[i%len(keys)], newAnswer())
			}
			for i := range n {
				remember(i)
			}
			perAnswer := float64(heap()-before) / float64(n)
			i := n
			for ; b.Loop(); i++ {
				remember(i)
			}
			b.ReportMetric(perAnswer, "B/answer")
			b.ReportMetric(float64(size), "charged-B/answer")
		})
	}
}

// BenchmarkSeal measures sealing and the size of the record, with every third
// key started, which the ranges encode worst.
func BenchmarkSeal(b *testing.B) {
	for _, n := range benchmarkKeys {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			h, _ := newTestHome(b)
			for i, k := range issueAll(h, n) {
				if i%3 == 0 {
					h.states.set(k.Sequence, done)
				}
			}
			size := 0
			for b.Loop() {
				size = len(h.Seal().Encode())
			}
			b.ReportMetric(float64(size)/float64(n), "B/key")
		})
	}
}
