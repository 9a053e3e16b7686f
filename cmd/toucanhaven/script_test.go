package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"toucanhaven/toucanbalance"
	"toucanhaven/toucannode"
)

// stubDir holds the toucanstub program, which is a package of its own.
var stubDir string

func TestMain(m *testing.M) {
	testscript.Main(withStub{m}, map[string]func(){
		"toucanhaven": func() {
			os.Exit(run(os.Args[1:]))
		},
	})
}

// withStub builds toucanstub before the tests run.
type withStub struct{ m *testing.M }

func (w withStub) Run() int {
	dir, err := os.MkdirTemp("", "toucanstub")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	stubDir = dir
	if out, err := exec.Command("go", "build", "-o", dir, "toucanhaven/cmd/toucanstub").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build toucanstub: %v\n%s", err, out)
		return 1
	}
	return w.m.Run()
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", stubDir+string(os.PathListSeparator)+env.Getenv("PATH"))
			for _, dir := range filepath.SplitList(env.Getenv("PATH")) {
				if file := filepath.Join(dir, "toucanhaven"); env.Getenv("TOUCANHAVEN") == "" {
					if _, err := os.Stat(file); err == nil {
						env.Setenv("TOUCANHAVEN", file)
					}
				}
			}
			env.Values["shown"] = map[string]uint64{}
			var errs []error
			for _, service := range []string{"ordini", "assistenza", "magazzino"} {
				text := fmt.Sprintf(testClassFile, service)
				errs = append(errs, os.WriteFile(filepath.Join(env.WorkDir, service+".toml"), []byte(text), 0o644))
			}
			return errors.Join(errs...)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"awaitkv":       awaitKV,
			"awaitnodes":    awaitNodes,
			"awaitmembers":  awaitMembers,
			"awaitrevision": awaitRevision,
			"awaitline":     awaitLine,
			"awaitcount":    awaitCount,
			"fault":         setFault,
			"settings":      settings,
			"signal":        signalProcess,
			"race":          race,
			"checkorder":    checkOrder,
			"checkruns":     checkRuns,
			"atmost":        atMost,
			"?":             mayFail,
			"refusedlast":   refusedLast,
			"awaitanswer":   awaitAnswer,
			"exitstatus":    exitStatus,
			"issuekeys":     issueKeys,
			"agree":         agree,
		},
	})
}

const testSettings = `
caller_address = "127.0.0.1:0"
peer_address = "127.0.0.1:0"
control_address = "%s"
admin_address = "127.0.0.1:0"
data_centre = "dc1"
region = "r1"
kv_address = "%s"
stop_timeout = "20s"
`

const testClassFile = `service = "%s"
[[class]]
name = "place"
method = "POST"
latency = "800ms"
success = 0.9999
`

// awaitTimeout bounds waits for conditions without a bound of their own.
const awaitTimeout = 20 * time.Second

// await polls until ready returns true.
func await(ts *testscript.TestScript, limit time.Duration, what string, ready func() bool) {
	for end := time.Now().Add(limit); !ready(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			ts.Fatalf("timed out after %v waiting for %s", limit, what)
		}
	}
}

// limit takes a leading "-within duration" off the arguments.
func limit(ts *testscript.TestScript, args []string) (time.Duration, []string) {
	if len(args) < 2 || args[0] != "-within" {
		return awaitTimeout, args
	}
	d, err := time.ParseDuration(args[1])
	ts.Check(err)
	return d, args[2:]
}

// awaitKV waits for the stand-in of the KV that writes its address to kv.addr,
// and writes node.toml: awaitkv.
func awaitKV(ts *testscript.TestScript, _ bool, _ []string) {
	var address []byte
	await(ts, awaitTimeout, "the KV", func() (ready bool) {
		var err error
		address, err = os.ReadFile(ts.MkAbs("kv.addr"))
		return err == nil
	})
	ts.Setenv("KV", "http://"+string(address))
	settings(ts, false, []string{"node.toml", "127.0.0.1:0"})
}

// settings writes settings of a node: settings file control_address.
func settings(ts *testscript.TestScript, _ bool, args []string) {
	text := fmt.Sprintf(testSettings, args[1], strings.TrimPrefix(ts.Getenv("KV"), "http://"))
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o644))
}

// awaitNodes waits until the nodes listen, and sets $NAME to the admin address
// and $NAME_control to the control address of each: awaitnodes name...
func awaitNodes(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		var a toucannode.Addresses
		await(ts, awaitTimeout, "node "+name, func() bool {
			text, err := os.ReadFile(ts.MkAbs(name + ".json"))
			return err == nil && json.Unmarshal(text, &a) == nil
		})
		ts.Setenv(name, a.Admin)
		ts.Setenv(name+"_control", a.Control)
	}
}

// nodeStatus is the part of GET /status that scripts wait for.
type nodeStatus struct {
	Incarnation int64 `json:"incarnation"`
	Followed    []struct {
		Service    string `json:"service"`
		Known      bool   `json:"class_file_known"`
		Revision   uint64 `json:"revision"`
		ChosenFrom []struct {
			State toucanbalance.State `json:"state"`
		} `json:"chosen_from"`
	} `json:"followed"`
}

// readStatus asks a node for its status; a node that does not answer has an
// empty one.
func readStatus(ts *testscript.TestScript, node string) (s nodeStatus) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + ts.Getenv(node) + "/status")
	if err != nil {
		return s
	}
	defer resp.Body.Close()
	ts.Check(json.NewDecoder(resp.Body).Decode(&s))
	return s
}

// awaitMembers waits until a node chooses among a number of backend servers of a
// service that it serves or calls:
// awaitmembers [-within duration] node service count.
func awaitMembers(ts *testscript.TestScript, _ bool, args []string) {
	within, args := limit(ts, args)
	if len(args) != 3 {
		ts.Fatalf("usage: awaitmembers [-within duration] node service count")
	}
	await(ts, within, args[2]+" members of "+args[1]+" at "+args[0], func() bool {
		for _, f := range readStatus(ts, args[0]).Followed {
			alive := 0
			for _, server := range f.ChosenFrom {
				if server.State == toucanbalance.Alive {
					alive++
				}
			}
			if f.Service == args[1] {
				return fmt.Sprint(alive) == args[2]
			}
		}
		return false
	})
}

// awaitRevision waits until all the nodes show the revision of the class file of
// a service, and fails when one shows a lower revision than it did before:
// awaitrevision [-within duration] service revision node...
func awaitRevision(ts *testscript.TestScript, _ bool, args []string) {
	within, args := limit(ts, args)
	shown := ts.Value("shown").(map[string]uint64)
	await(ts, within, "revision "+args[1]+" of "+args[0]+" at all of "+strings.Join(args[2:], ", "), func() bool {
		current := 0
		for _, node := range args[2:] {
			s := readStatus(ts, node)
			for _, f := range s.Followed {
				if f.Service != args[0] || !f.Known {
					continue
				}
				key := fmt.Sprint(node, s.Incarnation, f.Service)
				if f.Revision < shown[key] {
					ts.Fatalf("node %s shows revision %d after %d", node, f.Revision, shown[key])
				}
				shown[key] = f.Revision
				if fmt.Sprint(f.Revision) == args[1] {
					current++
				}
			}
		}
		return current == len(args)-2
	})
}

// awaitLine waits until a file holds a text: awaitline file text.
func awaitLine(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: awaitline file text")
	}
	await(ts, awaitTimeout, args[1], func() bool {
		text, err := os.ReadFile(ts.MkAbs(args[0]))
		return err == nil && strings.Contains(string(text), args[1])
	})
}

// awaitCount waits until a file holds a number of lines: awaitcount file count.
func awaitCount(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: awaitcount file count")
	}
	count, err := strconv.Atoi(args[1])
	ts.Check(err)
	await(ts, awaitTimeout, args[1]+" lines", func() bool {
		text, err := os.ReadFile(ts.MkAbs(args[0]))
		return err == nil && strings.Count(string(text), "\n") >= count
	})
}

// signalProcess sends a signal to the background process that has the given word
// on its command line: signal TERM|KILL|STOP|CONT word.
func signalProcess(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{
		"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
	}
	if len(args) != 2 || signals[args[0]] == 0 {
		ts.Fatalf("usage: signal TERM|KILL|STOP|CONT word")
	}
	for _, c := range ts.BackgroundCmds() {
		if slices.Contains(c.Args, args[1]) && c.ProcessState == nil {
			ts.Check(c.Process.Signal(signals[args[0]]))
			return
		}
	}
	ts.Fatalf("no background process has %q on its command line", args[1])
}

// race lets the operators anna and bruno apply different class files at the same
// time, each at a node of its own. One must win and the other must get a conflict
// that names the winner: race replaces node file node file.
func race(ts *testscript.TestScript, _ bool, args []string) {
	toucanhaven := ts.Getenv("TOUCANHAVEN")
	var wait sync.WaitGroup
	var errs [2]error
	var texts [2][]byte
	for i, author := range []string{"anna", "bruno"} {
		wait.Go(func() {
			texts[i], errs[i] = exec.Command(toucanhaven, "apply", "--admin", ts.Getenv(args[1+2*i]),
				"--replaces", args[0], "--author", author, ts.MkAbs(args[2+2*i])).CombinedOutput()
		})
	}
	wait.Wait()
	for i, loser := range []int{1, 0} {
		var exit *exec.ExitError
		if errs[i] == nil && errors.As(errs[loser], &exit) && exit.ExitCode() == exitConflict {
			winner := []string{"anna", "bruno"}[i]
			if !strings.Contains(string(texts[loser]), "by "+winner+" is") {
				ts.Fatalf("the conflict does not name %s: %s", winner, texts[loser])
			}
			ts.Setenv("WINNER", winner)
			return
		}
	}
	ts.Fatalf("want one success and one exit status 3:\n%v %s\n%v %s", errs[0], texts[0], errs[1], texts[1])
}

// checkRuns compares what callers were told with what ran and with the request
// logs: checkruns caller-output... x.runs... x.log...
// A request that was answered ran once, one that was not run neither ran nor is
// logged, and no other ran twice. A backend server x whose node stopped as
// planned ran exactly the requests in the log x.log of that node.
func checkRuns(ts *testscript.TestScript, _ bool, args []string) {
	outcomes, ran, logged := map[string]string{}, map[string]int{}, map[string]int{}
	total := map[string]int{}
	for _, file := range args {
		for line := range strings.Lines(ts.ReadFile(file)) {
			id := field(line, "request_id")
			switch {
			case strings.HasSuffix(file, ".runs"):
				ran[id]++
			case !strings.HasSuffix(file, ".log"):
				if id != "" {
					outcomes[id] = field(line, "outcome")
					total[outcomes[id]]++
				}
			case field(line, "event") == "request_run":
				logged[id]++
			}
		}
		if log := strings.TrimSuffix(file, ".runs") + ".log"; slices.Contains(args, log) && log != file {
			checkLog(ts, file, log)
		}
	}
	for id, outcome := range outcomes {
		ok := ran[id] <= 1 && logged[id] <= 1
		switch outcome {
		case "answered":
			ok = ok && ran[id] == 1
		case "not_run":
			ok = ran[id] == 0 && logged[id] == 0
		}
		if !ok {
			ts.Fatalf("request %s: outcome %s, ran %d times, logged %d times", id, outcome, ran[id], logged[id])
		}
	}
	ts.Logf("outcomes %v, runs %d, logged %d", total, len(ran), len(logged))
}

// awaitAnswer sends requests until one is answered: awaitanswer caller-flags...
func awaitAnswer(ts *testscript.TestScript, _ bool, args []string) {
	await(ts, awaitTimeout, "an answered request", func() bool {
		return ts.Exec("toucanstub", append([]string{"caller"}, args...)...) == nil
	})
}

// mayFail runs a program whatever its exit status: ? program args...
func mayFail(ts *testscript.TestScript, _ bool, args []string) {
	if err := ts.Exec(args[0], args[1:]...); err != nil {
		ts.Logf("%v", err)
	}
}

// maxUrgentRefused is the share of urgent requests that may be refused while less
// urgent ones remain to be shed: the target is 99% served.
const maxUrgentRefused = 0.01

// refusedLast checks that urgent requests were not refused while less urgent ones
// were: refusedlast urgent-output other-output.
func refusedLast(ts *testscript.TestScript, _ bool, args []string) {
	urgent, other := refusedShare(ts, args[0]), refusedShare(ts, args[1])
	ts.Logf("refused shares %.3f and %.3f", urgent, other)
	if urgent > maxUrgentRefused || other == 0 {
		ts.Fatalf("%s: %.3f refused, want at most %.2f; %s: %.3f refused, want some", args[0], urgent, maxUrgentRefused, args[1], other)
	}
}

func refusedShare(ts *testscript.TestScript, file string) float64 {
	refused, sent := 0, 0
	for line := range strings.Lines(ts.ReadFile(file)) {
		outcome := field(line, "outcome")
		if outcome == "not_run" {
			refused++
		}
		if outcome != "" {
			sent++
		}
	}
	return float64(refused) / float64(max(sent, 1))
}

// atMost checks that a text stands on at most a number of lines: atmost count
// text file.
func atMost(ts *testscript.TestScript, _ bool, args []string) {
	limit, err := strconv.Atoi(args[0])
	ts.Check(err)
	found := 0
	for line := range strings.Lines(ts.ReadFile(args[2])) {
		if strings.Contains(line, args[1]) {
			found++
		}
	}
	if found > limit {
		ts.Fatalf("%q stands on %d lines of %s, want at most %d", args[1], found, args[2], limit)
	}
}

// checkOrder checks that requests numbered by a caller were answered out of
// order: checkorder caller-output.
func checkOrder(ts *testscript.TestScript, _ bool, args []string) {
	last, overtaken := -1, 0
	for line := range strings.Lines(ts.ReadFile(args[0])) {
		if id := field(line, "request_id"); id != "" {
			n, err := strconv.Atoi(strings.TrimLeft(id, "abcdefghijklmnopqrstuvwxyz"))
			ts.Check(err)
			if n < last {
				overtaken++
			}
			last = max(n, last)
		}
	}
	if overtaken == 0 {
		ts.Fatalf("all answers came in order, so the order was not tested")
	}
}

// checkLog compares the runs of a backend server with the log of its node.
func checkLog(ts *testscript.TestScript, runs, log string) {
	text := ts.ReadFile(log)
	if !strings.Contains(text, "event=stopped whole=true") {
		return // killed: the last runs may be missing in the log
	}
	ran, logged := map[string]int{}, map[string]int{}
	for line := range strings.Lines(ts.ReadFile(runs)) {
		ran[field(line, "request_id")]++
	}
	for line := range strings.Lines(text) {
		if field(line, "event") == "request_run" {
			logged[field(line, "request_id")]++
		}
	}
	if !maps.Equal(ran, logged) {
		ts.Fatalf("%s and %s differ:\nran    %v\nlogged %v", runs, log, ran, logged)
	}
}

// field returns a value of a line of key=value pairs. It takes the last one,
// because a caller's line quotes the answer before its own request id.
func field(line, key string) string {
	pairs := strings.Fields(line)
	for _, pair := range slices.Backward(pairs) {
		if value, ok := strings.CutPrefix(pair, key+"="); ok {
			return value
		}
	}
	return ""
}

// exitStatus runs a program and checks its exit status: exitstatus status
// program args.
func exitStatus(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: exitstatus status program [args...]")
	}
	err := ts.Exec(args[1], args[2:]...)
	var exit *exec.ExitError
	if !errors.As(err, &exit) || fmt.Sprint(exit.ExitCode()) != args[0] {
		ts.Fatalf("exit status of %v: %v, want %s", args[1:], err, args[0])
	}
}
