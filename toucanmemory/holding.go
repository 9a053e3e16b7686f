package toucanmemory

import "sync/atomic"

// Holding is a number of bytes of a budget that several users share, such as the body of a
// response that is being written and is kept as well. They are counted once, and return to the
// budget when the last user has released them. A nil Holding holds nothing. It is safe for
// concurrent use.
type Holding struct {
	budget *Budget
	bytes  int64
	users  atomic.Int64
}

// NewHolding returns a holding of bytes that were taken of b, with one user.
func NewHolding(b *Budget, bytes int64) *Holding {
	if bytes == 0 {
		return nil
	}
	h := &Holding{budget: b, bytes: bytes}
	h.users.Store(1)
	return h
}

// Bytes returns the number of bytes.
func (h *Holding) Bytes() int64 {
	if h == nil {
		return 0
	}
	return h.bytes
}

// Share adds a user and returns h. The caller must be a user itself.
func (h *Holding) Share() *Holding {
	if h != nil {
		h.users.Add(1)
	}
	return h
}

// Release ends the use of one user.
func (h *Holding) Release() {
	if h != nil && h.users.Add(-1) == 0 {
		h.budget.Release(h.bytes)
	}
}
