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
	// kvCallTimeout bounds a KV call that a request waits for. A healthy KV
	// answers within milliseconds.
	kvCallTimeout = 300 * time.Millisecond
	// sealWriteTimeout bounds one write of a seal. No request waits for it.
	sealWriteTimeout = 3 * time.Second
	// breakerFailureLimit consecutive failures open the circuit breaker. While
	// it is open, one trial call is made per breakerOpenTime.
	breakerFailureLimit = 5
	breakerOpenTime     = time.Second
)

var (
	errNoKV        = errors.New("no key-value service is configured")
	errBreakerOpen = errors.New("circuit breaker is open: recent calls of the key-value service failed")
)

// claims makes and reads claims and seals in the KV. It is safe for concurrent
// use.
type claims struct {
	kv      toucankv.Store // nil if no KV is configured
	breaker circuitBreaker
}

var _ toucanonce.Claims = (*claims)(nil)

func newClaims(kv toucankv.Store, clock toucanclock.Clock, log *slog.Logger) *claims {
	return &claims{kv: kv, breaker: circuitBreaker{clock: clock, log: log}}
}

// circuitBreaker keeps requests from waiting for a KV that fails.
type circuitBreaker struct {
	clock toucanclock.Clock
	log   *slog.Logger

	mu        sync.Mutex
	failures  int       // consecutive
	nextTrial time.Time // time of the next trial call while open
}

// isOpen reports whether calls are currently rejected.
func (b *circuitBreaker) isOpen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures >= breakerFailureLimit && b.clock.Now().Before(b.nextTrial)
}

// allowCall reports whether a call may be made. While the breaker is open, it
// allows a trial call when one is due.
func (b *circuitBreaker) allowCall() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < breakerFailureLimit {
		return true
	}
	now := b.clock.Now()
	if now.Before(b.nextTrial) {
		return false
	}
	b.nextTrial = now.Add(breakerOpenTime)
	return true
}

// recordResult records whether a call succeeded.
func (b *circuitBreaker) recordResult(ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		if b.failures >= breakerFailureLimit {
			b.log.Info("kv_reachable")
		}
		b.failures = 0
		return
	}
	if b.failures++; b.failures == breakerFailureLimit {
		b.log.Warn("kv_unreachable", slog.Int("failures", b.failures))
	}
	if b.failures >= breakerFailureLimit {
		b.nextTrial = b.clock.Now().Add(breakerOpenTime)
	}
}

// available reports whether a claim can be attempted now.
func (c *claims) available() bool { return c.kv != nil && !c.breaker.isOpen() }

// call makes one KV call through the circuit breaker, bounded by kvCallTimeout.
func (c *claims) call(ctx context.Context, f func(context.Context) error) error {
	if c.kv == nil {
		return errNoKV
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	if !c.breaker.allowCall() {
		return errBreakerOpen
	}
	limited, cancel := context.WithTimeout(ctx, kvCallTimeout)
	defer cancel()
	err := f(limited)
	switch {
	case !isKVFailure(err):
		c.breaker.recordResult(true)
	case !errors.Is(ctx.Err(), context.Canceled): // a caller that disconnects is not a failure of the KV
		c.breaker.recordResult(false)
	}
	return err
}

// isKVFailure reports whether the KV did not answer. A refused write is an
// answer.
func isKVFailure(err error) bool {
	var unavailable *toucankv.UnavailableError
	var unknown *toucankv.UnknownResultError
	return errors.As(err, &unavailable) || errors.As(err, &unknown)
}

func isSessionError(err error) bool {
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

// Acquire implements toucanonce.Claims. It never replaces the value of another
// session: a claim is deleted with the session that holds it, so no claim
// exists without a session.
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

// writeSeal writes a seal under a new session.
func (c *claims) writeSeal(ctx context.Context, path string, record []byte) error {
	if c.kv == nil {
		return errNoKV
	}
	ctx, cancel := context.WithTimeout(ctx, sealWriteTimeout)
	defer cancel()
	session, err := c.kv.CreateSession(ctx, toucanonce.SessionTTL, toucankv.Delete)
	if err != nil {
		return err
	}
	err = c.kv.Acquire(ctx, path, record, session)
	var conflict *toucankv.ConflictError
	if errors.As(err, &conflict) && string(conflict.Current.Value) == string(record) {
		return nil // an earlier attempt took effect, but its reply was lost
	}
	return err
}

const (
	// maxCachedSeals bounds the seals that an entry caches.
	maxCachedSeals = 256
	// sealTTL is how long a seal is cached, and absentSealTTL how long its
	// absence is. A seal does not change once it is written.
	sealTTL       = 5 * time.Minute
	absentSealTTL = time.Second
	// maxSealReadsPerSecond bounds the seals that an entry reads from the KV in
	// one second, because forged keys can name any number of homes.
	maxSealReadsPerSecond = 20
)

var errSealReadLimit = errors.New("limit of seals read per second is reached")

// sealCache caches seals by path, so that the retries after a home has stopped
// cost one read per home.
type sealCache struct {
	mu          sync.Mutex
	seals       map[string]cachedSeal
	windowStart time.Time // start of the second in which reads are counted; reads is the count
	reads       int
}

// allowRead counts a read and reports whether it is within the limit.
func (s *sealCache) allowRead(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.windowStart) >= time.Second {
		s.windowStart, s.reads = now, 0
	}
	s.reads++
	return s.reads <= maxSealReadsPerSecond
}

type cachedSeal struct {
	record  []byte // nil if there is no seal
	expires time.Time
}

func (s *sealCache) get(path string, now time.Time) (record []byte, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.seals[path]
	return c.record, ok && now.Before(c.expires)
}

func (s *sealCache) put(path string, record []byte, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seals == nil || len(s.seals) >= maxCachedSeals {
		s.seals = map[string]cachedSeal{}
	}
	ttl := sealTTL
	if record == nil {
		ttl = absentSealTTL
	}
	s.seals[path] = cachedSeal{record: record, expires: now.Add(ttl)}
}

// readSeal reads a seal from the cache or from the KV.
func (o *keyDeduplicator) readSeal(ctx context.Context, path string) ([]byte, error) {
	if record, ok := o.seals.get(path, o.n.clock.Now()); ok {
		return record, nil
	}
	if !o.seals.allowRead(o.n.clock.Now()) {
		return nil, errSealReadLimit
	}
	record, err := o.claims.ReadSeal(ctx, path)
	if err == nil {
		o.seals.put(path, record, o.n.clock.Now())
	}
	return record, err
}
