package toucannode

import (
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"toucanhaven/toucanbalance"
	"toucanhaven/toucancall"
)

// countingChooser counts the attempts that were started, and those among them
// that were not ended.
type countingChooser struct {
	Chooser
	started, unfinished atomic.Int64
}

func (c *countingChooser) Choose(service string, servers []toucanbalance.Server, excluded []string) (toucanbalance.Server, bool) {
	s, ok := c.Chooser.Choose(service, servers, excluded)
	if ok {
		c.started.Add(1)
		c.unfinished.Add(1)
	}
	return s, ok
}

func (c *countingChooser) StartAttempt(service, nodeID string) {
	c.started.Add(1)
	c.unfinished.Add(1)
	c.Chooser.StartAttempt(service, nodeID)
}

func (c *countingChooser) EndAttempt(service, nodeID string, a Attempt) {
	c.unfinished.Add(-1)
	c.Chooser.EndAttempt(service, nodeID, a)
}

// TestChooserCountsEveryAttempt guards against an attempt whose end the chooser
// is not told of: the chooser would count it forever and send its server too
// few calls. It also guards against calls with a key that the chooser does not
// count.
func TestChooserCountsEveryAttempt(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	f.startNode("ordini", &orders{})
	entry := f.startNode("", nil)
	chooser := &countingChooser{Chooser: entry.chooser}
	entry.chooser = chooser
	for range 20 {
		f.do(entry, "GET", "/orders", nil, toucancall.HeaderTimeout, "1")
	}
	is.Equal(chooser.unfinished.Load(), int64(0))
	key := f.issueKeys(entry, "1")[0]
	startedBefore := chooser.started.Load()
	resp, _ := f.do(entry, "POST", "/orders", strings.NewReader("cup"), toucancall.HeaderIdempotencyKey, key)
	is.Equal(outcome(resp), "answered")
	is.Equal(chooser.started.Load(), startedBefore+1)
	is.Equal(chooser.unfinished.Load(), int64(0))
}
