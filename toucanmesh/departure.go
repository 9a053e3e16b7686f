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
	if !n.admitHeartbeat(h) {
		return nil
	}
	return n.observeHeartbeat(h)
}

func (n *Node) observeHeartbeat(h toucanbackend.Heartbeat) error {
	verdict := n.runner.Observe(h)
	if verdict == toucanbackend.Late {
		n.log.Info("late heartbeat", "instance", h.Instance, "born", h.Born, "sequence", h.Sequence, "state", string(h.State))
	}
	if h.State != toucanbackend.Draining {
		return nil
	}
	if s := n.runner.Server(); verdict == toucanbackend.Late && s.Instance == h.Instance && s.Born == h.Born && !s.Left {
		return nil // the same start reported later that it is ready
	}
	n.runner.MarkLeft(h.Instance, h.Born)
	return n.recordDeparture(departure{h.Instance, h.Born})
}

// HandleDeparture handles the message of a backend server that it has left. The node
// may not know the server: it may have just started, or heard of an earlier one only.
func (n *Node) HandleDeparture(instance string, born int64) error {
	if s := n.runner.Server(); born == 0 && s.Instance == instance {
		born = s.Born
	}
	if born == 0 {
		return fmt.Errorf("departure of server %s, which is not known, has no start time", instance)
	}
	if n.runner.MarkLeft(instance, born) == toucanbackend.Late {
		n.log.Info("departure of another server", "instance", instance, "born", born)
	}
	return n.recordDeparture(departure{instance, born})
}
