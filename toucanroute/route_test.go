package toucanroute_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"toucanhaven/toucanroute"
)

func route(name, host, prefix string, shares ...toucanroute.Share) toucanroute.Route {
	return toucanroute.Route{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Target: time.Second, MaxServers: 1, Shares: shares}
}

func TestLongestPrefixWins(t *testing.T) {
	is := is.New(t)
	s := toucanroute.Share{Service: "s", Weight: 1}
	table, err := toucanroute.NewTable(1, []toucanroute.Route{
		route("short", "a", "/x/", s), route("long", "a", "/x/y/", s), route("all", "b", "/", s),
	}, []string{"s"}, toucanroute.Limits{})
	is.NoErr(err)
	for _, tt := range []struct{ host, path, want string }{
		{"a", "/x/1", "short"}, {"a", "/x/y/1", "long"}, {"A:8080", "/x/y", "short"}, {"b", "/x/y/", "all"},
		{"a", "/z", ""}, {"c", "/x/1", ""},
	} {
		got := ""
		if r := table.Match(tt.host, tt.path); r != nil {
			got = r.Name
		}
		is.Equal(got, tt.want) // host and path in the table above
	}
}

// After any number of requests, the count of each service differs from its weighted
// share by at most the number of services.
func TestSplitterKeepsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 100), 2, 4).Draw(t, "weights")
		total := 0
		var shares []toucanroute.Share
		for i, w := range weights {
			shares = append(shares, toucanroute.Share{Service: fmt.Sprint(i), Weight: w})
			total += w
		}
		if total == 0 {
			return
		}
		r := route("r", "h", "/", shares...)
		s := toucanroute.NewSplitter()
		n := rapid.IntRange(1, 400).Draw(t, "requests")
		counts := make(map[string]int)
		for range n {
			counts[s.NextService(&r)]++
		}
		for i, w := range weights {
			want := float64(n*w) / float64(total)
			if got := float64(counts[fmt.Sprint(i)]); math.Abs(got-want) > float64(len(weights)) {
				t.Fatalf("service %d of %v got %v of %d requests, want %.1f", i, weights, got, n, want)
			}
		}
	})
}
