// Package toucanmemory bounds the bytes of message bodies that a process holds.
package toucanmemory

import (
	"errors"
	"io"
	"sync/atomic"
)

// firstRead is the number of bytes that are allocated before any byte of a body has
// arrived, whatever length its sender announces.
const firstRead = 4 << 10

var (
	// ErrExhausted means that the bodies in memory exceed the budget.
	ErrExhausted = errors.New("bodies in memory exceed the budget")
	// ErrTooLarge means that a body is larger than its own limit.
	ErrTooLarge = errors.New("body is too large")
)

const (
	// smallBytes is the size up to which a body or a header is small. Large ones leave
	// smallShare of the budget to small ones, so that ordinary calls find room beside them.
	smallBytes = 16 << 10
	smallShare = 1.0 / 16
)

// Budget is the number of bytes that the bodies of a process may take together. The zero
// value has no limit. It is safe for concurrent use.
type Budget struct {
	limit  int64
	used   atomic.Int64
	parent *Budget                       // nil for the budget of a process
	grow   func(held, n int64) (ok bool) // takes bytes of the parent
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// NewPart returns a budget that takes its bytes of parent, by calling grow, and counts what
// one user holds of them. grow does what the Grow method of parent does.
func NewPart(parent *Budget, grow func(held, n int64) (ok bool)) *Budget {
	return &Budget{parent: parent, grow: grow}
}

// Limit returns the number of bytes of the budget, or 0 if there is no limit.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// Reserve takes n bytes of the budget. It takes none and returns false if fewer are left.
func (b *Budget) Reserve(n int64) (ok bool) { return b.Grow(0, n) }

// Grow takes n bytes for something that holds some already. It takes none and returns false
// if fewer are left, or if only those are left that are kept for small bodies and headers.
func (b *Budget) Grow(held, n int64) (ok bool) {
	if b.grow != nil {
		if !b.grow(held, n) {
			return false
		}
		b.used.Add(n)
		return true
	}
	limit := b.limit
	if held+n > smallBytes {
		limit -= int64(smallShare * float64(b.limit))
	}
	if used := b.used.Add(n); b.limit > 0 && used > limit && n > 0 {
		b.used.Add(-n)
		return false
	}
	return true
}

// Release returns n bytes to the budget.
func (b *Budget) Release(n int64) {
	b.used.Add(-n)
	if b.parent != nil {
		b.parent.Release(n)
	}
}

// Reader reads a body into memory.
type Reader struct {
	Budget *Budget
	Limit  int64 // largest body
	Free   int64 // leading bytes of the body that do not count in the budget
	// Grow replaces the Grow method of Budget if it is not nil.
	Grow func(held, n int64) (ok bool)
}

// ReadAll reads a body to its end. size is the announced length, or -1 if it is unknown.
// Memory is taken as bytes arrive, so that a sender that announces a large body and sends
// nothing holds none. It returns the body and the bytes of the budget that it holds,
// which the caller must release. After an error it holds none. The error is ErrTooLarge,
// ErrExhausted, io.ErrUnexpectedEOF for a body that is shorter than size, or one of r.
func (x Reader) ReadAll(r io.Reader, size int64) (body []byte, held int64, err error) {
	if size > x.Limit {
		return nil, 0, ErrTooLarge
	}
	grow := x.Grow
	if grow == nil {
		grow = x.Budget.Grow
	}
	defer func() {
		if err != nil {
			x.Budget.Release(held)
			body, held = nil, 0
		}
	}()
	most := x.Limit + 1 // one byte more shows that a body of unknown length is too large
	if size >= 0 {
		most = size
	}
	for {
		if int64(len(body)) == most {
			if size < 0 {
				return body, held, ErrTooLarge
			}
			return body, held, nil
		}
		if len(body) == cap(body) {
			grown := min(max(firstRead, 2*int64(cap(body))), most)
			need := max(0, grown-x.Free) - held
			if need > 0 && !grow(held, need) {
				return body, held, ErrExhausted
			}
			held += max(0, need)
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF) && size < 0:
			return body, held, nil
		case errors.Is(err, io.EOF) && int64(len(body)) < size:
			return body, held, io.ErrUnexpectedEOF
		case err != nil && !errors.Is(err, io.EOF):
			return body, held, err
		}
	}
}
