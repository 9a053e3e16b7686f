package toucanbackend

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestOriginsDetectCallsOfBackendServers(t *testing.T) {
	is := is.New(t)
	var o origins
	now := time.Unix(1000, 0)
	services := []string{"a", "b", "c", "d"}
	var client, inner bool
	for i := range 100 {
		client = o.countCall("client", services[i%4], now)
		inner = o.countCall("inner", "b", now)
	}
	is.Equal(client, false)
	is.Equal(inner, true)
	// A route that callers begin to use no longer counts as one of backend servers.
	for i := range 100 {
		inner = o.countCall("inner", services[i%4], now)
	}
	is.Equal(inner, false)
}

func TestOriginsNeedSeveralServices(t *testing.T) {
	is := is.New(t)
	var o origins
	now := time.Unix(1000, 0)
	for range 100 { // one service only, so routes cannot be told apart
		is.Equal(o.countCall("r", "a", now), false)
	}
	for i := range 20 { // the counts of route "r" decay to 0 and are removed
		o.countCall("x", "b", now.Add(time.Duration(i)*originHalvingInterval))
	}
	is.Equal(len(o.routes), 1)
}
