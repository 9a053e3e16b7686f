// Package toucanretry bounds the retries of a request across its whole chain
// of calls and spaces them in time.
package toucanretry

import "toucanhaven/toucancall"

// Allowance is the number of retries that one call may still spend or lend. It
// never grows beyond its initial value. Its zero value allows no retry.
type Allowance struct {
	held int
	lent int
}

// NewAllowance returns an allowance of n retries, capped at
// toucancall.MaxRetries because n may come from a faulty peer.
func NewAllowance(n int) Allowance {
	return Allowance{held: min(max(n, 0), toucancall.MaxRetries)}
}

// Available returns the retries that are neither spent nor lent.
func (a *Allowance) Available() int { return a.held }

// Lend takes half of the held retries, rounded up, for one child call.
func (a *Allowance) Lend() int {
	n := (a.held + 1) / 2
	a.held -= n
	a.lent += n
	return n
}

// Return gives back the unused part of a loan. An answer that claims more than
// was lent gives back only what was lent. A lost answer returns 0.
func (a *Allowance) Return(lent, left int) {
	lent = min(max(lent, 0), a.lent)
	a.lent -= lent
	a.held += min(max(left, 0), lent)
}

// SpendRetry takes one retry and reports whether there was one.
func (a *Allowance) SpendRetry() bool {
	if a.held == 0 {
		return false
	}
	a.held--
	return true
}
