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

var logKey = regexp.MustCompile(`(?:^| )([a-z_]+)=`)

// keys returns the keys of a log line, without those of the harness.
func keys(line string) []string {
	found := map[string]bool{}
	for _, m := range logKey.FindAllStringSubmatch(line, -1) {
		found[m[1]] = true
	}
	delete(found, "at")
	delete(found, "time")
	return slices.Sorted(maps.Keys(found))
}

// The lines that docs/OPERATIONS.md explains have the fields of the real ones.
func TestPageShowsRealLines(t *testing.T) {
	is := is.New(t)
	s := newSite(t, unsafeRoute())
	m := s.start("a", "orders")
	m.served("/order/")
	m.backend.SetAnswer(platformtest.Shed)
	m.ask("POST", "/order/1", "r1")
	real := map[string][]string{}
	for _, line := range strings.Split(s.logs.String(), "\n") {
		for _, event := range []string{"event=request ", "event=run "} {
			if strings.Contains(line, event) {
				real[event] = keys(line)
			}
		}
	}
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	is.NoErr(err)
	shown := 0
	for _, line := range strings.Split(string(page), "\n") {
		for event, want := range real {
			if strings.HasPrefix(line, "    level=") && strings.Contains(line, event) {
				is.Equal(keys(line), want)
				shown++
			}
		}
	}
	is.Equal(shown, 4)
}
