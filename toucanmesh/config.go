package toucanmesh

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"toucanhaven/toucanpeer"
)

const (
	// fetchTimeout limits a fetch of the configuration from another node.
	fetchTimeout = time.Second
	// crossDCFetchDelay is the longest delay before a newer configuration is fetched
	// from another data centre.
	crossDCFetchDelay = 300 * time.Millisecond
)

// config holds the configuration in force, as the operator wrote it.
type config struct {
	mu            sync.Mutex
	data          []byte
	version       uint64
	fetching      bool
	fetchDelayed  atomic.Bool // a fetch from another data centre is due
	readFromStore atomic.Bool // the store was read at least once
}

func (c *config) document() toucanpeer.Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	return toucanpeer.Document{Version: c.version, Data: c.data}
}

func (n *Node) configVersion() uint64 {
	if t := n.entry.Table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// installConfig decodes a configuration and puts it in force. It reports false
// if the configuration is invalid or not newer than the one in force.
func (n *Node) installConfig(data []byte, source string) bool {
	t, err := n.platform.DecodeConfig(data)
	if err != nil {
		n.log.Error("invalid configuration; the last one stays in force", "source", source, "err", err)
		return false
	}
	n.config.mu.Lock()
	defer n.config.mu.Unlock()
	if t.Version <= n.config.version {
		return false
	}
	n.config.data, n.config.version = data, t.Version
	n.entry.Table.Store(t)
	wake(n.proof.changed) // the path of the health check may be known now
	n.log.Info("configuration in force", "version", t.Version, "source", source, "routes", len(t.Routes))
	return true
}

// fetchConfig fetches and installs the configuration of a node that has a newer
// one. It leaves a node of another data centre some time in which a node of this
// one may report the configuration too.
func (n *Node) fetchConfig(version uint64, link *toucanpeer.Link, sameDC bool) {
	if sameDC || n.configVersion() == 0 {
		n.fetchConfigNow(version, link, sameDC)
		return
	}
	if n.config.fetchDelayed.Swap(true) {
		return
	}
	time.AfterFunc(crossDCFetchDelay/2+rand.N(crossDCFetchDelay/2), func() {
		n.config.fetchDelayed.Store(false)
		if n.configVersion() < version {
			n.fetchConfigNow(version, link, sameDC)
		}
	})
}

// fetchConfigNow fetches and installs the configuration of a node. At most one
// fetch runs at a time. A configuration from another data centre is announced,
// because the nodes of this one may have no link to that data centre.
func (n *Node) fetchConfigNow(version uint64, link *toucanpeer.Link, sameDC bool) {
	n.config.mu.Lock()
	alreadyFetching := n.config.fetching
	n.config.fetching = true
	n.config.mu.Unlock()
	if alreadyFetching {
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
		if n.installConfig(d.Data, "peer") && !sameDC {
			n.announceSelf()
		}
	}()
}
