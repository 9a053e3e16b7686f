package toucanmesh

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"toucanhaven/toucanpeer"
)

// fetchTimeout limits a fetch of the configuration from another node.
const fetchTimeout = time.Second

// config holds the configuration in force, as the operator wrote it.
type config struct {
	mu            sync.Mutex
	data          []byte
	version       uint64
	fetching      bool
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
	n.log.Info("configuration in force", "version", t.Version, "source", source, "routes", len(t.Routes))
	return true
}

// fetchConfig fetches and installs the configuration of a node that has a newer
// one. At most one fetch runs at a time.
func (n *Node) fetchConfig(version uint64, link *toucanpeer.Link) {
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
		n.installConfig(d.Data, "peer")
	}()
}
