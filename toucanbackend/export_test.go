package toucanbackend

import "errors"

// Forget removes the result of an ended call, so that its id can run again. A call is sent
// again under the same id to another node; this makes one node stand for both.
func (r *Runner) Forget(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u := r.runs[keyOf(id)]; u != nil {
		r.releaseResult(u)
		delete(r.runs, keyOf(id))
	}
}

// IsFailing reports whether an error of CheckHealth says that the server is leaving or
// failing.
func IsFailing(err error) bool {
	var failing *failingError
	return errors.As(err, &failing)
}

// UsedMemory returns the bytes of the memory for bodies that are taken.
func (r *Runner) UsedMemory() int64 { return r.bodies.Used() }
