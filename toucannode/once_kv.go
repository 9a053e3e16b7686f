package toucannode

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"toucanhaven/toucanclock"
	"toucanhaven/toucankv"
	"toucanhaven/toucanonce"
)

const (
	// kvTimeout bounds one call of the KV on the path of a request. The KV answers
	// in milliseconds when it is healthy.
	kvTimeout = 300 * time.Millisecond
	// sealTimeout bounds one write of a seal, which nobody waits for.
	sealTimeout = 3 * time.Second
	// breakerFailures failures in a row stop calls of the KV. One call each
	// breakerPause then tries whether it is back.
	breakerFailures = 5
	breakerPause    = time.Second
)

var (
	errNoKV         = errors.New("no key-value service is configured")
	errShortCircuit = errors.New("the key-value service failed just before; not asked")
)

// claims makes and reads claims and seals in the KV. It is safe for concurrent
// use.
type claims struct {
	kv      toucankv.Store // nil without a KV
	breaker breaker
}

var _ toucanonce.Claims = (*claims)(nil)

func newClaims(kv toucankv.Store, clock toucanclock.Clock, log *slog.Logger) *claims {
	return &claims{kv: kv, breaker: breaker{clock: clock, log: log}}
}

// breaker keeps requests from waiting for a KV that fails.
type breaker struct {
	clock toucanclock.Clock
	log   *slog.Logger

	mu       sync.Mutex
	failures int       // in a row
	next     time.Time // of the next try while open
}

// open reports whether calls are short-circuited now.
func (b *breaker) open() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures >= breakerFailures && b.clock.Now().Before(b.next)
}

// allow reports whether a call may be made.
func (b *breaker) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < breakerFailures {
		return true
	}
	now := b.clock.Now()
	if now.Before(b.next) {
		return false
	}
	b.next = now.Add(breakerPause)
	return true
}

// note takes the result of a call.
func (b *breaker) note(ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		if b.failures >= breakerFailures {
			b.log.Info("kv_reachable")
		}
		b.failures = 0
		return
	}
	if b.failures++; b.failures == breakerFailures {
		b.log.Warn("kv_unreachable", slog.Int("failures", b.failures))
	}
	if b.failures >= breakerFailures {
		b.next = b.clock.Now().Add(breakerPause)
	}
}

// available reports whether a claim can be tried now.
func (c *claims) available() bool { return c.kv != nil && !c.breaker.open() }

// call makes one call of the KV within its time limit.
func (c *claims) call(ctx context.Context, f func(context.Context) error) error {
	if c.kv == nil {
		return errNoKV
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	if !c.breaker.allow() {
		return errShortCircuit
	}
	limited, cancel := context.WithTimeout(ctx, kvTimeout)
	defer cancel()
	err := f(limited)
	switch {
	case !kvFailed(err):
		c.breaker.note(true)
	case !errors.Is(ctx.Err(), context.Canceled): // a caller that left is no fault of the KV
		c.breaker.note(false)
	}
	return err
}

// kvFailed reports whether the KV did not answer. A refused write is an answer.
func kvFailed(err error) bool {
	var unavailable *toucankv.UnavailableError
	var unknown *toucankv.UnknownResultError
	return errors.As(err, &unavailable) || errors.As(err, &unknown)
}

func sessionEnded(err error) bool {
	var ended *toucankv.SessionError
	return errors.As(err, &ended)
}

// OpenSession implements toucanonce.Claims.
func (c *claims) OpenSession(ctx context.Context) (session string, err error) {
	err = c.call(ctx, func(ctx context.Context) error {
		session, err = c.kv.CreateSession(ctx, toucanonce.SessionTTL, toucankv.Delete)
		return err
	})
	return session, err
}

// Acquire implements toucanonce.Claims. No claim exists without a session that
// holds it, because the claims are deleted with their session; so Acquire never
// replaces the value of another session.
func (c *claims) Acquire(ctx context.Context, session, path, value string) (current string, err error) {
	err = c.call(ctx, func(ctx context.Context) error {
		return c.kv.Acquire(ctx, path, []byte(value), session)
	})
	var conflict *toucankv.ConflictError
	switch {
	case err == nil:
		return value, nil
	case errors.As(err, &conflict) && conflict.Current.Index != 0:
		return string(conflict.Current.Value), nil
	}
	return "", err
}

// Read implements toucanonce.Claims.
func (c *claims) Read(ctx context.Context, path string) (current string, err error) {
	record, err := c.ReadSeal(ctx, path)
	return string(record), err
}

// ReadSeal implements toucanonce.Claims.
func (c *claims) ReadSeal(ctx context.Context, path string) (record []byte, err error) {
	err = c.call(ctx, func(ctx context.Context) error {
		pair, err := c.kv.Get(ctx, path)
		record = pair.Value
		return err
	})
	var missing *toucankv.NotFoundError
	if errors.As(err, &missing) {
		return nil, nil
	}
	return record, err
}

// writeSeal writes a seal under a session of its own.
func (c *claims) writeSeal(ctx context.Context, path string, record []byte) error {
	if c.kv == nil {
		return errNoKV
	}
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	session, err := c.kv.CreateSession(ctx, toucanonce.SessionTTL, toucankv.Delete)
	if err != nil {
		return err
	}
	err = c.kv.Acquire(ctx, path, record, session)
	var conflict *toucankv.ConflictError
	if errors.As(err, &conflict) && string(conflict.Current.Value) == string(record) {
		return nil // an earlier try took effect although its reply was lost
	}
	return err
}

const (
	// maxSeals bounds the seals that an entry remembers.
	maxSeals = 256
	// sealAge is how long a seal is remembered, absentAge how long it is
	// remembered that there is none. A seal never changes once it is written.
	sealAge   = 5 * time.Minute
	absentAge = time.Second
	// maxSealReads bounds the reads of seals that an entry makes in a second,
	// because forged keys can name any number of homes.
	maxSealReads = 20
)

var errSealReads = errors.New("too many seals were read just before")

// sealCache remembers seals by path, so that the repeats after a stop cost one
// read per home.
type sealCache struct {
	mu     sync.Mutex
	read   map[string]cachedSeal
	second time.Time // start of the second in which reads are counted
	reads  int
}

// mayRead counts one read and reports whether it is within the bound.
func (s *sealCache) mayRead(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.second) >= time.Second {
		s.second, s.reads = now, 0
	}
	s.reads++
	return s.reads <= maxSealReads
}

type cachedSeal struct {
	record []byte // nil for none
	until  time.Time
}

func (s *sealCache) get(path string, now time.Time) (record []byte, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.read[path]
	return c.record, ok && now.Before(c.until)
}

func (s *sealCache) put(path string, record []byte, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.read == nil || len(s.read) >= maxSeals {
		s.read = map[string]cachedSeal{}
	}
	age := sealAge
	if record == nil {
		age = absentAge
	}
	s.read[path] = cachedSeal{record: record, until: now.Add(age)}
}

// readSeal reads a seal from the cache or the KV.
func (o *keyedOnce) readSeal(ctx context.Context, path string) ([]byte, error) {
	if record, ok := o.seals.get(path, o.n.clock.Now()); ok {
		return record, nil
	}
	if !o.seals.mayRead(o.n.clock.Now()) {
		return nil, errSealReads
	}
	record, err := o.claims.ReadSeal(ctx, path)
	if err == nil {
		o.seals.put(path, record, o.n.clock.Now())
	}
	return record, err
}
