// Package toucannode is the daemon that runs beside a backend server: it takes
// calls of callers and of other nodes, and hands calls to the backend server.
package toucannode

import (
	"context"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"toucanhaven/toucanbalance"
	"toucanhaven/toucancall"
	"toucanhaven/toucanclock"
	"toucanhaven/toucanconn"
	"toucanhaven/toucankv"
	"toucanhaven/toucanmember"
	"toucanhaven/toucansettings"
)

const (
	// serverIdle is longer than the idle time after which clients close their
	// side, see peerIdle.
	serverIdle = 90 * time.Second
	// peerIdle is shorter than the idle timeout of the peer listener, and
	// backendIdle shorter than the common keep-alive timeout of 5 s, so that the
	// client side closes an idle connection first. A request that meets a
	// connection being closed by the server ends as unknown.
	peerIdle    = 60 * time.Second
	backendIdle = 4 * time.Second
	// writeTimeout ends a connection whose reader takes no bytes. It is longer
	// than any call may last.
	writeTimeout = toucancall.MaxTimeout + 10*time.Second
	// peerHeaderBytes is what an entry adds to the header of a request.
	peerHeaderBytes = 4 << 10
	// leaveSpread is the time after which no entry chooses a backend server
	// that announced leaving.
	leaveSpread = 5 * time.Second
	tick        = time.Second
)

// Options are the parts of a node. A nil part gets the real one. Directory and
// ClassFiles belong together: a node that is given a Directory follows no class
// files, so it needs ClassFiles too.
type Options struct {
	Settings   toucansettings.Settings
	Logger     *slog.Logger
	Clock      toucanclock.Clock
	Directory  Directory
	ClassFiles ClassFiles
	Admission  Admission
	Gate       Gate
	Chooser    Chooser
	Retries    Retries
	Once       Once
	KV         toucankv.Store // nil for a client of the address in the settings
}

// Addresses are the addresses on which a node listens.
type Addresses struct {
	Caller  string `json:"caller_address"`
	Peer    string `json:"peer_address"`
	Control string `json:"control_address"`
	Admin   string `json:"admin_address"`
}

// Node is a running daemon.
type Node struct {
	settings    toucansettings.Settings
	log         *slog.Logger
	clock       toucanclock.Clock
	directory   Directory
	files       ClassFiles
	admission   Admission
	gate        Gate
	chooser     Chooser
	retries     Retries
	once        Once
	kv          toucankv.Store // nil without an address
	id          string
	incarnation int64
	addresses   Addresses

	local    local
	parents  parentTable
	peers    *toucanconn.Pool
	backends *toucanconn.Pool
	metrics  *nodeMetrics
	admin    *http.ServeMux
	control  *rpc.Server
	clients  *controlClients // to the control listeners of other nodes

	reportPlane func(*status) // adds membership and configuration, if the node has its own

	listeners  []net.Listener // caller, peer, control, admin
	servers    []*http.Server // caller, peer, admin
	peerConns  atomic.Int64
	closing    atomic.Bool
	ctx        context.Context // ends the background work
	end        context.CancelFunc
	loops      []func() // background work that Start begins
	background sync.WaitGroup

	controlMu     sync.Mutex
	controlConns  map[net.Conn]bool
	controlClosed bool
}

// New opens the listeners of a node, so that its addresses are known. It serves
// once Start is called.
func New(o Options) (n *Node, err error) {
	n = &Node{
		settings: o.Settings, log: o.Logger, clock: o.Clock, kv: o.KV, directory: o.Directory, files: o.ClassFiles,
		admission: o.Admission, gate: o.Gate, chooser: o.Chooser, retries: o.Retries, once: o.Once,
		admin: http.NewServeMux(), control: rpc.NewServer(),
		controlConns: map[net.Conn]bool{},
	}
	if n.log == nil {
		n.log = slog.New(slog.DiscardHandler)
	}
	if n.clock == nil {
		n.clock = toucanclock.System{}
	}
	if n.kv == nil && n.settings.KVAddress.IsValid() {
		n.kv = toucankv.NewClient(n.settings.KVAddress.String())
	}
	n.ctx, n.end = context.WithCancel(context.Background())
	n.peers, n.backends = toucanconn.NewPool(peerIdle, n.clock.Now), toucanconn.NewPool(backendIdle, n.clock.Now)
	n.clients = &controlClients{clock: n.clock}
	n.metrics = newNodeMetrics(n)
	if n.kv != nil {
		n.kv = countedStore{n.kv, n.metrics}
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.incarnation = n.clock.Now().UnixNano()
	if err := n.fillIn(); err != nil {
		return nil, err
	}
	n.adminHandlers()
	return n, nil
}

// fillIn makes the parts that were not given.
func (n *Node) fillIn() error {
	if n.directory == nil {
		if err := n.addControlPlane(); err != nil {
			return err
		}
	}
	if n.files == nil {
		n.files = &MemoryClassFiles{}
	}
	gate := newLearnedGate(n.clock)
	if n.gate == nil {
		n.gate = gate
	}
	if n.admission == nil {
		admission := newLearnedAdmission(n.clock, gate)
		n.admission = admission
		n.loops = append(n.loops, func() { every(n.ctx, admissionTick, admission.tick) })
	}
	if n.chooser == nil {
		n.chooser = &balancedChooser{clock: n.clock, nodeID: n.id, dataCentre: n.settings.DataCentre, resized: gate.SetServers}
	}
	if n.retries == nil {
		n.retries = newBoundedRetries(n.clock)
	}
	if n.once == nil {
		once, err := newOnce(n)
		if err != nil {
			return err
		}
		n.once = once
	}
	return nil
}

// addControlPlane makes membership and configuration, which tell each other of
// members and revisions.
func (n *Node) addControlPlane() error {
	config := &configuration{
		clock: n.clock, log: n.log, kv: n.kv, clients: n.clients, self: n.id,
		background: &n.background, ctx: n.ctx, services: map[string]*serviceConfig{},
	}
	members := &membership{
		clock: n.clock, log: n.log, kv: n.kv, clients: n.clients,
		self: toucanbalance.Server{
			ID: n.id, Incarnation: n.incarnation, PeerAddress: n.addresses.Peer,
			DataCentre: n.settings.DataCentre, State: toucanbalance.Alive,
		},
		membersOf: config.follow, revisionOf: config.Observe,
		background: &n.background, ctx: n.ctx,
		views: map[string]*serviceView{}, answers: map[uint64]chan toucanmember.Message{},
	}
	config.installed = func(service string, revision uint64) {
		members.setRevision(service, revision)
		n.metrics.installed(service, revision)
	}
	members.forget = func(service string) {
		config.forget(service)
		n.metrics.forgotten(service)
	}
	n.directory, n.files = members, config
	n.loops = append(n.loops,
		func() { every(n.ctx, toucanmember.TickPeriod, members.tick) },
		func() { every(n.ctx, configTick, config.tick) })
	n.reportPlane = func(s *status) {
		s.Members, s.Followed = members.status(), config.status(members.known)
	}
	prepare := func(ctx context.Context, service string) { members.BackendServers(ctx, service) }
	config.admin(prepare).Register(n.admin)
	return errors.Join(
		n.control.RegisterName("Member", memberService{members}),
		n.control.RegisterName("Config", configService{config}))
}

// every calls f each period until ctx ends.
func every(ctx context.Context, period time.Duration, f func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f()
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) listen() (err error) {
	s := n.settings
	defer func() {
		if err != nil {
			for _, l := range n.listeners {
				l.Close()
			}
			err = fmt.Errorf("listen: %w", err)
		}
	}()
	into := []*string{&n.addresses.Caller, &n.addresses.Peer, &n.addresses.Control, &n.addresses.Admin}
	for i, addr := range []fmt.Stringer{s.CallerAddress, s.PeerAddress, s.ControlAddress, s.AdminAddress} {
		l, err := net.Listen("tcp", addr.String())
		if err != nil {
			return err
		}
		n.listeners = append(n.listeners, l)
		*into[i] = l.Addr().String()
	}
	n.id = n.addresses.Control
	return nil
}

// ID returns the id of the node, which is its control address.
func (n *Node) ID() string { return n.id }

// Addresses returns the addresses on which the node listens.
func (n *Node) Addresses() Addresses { return n.addresses }

// Admin returns the mux of the admin listener, for handlers that others add
// before Start.
func (n *Node) Admin() *http.ServeMux { return n.admin }

// Control returns the server of control messages, for receivers that others
// register before Start.
func (n *Node) Control() *rpc.Server { return n.control }

func (n *Node) self(state toucanbalance.State) toucanbalance.Server {
	return toucanbalance.Server{ID: n.id, PeerAddress: n.addresses.Peer, DataCentre: n.settings.DataCentre, State: state}
}

// Start begins to serve.
func (n *Node) Start() {
	limits := n.settings.Limits
	caller := n.server(http.HandlerFunc(n.serveCaller), limits.MaxHeaderBytes)
	peer := n.server(http.HandlerFunc(n.servePeer), limits.MaxHeaderBytes+peerHeaderBytes)
	peer.ConnState = n.countPeerConns
	admin := n.server(n.admin, limits.MaxHeaderBytes)
	n.servers = []*http.Server{caller, peer, admin}
	for i, l := range []net.Listener{n.listeners[0], n.listeners[1], n.listeners[3]} {
		n.background.Go(func() { n.serve(n.servers[i], l) })
	}
	n.background.Go(n.serveControl)
	n.background.Go(func() { every(n.ctx, tick, n.tick) })
	for _, loop := range n.loops {
		n.background.Go(loop)
	}
	n.log.Info("listening", slog.String("caller_address", n.addresses.Caller), slog.String("peer_address", n.addresses.Peer),
		slog.String("control_address", n.addresses.Control), slog.String("admin_address", n.addresses.Admin))
}

func (n *Node) server(h http.Handler, maxHeaderBytes int) *http.Server {
	return &http.Server{
		Handler:                      h,
		ReadHeaderTimeout:            n.settings.Limits.HeaderTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  serverIdle,
		MaxHeaderBytes:               maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     log.New(errorLog{n.log}, "", 0),
	}
}

// errorLog takes the lines of http.Server.
type errorLog struct{ log *slog.Logger }

func (e errorLog) Write(p []byte) (int, error) {
	e.log.Warn("http_server", slog.String("error", string(p)))
	return len(p), nil
}

func (n *Node) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		n.log.Error("listener_failed", slog.String("address", l.Addr().String()), slog.Any("error", err))
	}
}

func (n *Node) serveControl() {
	for {
		c, err := n.listeners[2].Accept()
		if err != nil {
			return // the listener was closed
		}
		n.controlMu.Lock()
		if n.controlClosed {
			c.Close()
		} else {
			n.controlConns[c] = true
			n.background.Go(func() { n.serveControlConn(c) })
		}
		n.controlMu.Unlock()
	}
}

func (n *Node) serveControlConn(c net.Conn) {
	n.control.ServeConn(c)
	n.controlMu.Lock()
	defer n.controlMu.Unlock()
	delete(n.controlConns, c)
}

func (n *Node) closeControl() {
	n.listeners[2].Close()
	n.controlMu.Lock()
	defer n.controlMu.Unlock()
	n.controlClosed = true
	for c := range n.controlConns {
		c.Close()
	}
}

func (n *Node) countPeerConns(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		n.peerConns.Add(1)
	case http.StateClosed, http.StateHijacked:
		n.peerConns.Add(-1)
	}
}

func (n *Node) tick() {
	n.peers.CloseIdle()
	n.backends.CloseIdle()
	n.clients.closeIdle()
	n.checkBackend()
}

// Stop ends the node without cutting a call off: it announces leaving, refuses
// new calls for its backend server, waits for the running ones and then writes
// its seal. It returns an error when the stop timeout of the settings or ctx
// ended calls that were still running.
func (n *Node) Stop(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, n.settings.StopTimeout)
	defer cancel()
	n.closing.Store(true)
	n.drain()
	n.waitForRuns(ctx)
	if err = n.once.Seal(ctx); err != nil {
		n.log.Warn("seal_failed", slog.Any("error", err))
	}
	err = n.shutDown(ctx)
	n.end()
	n.closeControl()
	n.peers.Close()
	n.backends.Close()
	n.clients.close()
	n.background.Wait()
	n.log.Info("stopped", slog.Bool("whole", err == nil))
	return err
}

const runPoll = 10 * time.Millisecond

// waitForRuns waits until no call runs at the local backend server and no entry
// can still choose it: leaving has spread, or no entry holds a connection.
func (n *Node) waitForRuns(ctx context.Context) {
	spread := time.NewTimer(leaveSpread)
	defer spread.Stop()
	poll := time.NewTicker(runPoll)
	defer poll.Stop()
	over := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-spread.C:
			over = true
		case <-poll.C:
		}
		if n.local.running() == 0 && (over || n.peerConns.Load() == 0) {
			return
		}
	}
}

// shutDown closes the listeners, waits for requests in flight and closes what
// is left when ctx ends.
func (n *Node) shutDown(ctx context.Context) error {
	errs := make([]error, len(n.servers))
	var wait sync.WaitGroup
	for i, s := range n.servers {
		wait.Go(func() {
			if errs[i] = s.Shutdown(ctx); errs[i] != nil {
				s.Close()
			}
		})
	}
	wait.Wait()
	return errors.Join(errs...)
}
