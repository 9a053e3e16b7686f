// Package toucanstore defines the key-value store that holds what must outlive
// the nodes: the configuration and the members of each service.
package toucanstore

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Item is a key with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64 // last change
	Lease    int64  // 0 means none
	Removed  bool   // only in events
}

// Listing is the state of a prefix. AsOf is the revision from which a watch
// continues.
type Listing struct {
	Items []Item
	AsOf  uint64
}

// Freshness says how old an answer may be. The set is closed.
type Freshness string

const (
	// Latest answers hold all writes that were acknowledged before the call.
	Latest Freshness = "latest"
	// Recent answers may be seconds old and cost the platform less.
	Recent Freshness = "recent"
)

// AnyRevision is the expected revision of a write without a condition.
const AnyRevision = ^uint64(0)

// Store is the part of the platform's store that the nodes use. Calls fail with
// ErrUnavailable when nothing was done, with ErrUnknown when a write may have
// been or may still be done, and with the other errors below.
type Store interface {
	// Get reads one key; a missing key is ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// List reads all keys under a prefix.
	List(ctx context.Context, prefix string, f Freshness) (Listing, error)
	// Watch returns the changes under a prefix after a revision as soon as there
	// is one, or none after the wait. It fails with ErrCompacted when the history
	// is no longer kept.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error)
	// Put writes a key under a lease if the key still has the revision; 0 means
	// that it does not exist. It returns the new revision, or fails with a
	// *ConflictError or ErrLeaseEnded.
	Put(ctx context.Context, key string, value []byte, lease int64, revision uint64) (uint64, error)
	// Delete removes a key if it still has the revision.
	Delete(ctx context.Context, key string, revision uint64) error
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (lease int64, err error)
	// Renew restarts the time to live of a lease, or fails with ErrLeaseEnded.
	Renew(ctx context.Context, lease int64) error
}

var (
	// ErrUnavailable says that the store did nothing.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnknown says that a write got no answer and may take effect.
	ErrUnknown = errors.New("result of the write is unknown")
	// ErrNotFound says that a key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrLeaseEnded says that a lease has ended or never existed.
	ErrLeaseEnded = errors.New("lease has ended")
	// ErrCompacted says that the history after a revision is gone.
	ErrCompacted = errors.New("history is no longer kept")
)

// ConflictError says that a key did not have the expected revision. Current is
// the key as it is; its Revision is 0 when it does not exist.
type ConflictError struct {
	Key     string
	Current Item
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q is at revision %d", e.Key, e.Current.Revision)
}
