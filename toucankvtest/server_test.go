package toucankvtest

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucankv"
)

func startServer(t *testing.T) (*Server, *toucankv.Client) {
	s := &Server{}
	h := httptest.NewServer(s)
	t.Cleanup(h.Close)
	return s, toucankv.NewClient(strings.TrimPrefix(h.URL, "http://"), toucankv.WithTimeout(time.Second))
}

// The client and the stand-in must agree on which write succeeds. Guards against a
// second create or a compare-and-swap with an old index that succeeds and so
// overwrites a change.
func TestConditionalWrites(t *testing.T) {
	is, ctx := is.New(t), t.Context()
	_, kv := startServer(t)
	_, err := kv.Get(ctx, "a/b c")
	var missing *toucankv.NotFoundError
	is.True(errors.As(err, &missing))
	is.NoErr(kv.Create(ctx, "a/b c", []byte("1")))
	first, err := kv.Get(ctx, "a/b c")
	is.NoErr(err)
	var conflict *toucankv.ConflictError
	is.True(errors.As(kv.Create(ctx, "a/b c", []byte("2")), &conflict))
	is.Equal(conflict.Current.Index, first.Index)
	is.NoErr(kv.CompareAndSwap(ctx, "a/b c", []byte("2"), first.Index))
	is.True(errors.As(kv.CompareAndSwap(ctx, "a/b c", []byte("3"), first.Index), &conflict))
	is.Equal(string(conflict.Current.Value), "2")
	var rejected *toucankv.RejectedError
	is.True(errors.As(kv.Create(ctx, "big", make([]byte, toucankv.MaxValueBytes+1)), &rejected))
	is.NoErr(kv.Create(ctx, "a/c", nil))
	keys, err := kv.Keys(ctx, "a/")
	is.NoErr(err)
	is.Equal(keys, []string{"a/b c", "a/c"})
	pairs, err := kv.List(ctx, "a/")
	is.NoErr(err)
	is.Equal(len(pairs), 2)
	empty, err := kv.List(ctx, "z/")
	is.NoErr(err)
	is.Equal(len(empty), 0)
}

// Guards against a client that treats a lost response or an aborted connection as
// a refusal although the write took effect.
func TestLostReplyIsUnknown(t *testing.T) {
	is, ctx := is.New(t), t.Context()
	s, kv := startServer(t)
	s.SetFaults(Faults{LoseReplies: 1})
	var unknown *toucankv.UnknownResultError
	is.True(errors.As(kv.Create(ctx, "a", []byte("1")), &unknown))
	pair, err := kv.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(string(pair.Value), "1") // the write took effect

	s.SetFaults(Faults{Down: true})
	is.True(errors.As(kv.Create(ctx, "b", nil), &unknown))
	var unavailable *toucankv.UnavailableError
	_, err = kv.Get(ctx, "a")
	is.True(errors.As(err, &unavailable))
	unreachable := toucankv.NewClient("127.0.0.1:1")
	is.True(errors.As(unreachable.Create(ctx, "b", nil), &unavailable)) // not sent

	s.SetFaults(Faults{Delay: 5 * time.Second})
	shortCtx, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	is.True(errors.As(kv.Create(shortCtx, "c", nil), &unknown))
}

// Guards against a watch that misses a change, does not end in an outage, or
// counts as more than one request while it waits.
func TestWatch(t *testing.T) {
	is, ctx := is.New(t), t.Context()
	s, kv := startServer(t)
	snapshot, err := kv.Watch(ctx, "a", 0, time.Minute)
	is.NoErr(err)
	is.True(!snapshot.Exists)
	before := s.Counters()
	results := make(chan toucankv.Snapshot, 1)
	go func() {
		next, _ := kv.Watch(ctx, "a", snapshot.Index, time.Minute)
		results <- next
	}()
	is.NoErr(kv.Create(ctx, "a", []byte("1")))
	next := <-results
	is.True(next.Exists)
	is.Equal(string(next.Pair.Value), "1")
	unchanged, err := kv.Watch(ctx, "a", next.Index, time.Millisecond)
	is.NoErr(err)
	is.Equal(unchanged.Index, next.Index)
	after := s.Counters()
	is.Equal(after.Watches-before.Watches, 2)
	is.Equal(after.Total()-before.Total(), 3)

	watchErr := make(chan error, 1)
	go func() {
		_, err := kv.Watch(ctx, "a", next.Index, time.Minute)
		watchErr <- err
	}()
	s.SetFaults(Faults{Down: true})
	is.True(<-watchErr != nil) // an outage ends waiting watches
}

// Guards against a session that acquires a key held by another active session, and
// against a key that stays held or stored after its session has ended.
func TestSessions(t *testing.T) {
	is, ctx := is.New(t), t.Context()
	s, kv := startServer(t)
	session1, err := kv.CreateSession(ctx, time.Minute, toucankv.Release)
	is.NoErr(err)
	session2, err := kv.CreateSession(ctx, time.Minute, toucankv.Delete)
	is.NoErr(err)
	is.NoErr(kv.Acquire(ctx, "k", []byte("1"), session1))
	is.NoErr(kv.Acquire(ctx, "k", []byte("1"), session1))
	is.NoErr(kv.RenewSession(ctx, session1))
	var conflict *toucankv.ConflictError
	is.True(errors.As(kv.Acquire(ctx, "k", []byte("2"), session2), &conflict))
	is.Equal(conflict.Current.Session, session1)
	is.True(s.ExpireSession(session1))
	var ended *toucankv.SessionError
	is.True(errors.As(kv.RenewSession(ctx, session1), &ended))
	is.True(errors.As(kv.Acquire(ctx, "k", []byte("1"), session1), &ended))
	is.NoErr(kv.Acquire(ctx, "k", []byte("2"), session2))
	s.ExpireAllSessions()
	_, err = kv.Get(ctx, "k")
	var missing *toucankv.NotFoundError
	is.True(errors.As(err, &missing)) // Delete removes the key when its session ends
}

// Scripts set faults over HTTP. This must also work while Faults.Down is set.
func TestFaultsOverHTTP(t *testing.T) {
	is := is.New(t)
	s := &Server{}
	for _, body := range []string{`{"down":true}`, `{"delay_ms":5,"lose_replies":2}`} {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest("PUT", "/test/faults", strings.NewReader(body)))
		is.Equal(w.Code, 204)
	}
	is.Equal(s.Faults(), Faults{Delay: 5 * time.Millisecond, LoseReplies: 2})
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest("GET", "/test/counters", nil))
	is.Equal(w.Body.String(), "{\"reads\":0,\"watches\":0,\"writes\":0,\"sessions\":0}\n")
}
