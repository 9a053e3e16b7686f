package toucanmesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"toucanhaven/toucanpeer"
	"toucanhaven/toucanstore"
)

const (
	// watchRate is how many watches all nodes together start a second. A store
	// that drops its history may leave a watch without an answer, so that a
	// change is heard from the next watch that any node starts.
	watchRate = 2
	// minWatch and maxWatch bound the wait of one watch.
	minWatch = time.Second
	maxWatch = 30 * time.Second
	// watchPause is the pause after a watch or a list failed.
	watchPause = 250 * time.Millisecond
	// fetchTimeout bounds fetching a configuration from another node.
	fetchTimeout = time.Second
)

// config is the configuration in force, as the operator wrote it.
type config struct {
	mu       sync.Mutex
	data     []byte
	version  uint64
	fetching bool
	kick     chan struct{}
}

func (c *config) document() toucanpeer.Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	return toucanpeer.Document{Version: c.version, Data: c.data}
}

func (n *Node) version() uint64 {
	if t := n.entry.Table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// install puts a configuration in force unless it is invalid or not newer.
func (n *Node) install(data []byte, source string) {
	t, err := n.dialect.Decode(data)
	if err != nil {
		n.log.Error("invalid configuration; the last one stays in force", "source", source, "err", err)
		return
	}
	n.config.mu.Lock()
	defer n.config.mu.Unlock()
	if t.Version <= n.config.version {
		return
	}
	n.config.data, n.config.version = data, t.Version
	n.entry.Table.Store(t)
	n.log.Info("configuration in force", "version", t.Version, "source", source, "routes", len(t.Routes))
}

// fetchConfig takes the configuration of a node that has a newer one.
func (n *Node) fetchConfig(version uint64, link *toucanpeer.Link) {
	n.config.mu.Lock()
	busy := n.config.fetching
	n.config.fetching = true
	n.config.mu.Unlock()
	if busy {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		d, err := link.Document(ctx)
		n.config.mu.Lock()
		n.config.fetching = false
		n.config.mu.Unlock()
		if err != nil {
			n.log.Warn("configuration not fetched", "version", version, "err", err)
			return
		}
		n.install(d.Data, "peer")
	}()
}

// followConfig follows the configuration in the store.
func (n *Node) followConfig(ctx context.Context) {
	take := func(l toucanstore.Listing) {
		for _, i := range l.Items {
			if i.Key == n.dialect.ConfigKey && !i.Removed {
				n.install(i.Value, "store")
			}
		}
	}
	n.follow(ctx, n.dialect.ConfigKey, n.config.kick, 0, take, take)
}

// follow calls list with the state of a prefix and event with each change
// after it. A kick starts over, because a watch may have gone silent.
func (n *Node) follow(ctx context.Context, prefix string, kick <-chan struct{}, pause time.Duration, list, event func(toucanstore.Listing)) {
	for ctx.Err() == nil {
		l, err := n.store.List(ctx, prefix)
		if err != nil {
			n.log.Warn("list failed", "prefix", prefix, "err", err)
			sleep(ctx, watchPause)
			continue
		}
		list(l)
		n.watch(ctx, prefix, l.AsOf, kick, pause, event)
	}
}

// watch passes on changes until the store no longer keeps them or a kick comes.
func (n *Node) watch(ctx context.Context, prefix string, after uint64, kick <-chan struct{}, pause time.Duration, event func(toucanstore.Listing)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	kicked := make(chan struct{})
	go func() {
		select {
		case <-kick:
			close(kicked)
			cancel()
		case <-ctx.Done():
		}
	}()
	for ctx.Err() == nil {
		l, err := n.store.Watch(ctx, prefix, after, n.watchWait())
		switch {
		case err == nil:
			event(l)
			after = max(after, l.AsOf)
			sleep(ctx, pause)
		case errors.Is(err, toucanstore.ErrCompacted):
			n.log.Info("watch starts over", "prefix", prefix, "after", after)
			return
		case ctx.Err() == nil:
			n.log.Warn("watch failed", "prefix", prefix, "err", err)
			sleep(ctx, watchPause)
		}
	}
}

// watchWait spreads the watches of all nodes over time.
func (n *Node) watchWait() time.Duration {
	wait := time.Duration(n.fleet.Size()) * time.Second / watchRate
	wait = time.Duration(float64(wait) * (0.5 + rand.Float64()))
	return min(max(wait, minWatch), maxWatch)
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
