package toucannode

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucanclock"
	"toucanhaven/toucankv"
)

// TestBreaker guards against a circuit breaker that stays open, that opens
// because callers disconnect, or that lets every call through while the KV is
// unreachable.
func TestBreaker(t *testing.T) {
	is := is.New(t)
	clock := toucanclock.NewManual(time.Unix(1000, 0))
	c := newClaims(toucankv.NewClient("127.0.0.1:1"), clock, slog.New(slog.DiscardHandler))
	failingCall := func(context.Context) error { return &toucankv.UnavailableError{Err: errors.New("down")} }
	callerCtx, cancel := context.WithCancel(t.Context())
	for range 2 * breakerFailureLimit {
		is.True(c.call(callerCtx, func(ctx context.Context) error { cancel(); return failingCall(ctx) }) != nil)
		callerCtx, cancel = context.WithCancel(t.Context())
	}
	cancel()
	is.True(c.available())
	for range breakerFailureLimit {
		is.True(c.available())
		is.True(c.call(t.Context(), failingCall) != errBreakerOpen)
	}
	is.True(!c.available())
	is.Equal(c.call(t.Context(), failingCall), errBreakerOpen)
	clock.Advance(breakerOpenTime)
	is.True(c.available())
	is.True(c.call(t.Context(), failingCall) != errBreakerOpen) // the trial call
	is.Equal(c.call(t.Context(), failingCall), errBreakerOpen)
	clock.Advance(breakerOpenTime)
	refused := &toucankv.ConflictError{}
	is.Equal(c.call(t.Context(), func(context.Context) error { return refused }), refused) // a conflict is an answer
	is.NoErr(c.call(t.Context(), func(context.Context) error { return nil }))
}

// TestSealCache guards against a KV read for every forged key, and against an
// absent seal that is cached too long.
func TestSealCache(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var s sealCache
	for i := range maxSealReadsPerSecond + 1 {
		is.Equal(s.allowRead(now), i < maxSealReadsPerSecond)
	}
	is.True(s.allowRead(now.Add(time.Second)))
	s.put("absent", nil, now)
	s.put("seal", []byte("r"), now)
	record, ok := s.get("absent", now)
	is.True(ok && record == nil)
	_, ok = s.get("absent", now.Add(absentSealTTL))
	is.True(!ok)
	record, ok = s.get("seal", now.Add(absentSealTTL))
	is.True(ok)
	is.Equal(string(record), "r")
}
