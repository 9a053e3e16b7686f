package toucannode

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"toucanhaven/toucancall"
)

// startBenchPaths starts one backend server and returns the addresses by which
// it is reached: directly, through the node beside it, and through an entry and
// that node. All run in this process.
func startBenchPaths(b *testing.B) map[string]string {
	answer := strings.Repeat("a", 1024)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, answer)
	}))
	b.Cleanup(server.Close)
	f := newTestFleet(b)
	node := f.startNode("", nil)
	node.announceBackend("ordini", server.Listener.Addr().String())
	entry := f.startNode("", nil)
	return map[string]string{
		"straight": server.Listener.Addr().String(), "one_node": node.Addresses().Caller, "two_nodes": entry.Addresses().Caller,
	}
}

func benchCall(client *http.Client, address string) error {
	req, err := http.NewRequest("GET", "http://"+address+"/orders/7", nil)
	if err != nil {
		return err
	}
	req.Header.Set(toucancall.HeaderService, "ordini")
	req.Header.Set(toucancall.HeaderTenant, "shop7")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// BenchmarkCall makes sequential calls. The reported allocations are those of
// the caller, the nodes and the backend server together.
func BenchmarkCall(b *testing.B) {
	paths := startBenchPaths(b)
	for _, path := range []string{"straight", "one_node", "two_nodes"} {
		b.Run(path, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{}}
			b.ReportAllocs()
			for b.Loop() {
				if err := benchCall(client, paths[path]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkRate sends calls at fixed rates, directly and through two nodes at
// the same time, and reports latency quantiles of both in microseconds. Run it
// with -benchtime=1x; each rate takes rateTime.
func BenchmarkRate(b *testing.B) {
	const rateTime = 5 * time.Second
	paths := startBenchPaths(b)
	for _, rate := range []int{100, 500, 1000, 2000} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) {
			var both sync.WaitGroup
			results := map[string][]time.Duration{}
			var mu sync.Mutex
			for _, path := range []string{"straight", "two_nodes"} {
				both.Go(func() {
					latencies := sendAtRate(b, paths[path], rate, rateTime)
					mu.Lock()
					defer mu.Unlock()
					results[path] = latencies
				})
			}
			both.Wait()
			for path, latencies := range results {
				slices.Sort(latencies)
				for name, q := range map[string]float64{"p50": 0.5, "p99": 0.99, "p99.9": 0.999} {
					d := latencies[int(q*float64(len(latencies)-1))]
					b.ReportMetric(float64(d.Microseconds()), path+"_"+name+"_us")
				}
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// sendAtRate starts calls on a schedule, whether or not earlier calls have
// ended, and measures the latency of each from its actual start.
func sendAtRate(b *testing.B, address string, rate int, d time.Duration) []time.Duration {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}
	for range 50 {
		if err := benchCall(client, address); err != nil {
			b.Error(err)
		}
	}
	count := int(d.Seconds() * float64(rate))
	latencies := make([]time.Duration, count)
	var wait sync.WaitGroup
	start := time.Now()
	for i := range count {
		at := start.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(at))
		wait.Go(func() {
			began := time.Now()
			if err := benchCall(client, address); err != nil {
				b.Error(err)
			}
			latencies[i] = time.Since(began)
		})
	}
	wait.Wait()
	return latencies
}
