// Package toucanstore defines the interface of the key-value store for the data that must
// outlive the nodes: the configuration and the members of each service.
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
	Revision uint64 // revision of the last change of the key
	Lease    int64  // id of the lease of the key; 0 means none
	Removed  bool   // the key was removed; set only by Watch
}

// Listing holds the items that List or Watch returned. AsOf is the revision to pass to the
// next Watch.
type Listing struct {
	Items []Item
	AsOf  uint64
}

// Freshness says how old the result of a read may be. There are no other values than
// these two.
type Freshness string

const (
	// Latest results contain all writes that were acknowledged before the read.
	Latest Freshness = "latest"
	// Recent results may be seconds old and cost the platform less.
	Recent Freshness = "recent"
)

// AnyRevision is passed as the expected revision of a write without a condition.
const AnyRevision = ^uint64(0)

// Store is the part of the platform's store that the nodes use. A call returns
// ErrUnavailable if the store did not serve it and it had no effect, ErrUnknown if a
// write may have taken effect or may still do so, and otherwise one of the other errors
// below.
type Store interface {
	// Get reads one key. If it does not exist, Get returns ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// List reads the keys under a prefix for which keep returns true. The others take no
	// memory, however many there are. A nil keep keeps all.
	List(ctx context.Context, prefix string, f Freshness, keep func(Item) bool) (Listing, error)
	// Watch returns the changes under a prefix after a revision. It waits until there is at
	// least one, and returns none after wait. If the store no longer has the history after
	// the revision, Watch returns ErrCompacted.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error)
	// Put writes a key under a lease if the key still has the given revision (a
	// compare-and-swap) and none of the keys in absent exists. Revision 0 means that the
	// key must not exist. Put returns the new revision, a *ConflictError or ErrLeaseEnded.
	Put(ctx context.Context, key string, value []byte, lease int64, revision uint64, absent ...string) (uint64, error)
	// Delete removes a key if it still has the given revision.
	Delete(ctx context.Context, key string, revision uint64) error
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (lease int64, err error)
	// Renew restarts the time to live of a lease, or returns ErrLeaseEnded.
	Renew(ctx context.Context, lease int64) error
}

var (
	// ErrUnavailable means that the store did not serve the call, which had no effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnknown means that a write got no usable response and may take effect.
	ErrUnknown = errors.New("result of the write is unknown")
	// ErrNotFound means that a key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrLeaseEnded means that a lease has ended or never existed.
	ErrLeaseEnded = errors.New("lease has ended")
	// ErrCompacted means that the store no longer has the history after a revision.
	ErrCompacted = errors.New("history is no longer kept")
)

// ConflictError means that a key did not have the expected revision, or that another key
// exists which must be absent. Current is the current state of the key; its Revision is 0
// if the key does not exist. Others are the other keys that exist.
type ConflictError struct {
	Key     string
	Current Item
	Others  []Item
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q is at revision %d", e.Key, e.Current.Revision)
}
