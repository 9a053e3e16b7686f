// Package toucankv is the narrow interface to the platform's key-value service
// and its client.
package toucankv

import (
	"context"
	"fmt"
	"time"
)

// MaxValueBytes is the largest value the key-value service holds.
const MaxValueBytes = 1 << 20

// Pair is a key with its value.
type Pair struct {
	Key     string
	Value   []byte
	Index   uint64 // changes with every write of the key; names the version to replace
	Session string // session that holds the key; empty when none does
}

// Snapshot is what a watch saw. Index is what the next watch passes.
type Snapshot struct {
	Pair   Pair
	Exists bool
	Index  uint64
}

// Behaviour says what happens to the keys of a session that ends.
type Behaviour string

const (
	// Release keeps the keys and frees them for another session.
	Release Behaviour = "release"
	// Delete removes the keys.
	Delete Behaviour = "delete"
)

// Store is the part of the key-value service that the system uses. All methods
// are safe for concurrent use. Reads fail with *NotFoundError or
// *UnavailableError. Writes fail with *ConflictError, *SessionError,
// *RejectedError or *UnavailableError, after which the write has not taken and
// will not take effect, or with *UnknownResultError.
type Store interface {
	// Get reads one key.
	Get(ctx context.Context, key string) (Pair, error)
	// List reads all pairs under a prefix; no pair is not an error.
	List(ctx context.Context, prefix string) ([]Pair, error)
	// Keys reads the names of all keys under a prefix; no key is not an error.
	Keys(ctx context.Context, prefix string) ([]string, error)
	// CompareAndSwap writes the key if its index is still the given one. Index 0
	// stands for a key that does not exist.
	CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) error
	// Create writes the key if it does not exist.
	Create(ctx context.Context, key string, value []byte) error
	// Watch returns when the key has an index above the given one, or after wait.
	// Index 0 returns at once. An absent key is not an error.
	Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Snapshot, error)
	// CreateSession starts a session that ends unless renewed within ttl. The
	// service may end it later than that, never earlier unless it fails.
	CreateSession(ctx context.Context, ttl time.Duration, end Behaviour) (session string, err error)
	// RenewSession restarts the ttl of a session.
	RenewSession(ctx context.Context, session string) error
	// Acquire writes the key and binds it to the session unless another session
	// holds it. It replaces the value of a key that exists and is not held, and
	// succeeds again for the session that holds the key.
	Acquire(ctx context.Context, key string, value []byte, session string) error
}

// NotFoundError says that a key does not exist.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("key %q does not exist", e.Key) }

// ConflictError says that a conditional write was refused, because of the state
// of the key. Current is the pair read after the refusal; its Index is 0 when
// the key does not exist or could not be read.
type ConflictError struct {
	Key     string
	Current Pair
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q was changed by another writer, index %d", e.Key, e.Current.Index)
}

// SessionError says that a session has ended or never existed.
type SessionError struct{ Session string }

func (e *SessionError) Error() string { return fmt.Sprintf("session %q has ended", e.Session) }

// RejectedError says that the key-value service considers a request invalid.
// Nothing took effect.
type RejectedError struct {
	Op, Key string
	Reason  string
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("%s %q was rejected: %s", e.Op, e.Key, e.Reason)
}

// UnavailableError says that the key-value service did not serve a request and
// that nothing took effect: the request was a read, was never sent, or was
// refused before it was processed.
type UnavailableError struct {
	Op, Key string
	Err     error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s %q: key-value service unavailable: %v", e.Op, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// UnknownResultError says that a write was sent and no reply arrived. The write
// may have taken effect, may take effect later, or may never do so.
type UnknownResultError struct {
	Op, Key string
	Err     error
}

func (e *UnknownResultError) Error() string {
	return fmt.Sprintf("%s %q: result unknown: %v", e.Op, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownResultError) Unwrap() error { return e.Err }
