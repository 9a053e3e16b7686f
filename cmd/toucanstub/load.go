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

// load sends calls at a fixed rate, alternately to a backend server (the straight
// path) and through an entry (the path through the nodes). It prints the latencies on
// both paths and the resource usage of processes.
type load struct {
	service         string
	backendAddress  string // empty: send through the entry only
	entryAddress    string
	rate            int // calls per second on each path
	windowCount     int
	windowLength    time.Duration
	connectionCount int
	idleTime        time.Duration
	processes       []string // name=pid
	clients         map[string]*http.Client
}

func loadCommand() command {
	l := &load{service: "ordini", rate: 1000, windowCount: 5, windowLength: 2 * time.Second, clients: map[string]*http.Client{}}
	nodeFile := ""
	flags := flaggy.NewSubcommand("load")
	flags.Description = "send calls at a fixed rate and print latencies and the cost of processes"
	flags.String(&nodeFile, "n", "node", "addresses file of the entry")
	flags.String(&l.backendAddress, "", "straight", "address of the backend server, for the straight path")
	flags.String(&l.service, "", "service", "service to call; several are separated by commas and called once each before idling")
	flags.Int(&l.rate, "", "rate", "calls per second on each path")
	flags.Int(&l.windowCount, "", "windows", "number of windows")
	flags.Duration(&l.windowLength, "", "window", "length of a window")
	flags.Int(&l.connectionCount, "", "connections", "open this many connections, with one call each, instead of sending at a rate")
	flags.Duration(&l.idleTime, "", "idle", "measure the idle processes for this long instead of sending at a rate")
	flags.StringSlice(&l.processes, "", "process", "process to measure, as name=pid")
	return command{flags: flags, run: func() int {
		addresses, err := readAddresses(nodeFile)
		if err != nil {
			return fail(err)
		}
		l.entryAddress = addresses.Caller
		if err := l.awaitServices(); err != nil {
			return fail(err)
		}
		switch {
		case l.connectionCount > 0:
			err = l.measureConnections()
		case l.idleTime > 0:
			err = l.measureIdle()
		default:
			err = l.measureLatency()
		}
		if err != nil {
			return fail(err)
		}
		return exitOK
	}}
}

const (
	readyTimeout      = 10 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

// awaitServices calls each service until a call succeeds, which shows that the entry
// knows its backend servers.
func (l *load) awaitServices() error {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for service := range strings.SplitSeq(l.service, ",") {
		for end := time.Now().Add(readyTimeout); ; time.Sleep(readyPollInterval) {
			err := callOnce(client, l.entryAddress, service)
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

// sample is the result of one call.
type sample struct {
	latency time.Duration
	err     error
}

// measureLatency sends calls in windows and prints a line for each window, a line for
// all windows and the smallest added p99 of a window.
func (l *load) measureLatency() error {
	paths := []string{"nodes"}
	if l.backendAddress != "" {
		paths = append(paths, "straight")
	}
	for _, path := range paths {
		l.clients[path] = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}
	}
	l.sendWindow(paths, time.Second) // opens connections and raises the concurrency limit before the measurement
	all, minAddedP99 := map[string][]sample{}, math.Inf(1)
	for i := range l.windowCount {
		before := l.readUsages()
		results := l.sendWindow(paths, l.windowLength)
		addedP99 := l.printWindow(fmt.Sprint(i), results, before)
		minAddedP99 = min(minAddedP99, addedP99)
		for path, samples := range results {
			all[path] = append(all[path], samples...)
		}
	}
	l.printWindow("all", all, nil)
	fmt.Printf("rate=%d added_p99_min_us=%.0f\n", l.rate, minAddedP99)
	return nil
}

// sendWindow makes the calls of one window of length d. It is an open-loop load: a
// call starts whether or not earlier calls have ended. Latency is measured from the
// actual start of the call.
func (l *load) sendWindow(paths []string, d time.Duration) map[string][]sample {
	// The timers of the runtime have a resolution of 1 ms, so calls would be sent in
	// bursts. A sleep in a dedicated thread is more precise.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	count := int(d.Seconds() * float64(l.rate))
	results := map[string][]sample{}
	for _, path := range paths {
		results[path] = make([]sample, count)
	}
	var wg sync.WaitGroup
	start := time.Now()
	for i := range count * len(paths) {
		sendAt := start.Add(d * time.Duration(i) / time.Duration(count*len(paths)))
		if delay := time.Until(sendAt); delay > 0 {
			t := syscall.NsecToTimespec(delay.Nanoseconds())
			_ = syscall.Nanosleep(&t, nil) // an interruption by a signal only makes one call start early
		}
		path := paths[i%len(paths)]
		wg.Go(func() {
			callStart := time.Now()
			err := l.callPath(path)
			results[path][i/len(paths)] = sample{time.Since(callStart), err}
		})
	}
	wg.Wait()
	return results
}

// callPath makes one call on the path straight or nodes.
func (l *load) callPath(path string) error {
	address := l.entryAddress
	if path == "straight" {
		address = l.backendAddress
	}
	return callOnce(l.clients[path], address, l.service)
}

// callOnce makes one call and reads the whole answer. It returns an error for every
// status other than 200.
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

// printWindow prints one line of results and returns the difference of the p99
// through the nodes and the p99 on the straight path, in microseconds, or +Inf
// without a straight path. Latencies are those of calls without an error.
func (l *load) printWindow(window string, results map[string][]sample, before []processUsage) float64 {
	quantiles := []float64{0.5, 0.99, 0.999}
	micros := map[string][]float64{}
	line := fmt.Sprintf("rate=%d window=%s load_average=%s", l.rate, window, loadAverage())
	for _, path := range []string{"straight", "nodes"} {
		samples := results[path]
		if samples == nil {
			continue
		}
		latencies, failed, firstErr := splitSamples(samples)
		line += fmt.Sprintf(" %s_calls=%d %s_failed=%d", path, len(samples), path, failed)
		if firstErr != nil {
			line += fmt.Sprintf(" %s_error=%q", path, firstErr)
		}
		for _, q := range quantiles {
			v := quantileMicros(latencies, q)
			micros[path] = append(micros[path], v)
			line += fmt.Sprintf(" %s_p%g_us=%.0f", path, q*100, v)
		}
	}
	addedP99 := math.Inf(1)
	if micros["straight"] != nil {
		for i, q := range quantiles {
			line += fmt.Sprintf(" added_p%g_us=%.0f", q*100, micros["nodes"][i]-micros["straight"][i])
		}
		addedP99 = micros["nodes"][1] - micros["straight"][1]
	}
	if before != nil {
		for i, after := range l.readUsages() {
			used := after.cpuTime - before[i].cpuTime
			line += fmt.Sprintf(" %s_us_per_call=%.1f", after.name, float64(used.Microseconds())/float64(len(results["nodes"])))
		}
	}
	fmt.Println(line)
	return addedP99
}

// splitSamples returns the sorted latencies of calls without an error, the number of
// calls with an error and the first error.
func splitSamples(samples []sample) (sorted []time.Duration, failed int, firstErr error) {
	for _, s := range samples {
		if s.err == nil {
			sorted = append(sorted, s.latency)
			continue
		}
		failed++
		if firstErr == nil {
			firstErr = s.err
		}
	}
	slices.Sort(sorted)
	return sorted, failed, firstErr
}

// quantileMicros returns the quantile q of sorted latencies in microseconds.
func quantileMicros(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return float64(sorted[int(q*float64(len(sorted)-1))].Nanoseconds()) / 1000
}

// measureConnections opens connections to the entry and prints the resident memory
// of the processes before and after. Each connection carries one call.
func (l *load) measureConnections() error {
	l.printUsage("connections=0", l.readUsages())
	for i := range l.connectionCount {
		client := &http.Client{Transport: &http.Transport{}} // sequential calls on one transport would share a connection
		if err := callOnce(client, l.entryAddress, l.service); err != nil {
			return fmt.Errorf("connection %d: %w", i, err)
		}
	}
	time.Sleep(time.Second)
	l.printUsage(fmt.Sprintf("connections=%d", l.connectionCount), l.readUsages())
	return nil
}

// measureIdle prints the resource usage of the processes while no calls are made. The
// entry follows the services that awaitServices called.
func (l *load) measureIdle() error {
	time.Sleep(2 * time.Second)
	before, start := l.readUsages(), time.Now()
	time.Sleep(l.idleTime)
	elapsed := time.Since(start).Seconds()
	after := l.readUsages()
	for i, a := range after {
		b := before[i]
		fmt.Printf("idle_s=%.0f services=%d process=%s core_percent=%.2f read_bytes_per_s=%.0f written_bytes_per_s=%.0f rss_kb=%d load_average=%s\n",
			elapsed, strings.Count(l.service, ",")+1, a.name, 100*(a.cpuTime-b.cpuTime).Seconds()/elapsed,
			float64(a.readBytes-b.readBytes)/elapsed, float64(a.writtenBytes-b.writtenBytes)/elapsed, a.residentKB, loadAverage())
	}
	return nil
}

// processUsage is the resource usage of a process since its start.
type processUsage struct {
	name                    string
	cpuTime                 time.Duration
	residentKB              int64
	readBytes, writtenBytes int64 // bytes through system calls: sockets and logs
}

func (l *load) printUsage(label string, list []processUsage) {
	for _, u := range list {
		fmt.Printf("%s process=%s rss_kb=%d load_average=%s\n", label, u.name, u.residentKB, loadAverage())
	}
}

// readUsages returns the resource usage of each measured process. It prints errors
// and returns zeros for their processes.
func (l *load) readUsages() []processUsage {
	var list []processUsage
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

// clockTick is the unit of CPU time in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// readUsage reads the resource usage of a process from /proc.
func readUsage(pid string) (u processUsage, err error) {
	dir := "/proc/" + pid
	stat, statErr := os.ReadFile(dir + "/stat")
	status, statusErr := os.ReadFile(dir + "/status")
	ioCounters, ioErr := os.ReadFile(dir + "/io")
	if err := errors.Join(statErr, statusErr, ioErr); err != nil {
		return u, err
	}
	// The process name is in parentheses and may contain spaces. The first field
	// after it is the state.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	u.cpuTime = time.Duration(user+system) * clockTick
	u.residentKB = procField(string(status), "VmRSS:")
	u.readBytes, u.writtenBytes = procField(string(ioCounters), "rchar:"), procField(string(ioCounters), "wchar:")
	return u, nil
}

// procField returns the number after name in the text of a file in /proc, or 0.
func procField(text, name string) int64 {
	for line := range strings.Lines(text) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			v, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return v
		}
	}
	return 0
}

// loadAverage returns the load average of the last minute.
func loadAverage() string {
	text, _ := os.ReadFile("/proc/loadavg")
	first, _, _ := strings.Cut(string(text), " ")
	return first
}
