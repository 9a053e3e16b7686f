package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclass"
	"toucanhaven/toucankvtest"
	"toucanhaven/toucanlog"
	"toucanhaven/toucannode"
	"toucanhaven/toucanresponse"
	"toucanhaven/toucansettings"
)

const (
	demoNodesPerService  = 2
	demoDeepSlots        = 30 // of each backend server of the deep service
	demoFrontSlots       = 100
	demoDeepServiceTime  = 150 * time.Millisecond // service time in the deep service
	demoFrontServiceTime = 5 * time.Millisecond   // service time in the other services, without the child call
	demoSlowFactor       = 2
	// demoCapacityPerSecond is the number of requests per second that the deep service
	// can run. Every request of the load makes one call to the deep service.
	demoCapacityPerSecond = float64(demoNodesPerService*demoDeepSlots) * float64(time.Second) / float64(demoDeepServiceTime)

	demoStopTimeout  = 10 * time.Second
	demoReadyTimeout = 15 * time.Second
)

// demoClassFiles are the class files by service. From the most to the least urgent,
// the classes that callers use are place_order, check_availability, order_status and
// browse.
var demoClassFiles = map[string]string{
	"vetrina": `service = "vetrina"
[[class]]
name = "check_availability"
method = "GET"
path = "/availability"
latency = "500ms"
success = 0.999
[[class]]
name = "browse"
method = "GET"
path = "/catalogue"
latency = "2s"
success = 0.9
`,
	"ordini": `service = "ordini"
[[class]]
name = "place_order"
method = "POST"
path = "/orders"
latency = "800ms"
success = 0.9999
at_most_once = true
[[class]]
name = "order_status"
method = "GET"
path = "/status"
latency = "1s"
success = 0.99
`,
	"magazzino": `service = "magazzino"
[[class]]
name = "read_stock"
method = "GET"
path = "/stock"
latency = "400ms"
success = 0.999
`,
}

// demoServices are the services in the order in which they start.
var demoServices = []string{"magazzino", "vetrina", "ordini"}

// demoDeepService is the service that the other services call for each request.
const demoDeepService = "magazzino"

// runKey identifies the runs of one request at one service.
type runKey struct{ requestID, service string }

// runLog counts the runs that the nodes log. It is the writer of their loggers, which
// write one line at a time.
type runLog struct {
	mu   sync.Mutex
	runs map[runKey]map[toucancall.Outcome]int
}

func newRunLog() *runLog { return &runLog{runs: map[runKey]map[toucancall.Outcome]int{}} }

// Write counts the run in a log line.
func (l *runLog) Write(line []byte) (int, error) {
	if !bytes.Contains(line, []byte(" event=request_run ")) {
		return len(line), nil
	}
	fields := map[string]string{}
	for _, word := range strings.Fields(string(line)) {
		if key, value, ok := strings.Cut(word, "="); ok {
			fields[key] = value
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	key := runKey{fields["request_id"], fields["service"]}
	if l.runs[key] == nil {
		l.runs[key] = map[toucancall.Outcome]int{}
	}
	l.runs[key][toucancall.Outcome(fields["outcome"])]++
	return len(line), nil
}

// demoFleet is the KV stand-in and the nodes with their backend servers.
type demoFleet struct {
	kv           *http.Server
	log          *runLog
	nodes        []*toucannode.Node
	nodeServices []string // service of the node with the same index
	servers      []*http.Server
	client       *http.Client
	isSlow       atomic.Bool

	mu          sync.Mutex
	startedRuns map[runKey]int // number of runs that began
	stopped     bool
}

// newDemoFleet starts the KV stand-in and the nodes.
func newDemoFleet() (f *demoFleet, err error) {
	f = &demoFleet{
		log: newRunLog(), startedRuns: map[runKey]int{},
		client: &http.Client{Transport: toucanresponse.Checked(&http.Transport{MaxIdleConnsPerHost: 256})},
	}
	defer func() {
		if err != nil {
			f.close()
		}
	}()
	kvAddress, kv, err := serveLoopback(&toucankvtest.Server{})
	if err != nil {
		return f, err
	}
	f.kv = kv
	for _, service := range demoServices {
		for range demoNodesPerService {
			if err := f.addNode(service, kvAddress); err != nil {
				return f, err
			}
		}
	}
	return f, nil
}

// serveLoopback serves h on a free port of the loopback interface.
func serveLoopback(h http.Handler) (netip.AddrPort, *http.Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, nil, err
	}
	server := &http.Server{Handler: h}
	go server.Serve(l)
	return l.Addr().(*net.TCPAddr).AddrPort(), server, nil
}

func (f *demoFleet) addNode(service string, kvAddress netip.AddrPort) error {
	free := netip.MustParseAddrPort("127.0.0.1:0")
	n, err := toucannode.New(toucannode.Options{
		Settings: toucansettings.Settings{
			CallerAddress: free, PeerAddress: free, ControlAddress: free, AdminAddress: free,
			DataCentre: "mi-1", Region: "lombardia", KVAddress: kvAddress,
			Limits: toucansettings.DefaultLimits, StopTimeout: demoStopTimeout,
		},
		Logger: toucanlog.NewLogger(f.log, slog.LevelInfo),
	})
	if err != nil {
		return err
	}
	n.Start()
	f.nodes, f.nodeServices = append(f.nodes, n), append(f.nodeServices, service)
	return nil
}

// start starts and announces the backend servers, applies the class files and waits
// until every entry answers requests of every class.
func (f *demoFleet) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demoReadyTimeout)
	defer cancel()
	for i, n := range f.nodes {
		server := newDemoServer(f, f.nodeServices[i], n.Addresses().Caller)
		address, listening, err := serveLoopback(server)
		if err != nil {
			return err
		}
		f.servers = append(f.servers, listening)
		if err := announce(n.Addresses().Admin, f.nodeServices[i], address.String()); err != nil {
			return err
		}
	}
	for _, service := range demoServices {
		if err := f.applyClassFile(ctx, service); err != nil {
			return err
		}
	}
	for _, c := range demoClasses {
		for _, entry := range f.entries() {
			if err := f.awaitClass(ctx, entry, c); err != nil {
				return err
			}
		}
	}
	return nil
}

// applyClassFile applies the class file of a service at the first node. It retries a
// failed apply until ctx is done.
func (f *demoFleet) applyClassFile(ctx context.Context, service string) error {
	body, err := json.Marshal(map[string]any{
		"replaces": 0, "author": "demo", "nonce": "demo-" + service, "class_file": demoClassFiles[service],
	})
	if err != nil {
		return err
	}
	for {
		resp, err := f.client.Post("http://"+f.nodes[0].Addresses().Admin+"/config/"+service, "application/json", bytes.NewReader(body))
		if err != nil {
			return fmt.Errorf("apply the class file of %s: %w", service, err)
		}
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
		if !sleep(ctx, 100*time.Millisecond) {
			return fmt.Errorf("apply the class file of %s: %s: %s", service, resp.Status, text)
		}
	}
}

// awaitClass sends requests of a class until the entry answers one with status 200,
// which needs the class file in force.
func (f *demoFleet) awaitClass(ctx context.Context, entry string, c demoClass) error {
	for attempt := 0; ; attempt++ {
		req, err := http.NewRequestWithContext(ctx, c.method, "http://"+entry+c.path, nil)
		if err != nil {
			return err
		}
		req.Header.Set(toucancall.HeaderService, c.service)
		req.Header.Set(toucancall.HeaderRequestID, fmt.Sprintf("ready-%s-%s-%d", entry, c.name, attempt))
		resp, err := f.client.Do(req)
		if err != nil {
			return fmt.Errorf("class %s does not get ready: %w", c.name, err)
		}
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.Header.Get(toucancall.HeaderOutcome) == string(toucancall.Answered) && resp.StatusCode == http.StatusOK {
			return nil
		}
		if !sleep(ctx, 50*time.Millisecond) {
			return fmt.Errorf("class %s does not get ready: %s: %s", c.name, resp.Status, text)
		}
	}
}

// entries returns the caller addresses of the nodes that callers use.
func (f *demoFleet) entries() (addresses []string) {
	for i, n := range f.nodes {
		if f.nodeServices[i] != demoDeepService {
			addresses = append(addresses, n.Addresses().Caller)
		}
	}
	return addresses
}

// deepLimits returns the learned concurrency limits of the deep service.
func (f *demoFleet) deepLimits() (limits []string) {
	for i, n := range f.nodes {
		if f.nodeServices[i] != demoDeepService {
			continue
		}
		status := struct {
			Limit int `json:"concurrency_limit"`
		}{}
		resp, err := f.client.Get("http://" + n.Addresses().Admin + "/status")
		if err == nil {
			_ = json.NewDecoder(resp.Body).Decode(&status) // the report shows 0 for an unreadable status
			resp.Body.Close()
		}
		limits = append(limits, fmt.Sprint(status.Limit))
	}
	return limits
}

func (f *demoFleet) setSlow(slow bool) { f.isSlow.Store(slow) }

// stop shuts down all nodes gracefully.
func (f *demoFleet) stop() error {
	if f.stopped {
		return nil
	}
	f.stopped = true
	errs := make([]error, len(f.nodes))
	var wg sync.WaitGroup
	for i, n := range f.nodes {
		wg.Go(func() { errs[i] = n.Stop(context.Background()) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

func (f *demoFleet) close() {
	f.client.CloseIdleConnections()
	_ = f.stop() // run reports the errors of its own call to stop
	for _, s := range f.servers {
		s.Close()
	}
	if f.kv != nil {
		f.kv.Close()
	}
}

// demoServer is a backend server that counts the requests that it runs.
type demoServer struct {
	fleet       *demoFleet
	service     string
	nodeAddress string // caller address of its node
	slots       chan struct{}
}

func newDemoServer(f *demoFleet, service, node string) *demoServer {
	slots := demoFrontSlots
	if service == demoDeepService {
		slots = demoDeepSlots
	}
	return &demoServer{fleet: f, service: service, nodeAddress: node, slots: make(chan struct{}, slots)}
}

// ServeHTTP waits for a free slot and runs one request.
func (s *demoServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	defer func() { <-s.slots }()
	id := r.Header.Get(toucancall.HeaderRequestID)
	s.fleet.mu.Lock()
	s.fleet.startedRuns[runKey{id, s.service}]++
	s.fleet.mu.Unlock()
	if s.service == demoDeepService {
		duration := demoDeepServiceTime
		if s.fleet.isSlow.Load() {
			duration *= demoSlowFactor
		}
		if !sleep(r.Context(), duration) {
			panic(http.ErrAbortHandler)
		}
	} else {
		if !sleep(r.Context(), demoFrontServiceTime) {
			panic(http.ErrAbortHandler)
		}
		if reason, err := s.callDeep(r); err != nil {
			w.Header().Set(demoChildReason, reason)
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	io.WriteString(w, demoAnswer(id))
}

// demoAnswer returns the answer to the request with this id.
func demoAnswer(requestID string) string { return "request_id=" + requestID + " end\n" }

// demoChildReason is the response header in which a demoServer reports why its child
// call failed.
const demoChildReason = "Demo-Child-Reason"

// callDeep calls the deep service through the node beside the server. If the call is
// not answered, it returns an error and the reason for demoChildReason.
func (s *demoServer) callDeep(r *http.Request) (reason string, err error) {
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+s.nodeAddress+"/stock", nil)
	if err != nil {
		return "no_answer", err
	}
	req.Header.Set(toucancall.HeaderService, demoDeepService)
	req.Header.Set(toucancall.HeaderParent, r.Header.Get(toucancall.HeaderParent))
	resp, err := s.fleet.client.Do(req)
	if err != nil {
		return "no_answer", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.Header.Get(toucancall.HeaderOutcome) != string(toucancall.Answered) {
		reason := resp.Header.Get(toucancall.HeaderOutcome) + "_" + resp.Header.Get(toucancall.HeaderReason)
		return reason, fmt.Errorf("child call: %s: %s: %v", resp.Status, text, err)
	}
	return "", nil
}

// latencyTarget returns the latency target of a class.
func latencyTarget(service, name string) time.Duration {
	file, _ := toucanclass.ParseFile(service, []byte(demoClassFiles[service]))
	for _, c := range file.Classes {
		if c.Name == name {
			return c.Latency
		}
	}
	return 0
}
