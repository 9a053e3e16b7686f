package toucanbackend

import "strings"

// CallStep returns the position of a call that the backend server makes among the calls
// of its run: 1 plus the number of calls of the run that have been answered. It returns
// 0 if the id does not name a run in progress. Backend servers of the platform give a
// call the id of the run that makes it, a dot and a suffix. The platform does not promise
// this, so the step may decide only in which order calls are helped.
func (r *Runner) CallStep(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u := r.parentRun(id); u != nil {
		return 1 + u.answeredCalls
	}
	return 0
}

// CallAnswered records that the call with the given id was answered.
func (r *Runner) CallAnswered(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u := r.parentRun(id); u != nil {
		u.answeredCalls++
	}
}

// parentRun returns the run in progress that makes the call with the given id, or nil.
// r.mu must be held.
func (r *Runner) parentRun(id string) *run {
	i := strings.LastIndexByte(id, '.')
	if i < 0 {
		return nil
	}
	u := r.runs[keyOf(id[:i])]
	if u == nil {
		return nil
	}
	select {
	case <-u.done:
		return nil
	default:
		return u
	}
}
