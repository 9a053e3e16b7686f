package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of a small deployment, as the users' pages give them.
const (
	memoryMB        = 284 // of Padana
	grownMemoryMB   = 184 // the least of Padana as it has grown
	grownLinkMbps   = 200 // of the link of each machine there
	maxDescriptors  = 4100
	heartbeat       = 1500 * time.Millisecond
	grace           = 6 * time.Second
	restartDelay    = 500 * time.Millisecond
	memoryPoll      = 20 * time.Millisecond
	configKey       = "op/config"
	host            = "shop.example"
	maxBodyBytes    = 64 << 20
	headerTimeoutS  = 3
	idleTimeoutS    = 15
	startTimeout    = 15 * time.Second
	programFile     = "target/toucanhaven"
	addressTemplate = "127.77.%d.%d"
)

// route is a route of the configuration.
type route struct {
	name, service, kind string
	timeoutS, targetS   float64
	priority            int
}

func (r route) prefix() string { return "/" + r.name + "/" }

// service is a service of a deployment with its backends.
type service struct {
	name      string
	backends  int
	slots     int
	bodyBytes int // of each response
}

// machine is a VM with a node and a backend.
type machine struct {
	fleet                                         *fleet
	name, ip, zone                                string
	caller, ready, control, peer, metrics, inside string
	settings                                      string // file
	backend                                       *backend

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	ends    []string // how its process ended while it should have run
	peakKB  int
}

// fleet is a deployment: a store, machines and what the backends ran.
type fleet struct {
	dir      string
	memoryMB int // limit of each process
	store    *store
	runs     *runs
	machines []*machine
	record   *record
	cancel   context.CancelFunc
	watchers sync.WaitGroup
}

var zones = []string{"milano", "bergamo", "brescia"}

// startFleet starts the store, the backends and the nodes, and waits until all nodes are ready and
// know each other.
func startFleet(rec *record, memoryMB int, services []service, routes []route) (f *fleet, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	f = &fleet{memoryMB: memoryMB, runs: &runs{}, record: rec, cancel: cancel}
	if f.dir, err = os.MkdirTemp("", "review3-"); err != nil {
		return f, err
	}
	if f.store, err = startStore(); err != nil {
		return f, err
	}
	f.store.write(configKey, configuration(1, services, routes))
	for _, s := range services {
		for range s.backends {
			if err := f.addMachine(ctx, s); err != nil {
				return f, err
			}
		}
	}
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return f, err
		}
		go m.backend.beat(ctx, m.control, heartbeat)
	}
	for _, m := range f.machines {
		if err := m.awaitReady(startTimeout); err != nil {
			return f, err
		}
	}
	return f, nil
}

// configuration returns the operator's configuration.
func configuration(version int, services []service, routes []route) []byte {
	var resources []any
	add := func(kind, name string, spec map[string]any) {
		metadata := map[string]any{}
		if name != "" {
			metadata["name"] = name
		}
		resources = append(resources, map[string]any{"type": kind, "metadata": metadata, "spec": spec})
	}
	for _, r := range routes {
		add("routes", r.name, map[string]any{
			"host": host, "prefix": r.prefix(), "routeType": r.kind, "timeoutS": r.timeoutS, "targetLatencyS": r.targetS,
			"priority": r.priority, "service": r.service, "attempts": 2,
		})
	}
	for _, s := range services {
		add("services", s.name, map[string]any{"healthPath": "/healthz", "maxConnections": 4 * s.slots, "protocol": "h1", "tls": false})
	}
	add("limits", "", map[string]any{
		"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutS": headerTimeoutS, "idleTimeoutS": idleTimeoutS,
	})
	data, err := json.Marshal(map[string]any{"version": fmt.Sprintf("%08x", version), "resources": resources})
	if err != nil {
		panic(err) // every value can be encoded
	}
	return data
}

// setFreePorts sets addresses with an IP number and free ports, each another one.
func setFreePorts(ip string, addresses ...*string) error {
	for _, a := range addresses {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return err
		}
		defer l.Close() // the ports stay taken until all are chosen
		*a = l.Addr().String()
	}
	return nil
}

func (f *fleet) addMachine(ctx context.Context, s service) error {
	i := len(f.machines)
	m := &machine{
		fleet: f, name: fmt.Sprintf("sidecar-%d", i), zone: zones[i%len(zones)],
		ip: fmt.Sprintf(addressTemplate, os.Getpid()%250+1, i+1),
	}
	if err := setFreePorts(m.ip, &m.caller, &m.ready, &m.control, &m.peer, &m.metrics, &m.inside); err != nil {
		return err
	}
	m.settings = filepath.Join(f.dir, m.name+".toml")
	settings := fmt.Sprintf(`node = %q
service = %q
data_centre = %q
caller_address = %q
ready_address = %q
control_address = %q
peer_address = %q
metrics_address = %q
backend_address = %q
store_address = %q
memory_mb = %d
max_descriptors = %d
heartbeat = "%v"
grace = "%v"
config_delay = "2s"
retry_ratio = 0.2
retry_slack = 48
retry_window = "10s"
`, m.name, s.name, m.zone, m.caller, m.ready, m.control, m.peer, m.metrics, m.inside, f.store.address, f.memoryMB, maxDescriptors, heartbeat, grace)
	if err := os.WriteFile(m.settings, []byte(settings), 0o600); err != nil {
		return err
	}
	m.backend = &backend{
		service: s.name, instance: fmt.Sprintf("i-%08x", 0x1000+i), address: m.inside, zone: m.zone, slots: s.slots,
		runs: f.runs, bodyBytes: s.bodyBytes,
	}
	f.machines = append(f.machines, m)
	return m.backend.start()
}

// start starts the node of the machine, with the command of the deploy file.
func (m *machine) start() error {
	out, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	c := exec.Command(programFile, "mesh", "--settings", m.settings)
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.process, m.exited = c, exited
	m.mu.Unlock()
	go func() {
		c.Wait()
		close(exited)
	}()
	return nil
}

func (m *machine) awaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + m.ready + "/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", m.name, timeout)
}

// limitMemory plays the platform: it kills the process of each machine that exceeds its limit, and
// starts it again after a short delay.
func (f *fleet) limitMemory(ctx context.Context) {
	for _, m := range f.machines {
		f.watchers.Go(func() {
			for ctx.Err() == nil {
				m.checkMemory(ctx)
				time.Sleep(memoryPoll)
			}
		})
	}
}

func (m *machine) checkMemory(ctx context.Context) {
	m.mu.Lock()
	c, exited := m.process, m.exited
	m.mu.Unlock()
	kb := residentKB(c.Process.Pid)
	m.mu.Lock()
	m.peakKB = max(m.peakKB, kb)
	m.mu.Unlock()
	how := ""
	select {
	case <-exited:
		how = "exited by itself: " + c.ProcessState.String()
	default:
		if kb <= m.fleet.memoryMB<<10 {
			return
		}
		how = fmt.Sprintf("killed by the platform: %d MB resident, limit %d MB", kb>>10, m.fleet.memoryMB)
		c.Process.Kill()
		<-exited
	}
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	m.ends = append(m.ends, how)
	m.mu.Unlock()
	m.fleet.record.line("end of process", "node", m.name, "how", how)
	time.Sleep(restartDelay)
	if err := m.start(); err != nil {
		m.fleet.record.line("not restarted", "node", m.name, "err", err)
	}
}

// residentKB returns the resident memory of a process without that of its program file, or 0 if
// it has ended.
func residentKB(pid int) int {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(data) {
		if rest, found := strings.CutPrefix(string(line), "RssAnon:"); found {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb
		}
	}
	return 0
}

// stop ends all processes and removes the temporary folder, unless KEEP is set.
func (f *fleet) stop() {
	f.cancel()
	f.watchers.Wait()
	for _, m := range f.machines {
		m.mu.Lock()
		c, exited := m.process, m.exited
		m.mu.Unlock()
		if c != nil {
			c.Process.Kill()
			<-exited
		}
		if m.backend != nil {
			m.backend.stop()
		}
	}
	if f.store != nil {
		f.store.server.Close()
	}
	if os.Getenv("KEEP") == "" && f.dir != "" {
		os.RemoveAll(f.dir)
	}
}
