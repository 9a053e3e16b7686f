// Package toucankv defines the operations of the platform's key-value service
// that the system uses and implements a client of the service.
package toucankv

import (
	"context"
	"fmt"
	"time"
)

// MaxValueBytes is the size of the largest value that the key-value service
// accepts.
const MaxValueBytes = 1 << 20

// Pair is a key with its value.
type Pair struct {
	Key     string
	Value   []byte
	Index   uint64 // version of the key; changes with every write and is passed to CompareAndSwap
	Session string // session that holds the key; empty if none does
}

// Snapshot is the state of a key that a watch returned. Pass Index to the next
// watch.
type Snapshot struct {
	Pair   Pair
	Exists bool
	Index  uint64
}

// Behaviour specifies what happens to the keys of a session that ends.
type Behaviour string

const (
	// Release keeps the keys and lets another session acquire them.
	Release Behaviour = "release"
	// Delete removes the keys.
	Delete Behaviour = "delete"
)

// Store provides the operations of the key-value service that the system uses.
// All methods are safe for concurrent use. Reads return *NotFoundError or
// *UnavailableError. Writes return *ConflictError, *SessionError, *RejectedError
// or *UnavailableError if the write had and will have no effect, and
// *UnknownResultError otherwise.
type Store interface {
	// Get reads one key.
	Get(ctx context.Context, key string) (Pair, error)
	// List reads all pairs whose keys have the prefix. It returns no error if there
	// are none.
	List(ctx context.Context, prefix string) ([]Pair, error)
	// Keys reads all keys that have the prefix. It returns no error if there are
	// none.
	Keys(ctx context.Context, prefix string) ([]string, error)
	// CompareAndSwap writes the key if its current index equals index. Index 0
	// means that the key must not exist.
	CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) error
	// Create writes the key if it does not exist.
	Create(ctx context.Context, key string, value []byte) error
	// Watch returns when the index of the key is greater than index, or after wait.
	// With index 0 it returns immediately. It returns no error if the key does not
	// exist.
	Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Snapshot, error)
	// CreateSession starts a session that ends unless it is renewed within ttl. The
	// service may end it later, but ends it earlier only if the service fails.
	CreateSession(ctx context.Context, ttl time.Duration, behaviour Behaviour) (session string, err error)
	// RenewSession restarts the time to live of a session.
	RenewSession(ctx context.Context, session string) error
	// Acquire writes the key and binds it to the session, unless another session
	// holds the key. It replaces the value of an existing key that no session
	// holds, and also succeeds if the session already holds the key.
	Acquire(ctx context.Context, key string, value []byte, session string) error
}

// NotFoundError reports that a key does not exist.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("key %q does not exist", e.Key) }

// ConflictError reports that the service refused a conditional write because of
// the state of the key. Current is the pair read after the refusal; its Index is
// 0 if the key does not exist or could not be read.
type ConflictError struct {
	Key     string
	Current Pair
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q was changed by another writer, index %d", e.Key, e.Current.Index)
}

// SessionError reports that a session has ended or never existed.
type SessionError struct{ Session string }

func (e *SessionError) Error() string { return fmt.Sprintf("session %q has ended", e.Session) }

// RejectedError reports that a request is invalid or was rejected as invalid by
// the key-value service. The request had no effect.
type RejectedError struct {
	Op, Key string
	Reason  string
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("%s %q was rejected: %s", e.Op, e.Key, e.Reason)
}

// UnavailableError reports that the key-value service did not serve a request and
// that the request had no effect: it was a read, was never sent, or was refused
// before the service processed it.
type UnavailableError struct {
	Op, Key string
	Err     error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s %q: key-value service unavailable: %v", e.Op, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// UnknownResultError reports that a write was sent and no response arrived that
// tells its result. The write may have taken effect, may take effect later, or
// may never do so.
type UnknownResultError struct {
	Op, Key string
	Err     error
}

func (e *UnknownResultError) Error() string {
	return fmt.Sprintf("%s %q: result unknown: %v", e.Op, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownResultError) Unwrap() error { return e.Err }
