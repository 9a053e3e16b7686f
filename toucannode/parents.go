package toucannode

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"toucanhaven/toucanadmission"
	"toucanhaven/toucancall"
	"toucanhaven/toucanretry"
)

// newToken returns an unguessable token of 26 characters.
func newToken() string { return rand.Text() }

// parentTable holds the calls that run at the local backend server, by the
// token that the backend server copies to its child calls.
type parentTable struct {
	mu      sync.RWMutex
	running map[string]*parent
}

func (t *parentTable) add(p *parent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running == nil {
		t.running = map[string]*parent{}
	}
	t.running[p.token] = p
}

func (t *parentTable) remove(token string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, token)
}

func (t *parentTable) get(token string) *parent {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.running[token]
}

// parent is a running call. It lends its retry allowance to its child calls and
// collects what they report.
type parent struct {
	token string
	call  toucancall.Call

	mu              sync.Mutex
	allowance       toucanretry.Allowance
	threshold       toucanadmission.Threshold // most restrictive threshold of the child calls
	runningChildren int
	busySince       time.Time // since when at least one child call has been running
	childTime       time.Duration
	ctx             context.Context // ends when the run fails; created for the first child call
	cancel          context.CancelFunc
	cancelled       bool
}

func newParent(c toucancall.Call) *parent {
	return &parent{token: newToken(), call: c, allowance: toucanretry.NewAllowance(c.Retries), threshold: toucanadmission.AdmitAll}
}

// startChild lends a part of the retry allowance to a child call.
func (p *parent) startChild(now time.Time) (ctx context.Context, lent int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx == nil {
		p.ctx, p.cancel = context.WithCancel(context.Background())
		if p.cancelled {
			p.cancel()
		}
	}
	if p.runningChildren == 0 {
		p.busySince = now
	}
	p.runningChildren++
	return p.ctx, p.allowance.Lend()
}

// endChild takes back the unused part of a child call's allowance and combines
// the threshold of its answers with that of the other child calls.
func (p *parent) endChild(now time.Time, lent, left int, t toucanadmission.Threshold) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runningChildren--; p.runningChildren == 0 {
		p.childTime += now.Sub(p.busySince)
	}
	p.allowance.Return(lent, left)
	p.threshold = p.threshold.Min(t)
}

// finalReport returns the retries left and the threshold, which the answer of
// the run carries. Since the allowance is returned with the answer, later child
// calls get none, and retries still lent to child calls are not returned.
func (p *parent) finalReport() (left int, t toucanadmission.Threshold) {
	p.mu.Lock()
	defer p.mu.Unlock()
	left, p.allowance = p.allowance.Available(), toucanretry.Allowance{}
	return left, p.threshold
}

// endRun cancels the child calls if the run failed. It returns the time during
// which a child call was running.
func (p *parent) endRun(now time.Time, failed bool) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if failed {
		p.cancelled = true
		if p.cancel != nil {
			p.cancel()
		}
	}
	if p.runningChildren > 0 {
		return p.childTime + now.Sub(p.busySince)
	}
	return p.childTime
}
