package toucanmesh

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"toucanhaven/toucanbackend"
	"toucanhaven/toucanpeer"
	"toucanhaven/toucanstore"
)

const (
	leftPrefix = "left/"
	// markTTL is how long the departure of a backend server is remembered. It is
	// longer than a server that leaves runs on.
	markTTL = 60 * time.Second
	// markTimeout bounds the wait for the store before a departure is
	// acknowledged. A server calls another node when it waits a second.
	markTimeout = 500 * time.Millisecond
	// witnessTime is how long other nodes get to say that the backend server left,
	// before the store's word is taken. A departure that the store did not take is
	// remembered by another node.
	witnessTime = 100 * time.Millisecond
	// freshShare is the part of the heartbeat interval after which a further
	// heartbeat was sent after this node started.
	freshShare = 0.6
)

// startup is what a node knows of the backend server before it may use it.
type startup struct {
	mu         sync.Mutex
	settled    bool // a departure before this start would be known
	heartbeats int
	first      time.Time // arrival of the first heartbeat
	last       toucanbackend.Heartbeat
	departed   departure // backend server that has left before this start
	recorded   departure // newest one that is remembered elsewhere

	// What the last node said of the backend server, and its address.
	witness     departure
	witnessAddr string
}

// departure names one start of a backend server, as the record that it left.
type departure struct {
	Instance string `json:"instance"`
	Born     int64  `json:"born"`
}

// HandleHeartbeat takes a heartbeat of the backend server. A departure is recorded
// before it is acknowledged, so that this node knows of it after a restart.
func (n *Node) HandleHeartbeat(h toucanbackend.Heartbeat) error {
	s := n.settings.Load()
	if h.Service != s.Service || h.Address != s.BackendAddress {
		if n.file != "" {
			n.Reload()
			s = n.settings.Load()
		}
		if h.Service != s.Service || h.Address != s.BackendAddress {
			return fmt.Errorf("server %s of service %q at %s is not the one on this VM, %q at %s", h.Instance, h.Service, h.Address, s.Service, s.BackendAddress)
		}
	}
	if !n.admit(&h) {
		return nil
	}
	return n.observe(h)
}

// admit holds heartbeats back until a departure before this start would be
// known: from the store, from another node, or because the server goes on
// saying that it is ready.
func (n *Node) admit(h *toucanbackend.Heartbeat) bool {
	n.startup.mu.Lock()
	defer n.startup.mu.Unlock()
	now := n.clock.Now()
	if n.startup.heartbeats == 0 {
		n.startup.first = now
	}
	n.startup.heartbeats++
	if now.Sub(n.startup.first).Seconds() > freshShare*n.settings.Load().Heartbeat.Seconds() && h.Sequence > n.startup.last.Sequence {
		n.startup.settled = true
	}
	if n.startup.last.Born <= h.Born {
		n.startup.last = *h
	}
	if n.startup.departed == (departure{h.Instance, h.Born}) {
		h.State = toucanbackend.Draining
	}
	return n.startup.settled || h.State == toucanbackend.Draining
}

func (n *Node) observe(h toucanbackend.Heartbeat) error {
	if n.runner.Observe(h) == toucanbackend.Late {
		n.log.Info("late heartbeat", "instance", h.Instance, "born", h.Born, "sequence", h.Sequence, "state", string(h.State))
		return nil
	}
	if h.State == toucanbackend.Draining {
		return n.recordDeparture(h.Instance, h.Born)
	}
	return nil
}

// HandleDeparture takes the message of a backend server that is gone.
func (n *Node) HandleDeparture(instance string, born int64) error {
	if n.runner.Leave(instance, born) == toucanbackend.Late {
		n.log.Info("departure of another server", "instance", instance, "born", born)
		return nil
	}
	return n.recordDeparture(instance, n.runner.Server().Born)
}

// recordDeparture makes the store or another node remember the departure. It
// fails when neither does; the departure must not be acknowledged then.
func (n *Node) recordDeparture(instance string, born int64) error {
	d := departure{Instance: instance, Born: born}
	n.startup.mu.Lock()
	recorded := n.startup.recorded == d
	n.startup.mu.Unlock()
	if recorded {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), markTimeout)
	defer cancel()
	err := n.writeDeparture(ctx, d)
	heard := err != nil && n.fleet.Announce(context.WithoutCancel(ctx))
	n.log.Info("departure", "instance", instance, "born", born, "stored", err == nil, "heard", heard, "err", err)
	if err != nil && !heard {
		return fmt.Errorf("record the departure: %w", err)
	}
	n.startup.mu.Lock()
	n.startup.recorded = d
	n.startup.mu.Unlock()
	return nil
}

func (n *Node) writeDeparture(ctx context.Context, d departure) error {
	value, err := json.Marshal(d)
	if err != nil {
		return err
	}
	lease, err := n.store.Grant(ctx, markTTL)
	if err != nil {
		return err
	}
	_, err = n.store.Put(ctx, leftPrefix+n.settings.Load().Node, value, lease, toucanstore.Any)
	return err
}

// recoverDeparture reads whether the backend server left before this start.
func (n *Node) recoverDeparture(ctx context.Context) {
	for ctx.Err() == nil {
		item, err := n.store.Get(ctx, leftPrefix+n.settings.Load().Node)
		switch {
		case errors.Is(err, toucanstore.ErrNotFound):
			sleep(ctx, witnessTime)
			n.settle(departure{}, "store")
			n.resume(ctx)
			return
		case err == nil:
			var d departure
			if err := json.Unmarshal(item.Value, &d); err != nil {
				n.log.Error("unreadable departure", "key", item.Key, "err", err)
			}
			n.settle(d, "store")
			return
		}
		if n.isSettled() {
			return
		}
		n.log.Warn("departures not read", "err", err)
		sleep(ctx, startRetry)
	}
}

// resume takes up the backend server that an earlier start of this node served,
// instead of waiting for its next heartbeat. A departure would have been
// recorded, and a server that was replaced refuses the calls for this one.
func (n *Node) resume(ctx context.Context) {
	s := n.settings.Load()
	item, err := n.store.Get(ctx, memberPrefix+s.Node)
	if err != nil {
		if !errors.Is(err, toucanstore.ErrNotFound) {
			n.log.Warn("own member not read", "err", err)
		}
		return
	}
	n.member.mu.Lock()
	n.member.revision = item.Revision
	n.member.mu.Unlock()
	if m, ok := n.decodeMember(item); ok {
		n.takeUp(m)
	}
}

// told takes what another node knows of this one. While the store does not
// answer, the backend server is taken up again when two nodes agree.
func (n *Node) told(addr string, m toucanpeer.Member) {
	switch {
	case m.Left:
		n.settle(departure{m.Instance, m.Born}, "peer")
	case m.Instance != "" && n.witness(addr, departure{m.Instance, m.Born}):
		n.settle(departure{}, "peer")
		n.takeUp(m)
	}
}

// witness reports whether another node said the same before.
func (n *Node) witness(addr string, d departure) bool {
	n.startup.mu.Lock()
	defer n.startup.mu.Unlock()
	same := n.startup.witness == d && n.startup.witnessAddr != addr
	n.startup.witness, n.startup.witnessAddr = d, addr
	return same && n.startup.departed.Instance != d.Instance
}

// takeUp uses a backend server without waiting for its next heartbeat.
func (n *Node) takeUp(m toucanpeer.Member) {
	s := n.settings.Load()
	n.startup.mu.Lock()
	left := n.startup.departed == departure{m.Instance, m.Born}
	n.startup.mu.Unlock()
	if m.Instance == "" || m.Left || left || m.Service != s.Service || n.runner.Server().Instance != "" {
		return
	}
	n.log.Info("resume", "instance", m.Instance, "born", m.Born)
	n.runner.Observe(toucanbackend.Heartbeat{
		Instance: m.Instance, Service: m.Service, Address: s.BackendAddress, Slots: m.Slots, State: toucanbackend.Ready, Born: m.Born,
	})
}

func (n *Node) isSettled() bool {
	n.startup.mu.Lock()
	defer n.startup.mu.Unlock()
	return n.startup.settled
}

// settle ends the wait for departures and takes the heartbeat that was held
// back.
func (n *Node) settle(departed departure, source string) {
	n.startup.mu.Lock()
	before := n.startup.settled
	n.startup.settled = true
	if departed.Instance != "" {
		n.startup.departed = departed
	}
	held, count := n.startup.last, n.startup.heartbeats
	n.startup.mu.Unlock()
	if departed.Instance != "" {
		n.runner.Leave(departed.Instance, departed.Born)
	}
	if before {
		return
	}
	n.log.Info("departures known", "source", source, "departed", departed.Instance)
	if count > 0 && n.admit(&held) {
		if err := n.observe(held); err != nil {
			n.log.Warn("held heartbeat failed", "err", err)
		}
	}
}
