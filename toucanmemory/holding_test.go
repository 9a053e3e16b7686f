package toucanmemory

import (
	"testing"

	"github.com/matryer/is"
)

// Bytes that several users hold must count once, until the last one has released them.
func TestHolding(t *testing.T) {
	is := is.New(t)
	b := NewBudget(1000)
	is.True(b.Reserve(600))
	h := NewHolding(b, 600)
	kept := h.Share()
	is.Equal(b.Used(), int64(600))
	h.Release()
	is.Equal(b.Used(), int64(600))
	kept.Release()
	is.Equal(b.Used(), int64(0))
	none := NewHolding(b, 0)
	none.Share().Release()
	is.Equal(none.Bytes(), int64(0))
}

// Large bodies must leave a share of the budget to small ones.
func TestSmallShare(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 20
	b := NewBudget(limit)
	is.True(b.Reserve(limit * 15 / 16))
	is.True(!b.Reserve(smallBytes + 1))
	is.True(!b.Grow(smallBytes, 1)) // it is no longer small
	for range limit / 16 / smallBytes {
		is.True(b.Reserve(smallBytes))
	}
	is.True(!b.Reserve(1))
}

// A part takes its bytes of the budget of the process, and counts its own.
func TestPart(t *testing.T) {
	is := is.New(t)
	b := NewBudget(1000)
	first, second := NewPart(b, b.Grow), NewPart(b, b.Grow)
	is.True(first.Reserve(600))
	is.True(!second.Reserve(600))
	is.Equal(second.Used(), int64(0))
	is.True(second.Reserve(400))
	is.Equal(b.Used(), int64(1000))
	first.Release(600)
	is.Equal(first.Used(), int64(0))
	is.Equal(b.Used(), int64(400))
}

// What was reserved is used first, and only the rest is taken of the budget.
func TestReservation(t *testing.T) {
	is := is.New(t)
	b := NewBudget(1000)
	r, ok := NewReservation(b, b.Grow, 300)
	is.True(ok)
	is.True(r.Grow(0, 200))
	is.Equal(b.Used(), int64(300))
	is.True(r.Grow(200, 500))
	is.Equal(b.Used(), int64(700))
	is.True(!r.Grow(700, 400)) // takes nothing
	is.Equal(b.Used(), int64(700))
	r.Release()
	is.Equal(b.Used(), int64(700))
	_, ok = NewReservation(b, b.Grow, 400)
	is.True(!ok)
	is.Equal(b.Used(), int64(700))
}

func TestSizes(t *testing.T) {
	is := is.New(t)
	var s Sizes
	is.Equal(s.Expected("read"), int64(0))
	s.Record("read", 1000)
	is.Equal(s.Expected("read"), int64(1000))
	for range 50 {
		s.Record("read", 9000)
	}
	is.True(s.Expected("read") > 8900)
	is.Equal(s.Expected("other"), int64(0))
}
