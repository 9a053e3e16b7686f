// Package toucanretry limits the retries of a request across its whole chain of
// calls and delays them with exponential backoff and jitter.
package toucanretry

import "toucanhaven/toucancall"

// Allowance is the number of retries that one call may still spend, or lend to its
// child calls. It never grows beyond its initial value. The zero value allows no
// retry.
type Allowance struct {
	available int
	lent      int
}

// NewAllowance returns an allowance of n retries, capped at
// toucancall.MaxRetries because n may come from a faulty peer.
func NewAllowance(n int) Allowance {
	return Allowance{available: min(max(n, 0), toucancall.MaxRetries)}
}

// Available returns the number of retries that are neither spent nor lent.
func (a *Allowance) Available() int { return a.available }

// Lend takes half of the available retries, rounded up, for one child call and
// returns their number.
func (a *Allowance) Lend() int {
	n := (a.available + 1) / 2
	a.available -= n
	a.lent += n
	return n
}

// Return adds the unspent retries of a child call to the available ones. If the
// child claims more than it was lent, only the lent number is added. For a child
// call without a response, unspent is 0.
func (a *Allowance) Return(lent, unspent int) {
	lent = min(max(lent, 0), a.lent)
	a.lent -= lent
	a.available += min(max(unspent, 0), lent)
}

// SpendRetry takes one available retry and reports whether there was one.
func (a *Allowance) SpendRetry() bool {
	if a.available == 0 {
		return false
	}
	a.available--
	return true
}
