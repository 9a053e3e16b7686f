package toucanmemory

import "sync"

const (
	// fieldCost is the memory of one field of a parsed header beside its own bytes. A header of
	// 64 KiB with 11,000 short fields takes 1.7 MB while it is parsed.
	fieldCost = 160
	// freeHeaderCost is the part of the cost of a header that does not count in the
	// budget. Most headers do not exceed it.
	freeHeaderCost = 8 << 10
	// headerStep is the number of bytes that a header takes of the budget at a time.
	headerStep = 16 << 10
)

// Header counts the memory of a message header in a budget from its first byte on, because
// a parsed header is many times as large as its bytes if its fields are short. The zero
// value counts nothing until Start. It is safe for concurrent use.
type Header struct {
	mu       sync.Mutex
	budget   *Budget
	grow     func(held, n int64) (ok bool)
	cost     int64
	held     int64
	counting bool
	lineUsed bool // the current line has a byte other than its end
}

// Start begins a header, and releases what the one before holds. grow replaces the Grow
// method of b if it is not nil.
func (h *Header) Start(b *Budget, grow func(held, n int64) (ok bool)) {
	h.Release()
	h.mu.Lock()
	defer h.mu.Unlock()
	if grow == nil {
		grow = b.Grow
	}
	h.budget, h.grow, h.cost, h.counting, h.lineUsed = b, grow, 0, true, true
}

// Count counts bytes that have been read. Those behind the end of the header do not count.
// It returns ErrExhausted if the budget has no room for them.
func (h *Header) Count(p []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range p {
		if !h.counting {
			return nil
		}
		h.cost++
		switch {
		case b == '\n' && !h.lineUsed:
			h.counting = false
		case b == '\n':
			h.cost += fieldCost
			h.lineUsed = false
		case b != '\r':
			h.lineUsed = true
		}
	}
	need := h.cost - freeHeaderCost - h.held
	if need <= 0 {
		return nil
	}
	need = (need + headerStep - 1) / headerStep * headerStep
	if !h.grow(h.held, need) {
		return ErrExhausted
	}
	h.held += need
	return nil
}

// Stop ends the count. The header holds its memory on.
func (h *Header) Stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counting = false
}

// Take ends the count and returns the bytes of the budget that the header holds, which the
// caller must release.
func (h *Header) Take() (held int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, h.held, h.counting = h.held, 0, false
	return held
}

// Release ends the count and releases what the header holds.
func (h *Header) Release() {
	if held := h.Take(); held > 0 {
		h.budget.Release(held)
	}
}

// HeaderCost returns the bytes that a parsed header takes of a budget, given the number of its
// fields and the bytes of their keys and values.
func HeaderCost(fields, bytes int) int64 {
	return max(0, int64(fields)*fieldCost+int64(bytes)-freeHeaderCost)
}
