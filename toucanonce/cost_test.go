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

// countingKV implements Claims without faults and counts its calls.
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
		kv.reads++ // the reply to a refused acquire does not carry the value
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

// runAttempt carries out the effects of one attempt with a home and a KV.
func runAttempt(a *Attempt, timer *Timer, home *Home, kv Claims) Reply {
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
				home.Finish(e.Key, answeredWith("ok"))
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

// writesPerCall returns the KV writes per call for calls through two entries. One
// call in twenty uses the key of the previous call again through the other entry.
func writesPerCall(key func(i int, home *Home) string) float64 {
	const calls, reuseEvery = 20_000, 20
	clock := toucanclock.NewManual(testStart)
	home, err := NewHome(testIdentity, testSecret, clock)
	if err != nil {
		panic(err)
	}
	kv := &countingKV{claims: map[string]string{}}
	timer := NewTimer(clock)
	leases := [2]Lease{}
	lastKey := ""
	for i := range calls {
		if i%reuseEvery != 0 || lastKey == "" {
			lastKey = key(i, home)
		}
		runAttempt(NewAttempt("ordini", lastKey, &leases[i%2], ""), timer, home, kv)
	}
	return float64(kv.writes) / calls
}

// Assumptions of the KV write figures. They are listed in docs/ONCE.md.
const (
	currentNodes, plannedNodes = 27, 18_000
	callsPerNode               = 870_000.0 / plannedNodes // the same for both numbers of nodes
	onceNodeShare              = 12.0 / 27                // share of nodes whose service has an at-most-once class, as in the current system
	callerMadeShare            = 0.01                     // share of caller-made keys among at-most-once calls
	leaseRenewalSeconds        = 10.0                     // renewal interval of a partition lease of 30 s
	stopsPerNodeSecond         = 6_100.0 / plannedNodes / 86_400
	writesPerSeal              = 2.0             // the session and the record
	sessionsPerEntrySecond     = 1.0 / (30 * 60) // upper bound: every entry receives caller-made keys
	percent                    = 100
)

// Prints the KV writes per second of the compared designs for three shares of
// at-most-once calls among all calls. The writes per call are counted while the state
// machine runs.
func Example_kvWrites() {
	callerMade := writesPerCall(func(i int, _ *Home) string { return fmt.Sprint("order-", i) })
	issued := writesPerCall(func(_ int, home *Home) string { return home.Issue(1)[0].String() })
	fmt.Printf("writes per call: caller-made %.4f, issued %.4f\n", callerMade, issued)
	fmt.Println("nodes share claim_per_key leased_partitions issued issued_and_claims")
	for _, nodes := range []float64{currentNodes, plannedNodes} {
		for _, share := range []float64{0.01, 0.05, 0.20} {
			calls := nodes * callsPerNode * share
			seals := nodes * onceNodeShare * stopsPerNodeSecond * writesPerSeal
			sessions := nodes * sessionsPerEntrySecond
			fmt.Printf("%5.0f %4.0f%% %13.3g %17.3g %6.2g %17.3g\n", nodes, share*percent,
				calls*callerMade+sessions, nodes*onceNodeShare/leaseRenewalSeconds, seals+calls*issued,
				seals+calls*(1-callerMadeShare)*issued+calls*callerMadeShare*callerMade+sessions)
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
		keys = append(keys, h.Issue(min(MaxKeysPerIssue, n-len(keys)))...)
	}
	return keys
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkHome measures Begin and Finish of one key and the memory that the home
// holds per key without its answer.
func BenchmarkHome(b *testing.B) {
	for _, n := range benchmarkKeys {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			before := heapBytes()
			h, _ := newTestHome(b, WithAnswerBytes(0))
			for remaining := n; remaining > 0; remaining -= MaxKeysPerIssue {
				h.Issue(min(remaining, MaxKeysPerIssue))
			}
			perKey := float64(heapBytes()-before) / float64(n)
			runtime.KeepAlive(h)
			h, _ = newTestHome(b, WithAnswerBytes(0))
			keys := issueAll(h, n)
			for i := 0; b.Loop(); i++ {
				k := keys[i%n]
				if _, run := h.Begin(k).(Run); !run {
					h.states.set(k.Sequence, keyRunning)
				}
				h.Finish(k, Answer{Outcome: toucancall.Answered})
			}
			b.ReportMetric(perKey, "B/key")
		})
	}
}

// BenchmarkBegin measures the decision on a key that has run.
func BenchmarkBegin(b *testing.B) {
	for _, n := range benchmarkKeys {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			h, _ := newTestHome(b, WithAnswerBytes(0))
			keys := issueAll(h, n)
			for _, k := range keys {
				h.states.set(k.Sequence, keyDone)
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

// BenchmarkRememberedAnswer measures the memory per stored answer with a body of 200
// bytes and four header fields, the size charged to the budget for it, and the time
// to store one while the oldest is evicted.
func BenchmarkRememberedAnswer(b *testing.B) {
	newAnswer := func() Answer {
		a := answeredWith(strings.Repeat("a", 200))
		a.Header = http.Header{"Content-Type": {"application/json"}, "Content-Length": {"200"},
			"Date": {"Fri, 04 Dec 2026 09:00:00 GMT"}, "Location": {strings.Clone("/orders/4711")}}
		return a
	}
	for _, n := range []int{1_000, 4_000, 16_000, 64_000} {
		b.Run(fmt.Sprintf("answers=%d", n), func(b *testing.B) {
			size := newAnswer().size()
			h, _ := newTestHome(b, WithAnswerBytes(n*size))
			keys := issueAll(h, min(16*n, 1_000_000))
			before := heapBytes()
			storeAnswer := func(i int) {
				h.states.set(keys[i%len(keys)].Sequence, keyRunning)
				h.Finish(keys[i%len(keys)], newAnswer())
			}
			for i := range n {
				storeAnswer(i)
			}
			perAnswer := float64(heapBytes()-before) / float64(n)
			i := n
			for ; b.Loop(); i++ {
				storeAnswer(i)
			}
			b.ReportMetric(perAnswer, "B/answer")
			b.ReportMetric(float64(size), "charged-B/answer")
		})
	}
}

// BenchmarkSeal measures sealing and the size of the record if every third key has
// started, the worst case for the encoding as ranges.
func BenchmarkSeal(b *testing.B) {
	for _, n := range benchmarkKeys {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			h, _ := newTestHome(b)
			for i, k := range issueAll(h, n) {
				if i%3 == 0 {
					h.states.set(k.Sequence, keyDone)
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
