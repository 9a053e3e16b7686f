package toucanconfig

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucanclock"
	"toucanhaven/toucankv"
	"toucanhaven/toucankvtest"
)

// Guards against additional calls to the key-value service, each of which the
// platform bills. Counts the calls for one change while both watches are waiting.
func TestKVCallsPerChange(t *testing.T) {
	is := is.New(t)
	var server toucankvtest.Server
	listener := httptest.NewServer(&server)
	defer listener.Close()
	kv := toucankv.NewClient(strings.TrimPrefix(listener.URL, "http://"))
	ctx, cancel := context.WithCancel(t.Context())
	seenRevisions := make(chan uint64, 100)
	for range watcherCount {
		go func() {
			var index uint64
			for ctx.Err() == nil {
				snapshot, err := kv.Watch(ctx, Key("ordini"), index, WatchWait)
				if err != nil {
					return
				}
				index = snapshot.Index
				d, _ := Decode(snapshot.Pair.Value)
				seenRevisions <- d.Revision()
			}
		}()
	}
	defer cancel()
	for range watcherCount {
		<-seenRevisions
	}
	const changes = 20
	waitForWatches := func(n int) {
		for server.Counters().Watches < n {
			time.Sleep(time.Millisecond)
		}
	}
	waitForWatches(watcherCount)
	before := server.Counters()
	for i := range uint64(changes) {
		request := Request{Service: "ordini", Replaces: i, Author: "anna", Nonce: fmt.Sprint(i), Source: simSource}
		_, err := Apply(ctx, kv, NewApplyState(toucanclock.System{}, request, i))
		is.NoErr(err)
		for range watcherCount {
			is.Equal(<-seenRevisions, i+1)
		}
		waitForWatches(watcherCount * int(i+2))
	}
	after := server.Counters()
	t.Logf("calls per change: reads=%d writes=%d watches=%d",
		(after.Reads-before.Reads)/changes, (after.Writes-before.Writes)/changes, (after.Watches-before.Watches)/changes)
	is.Equal((after.Total()-before.Total())/changes, 2+watcherCount)
}
