package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"toucanhaven/platform"
	"toucanhaven/platform/platformtest"
)

const (
	soakRefusalSeed    = 1 // run every time
	soakLargeService   = 8 // nodes of orders: more than the attempts of a request
	soakSmallService   = 3 // nodes of stock
	soakRefusalCallers = 24
	soakFirstFault     = 1500 * time.Millisecond
)

// TestSoakRefusals runs processes of the mesh node whose backend servers refuse requests,
// lose responses and repeat refusals, and injects faults into the processes and their
// links. The flags of TestSoak apply.
func TestSoakRefusals(t *testing.T) {
	runSoakSeeds(t, []uint64{soakRefusalSeed}, func(t *testing.T, seed uint64) {
		s := newEmptyDeployment(t, seed)
		s.retryRatio = 20 // a refusal by a backend server uses the retry budget
		route := func(name, kind, service string) platformtest.Route {
			return platformtest.Route{Name: name, Prefix: "/" + name + "/", Type: kind, Services: map[string]int{service: 1}, TimeoutS: 1.4, TargetS: 0.5}
		}
		s.store.Write(platform.ConfigKey, platformtest.Config(1, []string{"orders", "stock"},
			route("order", "unsafe", "orders"), route("book", "unsafe", "stock"), route("read", "safe", "stock")))
		var servers []*faultyServer
		for i := range soakLargeService + soakSmallService {
			service := "orders"
			if i >= soakLargeService {
				service = "stock"
			}
			n := s.newNode(fmt.Sprintf("n%d", i), service)
			servers = append(servers, newFaultyServer(s, n.backend))
			s.nodes = append(s.nodes, n)
		}
		s.runRefusals(servers)
	})
}

func (s *testDeployment) runRefusals(servers []*faultyServer) {
	for _, n := range s.nodes {
		s.wg.Go(func() { s.sendHeartbeats(n) })
	}
	s.awaitServing("before the faults")
	for i := range soakRefusalCallers {
		s.wg.Go(func() { s.sendOnKeptConnections(i) })
	}
	s.injectRefusals(servers)
	s.awaitServing("after the faults")
	close(s.stop)
	s.wg.Wait()
	time.Sleep(soakRequestDeadline + time.Second) // a request that was refused must not run later either
	s.checkResults()
	s.checkRefusals()
}

// checkRefusals checks that requests used up their attempts.
func (s *testDeployment) checkRefusals() {
	usedUp := 0
	for _, n := range s.nodes {
		data, err := os.ReadFile(filepath.Join(n.dir, "log"))
		if err != nil {
			s.t.Error(err)
		}
		usedUp += strings.Count(string(data), " tries=6 ")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.t.Logf("%d requests, %d served, %d refused by a server, %d with 6 attempts", len(s.results), s.served, len(s.refusals), usedUp)
	if usedUp == 0 {
		s.t.Error("no request used up its attempts")
	}
}

// sendOnKeptConnections sends random requests until the run ends. It uses each
// connection until that fails.
func (s *testDeployment) sendOnKeptConnections(worker int) {
	rng := rand.New(rand.NewPCG(uint64(worker), s.seed))
	var c net.Conn
	var r *bufio.Reader
	for i := 0; ; i++ {
		select {
		case <-s.stop:
			if c != nil {
				c.Close()
			}
			return
		case <-time.After(time.Duration(rng.IntN(20)) * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", s.nodes[rng.IntN(len(s.nodes))].caller, time.Second); err != nil {
				c = nil
				continue
			}
			r = bufio.NewReader(c)
		}
		kind, id := []string{"order", "order", "book", "read"}[rng.IntN(4)], fmt.Sprintf("k%d-%d", worker, i)
		c.SetDeadline(time.Now().Add(soakRequestDeadline + time.Second))
		status, body, err := 0, "", error(nil)
		if _, err = io.WriteString(c, requestText(kind, id)); err == nil {
			status, body, err = readResponse(r)
		}
		s.recordResult(kind, id, status, body, err)
		if err != nil {
			c.Close()
			c = nil
		}
	}
}

// injectRefusals starts random faults at random intervals for soakFaultDuration and
// waits until all have ended. Faults overlap. In the first one most servers of the large
// service refuse, so that requests use up their attempts whatever the seed.
func (s *testDeployment) injectRefusals(servers []*faultyServer) {
	var series sync.WaitGroup
	series.Go(func() {
		setFaultShare(servers[:soakLargeService], 0.95)
		time.Sleep(soakFirstFault)
		setFaultShare(servers[:soakLargeService], 0)
	})
	for end := time.Now().Add(*soakFaultDuration); time.Now().Before(end); time.Sleep(time.Duration(50+s.rng.IntN(300)) * time.Millisecond) {
		i, pause := s.rng.IntN(len(s.nodes)), time.Duration(200+s.rng.IntN(1300))*time.Millisecond
		n, affected := s.nodes[i], servers[i:i+1]
		switch s.rng.IntN(10) {
		case 0:
			series.Go(func() { n.restartProcess(s.t, syscall.SIGKILL, pause/3) })
		case 1:
			series.Go(func() { n.restartProcess(s.t, syscall.SIGTERM, 0) })
		case 2:
			series.Go(func() { n.pauseProcess(pause) })
		case 3:
			series.Go(func() { n.changeSettings(s.t) })
		case 4:
			n.peerProxy.Reset()
		case 5:
			n.storeProxy.Reset()
		case 6, 7, 8:
			affected = [][]*faultyServer{servers[:soakLargeService], servers[soakLargeService:]}[s.rng.IntN(2)]
			fallthrough
		default:
			share := 0.5 + 0.5*s.rng.Float64()
			series.Go(func() {
				setFaultShare(affected, share)
				time.Sleep(pause)
				setFaultShare(affected, 0)
			})
		}
	}
	series.Wait()
}

// serverFault is the way in which a backend server fails a request.
type serverFault string

const (
	noServerFault   serverFault = ""
	refusal         serverFault = "refusal"          // the request does not run
	lostResponse    serverFault = "lost response"    // the connection is closed after the run
	unprovenRefusal serverFault = "unproven refusal" // a refusal of a request that ran
	cutResponse     serverFault = "cut response"     // the connection is closed in the head of the response
)

var serverFaults = []serverFault{refusal, refusal, refusal, refusal, refusal, refusal, lostResponse, lostResponse, unprovenRefusal, cutResponse}

// faultyServer answers the requests to a backend server, a share of them with a fault.
type faultyServer struct {
	deployment *testDeployment

	mu           sync.Mutex
	rng          *rand.Rand
	faultShare   float64
	lastRefusals map[string]string // by address of the other end of a connection
}

func newFaultyServer(s *testDeployment, b *platformtest.Backend) *faultyServer {
	f := &faultyServer{deployment: s, rng: rand.New(rand.NewPCG(s.seed, s.rng.Uint64())), lastRefusals: make(map[string]string)}
	b.SetAnswer(f.respond)
	return f
}

func setFaultShare(servers []*faultyServer, share float64) {
	for _, f := range servers {
		f.mu.Lock()
		f.faultShare = share
		f.mu.Unlock()
	}
}

// respond responds to a request. It writes nothing for a lost response.
func (f *faultyServer) respond(w io.Writer, r *http.Request) {
	f.mu.Lock()
	fault, duration, choice := noServerFault, time.Duration(2+f.rng.IntN(40))*time.Millisecond, f.rng.IntN(1000)
	if f.rng.Float64() < f.faultShare {
		fault = serverFaults[f.rng.IntN(len(serverFaults))]
	}
	earlier := f.lastRefusals[r.RemoteAddr]
	f.mu.Unlock()
	id := r.Header.Get("X-Request-Id")
	if fault == refusal {
		f.refuse(w, r.RemoteAddr, id, choice)
		return
	}
	if choice%4 == 0 {
		io.WriteString(w, earlier) // once more, where the response to this request is expected
	}
	time.Sleep(duration)
	switch fault {
	case noServerFault:
		platformtest.RespondOK(w, r)
	case unprovenRefusal:
		status := refusalStatuses[[]int{0, 2, 3}[choice%3]] // 421 is always a refusal
		fmt.Fprintf(w, "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), id)
	case cutResponse:
		var whole bytes.Buffer
		platformtest.RespondOK(&whole, r)
		head, _, _ := bytes.Cut(whole.Bytes(), []byte("\r\n\r\n"))
		status, fields, _ := bytes.Cut(head, []byte("\r\n"))
		fmt.Fprintf(w, "%s\r\nConnection: close\r\n%s", status, fields[:choice%len(fields)])
	}
}

// refuse responds that the request did not run.
func (f *faultyServer) refuse(w io.Writer, remote, id string, choice int) {
	status := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[choice%2]
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), id)
	f.mu.Lock()
	f.lastRefusals[remote] = text
	f.mu.Unlock()
	f.deployment.mu.Lock()
	f.deployment.refusals[id]++
	f.deployment.mu.Unlock()
	io.WriteString(w, text)
}
