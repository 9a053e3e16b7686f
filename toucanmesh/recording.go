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
	// departureStoreTime is the time that the store has to take a departure before other
	// nodes are asked to remember it. minWitnesses is the number of nodes that must.
	departureStoreTime = 300 * time.Millisecond
	minWitnesses       = 2
	witnessTimeout     = 250 * time.Millisecond
	witnessRetryDelay  = 200 * time.Millisecond
	// departureRetryDelay is the delay after a failed attempt to record a departure.
	departureRetryDelay = 700 * time.Millisecond
)

// recording holds the departures that this node has started to record.
type recording struct {
	mu      sync.Mutex
	started map[departure]*recordedDeparture
}

// recordedDeparture is a departure that this node records.
type recordedDeparture struct {
	departure
	stored    chan struct{} // closed when the store has it
	witnessed chan struct{} // closed when other nodes remember it
	failed    chan struct{} // closed when the first attempt to store it has failed
}

// departure identifies one start of a backend server that has left. The record of a
// node in the store is a JSON array of departures, oldest first.
type departure struct {
	Instance string `json:"instance"`
	Born     int64  `json:"born"`
}

// recordDeparture waits until a departure binds: the store has it or, while the store does
// not take it, other nodes remember it. It returns an error if that takes too long; the
// departure must not be acknowledged then. The attempts to record it go on.
//
// What other nodes remember ends with their processes. After that this node still does not
// use the server again, because only the server itself can show that it takes calls; see
// proofState.
func (n *Node) recordDeparture(d departure) error {
	t := time.NewTimer(departureAckTimeout)
	defer t.Stop()
	r := n.startRecording(d)
	select {
	case <-r.stored:
		return nil
	case <-r.witnessed:
		return nil
	case <-t.C:
		return fmt.Errorf("departure of server %s born %d is not recorded after %v", d.Instance, d.Born, departureAckTimeout)
	}
}

// startRecording starts to record a departure unless that was started before.
func (n *Node) startRecording(d departure) *recordedDeparture {
	n.recording.mu.Lock()
	defer n.recording.mu.Unlock()
	if r := n.recording.started[d]; r != nil {
		return r
	}
	r := &recordedDeparture{departure: d, stored: make(chan struct{}), witnessed: make(chan struct{}), failed: make(chan struct{})}
	n.recording.started[d] = r
	go n.keepRecording(r)
	go n.keepWitnessed(r)
	return r
}

// keepRecording tries to record a departure until that succeeds or the departure no
// longer matters.
func (n *Node) keepRecording(r *recordedDeparture) {
	end := n.clock.Now().Add(departureTTL)
	for first := true; n.clock.Now().Before(end); first = false {
		byPeer, err := n.tryRecord(r.departure)
		n.log.Info("departure", "instance", r.Instance, "born", r.Born, "stored", err == nil, "by_peer", byPeer, "err", err)
		if err == nil {
			close(r.stored)
			time.AfterFunc(departureTTL, func() { n.endRecording(r.departure) })
			return
		}
		if first {
			close(r.failed)
		}
		select {
		case <-n.stop:
			return
		case <-time.After(departureRetryDelay):
		}
	}
	n.endRecording(r.departure)
}

// keepWitnessed asks other nodes to remember a departure that the store has not taken at
// once, until enough do or the store has it.
func (n *Node) keepWitnessed(r *recordedDeparture) {
	select {
	case <-r.failed:
	case <-time.After(departureStoreTime):
	case <-r.stored:
		return
	}
	for end := n.clock.Now().Add(departureTTL); n.clock.Now().Before(end); {
		if n.witnessDeparture(r.departure) {
			n.log.Info("departure remembered by other nodes", "instance", r.Instance, "born", r.Born)
			close(r.witnessed)
			return
		}
		select {
		case <-n.stop:
			return
		case <-r.stored:
			return
		case <-time.After(witnessRetryDelay):
		}
	}
}

func (n *Node) witnessDeparture(d departure) bool {
	ctx, cancel := context.WithTimeout(context.Background(), witnessTimeout)
	defer cancel()
	return n.fleet.WitnessDeparture(ctx, toucanpeer.Departure{Node: n.settings.Load().Node, Instance: d.Instance, Born: d.Born}, minWitnesses)
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
