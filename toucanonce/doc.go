// Package toucanonce decides whether a request with an idempotency key may run,
// so that it runs at most once. It does no I/O and reads time only through a
// clock.
//
// # Issued keys
//
// A node issues a key through its [Home]. The key names the service, the home
// node, its incarnation and a sequence number, and carries a message
// authentication code, the tag, that only this incarnation can compute. Only this
// incarnation may run the key, so no consensus is needed, and neither a pause of
// the process nor a KV outage can make a key run twice. A home drops the state of
// keys in the order of their sequence and never runs a key whose state it has
// dropped, so safety does not depend on the home's clock.
//
// # Keys made by callers
//
// The entry binds a key made by a caller to an issued key. It does so by a claim
// in the KV, under claim/<service>/<hash of the key>. The value of the claim is
// the issued key, so it names home and incarnation. The claim is created only if
// absent and is never changed. Every entry forwards the issued key that the claim
// holds, so the home receives issued keys only.
//
// A claim is held under a KV session that is never renewed. The KV deletes the
// claim when the session ends, which is SessionTTL after its creation or later.
// The session must not be bound to a health check, which could end it earlier,
// and must delete its claims when it ends. An entry uses a session only for issued
// keys that it received within SessionMaxAge of requesting the session ([Lease]).
// The issued key therefore expires at least
//
//	SessionTTL - SessionMaxAge - KeyTTL = 20 min
//
// before its claim can expire. If an entry is paused while it holds a claim, no
// matter how long, the issued key expires before another entry can bind the
// caller's key again. The home does not run the expired key that the paused entry
// forwards when it resumes.
//
// These 20 min bound the clock drift: from the creation of a session to its end,
// the clocks of the entry and of the home may together fall behind the clock of
// the KV by at most 20 min. Offsets between clocks do not matter, since each
// process compares only readings of its own clock. Home and Timer advance by the
// larger of the steps of the wall clock and the monotonic clock. Neither a wall
// clock that is set back nor a monotonic clock that stops while its VM is
// suspended extends the time to live of a key by itself. The case of a home that
// is paused for longer than the bound between Confirm and the first byte to the
// backend server is not covered.
//
// A caller-made key protects its request for KeyTTL after its first use. If the
// same text is used after the claim has expired, it counts as a new key.
package toucanonce

import "time"

const (
	// KeyTTL is how long an issued key may be used, and how long a caller-made
	// key protects its request after its first use.
	KeyTTL = 10 * time.Minute
	// SessionTTL is the time to live of the KV session under which an entry makes
	// claims and a home writes its seal. The session is not renewed.
	SessionTTL = time.Hour
	// SessionMaxAge is how long after requesting a session an entry still uses it
	// to bind newly received issued keys.
	SessionMaxAge = 30 * time.Minute
)
