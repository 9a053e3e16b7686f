package toucannode

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"toucanhaven/toucancall"
)

// TestRefusedRetryAfterLostAnswerIsUnknown guards against the outcome "not run"
// for a request whose first attempt may have run and whose retry was refused.
func TestRefusedRetryAfterLostAnswerIsUnknown(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	entry := f.startNode("", nil)
	var calls atomic.Int32
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			panic(http.ErrAbortHandler) // it ran, but the node gets no answer
		}
		w.Header().Set(toucancall.HeaderNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	f.startNode("ordini", handler)
	f.startNode("ordini", handler)
	resp, _ := f.do(entry, "GET", "/orders", nil)
	is.True(calls.Load() >= 2)
	is.Equal(outcome(resp), "unknown backend_refused")
	is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
}

// TestOverlappingRetryIsUnknown guards against the outcome "not run" for a
// retry of a request that is still running.
func TestOverlappingRetryIsUnknown(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	entry := f.startNode("", nil)
	running, release := make(chan struct{}), make(chan struct{})
	f.startNode("ordini", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(running)
		<-release
	}))
	first := make(chan string)
	go func() {
		resp, _ := f.do(entry, "GET", "/orders", nil, toucancall.HeaderRequestID, "r1")
		first <- outcome(resp)
	}()
	<-running
	resp, _ := f.do(entry, "GET", "/orders", nil, toucancall.HeaderRequestID, "r1")
	close(release)
	is.Equal(outcome(resp), "unknown not_forwarded")
	is.Equal(<-first, "answered")
}
