package toucannode

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"toucanhaven/toucanbalance"
	"toucanhaven/toucancall"
	"toucanhaven/toucanconn"
)

// announcement is the request body of POST /announce.
type announcement struct {
	Service string `json:"service"`
	Address string `json:"address"`
}

// status is the response body of GET /status.
type status struct {
	ID             string    `json:"id"`
	Incarnation    int64     `json:"incarnation"`
	CallerAddress  string    `json:"caller_address"`
	PeerAddress    string    `json:"peer_address"`
	AdminAddress   string    `json:"admin_address"`
	DataCentre     string    `json:"data_centre"`
	Region         string    `json:"region"`
	Service        string    `json:"service,omitempty"`
	BackendAddress string    `json:"backend_address,omitempty"`
	BackendDown    bool      `json:"backend_down"`
	Leaving        bool      `json:"leaving"`
	RunsInFlight   int       `json:"runs_in_flight"`
	Limit          int       `json:"concurrency_limit"`
	Running        int       `json:"running"`
	Queued         int       `json:"queued"`
	Load           float64   `json:"load"`
	Started        time.Time `json:"started"`

	Members  []memberStatus   `json:"members"`  // of the local backend server's service
	Followed []followedStatus `json:"followed"` // services served or called here
}

type memberStatus struct {
	ID    string              `json:"id"`
	State toucanbalance.State `json:"state"`
}

// followedStatus is what a node knows about a service. The node serves no calls
// of the service until a peer or the KV has supplied the class file.
type followedStatus struct {
	Service        string         `json:"service"`
	ClassFileKnown bool           `json:"class_file_known"`
	Revision       uint64         `json:"revision"`
	ChosenFrom     []memberStatus `json:"chosen_from"`
}

func (n *Node) registerAdminHandlers() {
	n.admin.HandleFunc("POST /announce", n.serveAnnounce)
	n.admin.HandleFunc("POST /drain", n.serveDrain)
	n.admin.HandleFunc("GET /status", n.serveStatus)
	n.admin.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	n.admin.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		n.metrics.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	if n.settings.Pprof {
		n.admin.HandleFunc("/debug/pprof/", pprof.Index)
		n.admin.HandleFunc("/debug/pprof/profile", pprof.Profile)
		n.admin.HandleFunc("/debug/pprof/trace", pprof.Trace)
	}
}

const maxAnnouncementBytes = 4 << 10

func (n *Node) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var a announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(&a); err != nil {
		http.Error(w, "announce: "+err.Error(), http.StatusBadRequest)
		return
	}
	if a.Service == "" || len(a.Service) > toucancall.MaxNameBytes {
		http.Error(w, fmt.Sprintf("announce: service: want 1 to %d bytes", toucancall.MaxNameBytes), http.StatusBadRequest)
		return
	}
	if addr, err := netip.ParseAddrPort(a.Address); err != nil || addr.Port() == 0 {
		http.Error(w, fmt.Sprintf("announce: address %q: want an IP address and port", a.Address), http.StatusBadRequest)
		return
	}
	if n.stopping.Load() {
		http.Error(w, "announce: the node is stopping", http.StatusServiceUnavailable)
		return
	}
	n.announceBackend(a.Service, a.Address)
	w.WriteHeader(http.StatusNoContent)
}

// announceBackend makes the backend server beside the node available.
func (n *Node) announceBackend(service, address string) {
	l := &n.local
	l.mu.Lock()
	earlier := l.service
	changed := earlier != service || l.address != address || l.leaving || l.unreachable
	l.service, l.address, l.leaving, l.unreachable = service, address, false, false
	l.mu.Unlock()
	if earlier != "" && earlier != service {
		n.directory.Leave(earlier, n.selfServer(toucanbalance.Leaving))
	}
	n.directory.Announce(service, n.selfServer(toucanbalance.Alive))
	if changed {
		n.log.Info("backend_announced", slog.String("service", service), slog.String("address", address))
	}
}

// serveDrain takes the backend server out of service until it is announced
// again.
func (n *Node) serveDrain(w http.ResponseWriter, r *http.Request) {
	n.drainBackend()
	n.serveStatus(w, r)
}

func (n *Node) drainBackend() {
	n.local.mu.Lock()
	service, first := n.local.service, !n.local.leaving
	n.local.leaving = true
	n.local.mu.Unlock()
	if !first {
		return
	}
	if service != "" {
		n.directory.Leave(service, n.selfServer(toucanbalance.Leaving))
	}
	n.log.Info("leaving", slog.String("service", service))
}

func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) {
	n.local.mu.Lock()
	s := status{
		Service: n.local.service, BackendAddress: n.local.address, BackendDown: n.local.unreachable,
		Leaving: n.local.leaving, RunsInFlight: n.local.inFlight,
	}
	n.local.mu.Unlock()
	s.ID, s.Incarnation, s.Started = n.id, n.incarnation, time.Unix(0, n.incarnation)
	s.CallerAddress, s.PeerAddress, s.AdminAddress = n.addresses.Caller, n.addresses.Peer, n.addresses.Admin
	s.DataCentre, s.Region = n.settings.DataCentre, n.settings.Region
	a := n.admission.Status()
	s.Limit, s.Running, s.Queued, s.Load = a.Limit, a.Running, a.Queued, float64(n.admission.Load())
	if n.addControlPlaneStatus != nil {
		n.addControlPlaneStatus(&s)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s) // writing fails only if the client has disconnected
}

// markBackendUnreachable takes a backend server that accepts no connections out
// of service until it accepts them again.
func (n *Node) markBackendUnreachable(address string) {
	l := &n.local
	l.mu.Lock()
	first := l.address == address && !l.unreachable && !l.leaving
	if first {
		l.unreachable = true
	}
	service := l.service
	l.mu.Unlock()
	if first {
		n.directory.Leave(service, n.selfServer(toucanbalance.Leaving))
		n.log.Warn("backend_down", slog.String("service", service), slog.String("address", address))
	}
}

// recheckBackend brings an unreachable backend server back into service if it
// accepts connections again.
func (n *Node) recheckBackend() {
	n.local.mu.Lock()
	service, address := n.local.service, n.local.address
	check := n.local.unreachable && !n.local.leaving
	n.local.mu.Unlock()
	if !check {
		return
	}
	c, err := net.DialTimeout("tcp", address, toucanconn.DialTimeout)
	if err != nil {
		return
	}
	c.Close()
	n.announceBackend(service, address)
}
