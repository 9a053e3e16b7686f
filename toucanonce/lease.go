package toucanonce

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"toucanhaven/toucanclock"
)

// Claims is what an entry needs of the KV. An error means that the call may or
// may not have taken effect.
type Claims interface {
	// OpenSession creates a session of life SessionTTL that is bound to no health
	// check and deletes its claims when it ends.
	OpenSession(ctx context.Context) (session string, err error)
	// Acquire binds path to value under the session unless path is bound, and
	// returns the value that path is bound to afterwards. It must not change the
	// value of a bound path, except that it may rewrite the value that the same
	// session bound: a Lease never passes two values for one path and session.
	Acquire(ctx context.Context, session, path, value string) (current string, err error)
	// Read returns the value that path is bound to, or "" if it is not bound.
	Read(ctx context.Context, path string) (current string, err error)
	// ReadSeal returns the record at path, or nil if there is none.
	ReadSeal(ctx context.Context, path string) (record []byte, err error)
}

// ClaimPath returns the KV key of the claim of a caller-made key. The hash keeps
// the characters of callers out of the KV and bounds the length.
func ClaimPath(service, callerKey string) string {
	sum := sha256.Sum256([]byte(callerKey))
	return "claim/" + service + "/" + hex.EncodeToString(sum[:])
}

// maxLeaseClaims bounds the values that a Lease remembers; a full Lease needs a
// new session.
const maxLeaseClaims = 1 << 14

// Lease is the session under which an entry makes claims. Its zero value holds
// no session. It is not safe for concurrent use.
type Lease struct {
	session string
	opened  Stamp // read before the session was asked for
	values  map[string]string
}

// Stamp is a reading of an entry's Timer.
type Stamp time.Duration

// Timer measures elapsed time for an entry by the larger of the steps of the
// wall clock and the monotonic clock.
type Timer struct {
	clock   toucanclock.Clock
	reading time.Time
	elapsed Stamp
}

// NewTimer returns a timer that reads clock.
func NewTimer(clock toucanclock.Clock) *Timer {
	return &Timer{clock: clock, reading: clock.Now()}
}

// Now returns the elapsed time. It never runs backwards.
func (t *Timer) Now() Stamp {
	reading := t.clock.Now()
	step := max(0, reading.Sub(t.reading), reading.Round(0).Sub(t.reading.Round(0)))
	t.reading = reading
	t.elapsed += Stamp(step)
	return t.elapsed
}

// Open starts to use a session. Opened must have been read before the session
// was asked for. Opening the session in use again changes nothing, so attempts
// may share the result of one OpenSession.
func (l *Lease) Open(session string, opened Stamp) {
	if session == l.session {
		return
	}
	*l = Lease{session: session, opened: opened, values: make(map[string]string)}
}

// Current returns the session in use and the time it was opened with, or "".
func (l *Lease) Current() (session string, opened Stamp) { return l.session, l.opened }

// Drop stops using a session that the KV no longer knows.
func (l *Lease) Drop(session string) {
	if session == l.session {
		*l = Lease{}
	}
}

// Bind returns the session and the value to acquire path with. The issued key
// must have been received at the given time. A path that was tried under this
// session keeps its first value, because the KV lets a session rewrite what it
// holds. Bind returns false if a new session is needed first.
func (l *Lease) Bind(path string, issued Key, received Stamp) (session, value string, ok bool) {
	if value, found := l.values[path]; found {
		return l.session, value, true
	}
	if l.session == "" || received-l.opened > Stamp(SessionUse) || len(l.values) >= maxLeaseClaims {
		return "", "", false
	}
	value = issued.String()
	l.values[path] = value
	return l.session, value, true
}
