// Package toucanonce decides at-most-once execution of keyed requests. It is
// pure: it does no I/O and reads time only through a clock.
//
// # Issued keys
//
// A node issues a key through its [Home]. The key names the service, the home
// node, its incarnation and a sequence number, and carries a tag that only this
// incarnation can compute. Only this incarnation may run the key, so no
// agreement is needed, and neither a pause nor a KV outage can make it run
// twice. A home forgets keys in the order of their sequence and never runs a
// forgotten one, so safety does not depend on the home's clock.
//
// # Keys made up by callers
//
// The entry binds such a key to an issued key by a claim in the KV, under
// claim/<service>/<hash of the key>. The value of the claim is the issued key,
// so it names home and incarnation. The claim is created only if absent and is
// never changed. Every entry forwards the issued key that the claim holds; the
// home sees issued keys only.
//
// A claim is held under a session that is never renewed. The KV deletes the
// claim when the session ends, SessionTTL after it was created or later. The
// session must be bound to no health check, which could end it earlier, and
// must delete its claims when it ends. An entry uses a session only for issued
// keys that it received within SessionUse of asking for the session ([Lease]).
// The issued key therefore expires at least
//
//	SessionTTL - SessionUse - KeyTTL = 20 min
//
// before its claim can lapse. An entry that was paused while it held the claim,
// for however long, forwards an issued key that has expired before another
// entry can bind the caller's key anew, and the home does not run it.
//
// This is the bound on clock differences: from the creation of a session to its
// end, the clocks of the entry and of the home may together fall behind the
// clock of the KV by at most 20 min. Offsets between clocks do not matter, since
// each party only compares readings of its own clock. Home and Lease advance by
// the larger of the steps of the wall clock and the monotonic clock, so a wall
// clock set back or a monotonic clock stopped by a suspended VM alone does not
// extend the life of a key. A home that stops between Confirm and the first byte
// to the backend server for longer than the bound is not covered.
//
// A caller-made key protects its request for KeyTTL after its first use. The
// same text used again after the claim has lapsed is a new key.
package toucanonce

import "time"

const (
	// KeyTTL is how long an issued key may be used, and how long a caller-made
	// key protects its request after its first use.
	KeyTTL = 10 * time.Minute
	// SessionTTL is the life of the KV session under which an entry makes claims
	// and a home writes its seal. The session is not renewed.
	SessionTTL = time.Hour
	// SessionUse is how long after asking for a session an entry still pairs it
	// with newly received issued keys.
	SessionUse = 30 * time.Minute
)
