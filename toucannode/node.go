// Package toucannode implements the node, the daemon that runs beside a backend
// server.
//
// A node accepts requests from callers and calls from other nodes. At the entry
// it balances and retries calls; beside the backend server it applies admission
// control before it forwards a call.
package toucannode

import (
	"cmp"
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
	"toucanhaven/toucanledger"
	"toucanhaven/toucanmember"
	"toucanhaven/toucanmemory"
	"toucanhaven/toucansettings"
)

const (
	// serverIdleTimeout is longer than the idle timeout of the clients, so that
	// the client side closes an idle connection first; see peerIdleTimeout.
	serverIdleTimeout = 90 * time.Second
	// peerIdleTimeout is shorter than the idle timeout of the peer listener,
	// and backendIdleTimeout is shorter than the common 5-second keep-alive
	// timeout, so that the client side closes an idle connection first. A
	// request that is sent on a connection which the server is closing has an
	// unknown outcome.
	peerIdleTimeout    = 60 * time.Second
	backendIdleTimeout = 4 * time.Second
	// writeTimeout closes a connection whose reader accepts no bytes. It is
	// longer than the longest permitted call.
	writeTimeout = toucancall.MaxTimeout + 10*time.Second
	// entryHeaderBytes is the space for the header fields that an entry adds to
	// a request.
	entryHeaderBytes = 4 << 10
	// leavePropagationTime is the time after which no entry chooses a backend
	// server that announced that it is leaving.
	leavePropagationTime = 5 * time.Second
	housekeepingInterval = time.Second
	// headerMemoryBytes bounds the memory of the headers of requests and answers.
	headerMemoryBytes = 32 << 20
)

// Options holds the settings and the components of a node. New creates the
// components that are nil. Directory and ClassFiles belong together: a node that
// is given a Directory does not follow class files, so it needs ClassFiles as
// well.
type Options struct {
	Settings     toucansettings.Settings
	Logger       *slog.Logger
	Clock        toucanclock.Clock
	Directory    Directory
	ClassFiles   ClassFiles
	Admission    Admission
	Gate         Gate
	Chooser      Chooser
	Retries      Retries
	Deduplicator Deduplicator
	KV           toucankv.Store // if nil, New creates a client for the KV address in the settings
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
	settings     toucansettings.Settings
	log          *slog.Logger
	clock        toucanclock.Clock
	directory    Directory
	classFiles   ClassFiles
	admission    Admission
	gate         Gate
	chooser      Chooser
	retries      Retries
	deduplicator Deduplicator
	kv           toucankv.Store // nil if no KV address is configured
	id           string
	incarnation  int64
	addresses    Addresses

	local           localBackend
	parents         parentTable
	peers           *toucanconn.Pool
	backends        *toucanconn.Pool
	headers         *toucanmemory.Budget // of requests and answers
	limits          toucanledger.Limits
	callerConns     *toucanledger.Ledger // connections of the caller listener
	callingNodes    *toucanledger.Ledger // connections of the peer listener
	adminConns      *toucanledger.Ledger // connections of the admin listener
	controlMessages *toucanmemory.Budget // that are being read
	metrics         *nodeMetrics
	admin           *http.ServeMux
	control         *rpc.Server
	controlClients  *controlClients // connections to the control listeners of other nodes

	addControlPlaneStatus func(*status) // adds membership and configuration; nil if the node was given a Directory

	listeners       []net.Listener // caller, peer, control, admin
	servers         []*http.Server // caller, peer, admin
	peerConns       atomic.Int64
	stopping        atomic.Bool
	stopDeadline    atomic.Pointer[time.Time] // when Stop closes the connections; nil before Stop
	ctx             context.Context           // ends when Stop cancels the background tasks
	cancel          context.CancelFunc
	backgroundTasks []func() // started by Start
	background      sync.WaitGroup

	controlMu     sync.Mutex
	controlConns  map[net.Conn]bool
	controlClosed bool
}

// New creates a node and opens its listeners, so that its addresses are known.
// The node serves requests once Start is called.
func New(o Options) (n *Node, err error) {
	n = &Node{
		settings: o.Settings, log: o.Logger, clock: o.Clock, kv: o.KV, directory: o.Directory, classFiles: o.ClassFiles,
		admission: o.Admission, gate: o.Gate, chooser: o.Chooser, retries: o.Retries, deduplicator: o.Deduplicator,
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
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.headers, n.controlMessages = toucanmemory.NewBudget(headerMemoryBytes), toucanmemory.NewBudget(maxControlMessageBytes)
	memory := toucanconn.Memory{Budget: n.headers}
	n.peers, n.backends = toucanconn.NewPool(peerIdleTimeout, n.clock.Now, memory), toucanconn.NewPool(backendIdleTimeout, n.clock.Now, memory)
	n.controlClients = &controlClients{clock: n.clock, messages: n.controlMessages}
	n.metrics = newNodeMetrics(n)
	n.limits = toucanledger.NewLimits(cmp.Or(n.settings.MemoryMB, toucansettings.DefaultMemoryMB), 0)
	// Each request takes a connection to a backend server or to another node as well.
	n.callerConns = n.newLedger("callers", n.limits.CallerConns/2)
	n.callingNodes = n.newLedger("peers", n.limits.CallerConns/4)
	n.adminConns = n.newLedger("admin", n.limits.ControlConns)
	if n.kv != nil {
		n.kv = countingStore{n.kv, n.metrics}
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.incarnation = n.clock.Now().UnixNano()
	if err := n.setDefaults(); err != nil {
		return nil, err
	}
	n.registerAdminHandlers()
	return n, nil
}

// newLedger returns the ledger of a listener.
func (n *Node) newLedger(name string, conns int) *toucanledger.Ledger {
	return toucanledger.New(toucanledger.Options{
		Name: name, Memory: n.headers, Conns: conns, KernelBytes: n.limits.KernelBytes, BufferBytes: n.limits.BufferBytes,
		Clock: n.clock, Log: n.log, OnClose: func(s toucanledger.Shortage) { n.metrics.countClosedConn(name, s) },
	})
}

// setDefaults creates the components that were not given in Options.
func (n *Node) setDefaults() error {
	if n.directory == nil {
		if err := n.addControlPlane(); err != nil {
			return err
		}
	}
	if n.classFiles == nil {
		n.classFiles = &MemoryClassFiles{}
	}
	gate := newAdaptiveGate(n.clock)
	if n.gate == nil {
		n.gate = gate
	}
	if n.admission == nil {
		admission := newAdaptiveAdmission(n.clock, gate)
		n.admission = admission
		n.backgroundTasks = append(n.backgroundTasks, func() { runEvery(n.ctx, admissionTickInterval, admission.tick) })
	}
	if n.chooser == nil {
		n.chooser = &balancedChooser{clock: n.clock, nodeID: n.id, dataCentre: n.settings.DataCentre, setServerCount: gate.SetServers}
	}
	if n.retries == nil {
		n.retries = newBoundedRetries(n.clock)
	}
	if n.deduplicator == nil {
		deduplicator, err := newKeyDeduplicator(n)
		if err != nil {
			return err
		}
		n.deduplicator = deduplicator
	}
	return nil
}

// addControlPlane creates membership and configuration and connects them:
// membership tells configuration about members and revisions, and configuration
// tells membership about the installed revision.
func (n *Node) addControlPlane() error {
	config := &configuration{
		clock: n.clock, log: n.log, kv: n.kv, clients: n.controlClients, self: n.id,
		background: &n.background, ctx: n.ctx, services: map[string]*serviceConfig{},
	}
	members := &membership{
		clock: n.clock, log: n.log, kv: n.kv, clients: n.controlClients,
		self: toucanbalance.Server{
			ID: n.id, Incarnation: n.incarnation, PeerAddress: n.addresses.Peer,
			DataCentre: n.settings.DataCentre, State: toucanbalance.Alive,
		},
		onMembersChanged: config.followService, onRevisionObserved: config.ObserveRevision,
		background: &n.background, ctx: n.ctx,
		views: map[string]*serviceView{}, pendingAnswers: map[uint64]chan toucanmember.Message{},
	}
	config.onInstalled = func(service string, revision uint64) {
		members.setRevision(service, revision)
		n.metrics.setRevision(service, revision)
	}
	members.onServiceDropped = func(service string) {
		config.dropService(service)
		n.metrics.dropRevision(service)
	}
	n.directory, n.classFiles = members, config
	n.backgroundTasks = append(n.backgroundTasks,
		func() { runEvery(n.ctx, toucanmember.TickPeriod, members.tick) },
		func() { runEvery(n.ctx, configTickInterval, config.tick) })
	n.addControlPlaneStatus = func(s *status) {
		s.Members, s.Followed = members.status(), config.status(members.knownServers)
	}
	prepare := func(ctx context.Context, service string) { members.BackendServers(ctx, service) }
	config.newAdmin(prepare).Register(n.admin)
	return errors.Join(
		n.control.RegisterName("Member", memberService{members}),
		n.control.RegisterName("Config", configService{config}))
}

// runEvery calls f once per period until ctx ends.
func runEvery(ctx context.Context, period time.Duration, f func()) {
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
	bound := []*string{&n.addresses.Caller, &n.addresses.Peer, &n.addresses.Control, &n.addresses.Admin}
	for i, addr := range []fmt.Stringer{s.CallerAddress, s.PeerAddress, s.ControlAddress, s.AdminAddress} {
		lc := toucanledger.ListenConfig(n.limits.BufferBytes)
		l, err := lc.Listen(context.Background(), "tcp", addr.String())
		if err != nil {
			return err
		}
		n.listeners = append(n.listeners, l)
		*bound[i] = l.Addr().String()
	}
	n.id = n.addresses.Control
	return nil
}

// ID returns the id of the node, which is its control address.
func (n *Node) ID() string { return n.id }

// Addresses returns the addresses on which the node listens.
func (n *Node) Addresses() Addresses { return n.addresses }

// Admin returns the mux of the admin listener. Handlers must be added before
// Start.
func (n *Node) Admin() *http.ServeMux { return n.admin }

// Control returns the net/rpc server for control messages. Receivers must be
// registered before Start.
func (n *Node) Control() *rpc.Server { return n.control }

func (n *Node) selfServer(state toucanbalance.State) toucanbalance.Server {
	return toucanbalance.Server{ID: n.id, PeerAddress: n.addresses.Peer, DataCentre: n.settings.DataCentre, State: state}
}

// Start starts serving requests and running the background tasks.
func (n *Node) Start() {
	limits := n.settings.Limits
	caller := n.newHTTPServer(http.HandlerFunc(n.serveCaller), limits.MaxHeaderBytes)
	peer := n.newHTTPServer(http.HandlerFunc(n.servePeer), limits.MaxHeaderBytes+entryHeaderBytes)
	peer.ConnState = func(c net.Conn, state http.ConnState) {
		n.countPeerConns(state)
		meterState(c, state)
	}
	admin := n.newHTTPServer(n.admin, limits.MaxHeaderBytes)
	n.servers = []*http.Server{caller, peer, admin}
	for i, l := range []struct {
		inner  net.Listener
		ledger *toucanledger.Ledger
	}{
		{n.listeners[0], n.callerConns}, {n.listeners[1], n.callingNodes}, {n.listeners[3], n.adminConns},
	} {
		n.background.Go(func() { n.serveListener(n.servers[i], meteredListener{l.ledger.Listen(l.inner)}) })
	}
	n.background.Go(n.serveControl)
	n.background.Go(func() { runEvery(n.ctx, housekeepingInterval, n.runHousekeeping) })
	admission := n.admission // tests replace it in a node that runs
	n.background.Go(func() { runEvery(n.ctx, slotPoll, func() { n.freeSlots(admission) }) })
	for _, task := range n.backgroundTasks {
		n.background.Go(task)
	}
	n.log.Info("listening", slog.String("caller_address", n.addresses.Caller), slog.String("peer_address", n.addresses.Peer),
		slog.String("control_address", n.addresses.Control), slog.String("admin_address", n.addresses.Admin))
}

func (n *Node) newHTTPServer(h http.Handler, maxHeaderBytes int) *http.Server {
	return &http.Server{
		Handler:                      h,
		ReadHeaderTimeout:            n.settings.Limits.HeaderTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  serverIdleTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     log.New(serverErrorWriter{n.log}, "", 0),
		ConnContext:                  withConn,
		ConnState:                    meterState,
	}
}

// serverErrorWriter passes the error lines of http.Server to the logger.
type serverErrorWriter struct{ log *slog.Logger }

func (e serverErrorWriter) Write(p []byte) (int, error) {
	e.log.Warn("http_server", slog.String("error", string(p)))
	return len(p), nil
}

func (n *Node) serveListener(s *http.Server, l net.Listener) {
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
	n.control.ServeConn(limitMessages(c, n.controlMessages))
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

func (n *Node) countPeerConns(state http.ConnState) {
	switch state {
	case http.StateNew:
		n.peerConns.Add(1)
	case http.StateClosed, http.StateHijacked:
		n.peerConns.Add(-1)
	}
}

func (n *Node) runHousekeeping() {
	n.peers.CloseIdle()
	n.backends.CloseIdle()
	n.controlClients.closeIdle()
	n.recheckBackend()
}

// Stop shuts the node down gracefully: it announces that the backend server is
// leaving, refuses new calls for it, waits for the running calls and then
// writes the seal. It returns an error if calls were still running when the
// stop timeout of the settings passed or ctx ended.
func (n *Node) Stop(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, n.settings.StopTimeout)
	defer cancel()
	if end, ok := ctx.Deadline(); ok {
		n.stopDeadline.Store(&end)
	}
	n.stopping.Store(true)
	n.drainBackend()
	n.waitForRuns(ctx)
	if err = n.deduplicator.WriteSeals(ctx); err != nil {
		n.log.Warn("seal_failed", slog.Any("error", err))
	}
	err = n.shutDownServers(ctx)
	n.cancel()
	n.closeControl()
	n.peers.Close()
	n.backends.Close()
	n.controlClients.close()
	n.background.Wait()
	n.log.Info("stopped", slog.Bool("whole", err == nil))
	return err
}

const runPollInterval = 10 * time.Millisecond

// waitForRuns waits until no call runs at the local backend server and no entry
// can still choose it. That is the case once leavePropagationTime has passed or
// no entry holds a connection.
func (n *Node) waitForRuns(ctx context.Context) {
	propagation := time.NewTimer(leavePropagationTime)
	defer propagation.Stop()
	poll := time.NewTicker(runPollInterval)
	defer poll.Stop()
	propagated := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-propagation.C:
			propagated = true
		case <-poll.C:
		}
		if n.local.runCount() == 0 && (propagated || n.peerConns.Load() == 0) {
			return
		}
	}
}

// shutDownServers closes the listeners and waits for requests in flight. It
// closes the remaining connections when ctx ends.
func (n *Node) shutDownServers(ctx context.Context) error {
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
