package toucanmesh_test

import (
	"maps"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"toucanhaven/platform/platformtest"
)

var logKeyPattern = regexp.MustCompile(`(?:^| )([a-z_]+)=`)

// logKeys returns the keys of a log line, except those that the test harness
// adds.
func logKeys(line string) []string {
	found := map[string]bool{}
	for _, m := range logKeyPattern.FindAllStringSubmatch(line, -1) {
		found[m[1]] = true
	}
	delete(found, "at")
	delete(found, "time")
	return slices.Sorted(maps.Keys(found))
}

// The log lines that docs/OPERATIONS.md explains must have the same keys as the
// lines that a node writes.
func TestPageMatchesLogLines(t *testing.T) {
	is := is.New(t)
	s := newDeployment(t, unsafeRoute())
	m := s.startNode("a", "orders")
	m.awaitServed("/order/")
	m.backend.SetAnswer(platformtest.RespondNotRun)
	m.send("POST", "/order/1", "r1")
	real := map[string][]string{}
	for _, line := range strings.Split(s.logs.String(), "\n") {
		for _, event := range []string{"event=request ", "event=run "} {
			if strings.Contains(line, event) {
				real[event] = logKeys(line)
			}
		}
	}
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	is.NoErr(err)
	shown := 0
	for _, line := range strings.Split(string(page), "\n") {
		for event, want := range real {
			if strings.HasPrefix(line, "    level=") && strings.Contains(line, event) {
				is.Equal(logKeys(line), want)
				shown++
			}
		}
	}
	is.Equal(shown, 4)
}
