package toucanmesh

import (
	"fmt"

	"toucanhaven/toucanbackend"
)

// HandleHeartbeat handles a heartbeat of the backend server. A departure is
// recorded before it is acknowledged, so that this node knows of it after a
// restart.
func (n *Node) HandleHeartbeat(h toucanbackend.Heartbeat) error {
	s := n.settings.Load()
	if h.Service != s.Service || h.Address != s.BackendAddress {
		if n.settingsFile != "" {
			n.Reload()
			s = n.settings.Load()
		}
		if h.Service != s.Service || h.Address != s.BackendAddress {
			return fmt.Errorf("server %s of service %q at %s is not the one on this VM, %q at %s", h.Instance, h.Service, h.Address, s.Service, s.BackendAddress)
		}
	}
	verdict := n.runner.Observe(h)
	switch verdict {
	case toucanbackend.Late:
		n.log.Info("late heartbeat", "instance", h.Instance, "born", h.Born, "sequence", h.Sequence, "state", string(h.State))
	case toucanbackend.Held:
		n.log.Info("heartbeat held back", "instance", h.Instance, "born", h.Born, "sequence", h.Sequence)
		wake(n.proof.changed)
	}
	if h.State != toucanbackend.Draining || !n.runner.HasLeft(h.Instance, h.Born) {
		return nil // a draining start may have reported later that it is ready
	}
	return n.recordDeparture(departure{h.Instance, h.Born})
}

// HandleDeparture handles the message of a backend server that it has left. The node
// may not know the server: it may have just started, or heard of an earlier one only.
func (n *Node) HandleDeparture(instance string, born int64) error {
	if born == 0 {
		var known bool
		if born, known = n.runner.BornOf(instance); !known {
			return fmt.Errorf("departure of server %s, which is not known, has no start time", instance)
		}
	}
	n.markLeft(instance, born)
	return n.recordDeparture(departure{instance, born})
}

// markLeft marks a start of a backend server as departed.
func (n *Node) markLeft(instance string, born int64) {
	n.runner.MarkLeft(instance, born)
	wake(n.proof.changed) // a start that it may have ended must prove that it has not
}
