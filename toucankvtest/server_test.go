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

func start(t *testing.T) (*Server, *toucankv.Client) {
	s := &Server{}
	h := httptest.NewServer(s)
	t.Cleanup(h.Close)
	return s, toucankv.NewClient(strings.TrimPrefix(h.URL, "http://"), toucankv.WithTimeout(time.Second))
}

// The client and the stand-in must agree on which write wins; a second create or
// a stale swap that succeeded would lose a change.
func TestConditionalWrites(t *testing.T) {
	is, ctx := is.New(t), t.Context()
	_, kv := start(t)
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
	none, err := kv.List(ctx, "z/")
	is.NoErr(err)
	is.Equal(len(none), 0)
}

// A client that took a lost reply or a broken connection for a failure would
// report a change as refused that took effect.
func TestLostReplyIsUnknown(t *testing.T) {
	is, ctx := is.New(t), t.Context()
	s, kv := start(t)
	s.SetFaults(Faults{LoseReplies: 1})
	var unknown *toucankv.UnknownResultError
	is.True(errors.As(kv.Create(ctx, "a", []byte("1")), &unknown))
	pair, err := kv.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(string(pair.Value), "1") // The write took effect.

	s.SetFaults(Faults{Down: true})
	is.True(errors.As(kv.Create(ctx, "b", nil), &unknown))
	var unavailable *toucankv.UnavailableError
	_, err = kv.Get(ctx, "a")
	is.True(errors.As(err, &unavailable))
	nobody := toucankv.NewClient("127.0.0.1:1")
	is.True(errors.As(nobody.Create(ctx, "b", nil), &unavailable)) // Never sent.

	s.SetFaults(Faults{Delay: 5 * time.Second})
	short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	is.True(errors.As(kv.Create(short, "c", nil), &unknown))
}

// A watch must return on a change and count as one call, however long it waits.
func TestWatch(t *testing.T) {
	is, ctx := is.New(t), t.Context()
	s, kv := start(t)
	seen, err := kv.Watch(ctx, "a", 0, time.Minute)
	is.NoErr(err)
	is.True(!seen.Exists)
	before := s.Counters()
	results := make(chan toucankv.Snapshot, 1)
	go func() {
		next, _ := kv.Watch(ctx, "a", seen.Index, time.Minute)
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

	broken := make(chan error, 1)
	go func() {
		_, err := kv.Watch(ctx, "a", next.Index, time.Minute)
		broken <- err
	}()
	s.SetFaults(Faults{Down: true})
	is.True(<-broken != nil) // An outage ends waiting watches.
}

// A key held under a live session must not pass to another one, and must be free
// once the session has ended.
func TestSessions(t *testing.T) {
	is, ctx := is.New(t), t.Context()
	s, kv := start(t)
	one, err := kv.CreateSession(ctx, time.Minute, toucankv.Release)
	is.NoErr(err)
	two, err := kv.CreateSession(ctx, time.Minute, toucankv.Delete)
	is.NoErr(err)
	is.NoErr(kv.Acquire(ctx, "k", []byte("1"), one))
	is.NoErr(kv.Acquire(ctx, "k", []byte("1"), one))
	is.NoErr(kv.RenewSession(ctx, one))
	var conflict *toucankv.ConflictError
	is.True(errors.As(kv.Acquire(ctx, "k", []byte("2"), two), &conflict))
	is.Equal(conflict.Current.Session, one)
	is.True(s.ExpireSession(one))
	var ended *toucankv.SessionError
	is.True(errors.As(kv.RenewSession(ctx, one), &ended))
	is.True(errors.As(kv.Acquire(ctx, "k", []byte("1"), one), &ended))
	is.NoErr(kv.Acquire(ctx, "k", []byte("2"), two))
	s.ExpireAllSessions()
	_, err = kv.Get(ctx, "k")
	var missing *toucankv.NotFoundError
	is.True(errors.As(err, &missing)) // Delete removes the key with its session.
}

// Scripts set faults over HTTP, also while the service is down.
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
