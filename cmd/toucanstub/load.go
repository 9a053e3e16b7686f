package main

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"toucanhaven/toucancall"
)

// load sends calls on a schedule, straight to a backend server and through an
// entry in turn, and prints the latency of both and what processes used.
type load struct {
	service     string
	straight    string // address of the backend server; empty sends through the entry only
	entry       string
	rate        int // calls per second on each path
	windows     int
	window      time.Duration
	connections int
	idle        time.Duration
	processes   []string // name=pid
	clients     map[string]*http.Client
}

func loadCommand() command {
	l := &load{service: "ordini", rate: 1000, windows: 5, window: 2 * time.Second, clients: map[string]*http.Client{}}
	nodeFile := ""
	sub := flaggy.NewSubcommand("load")
	sub.Description = "send calls at a fixed rate and print latencies and the cost of processes"
	sub.String(&nodeFile, "n", "node", "addresses file of the entry")
	sub.String(&l.straight, "", "straight", "address of the backend server, for the straight path")
	sub.String(&l.service, "", "service", "service to call; several are separated by commas and called once each before idling")
	sub.Int(&l.rate, "", "rate", "calls per second on each path")
	sub.Int(&l.windows, "", "windows", "number of windows")
	sub.Duration(&l.window, "", "window", "length of a window")
	sub.Int(&l.connections, "", "connections", "open this many connections, with one call each, instead of sending at a rate")
	sub.Duration(&l.idle, "", "idle", "measure the idle processes for this long instead of sending at a rate")
	sub.StringSlice(&l.processes, "", "process", "process to measure, as name=pid")
	return command{sub: sub, run: func() int {
		addresses, err := readAddresses(nodeFile)
		if err != nil {
			return fail(err)
		}
		l.entry = addresses.Caller
		if err := l.awaitServices(); err != nil {
			return fail(err)
		}
		switch {
		case l.connections > 0:
			err = l.holdConnections()
		case l.idle > 0:
			err = l.measureIdle()
		default:
			err = l.sendWindows()
		}
		if err != nil {
			return fail(err)
		}
		return exitOK
	}}
}

const (
	readyWait = 10 * time.Second
	readyPoll = 50 * time.Millisecond
)

// awaitServices calls each service until the entry knows its backend servers.
func (l *load) awaitServices() error {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for service := range strings.SplitSeq(l.service, ",") {
		for end := time.Now().Add(readyWait); ; time.Sleep(readyPoll) {
			err := callOnce(client, l.entry, service)
			if err == nil {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("service %s: %w", service, err)
			}
		}
	}
	return nil
}

// sample is one call.
type sample struct {
	latency time.Duration
	err     error
}

// sendWindows prints a line for each window and one over all windows.
func (l *load) sendWindows() error {
	paths := []string{"nodes"}
	if l.straight != "" {
		paths = append(paths, "straight")
	}
	for _, path := range paths {
		l.clients[path] = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}
	}
	l.send(paths, time.Second) // warms connections and the concurrency limit up
	all, best := map[string][]sample{}, math.Inf(1)
	for i := range l.windows {
		before := l.usage()
		results := l.send(paths, l.window)
		added := l.print(fmt.Sprint(i), results, before)
		best = min(best, added)
		for path, samples := range results {
			all[path] = append(all[path], samples...)
		}
	}
	l.print("all", all, nil)
	fmt.Printf("rate=%d added_p99_min_us=%.0f\n", l.rate, best)
	return nil
}

// send makes the calls of one window. A call starts whether or not the earlier
// ones have ended, and is measured from its actual start.
func (l *load) send(paths []string, d time.Duration) map[string][]sample {
	// The timers of the runtime have a resolution of 1 ms, which would send in
	// bursts. A thread of its own sleeps more exactly.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	count := int(d.Seconds() * float64(l.rate))
	results := map[string][]sample{}
	for _, path := range paths {
		results[path] = make([]sample, count)
	}
	var wait sync.WaitGroup
	start := time.Now()
	for i := range count * len(paths) {
		at := start.Add(d * time.Duration(i) / time.Duration(count*len(paths)))
		if pause := time.Until(at); pause > 0 {
			t := syscall.NsecToTimespec(pause.Nanoseconds())
			_ = syscall.Nanosleep(&t, nil) // a signal only makes one call early
		}
		path := paths[i%len(paths)]
		wait.Go(func() {
			began := time.Now()
			err := l.call(path)
			results[path][i/len(paths)] = sample{time.Since(began), err}
		})
	}
	wait.Wait()
	return results
}

func (l *load) call(path string) error {
	address := l.entry
	if path == "straight" {
		address = l.straight
	}
	return callOnce(l.clients[path], address, l.service)
}

// callOnce makes one call and reads the whole answer.
func callOnce(client *http.Client, address, service string) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/orders/7", nil)
	if err != nil {
		return err
	}
	req.Header.Set(toucancall.HeaderService, service)
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
		return fmt.Errorf("status %d: %s", resp.StatusCode, resp.Header.Get(toucancall.HeaderReason))
	}
	return nil
}

// print writes one line and returns the added p99 in microseconds. Latencies
// are those of answered calls.
func (l *load) print(window string, results map[string][]sample, before []usage) float64 {
	quantiles := []float64{0.5, 0.99, 0.999}
	micros := map[string][]float64{}
	line := fmt.Sprintf("rate=%d window=%s load_average=%s", l.rate, window, loadAverage())
	for _, path := range []string{"straight", "nodes"} {
		samples := results[path]
		if samples == nil {
			continue
		}
		latencies, failed, first := answered(samples)
		line += fmt.Sprintf(" %s_calls=%d %s_failed=%d", path, len(samples), path, failed)
		if first != nil {
			line += fmt.Sprintf(" %s_error=%q", path, first)
		}
		for _, q := range quantiles {
			v := quantile(latencies, q)
			micros[path] = append(micros[path], v)
			line += fmt.Sprintf(" %s_p%g_us=%.0f", path, q*100, v)
		}
	}
	added := math.Inf(1)
	if micros["straight"] != nil {
		for i, q := range quantiles {
			line += fmt.Sprintf(" added_p%g_us=%.0f", q*100, micros["nodes"][i]-micros["straight"][i])
		}
		added = micros["nodes"][1] - micros["straight"][1]
	}
	if before != nil {
		for i, after := range l.usage() {
			used := after.processor - before[i].processor
			line += fmt.Sprintf(" %s_us_per_call=%.1f", after.name, float64(used.Microseconds())/float64(len(results["nodes"])))
		}
	}
	fmt.Println(line)
	return added
}

func answered(samples []sample) (sorted []time.Duration, failed int, first error) {
	for _, s := range samples {
		if s.err == nil {
			sorted = append(sorted, s.latency)
			continue
		}
		failed++
		if first == nil {
			first = s.err
		}
	}
	slices.Sort(sorted)
	return sorted, failed, first
}

func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return float64(sorted[int(q*float64(len(sorted)-1))].Nanoseconds()) / 1000
}

// holdConnections opens connections to the entry and prints the resident memory
// of the processes before and after.
func (l *load) holdConnections() error {
	l.printUsage("connections=0", l.usage())
	for i := range l.connections {
		client := &http.Client{Transport: &http.Transport{}} // a transport has one connection for calls in sequence
		if err := callOnce(client, l.entry, l.service); err != nil {
			return fmt.Errorf("connection %d: %w", i, err)
		}
	}
	time.Sleep(time.Second)
	l.printUsage(fmt.Sprintf("connections=%d", l.connections), l.usage())
	return nil
}

// measureIdle prints what the processes use while no calls are made. The entry
// follows the services that awaitServices called.
func (l *load) measureIdle() error {
	time.Sleep(2 * time.Second)
	before, start := l.usage(), time.Now()
	time.Sleep(l.idle)
	took := time.Since(start).Seconds()
	after := l.usage()
	for i, a := range after {
		b := before[i]
		fmt.Printf("idle_s=%.0f services=%d process=%s core_percent=%.2f read_bytes_per_s=%.0f written_bytes_per_s=%.0f rss_kb=%d load_average=%s\n",
			took, strings.Count(l.service, ",")+1, a.name, 100*(a.processor-b.processor).Seconds()/took,
			float64(a.read-b.read)/took, float64(a.written-b.written)/took, a.residentKB, loadAverage())
	}
	return nil
}

// usage is what a process used since its start.
type usage struct {
	name          string
	processor     time.Duration
	residentKB    int64
	read, written int64 // bytes through system calls: sockets and logs
}

func (l *load) printUsage(label string, list []usage) {
	for _, u := range list {
		fmt.Printf("%s process=%s rss_kb=%d load_average=%s\n", label, u.name, u.residentKB, loadAverage())
	}
}

func (l *load) usage() []usage {
	var list []usage
	for _, process := range l.processes {
		name, pid, _ := strings.Cut(process, "=")
		u, err := readUsage(pid)
		if err != nil {
			fmt.Fprintln(os.Stderr, "toucanstub: usage:", err)
		}
		u.name = name
		list = append(list, u)
	}
	return list
}

// clockTick is the unit of processor time in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

func readUsage(pid string) (u usage, err error) {
	dir := "/proc/" + pid
	stat, statErr := os.ReadFile(dir + "/stat")
	status, statusErr := os.ReadFile(dir + "/status")
	inOut, ioErr := os.ReadFile(dir + "/io")
	if err := errors.Join(statErr, statusErr, ioErr); err != nil {
		return u, err
	}
	// The fields after the name, which is in parentheses, start with the state.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	u.processor = time.Duration(user+system) * clockTick
	u.residentKB = procField(string(status), "VmRSS:")
	u.read, u.written = procField(string(inOut), "rchar:"), procField(string(inOut), "wchar:")
	return u, nil
}

// procField returns the number after a name in a file of /proc.
func procField(text, name string) int64 {
	for line := range strings.Lines(text) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			v, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return v
		}
	}
	return 0
}

// loadAverage is that of the last minute.
func loadAverage() string {
	text, _ := os.ReadFile("/proc/loadavg")
	first, _, _ := strings.Cut(string(text), " ")
	return first
}
