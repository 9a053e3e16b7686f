package toucanmesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"toucanhaven/toucanstore"
)

const (
	// configWatchShare, of the setting ConfigDelay, and memberWatchTimeout are the
	// longest durations of one watch call. A store that drops its history may leave
	// a watch call without a response; the next one then returns the change.
	configWatchShare   = 0.6
	memberWatchTimeout = 6 * time.Second
	// listRetryDelay is the delay after a failed list call.
	listRetryDelay = 250 * time.Millisecond
	// watchStartDelay is how long a node does not watch after its start. It has no
	// links at first, and all nodes may start at the same time.
	watchStartDelay = time.Second
	// watcherCheckInterval is the interval at which a node checks whether it is
	// a watcher.
	watcherCheckInterval = 250 * time.Millisecond
	// memberBatchDelay is the delay between a change of members and the next
	// watch call, which collects further changes. Connected nodes receive
	// changes directly.
	memberBatchDelay = time.Second
)

// monitoredStore is a store client with a record of whether the store is
// reachable.
type monitoredStore struct {
	toucanstore.Store
	unreachable atomic.Bool
}

// isUnreachable reports whether the last call that was passed to
// recordStoreHealth failed.
func (s *monitoredStore) isUnreachable() bool { return s.unreachable.Load() }

// recordStoreHealth records the result of a call to the store. It logs when the
// store becomes unreachable and when it is reachable again.
func (n *Node) recordStoreHealth(err error) {
	switch wasUnreachable := n.store.unreachable.Swap(err != nil); {
	case err != nil && !wasUnreachable:
		n.log.Warn("store lost", "err", err)
	case err == nil && wasUnreachable:
		n.log.Info("store regained")
	}
}

// isWatcher reports whether this node watches the store for the nodes of its data
// centre. A node without connections there watches the store itself.
func (n *Node) isWatcher() bool {
	if n.clock.Now().Sub(n.started) < watchStartDelay {
		return false
	}
	rank, watchers := n.fleet.WatchRank()
	return !n.store.isUnreachable() && rank < watchers
}

// followConfig installs the configuration of the store and its changes.
func (n *Node) followConfig(ctx context.Context) {
	apply := func(l toucanstore.Listing) {
		n.config.readFromStore.Store(true)
		for _, i := range l.Items {
			if i.Key == n.platform.ConfigKey && !i.Removed && n.installConfig(i.Value, "store") {
				n.announceSelf()
			}
		}
	}
	listDue := func() bool { return n.configVersion() == 0 && !n.config.readFromStore.Load() }
	timeout := time.Duration(configWatchShare * float64(n.settings.Load().ConfigDelay.Duration))
	n.followPrefix(ctx, watchOptions{prefix: n.platform.ConfigKey, listDue: listDue, timeout: timeout, onList: apply, onChange: apply})
}

// followMembers applies the members of the store and their changes.
func (n *Node) followMembers(ctx context.Context) {
	n.followPrefix(ctx, watchOptions{
		prefix: memberPrefix, keep: n.isMember, listDue: n.member.listDue.Load, timeout: memberWatchTimeout, batchDelay: memberBatchDelay,
		onList: n.applyMembers, onChange: n.applyMemberEvents,
	})
}

// watchOptions describes how a node lists and watches a prefix of the store.
type watchOptions struct {
	prefix     string
	keep       func(toucanstore.Item) bool // entries to list; nil for all
	listDue    func() bool                 // reports whether the prefix must be listed even if this node is not a watcher
	timeout    time.Duration               // longest duration of a watch call
	batchDelay time.Duration               // between a change and the next watch call
	onList     func(toucanstore.Listing)
	onChange   func(toucanstore.Listing)
}

// followPrefix lists a prefix when that is due or this node becomes a watcher.
// It watches the prefix while this node is a watcher.
func (n *Node) followPrefix(ctx context.Context, o watchOptions) {
	for ctx.Err() == nil {
		if !o.listDue() && !n.isWatcher() {
			sleep(ctx, watcherCheckInterval)
			continue
		}
		l, err := n.store.List(ctx, o.prefix, toucanstore.Latest, o.keep)
		if err != nil {
			n.log.Warn("list failed", "prefix", o.prefix, "err", err)
			n.recordStoreHealth(err)
			sleep(ctx, listRetryDelay)
			continue
		}
		o.onList(l)
		n.watchPrefix(ctx, o, l.AsOf)
	}
}

// watchPrefix passes changes after a revision to o.onChange. It returns when
// this node is no longer a watcher, a watch call fails, or the store no longer
// keeps the changes.
func (n *Node) watchPrefix(ctx context.Context, o watchOptions, after uint64) {
	if !n.isWatcher() {
		return
	}
	n.log.Info("watch started", "prefix", o.prefix, "after", after)
	for ctx.Err() == nil {
		if !n.isWatcher() {
			n.log.Info("watch left to other nodes", "prefix", o.prefix, "after", after, "store_lost", n.store.isUnreachable())
			return
		}
		began := n.clock.Now()
		l, err := n.store.Watch(ctx, o.prefix, after, o.timeout/2+rand.N(o.timeout/2))
		switch {
		case errors.Is(err, toucanstore.ErrCompacted):
			n.log.Info("watch starts over", "prefix", o.prefix, "after", after)
			return
		case err != nil:
			n.log.Warn("watch failed", "prefix", o.prefix, "err", err)
			if n.clock.Now().Sub(began) < listRetryDelay { // the list that follows may succeed while each watch fails at once
				sleep(ctx, listRetryDelay)
			}
			return
		}
		o.onChange(l)
		after = max(after, l.AsOf)
		if len(l.Items) > 0 {
			sleep(ctx, o.batchDelay)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// wake sends to a channel without blocking.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
