package toucannode

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucancall"
	"toucanhaven/toucancaller"
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

// TestRefusedRetryWithUnusedKeyIsUnknown guards against the result Refused for a request
// that ran, if its class is not at-most-once and its key therefore binds no attempt.
func TestRefusedRetryWithUnusedKeyIsUnknown(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	var calls atomic.Int32
	node := f.startNode("ordini", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			panic(http.ErrAbortHandler) // it ran, but the node gets no answer
		}
		w.Header().Set(toucancall.HeaderNotRun, "true")
		w.Header().Set(toucancall.HeaderParent, r.Header.Get(toucancall.HeaderParent))
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	c, err := toucancaller.New([]string{node.Addresses().Caller}, toucancaller.WithRetries(1))
	is.NoErr(err)
	defer c.CloseIdle()
	got, err := c.Do(t.Context(), toucancaller.Request{Service: "ordini", Method: "POST", Path: "/carts", IdempotencyKey: "cart-1"})
	is.NoErr(err)
	is.Equal(calls.Load(), int32(2))
	is.Equal(got, toucancaller.Unknown{Reason: toucancall.ReasonBackendRefused})
}

// TestRefusalOfKeyedRequestIsMarked guards against a refusal that holds for one attempt
// only and is marked as one that holds for all attempts with the key.
func TestRefusalOfKeyedRequestIsMarked(t *testing.T) {
	f := newTestFleet(t)
	node := f.startNode("ordini", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(toucancall.HeaderNotRun, "true")
		w.Header().Set(toucancall.HeaderParent, r.Header.Get(toucancall.HeaderParent))
		w.Header().Set(toucancall.HeaderKeyed, "true")
		if r.URL.Path != "/answered" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	issued := f.issueKeys(node, "1")[0]
	for _, tt := range []struct{ path, key, outcome, keyed string }{
		{"/orders", issued, "not_run backend_refused", "true"},
		{"/orders", "", "not_run backend_refused", ""},
		{"/carts", "cart-1", "not_run backend_refused", ""},
		{"/answered", "", "answered", ""},
	} {
		t.Run(strings.TrimPrefix(tt.path, "/")+"/"+tt.outcome, func(t *testing.T) {
			is := is.New(t)
			resp, _ := f.do(node, "POST", tt.path, nil, toucancall.HeaderIdempotencyKey, tt.key)
			is.Equal(outcome(resp), tt.outcome)
			is.Equal(resp.Header.Get(toucancall.HeaderKeyed), tt.keyed)
		})
	}
}

// scriptedAdmission gives calls their slots or refuses them as admit says.
type scriptedAdmission struct {
	Admission
	admit func(Admission, context.Context, toucancall.Call) (Slot, toucancall.Reason)
}

func (a scriptedAdmission) Admit(ctx context.Context, c toucancall.Call) (Slot, toucancall.Reason) {
	return a.admit(a.Admission, ctx, c)
}

// TestRefusedCallsNeverRun guards against a request that runs although a node refused it,
// also if it is sent again with the same key.
func TestRefusedCallsNeverRun(t *testing.T) {
	tests := []struct {
		name   string
		change func(entry, server *Node)
		want   []string // outcomes that are allowed
	}{
		{"gate", func(entry, _ *Node) { entry.gate = refusingGate{} }, []string{"not_run overload"}},
		{"queue", withAdmission(func(Admission, context.Context, toucancall.Call) (Slot, toucancall.Reason) {
			return nil, toucancall.ReasonOverload
		}), []string{"not_run overload"}},
		{"queued_past_the_deadline", withAdmission(func(Admission, context.Context, toucancall.Call) (Slot, toucancall.Reason) {
			return nil, toucancall.ReasonDeadline
		}), []string{"not_run deadline"}},
		{"slot_past_the_deadline", withAdmission(func(a Admission, ctx context.Context, c toucancall.Call) (Slot, toucancall.Reason) {
			slot, reason := a.Admit(ctx, c)
			time.Sleep(time.Until(c.Deadline))
			return slot, reason
		}), []string{"not_run deadline", "unknown deadline"}}, // the entry may time out before the reply of the peer
		{"server_leaving", func(_, server *Node) {
			server.local.mu.Lock()
			defer server.local.mu.Unlock()
			server.local.leaving = true
		}, []string{"not_run leaving"}},
	}
	for _, tt := range tests {
		for _, keyed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/keyed=%v", tt.name, keyed), func(t *testing.T) {
				is := is.New(t)
				f := newTestFleet(t)
				s := &orders{}
				server := f.startNode("ordini", s)
				entry, other := f.startNode("", nil), f.startNode("", nil)
				key := ""
				if keyed {
					key = f.issueKeys(other, "1")[0]
				}
				tt.change(entry, server)
				send := func(n *Node) string {
					resp, _ := f.do(n, "POST", "/orders", nil, toucancall.HeaderIdempotencyKey, key, toucancall.HeaderTimeout, "200")
					return outcome(resp)
				}
				got := send(entry)
				if !slices.Contains(tt.want, got) {
					t.Errorf("outcome %s, want one of %q", got, tt.want)
				}
				if keyed {
					is.Equal(send(other), "not_run key_refused")
				}
				is.Equal(len(s.runs()), 0)
			})
		}
	}
}

// withAdmission returns a change that replaces the admission control beside the server.
func withAdmission(admit func(Admission, context.Context, toucancall.Call) (Slot, toucancall.Reason)) func(_, server *Node) {
	return func(_, server *Node) { server.admission = scriptedAdmission{server.admission, admit} }
}
