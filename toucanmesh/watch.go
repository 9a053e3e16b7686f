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
	// watchers is the number of nodes that watch the store; the others hear of
	// changes from them.
	watchers = 3
	// configWatch and memberWatch are the longest waits of a watch. A store that
	// drops its history may leave a watch without an answer, so that a change is
	// heard from the next one; a configuration must be in force within 2 s.
	configWatch = 1200 * time.Millisecond
	memberWatch = 6 * time.Second
	// watchPause is the pause after a watch or a list failed.
	watchPause = 250 * time.Millisecond
	// dutyTime is the time between looks at whether this node is a watcher.
	dutyTime = 250 * time.Millisecond
	// memberPause collects changes of members between two watches. Connected nodes
	// hear of changes directly.
	memberPause = time.Second
)

// storeLink is the store with what is known of its health.
type storeLink struct {
	toucanstore.Store
	lost atomic.Bool
}

// isLost reports whether the last call to the store that tells failed.
func (s *storeLink) isLost() bool { return s.lost.Load() }

// noteStore logs the loss and the return of the store.
func (n *Node) noteStore(err error) {
	switch before := n.store.lost.Swap(err != nil); {
	case err != nil && !before:
		n.log.Warn("store lost", "err", err)
	case err == nil && before:
		n.log.Info("store regained")
	}
}

// watches reports whether this node watches the store: it is one of the first of
// the nodes that reach the store, of those that it is connected to. A node
// without connections watches for itself.
func (n *Node) watches() bool {
	return !n.store.isLost() && n.fleet.Rank() < watchers
}

// followConfig follows the configuration in the store.
func (n *Node) followConfig(ctx context.Context) {
	take := func(l toucanstore.Listing) {
		n.config.read.Store(true)
		for _, i := range l.Items {
			if i.Key == n.platform.ConfigKey && !i.Removed && n.install(i.Value, "store") {
				n.announce()
			}
		}
	}
	due := func() bool { return n.version() == 0 && !n.config.read.Load() }
	n.follow(ctx, following{prefix: n.platform.ConfigKey, due: due, wait: configWatch, list: take, event: take})
}

// followMembers follows the members in the store.
func (n *Node) followMembers(ctx context.Context) {
	event := func(l toucanstore.Listing) {
		for _, i := range l.Items {
			n.memberEvent(i)
		}
	}
	n.follow(ctx, following{
		prefix: memberPrefix, due: n.member.unread.Load, wait: memberWatch, pause: memberPause, list: n.takeMembers, event: event,
	})
}

// following is what a node does about a prefix of the store.
type following struct {
	prefix string
	due    func() bool   // the prefix must be listed, whoever watches it
	wait   time.Duration // longest wait of a watch
	pause  time.Duration // between a change and the next watch
	list   func(toucanstore.Listing)
	event  func(toucanstore.Listing)
}

// follow lists a prefix when that is due or this node becomes a watcher, and
// watches it while this node is one.
func (n *Node) follow(ctx context.Context, f following) {
	for ctx.Err() == nil {
		if !f.due() && !n.watches() {
			sleep(ctx, dutyTime)
			continue
		}
		l, err := n.store.List(ctx, f.prefix, toucanstore.Latest)
		if err != nil {
			n.log.Warn("list failed", "prefix", f.prefix, "err", err)
			n.noteStore(err)
			sleep(ctx, watchPause)
			continue
		}
		f.list(l)
		n.watch(ctx, f, l.AsOf)
	}
}

// watch passes on changes while this node is a watcher, until a watch fails or
// the store no longer keeps the changes.
func (n *Node) watch(ctx context.Context, f following, after uint64) {
	if !n.watches() {
		return
	}
	n.log.Info("watch started", "prefix", f.prefix, "after", after, "rank", n.fleet.Rank())
	for ctx.Err() == nil {
		if !n.watches() {
			n.log.Info("watch left to other nodes", "prefix", f.prefix, "after", after, "rank", n.fleet.Rank(), "store_lost", n.store.isLost())
			return
		}
		l, err := n.store.Watch(ctx, f.prefix, after, f.wait/2+rand.N(f.wait/2))
		switch {
		case errors.Is(err, toucanstore.ErrCompacted):
			n.log.Info("watch starts over", "prefix", f.prefix, "after", after)
			return
		case err != nil:
			n.log.Warn("watch failed", "prefix", f.prefix, "err", err)
			return
		}
		f.event(l)
		after = max(after, l.AsOf)
		if len(l.Items) > 0 {
			sleep(ctx, f.pause)
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

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
