package toucannode

import (
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"toucanhaven/toucanbalance"
	"toucanhaven/toucancall"
)

// countingChooser counts the attempts that were begun and not ended.
type countingChooser struct {
	Chooser
	begun, open atomic.Int64
}

func (c *countingChooser) Choose(service string, servers []toucanbalance.Server, tried []string) (toucanbalance.Server, bool) {
	s, ok := c.Chooser.Choose(service, servers, tried)
	if ok {
		c.begun.Add(1)
		c.open.Add(1)
	}
	return s, ok
}

func (c *countingChooser) StartAttempt(service, nodeID string) {
	c.begun.Add(1)
	c.open.Add(1)
	c.Chooser.StartAttempt(service, nodeID)
}

func (c *countingChooser) EndAttempt(service, nodeID string, a Attempt) {
	c.open.Add(-1)
	c.Chooser.EndAttempt(service, nodeID, a)
}

// Guards against attempts that the balancer counts for ever, which would keep
// calls away from their server, and against keyed calls that it does not count.
func TestChooserCountsEveryAttempt(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.node("ordini", &orders{})
	entry := f.node("", nil)
	chooser := &countingChooser{Chooser: entry.chooser}
	entry.chooser = chooser
	for range 20 {
		f.do(entry, "GET", "/orders", nil, toucancall.HeaderTimeout, "1")
	}
	is.Equal(chooser.open.Load(), int64(0))
	key := f.issue(entry, "1")[0]
	begun := chooser.begun.Load()
	resp, _ := f.do(entry, "POST", "/orders", strings.NewReader("cup"), toucancall.HeaderIdempotencyKey, key)
	is.Equal(outcome(resp), "answered")
	is.Equal(chooser.begun.Load(), begun+1)
	is.Equal(chooser.open.Load(), int64(0))
}
