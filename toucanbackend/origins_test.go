package toucanbackend

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestOriginsTellCallsOfBackendServers(t *testing.T) {
	is := is.New(t)
	var o origins
	now := time.Unix(1000, 0)
	services := []string{"a", "b", "c", "d"}
	var client, inner bool
	for i := range 100 {
		client = o.note("client", services[i%4], now)
		inner = o.note("inner", "b", now)
	}
	is.Equal(client, false)
	is.Equal(inner, true)
	// A route that callers begin to use is seen as theirs.
	for i := range 100 {
		inner = o.note("inner", services[i%4], now)
	}
	is.Equal(inner, false)
}

func TestOriginsNeedEvidence(t *testing.T) {
	is := is.New(t)
	var o origins
	now := time.Unix(1000, 0)
	for range 100 { // calls come from one service only: nothing to compare with
		is.Equal(o.note("r", "a", now), false)
	}
	for i := range 20 { // all is forgotten in time
		o.note("x", "b", now.Add(time.Duration(i)*originTime))
	}
	is.Equal(len(o.routes), 1)
}
