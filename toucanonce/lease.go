package toucanonce

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"toucanhaven/toucanclock"
)

// Claims gives an entry access to the claims and seals in the KV. After an error
// the call may or may not have taken effect.
type Claims interface {
	// OpenSession creates a session with time to live SessionTTL that is not bound
	// to a health check and deletes its claims when it ends.
	OpenSession(ctx context.Context) (session string, err error)
	// Acquire binds path to value under the session unless path is already bound,
	// and returns the value that path is bound to afterwards. It must not change
	// the value of a bound path, but may overwrite a value bound by the same
	// session: a Lease never passes two values for one path and session.
	Acquire(ctx context.Context, session, path, value string) (current string, err error)
	// Read returns the value that path is bound to, or "" if it is not bound.
	Read(ctx context.Context, path string) (current string, err error)
	// ReadSeal returns the record at path, or nil if there is none.
	ReadSeal(ctx context.Context, path string) (record []byte, err error)
}

// ClaimPath returns the KV key of the claim of a caller-made key. It contains a
// hash of the caller's key, so that the KV key has a bounded length and no
// characters chosen by callers.
func ClaimPath(service, callerKey string) string {
	sum := sha256.Sum256([]byte(callerKey))
	return "claim/" + service + "/" + hex.EncodeToString(sum[:])
}

// maxLeaseClaims bounds the paths of a Lease. When it is reached, the entry needs a
// new session for further paths.
const maxLeaseClaims = 1 << 14

// Lease is the session under which an entry makes claims. Its zero value holds
// no session. It is not safe for concurrent use.
type Lease struct {
	session     string
	openedAt    Stamp // read before the session was requested
	valueByPath map[string]string
}

// Stamp is the elapsed time that an entry's Timer shows.
type Stamp time.Duration

// Timer measures elapsed time for an entry. Between two readings it advances by the
// larger of the steps of the wall clock and the monotonic clock.
type Timer struct {
	clock       toucanclock.Clock
	lastReading time.Time
	elapsed     Stamp
}

// NewTimer returns a timer that reads clock.
func NewTimer(clock toucanclock.Clock) *Timer {
	return &Timer{clock: clock, lastReading: clock.Now()}
}

// Now returns the elapsed time. It never decreases.
func (t *Timer) Now() Stamp {
	reading := t.clock.Now()
	step := max(0, reading.Sub(t.lastReading), reading.Round(0).Sub(t.lastReading.Round(0)))
	t.lastReading = reading
	t.elapsed += Stamp(step)
	return t.elapsed
}

// Open makes session the one in use. The caller must have read opened before it
// requested the session. Opening the session in use again changes nothing, so
// that several attempts may share the result of one OpenSession.
func (l *Lease) Open(session string, opened Stamp) {
	if session == l.session {
		return
	}
	*l = Lease{session: session, openedAt: opened, valueByPath: make(map[string]string)}
}

// Current returns the session in use and the time passed to Open for it. The
// session is empty if none is in use.
func (l *Lease) Current() (session string, opened Stamp) { return l.session, l.openedAt }

// Drop stops using a session that has ended in the KV.
func (l *Lease) Drop(session string) {
	if session == l.session {
		*l = Lease{}
	}
}

// Bind returns the session and the value to acquire path with. The value is the
// text of the issued key, which was received at the given time. A path that was
// bound before under this session keeps its first value, because the KV lets a
// session overwrite its own values. Bind returns false if the entry must open a
// new session first.
func (l *Lease) Bind(path string, issued Key, received Stamp) (session, value string, ok bool) {
	if value, found := l.valueByPath[path]; found {
		return l.session, value, true
	}
	if l.session == "" || received-l.openedAt > Stamp(SessionMaxAge) || len(l.valueByPath) >= maxLeaseClaims {
		return "", "", false
	}
	value = issued.String()
	l.valueByPath[path] = value
	return l.session, value, true
}
