package toucanmesh

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"toucanhaven/toucanpeer"
	"toucanhaven/toucanstore"
)

const (
	departurePrefix = "left/"
	// maxDepartures bounds the departures in the record of a node.
	maxDepartures = 8
	// departureTTL is how long the store keeps a departure. It is longer than a
	// backend server continues to run after it announced its departure.
	departureTTL = 60 * time.Second
	// departureAckTimeout limits the wait for the record of a departure, which
	// precedes its acknowledgement. A server that has waited a second for the
	// acknowledgement calls another node.
	departureAckTimeout = 800 * time.Millisecond
	// departureWriteTimeout limits one attempt to record a departure.
	departureWriteTimeout = 2 * time.Second
	// departureRetryDelay is the delay after a failed attempt to record a departure.
	departureRetryDelay = 700 * time.Millisecond
)

// recording holds the departures that this node has started to record.
type recording struct {
	mu      sync.Mutex
	started map[departure]chan struct{} // closed when the store has the departure
}

// departure identifies one start of a backend server that has left. The record of a
// node in the store is a JSON array of departures, oldest first.
type departure struct {
	Instance string `json:"instance"`
	Born     int64  `json:"born"`
}

// recordDeparture waits until the store has a departure. It returns an error if that
// takes too long; the departure must not be acknowledged then, because only the store
// outlives the processes of all nodes. The attempts to record it go on.
func (n *Node) recordDeparture(d departure) error {
	t := time.NewTimer(departureAckTimeout)
	defer t.Stop()
	select {
	case <-n.startRecording(d):
		return nil
	case <-t.C:
		return fmt.Errorf("departure of server %s born %d is not recorded after %v", d.Instance, d.Born, departureAckTimeout)
	}
}

// startRecording starts to record a departure unless that was started before. It returns
// a channel that is closed when the store has the departure.
func (n *Node) startRecording(d departure) <-chan struct{} {
	n.recording.mu.Lock()
	defer n.recording.mu.Unlock()
	if recorded, ok := n.recording.started[d]; ok {
		return recorded
	}
	recorded := make(chan struct{})
	n.recording.started[d] = recorded
	go n.keepRecording(d, recorded)
	return recorded
}

// keepRecording tries to record a departure until that succeeds or the departure no
// longer matters.
func (n *Node) keepRecording(d departure, recorded chan struct{}) {
	end := n.clock.Now().Add(departureTTL)
	for n.clock.Now().Before(end) {
		byPeer, err := n.tryRecord(d)
		n.log.Info("departure", "instance", d.Instance, "born", d.Born, "stored", err == nil, "by_peer", byPeer, "err", err)
		if err == nil {
			close(recorded)
			time.AfterFunc(departureTTL, func() { n.endRecording(d) })
			return
		}
		select {
		case <-n.stop:
			return
		case <-time.After(departureRetryDelay):
		}
	}
	n.endRecording(d)
}

func (n *Node) endRecording(d departure) {
	n.recording.mu.Lock()
	defer n.recording.mu.Unlock()
	delete(n.recording.started, d)
}

// tryRecord records a departure in the store. If the store does not serve this node, it
// asks other nodes to do so, which the store may serve.
func (n *Node) tryRecord(d departure) (byPeer bool, err error) {
	unreachable := n.store.isUnreachable()
	if unreachable && n.recordByPeer(d) {
		return true, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), departureWriteTimeout)
	defer cancel()
	err = n.probeStore(ctx)
	if err == nil {
		err = n.writeDeparture(ctx, n.settings.Load().Node, d)
	}
	n.recordStoreHealth(err)
	if err != nil && !unreachable && n.recordByPeer(d) {
		return true, nil
	}
	return false, err
}

func (n *Node) recordByPeer(d departure) bool {
	ctx, cancel := context.WithTimeout(context.Background(), departureWriteTimeout)
	defer cancel()
	return n.fleet.RecordDeparture(ctx, toucanpeer.Departure{Node: n.settings.Load().Node, Instance: d.Instance, Born: d.Born})
}

// writeDeparture adds a departure to the record of a node in the store. The record may
// hold departures that this node has not read yet.
func (n *Node) writeDeparture(ctx context.Context, node string, d departure) error {
	lease, err := n.store.Grant(ctx, departureTTL)
	if err != nil {
		return err
	}
	record, revision := []departure{d}, uint64(0)
	for {
		value, err := json.Marshal(record)
		if err != nil {
			return err
		}
		_, err = n.store.Put(ctx, departurePrefix+node, value, lease, revision)
		var conflict *toucanstore.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		stored := n.decodeDepartures(conflict.Current)
		if slices.Contains(stored, d) {
			return nil
		}
		record, revision = append(stored, d), conflict.Current.Revision
		record = record[max(0, len(record)-maxDepartures):]
	}
}

// decodeDepartures decodes a record of departures.
func (n *Node) decodeDepartures(i toucanstore.Item) (list []departure) {
	if len(i.Value) == 0 {
		return nil
	}
	if err := json.Unmarshal(i.Value, &list); err != nil {
		n.log.Error("unreadable departure", "key", i.Key, "err", err)
		return nil
	}
	return slices.DeleteFunc(list, func(d departure) bool { return d.Instance == "" })
}
