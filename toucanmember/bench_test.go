package toucanmember

import (
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"net"
	"net/rpc"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucanbalance"
	"toucanhaven/toucanclock"
)

// gobSizer counts the bytes of messages as net/rpc encodes them on a connection
// in use: a header and a body. It leaves out the type descriptions, which gob sends
// once per connection.
type gobSizer struct {
	n       int
	seq     uint64
	encoder *gob.Encoder
}

func (s *gobSizer) Write(p []byte) (int, error) {
	s.n += len(p)
	return len(p), nil
}

func newGobSizer() *gobSizer {
	s := &gobSizer{}
	s.encoder = gob.NewEncoder(s)
	for _, m := range []Message{Probe{Changes: []Member{{}}}, ProbeFor{}, ProbeForAnswer{}, Sync{}, SyncAnswer{}, ViewRequest{}, ViewAnswer{}} {
		s.size(m)
	}
	return s
}

func (s *gobSizer) size(m Message) int {
	before := s.n
	s.seq++
	header := rpc.Request{ServiceMethod: "Member.Probe", Seq: s.seq + 1<<20}
	if err := s.encoder.Encode(header); err != nil {
		panic(err)
	}
	if err := s.encoder.Encode(m); err != nil {
		panic(err)
	}
	return s.n - before
}

// BenchmarkGroup measures the cost of one member per second by the size of its
// service, without entries.
func BenchmarkGroup(bench *testing.B) {
	for _, n := range []int{3, 5, 20, 100, 300, 500} {
		bench.Run(fmt.Sprintf("members=%d", n), func(bench *testing.B) {
			b := newTestBus(1)
			b.startService(n, 0)
			b.advance(2 * time.Minute) // until the changes of the startup have been sent
			measureBus(bench, b, n)
		})
	}
}

// BenchmarkEntry measures the cost of an entry per second, including the cost at
// the polled members, by the number of services it calls. Each service has 5
// members.
func BenchmarkEntry(bench *testing.B) {
	for _, services := range []int{1, 5, 10, 20, 50} {
		bench.Run(fmt.Sprintf("services=%d", services), func(bench *testing.B) {
			var with, without []*testBus
			for i := range services {
				a, c := newTestBus(uint64(i)), newTestBus(uint64(i))
				a.startService(5, 1)
				c.startService(5, 0)
				with, without = append(with, a), append(without, c)
			}
			var spent time.Duration
			var messages, bytes int
			for _, b := range append(with, without...) {
				b.sizeOf = newGobSizer().size
				b.messages, b.bytes, b.pollStepTime = 0, 0, 0
			}
			for bench.Loop() {
				for i := range services {
					with[i].advance(10 * time.Second)
					without[i].advance(10 * time.Second)
				}
			}
			for i := range services {
				spent += with[i].pollStepTime
				messages += with[i].messages - without[i].messages
				bytes += with[i].bytes - without[i].bytes
			}
			reportMetrics(bench, spent, messages, bytes, 1)
		})
	}
}

func measureBus(bench *testing.B, b *testBus, nodes int) {
	b.sizeOf = newGobSizer().size
	b.messages, b.bytes, b.stepTime = 0, 0, 0
	for bench.Loop() {
		b.advance(10 * time.Second)
	}
	reportMetrics(bench, b.stepTime, b.messages, b.bytes, nodes)
}

// reportMetrics reports the cost per node and second. Each message counts once, at
// its sender.
func reportMetrics(bench *testing.B, spent time.Duration, messages, bytes, nodes int) {
	seconds := float64(10 * bench.N * nodes)
	bench.ReportMetric(float64(spent.Microseconds())/seconds, "cpu-us/node-s")
	bench.ReportMetric(float64(messages)/seconds, "messages/node-s")
	bench.ReportMetric(float64(bytes)/seconds, "B/node-s")
}

// BenchmarkMemory measures the heap size of a group and of an entry's view by the
// number of members.
func BenchmarkMemory(bench *testing.B) {
	for _, n := range []int{3, 5, 20, 100, 500} {
		bench.Run(fmt.Sprintf("group=%d", n), func(bench *testing.B) {
			groups := make([]*Group, 100)
			heap := heapGrowth(func() {
				for i := range groups {
					groups[i] = newFilledGroup(n)
				}
			})
			for bench.Loop() {
			}
			bench.ReportMetric(heap/float64(len(groups)), "B/group")
			runtime.KeepAlive(groups)
		})
	}
	for _, n := range []int{1, 5, 10, 20} {
		bench.Run(fmt.Sprintf("view=%d", n), func(bench *testing.B) {
			entries := make([]*Entry, 1000)
			group := newFilledGroup(n)
			heap := heapGrowth(func() {
				for i := range entries {
					e := NewEntry(toucanclock.System{}, rand.New(rand.NewPCG(1, 1)), "ordini", "10.0.0.1:7003", "a")
					e.polledMember = "m0"
					e.applyAnswer(group.ViewSince(ViewRequest{Subset: 20}))
					entries[i] = e
				}
			})
			for bench.Loop() {
			}
			bench.ReportMetric(heap/float64(len(entries)), "B/view")
			runtime.KeepAlive(entries)
		})
	}
}

func newFilledGroup(n int) *Group {
	clock := toucanclock.NewManual(time.Unix(1_000_000, 0))
	member := func(i int) toucanbalance.Server {
		return toucanbalance.Server{
			ID: fmt.Sprintf("10.12.%d.%d:7003", i/250, i%250), PeerAddress: fmt.Sprintf("10.12.%d.%d:7002", i/250, i%250),
			Incarnation: time.Unix(1_700_000_000, int64(i)).UnixNano(), DataCentre: "nl-west-" + string(rune('a'+i%3)), State: toucanbalance.Alive,
		}
	}
	g := NewGroup(clock, rand.New(rand.NewPCG(1, 1)), "ordini", member(0))
	g.Step(Announce{PeerAddress: "10.12.0.0:7002"})
	for i := 1; i < n; i++ {
		g.mergeMember(Member{Server: member(i)}, clock.Now())
	}
	g.refreshRing()
	return g
}

func heapGrowth(f func()) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	f()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkViewSince measures the cost at the polled member of an answer to an
// entry that has another version.
func BenchmarkViewSince(bench *testing.B) {
	for _, n := range []int{5, 20, 100, 500} {
		bench.Run(fmt.Sprintf("members=%d", n), func(bench *testing.B) {
			g := newFilledGroup(n)
			for bench.Loop() {
				g.ViewSince(ViewRequest{Entry: "10.0.0.1:7003", DataCentre: "nl-west-a", Subset: 20})
			}
		})
	}
}

// EchoService is an RPC service that answers a probe with the same probe.
type EchoService struct{}

// Probe answers p with p.
func (EchoService) Probe(p Probe, answer *Probe) error {
	*answer = p
	return nil
}

// BenchmarkRPC measures the processor time of both sides and the bytes of one probe
// and its answer, sent with net/rpc on an open loopback connection.
func BenchmarkRPC(bench *testing.B) {
	for _, changes := range []int{0, 3, 20} {
		bench.Run(fmt.Sprintf("changes=%d", changes), func(bench *testing.B) {
			is := is.New(bench)
			server := rpc.NewServer()
			is.NoErr(server.RegisterName("Member", EchoService{}))
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			go server.Accept(listener)
			client, err := rpc.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			defer client.Close()
			g := newFilledGroup(max(changes+1, 5))
			p := g.probeMessage("")
			p.Changes = g.viewMembers()[1:][:changes]
			start := processorTime()
			for bench.Loop() {
				var answer Probe
				if err := client.Call("Member.Probe", p, &answer); err != nil {
					bench.Fatal(err)
				}
			}
			bench.ReportMetric(float64((processorTime()-start).Microseconds())/float64(bench.N), "cpu-us/call")
			bench.ReportMetric(float64(2*newGobSizer().size(p)), "B/call")
		})
	}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Guards against unnecessary KV calls, which the platform counts. With -v it prints
// the calls of each phase.
func TestKVCalls(t *testing.T) {
	is := is.New(t)
	b := newTestBus(8)
	for i := range 5 {
		b.startMember(fmt.Sprintf("m%d", i), string(rune('a'+i)))
		b.advance(2 * time.Second)
	}
	b.advance(time.Minute)
	phase := func(name string, d time.Duration) (reads, writes int) {
		reads, writes = b.kv.reads, b.kv.writes
		b.advance(d)
		reads, writes = b.kv.reads-reads, b.kv.writes-writes
		t.Logf("phase=%s lasts=%v reads=%d writes=%d", name, d, reads, writes)
		return reads, writes
	}
	reads, writes := phase("ordinary", time.Hour)
	is.True(reads <= 10)
	is.Equal(writes, 0)
	b.blocked = dataCentreCutOff
	_, writes = phase("cut_off", time.Hour)
	is.True(writes <= 4)
	b.blocked = func(from, to *testNode) bool { return false }
	phase("after_cut", 10*time.Minute)
	is.True(b.viewsAgree())
	memberFaults["crashed"](b, b.nodes["m0"])
	phase("crashed", 10*time.Minute)
	b.startMember("m0", "a")
	phase("restarted", 10*time.Minute)
	is.True(b.viewsAgree())
	b.step(b.nodes["m1"], b.nodes["m1"].group, Leave{})
	phase("leaving", 10*time.Minute)
}
