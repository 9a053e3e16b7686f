package toucanmemory_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"toucanhaven/toucanmemory"
)

// The memory that a header takes must be counted by its fields, not only by its bytes, and
// not beyond its end.
func TestHeaderCount(t *testing.T) {
	short := strings.Repeat("a: b\r\n", 1000)
	for _, tt := range []struct {
		name, header string
		least, most  int64
	}{
		{"ordinary", "GET / HTTP/1.1\r\nHost: a\r\nX-A: b\r\n\r\n", 0, 0},
		{"short_fields", "GET / HTTP/1.1\r\n" + short + "\r\n", 150_000, 180_000},
		{"short_fields_without_end", "GET / HTTP/1.1\r\n" + short, 150_000, 180_000},
		{"bare_line_feeds", "GET / HTTP/1.1\n" + strings.ReplaceAll(short, "\r", "") + "\n", 150_000, 180_000},
		{"long_field", "GET / HTTP/1.1\r\nX-A: " + strings.Repeat("a", 40_000), 30_000, 60_000},
		{"body", "GET / HTTP/1.1\r\n\r\n" + strings.Repeat("\n", 100_000), 0, 0},
	} {
		for _, piece := range []int{1, 7, 4096} {
			t.Run(tt.name, func(t *testing.T) {
				is := is.New(t)
				b := toucanmemory.NewBudget(1 << 20)
				var h toucanmemory.Header
				h.Start(b, nil)
				for rest := tt.header; rest != ""; {
					n := min(piece, len(rest))
					is.NoErr(h.Count([]byte(rest[:n])))
					rest = rest[n:]
				}
				is.True(b.Used() >= tt.least)
				is.True(b.Used() <= tt.most)
				h.Start(b, nil)
				is.Equal(b.Used(), int64(0))
			})
		}
	}
}

// A header that does not fit into the budget must be refused and hold nothing later.
func TestHeaderBeyondBudget(t *testing.T) {
	is := is.New(t)
	b := toucanmemory.NewBudget(100_000)
	var first, second toucanmemory.Header
	first.Start(b, nil)
	is.NoErr(first.Count([]byte(strings.Repeat("a: b\r\n", 500))))
	second.Start(b, nil)
	is.True(errors.Is(second.Count([]byte(strings.Repeat("a: b\r\n", 500))), toucanmemory.ErrExhausted))
	second.Release()
	held := first.Take()
	is.Equal(b.Used(), held)
	first.Release() // what was taken belongs to the caller
	is.Equal(b.Used(), held)
	is.NoErr(second.Count([]byte(strings.Repeat("a: b\r\n", 500)))) // counts nothing before Start
	is.Equal(b.Used(), held)
}

func TestHeaderCost(t *testing.T) {
	is := is.New(t)
	is.Equal(toucanmemory.HeaderCost(20, 600), int64(0))
	is.True(toucanmemory.HeaderCost(1000, 2000) > 150_000)
}
