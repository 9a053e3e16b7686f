package toucanclass

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestMatchTakesMostSpecificClass(t *testing.T) {
	file := File{Service: "ordini"}.WithClasses(
		Class{Name: "all"},
		Class{Name: "orders", Path: "/orders"},
		Class{Name: "place", Method: "POST", Path: "/orders"},
		Class{Name: "status", Path: "/orders/status/"},
	)
	tests := []struct{ method, path, want string }{
		{"GET", "/", "all"},
		{"GET", "/orders", "orders"},
		{"GET", "/orders/7", "orders"},
		{"GET", "/ordersarchive", "all"},
		{"POST", "/orders", "place"},
		{"POST", "/orders/status", "status"},
		{"GET", "/orders/status/7", "status"},
	}
	for _, tt := range tests {
		t.Run(tt.method+tt.path, func(t *testing.T) {
			is.New(t).Equal(file.Match(tt.method, tt.path).Name, tt.want)
		})
	}
	is.New(t).Equal(File{}.Match("GET", "/").Name, Default.Name)
}

// Guards against a change of RankOf that reorders the classes of two
// deployments. Each list is in the order that the operators expect.
func TestRankOrdersDeployments(t *testing.T) {
	deployments := map[string][]Class{
		"padana": {
			{Name: "urgent_availability", Latency: 300 * time.Millisecond, Success: 0.9999},
			{Name: "place_order", Latency: 800 * time.Millisecond, Success: 0.9999},
			{Name: "dispatch_booking", Latency: time.Second, Success: 0.999},
			{Name: "stock_check", Latency: 500 * time.Millisecond, Success: 0.99},
			{Name: "catalogue_lookup", Latency: time.Second, Success: 0.95},
			Default,
		},
		"noord_holland": {
			{Name: "proof_approval", Latency: 800 * time.Millisecond, Success: 0.9999},
			{Name: "place_order", Latency: time.Second, Success: 0.9999},
			{Name: "job_status", Latency: 500 * time.Millisecond, Success: 0.99},
			{Name: "trophy_browsing", Latency: time.Second, Success: 0.95},
			Default,
		},
	}
	for name, classes := range deployments {
		for i, first := range classes {
			for _, second := range classes[i+1:] {
				t.Run(fmt.Sprintf("%s/%s_%s", name, first.Name, second.Name), func(t *testing.T) {
					is := is.New(t)
					is.True(first.Rank().Before(second.Rank()))
					is.True(!second.Rank().Before(first.Rank()))
				})
			}
		}
	}
}

func FuzzParseRank(f *testing.F) {
	f.Add("0")
	f.Add("18446744073709551615")
	f.Add("-1")
	f.Fuzz(func(t *testing.T, s string) {
		rank, err := ParseRank(s)
		if err != nil && rank != LowestRank {
			t.Errorf("ParseRank(%q) = %v with an error, want LowestRank", s, rank)
		}
		if reparsed, err2 := ParseRank(rank.String()); err2 != nil || reparsed != rank {
			t.Errorf("rank %v does not survive a round trip: %v, %v", rank, reparsed, err2)
		}
	})
}
