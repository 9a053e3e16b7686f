package toucanmesh

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"toucanhaven/toucanbackend"
	"toucanhaven/toucanclock"
	"toucanhaven/toucanentry"
	"toucanhaven/toucanfleet"
	"toucanhaven/toucanledger"
	"toucanhaven/toucanmemory"
	"toucanhaven/toucanpeer"
	"toucanhaven/toucanretry"
	"toucanhaven/toucanroute"
	"toucanhaven/toucanserve"
	"toucanhaven/toucanstore"
)

const (
	// bodiesMemoryShare is the share of the memory limit that the headers and bodies of
	// requests and responses may use. A body that is sent to another node is in
	// memory up to three times: here, and encoded or decoded.
	bodiesMemoryShare = 0.2
	// messageSlack is the part of the largest message of another node that is not a body. All
	// messages that are being read take no more memory than one such message.
	messageSlack = 4 << 20
	// bufferRetryAfter is the Retry-After delay of a request that is refused
	// because there is no buffer space for its body.
	bufferRetryAfter = time.Second
	// Shares of the retry budget that all nodes have together. The node beside
	// a backend server sees all requests for that server and grants most
	// retries. An entry decides about a retry alone when that node is
	// unreachable. The rest covers the calls of retried runs and load that moves
	// between nodes.
	backendRetryRatioShare = 0.7
	backendRetrySlackShare = 0.4
	entryRetryRatioShare   = 0.1
	entryRetrySlackShare   = 0.2
	// settingsPollInterval is the time between checks of the settings file,
	// which may change without a signal.
	settingsPollInterval = time.Second
)

// Platform holds what depends on the platform that the node is deployed on: header
// names, the format of the configuration and HTTP handlers.
type Platform struct {
	Headers   toucanbackend.HeaderNames
	ConfigKey string
	// DecodeConfig decodes a configuration that the operator wrote.
	DecodeConfig func(data []byte) (*toucanroute.Table, error)
	// ControlHandler serves the heartbeats of the backend server, ReadyHandler
	// the readiness checks.
	ControlHandler func(n *Node, log *slog.Logger) http.Handler
	ReadyHandler   func(ready func() bool) http.Handler
}

// Options configures a node.
type Options struct {
	Settings     Settings
	SettingsFile string // reloaded when it changes; empty disables reloading
	Platform     Platform
	Store        toucanstore.Store
	Clock        toucanclock.Clock
	Log          *slog.Logger
	// Dropped returns the number of log lines that were dropped; nil for none.
	Dropped func() uint64
}

// Node is the daemon beside one backend server.
type Node struct {
	platform     Platform
	settingsFile string
	clock        toucanclock.Clock
	log          *slog.Logger
	store        monitoredStore
	incarnation  uint64
	started      time.Time
	settings     atomic.Pointer[Settings]
	reload       reloadState

	runner    *toucanbackend.Runner
	fleet     *toucanfleet.Fleet
	entry     *toucanentry.Entry
	server    *toucanserve.Server
	limits    toucanledger.Limits
	ledger    *toucanledger.Ledger // of callers
	bodies    *toucanmemory.Budget
	messages  toucanpeer.MessageMemory
	config    config
	member    registration
	proof     proofState
	recording recording
	witnessed witnessedDepartures
	metrics   *meter
	dropped   func() uint64

	stopping  atomic.Bool               // callers are drained and the readiness check fails
	leaving   atomic.Bool               // calls of other nodes are refused
	end       atomic.Pointer[time.Time] // when a stopping node ends; nil before
	stop      chan struct{}
	listeners []net.Listener
	servers   []*http.Server
}

// New returns a node that does not listen yet. Start must be called.
func New(o Options) (n *Node, err error) {
	n = &Node{
		platform: o.Platform, settingsFile: o.SettingsFile, clock: o.Clock, log: o.Log, store: monitoredStore{Store: o.Store},
		incarnation: rand.Uint64(), stop: make(chan struct{}), metrics: newMeter(),
	}
	n.dropped = o.Dropped
	if n.dropped == nil {
		n.dropped = func() uint64 { return 0 }
	}
	n.started = o.Clock.Now()
	n.settings.Store(&o.Settings)
	n.reload.newest = o.Settings
	n.limits = toucanledger.NewLimits(o.Settings.MemoryMB, o.Settings.MaxDescriptors)
	n.bodies = toucanmemory.NewBudget(int64(bodiesMemoryShare * float64(o.Settings.MemoryMB<<20)))
	n.messages.Limit = n.bodies.Limit() + messageSlack
	n.messages.Budget = toucanmemory.NewBudget(n.messages.Limit)
	n.runner = toucanbackend.NewRunner(toucanbackend.Options{
		Names: o.Platform.Headers, Clock: o.Clock, Log: o.Log, OnChange: n.backendChanged,
		NeedsProof: true, HeartbeatInterval: func() time.Duration { return n.settings.Load().Heartbeat.Duration },
		Bodies:       n.bodies,
		RetryBudget:  n.retryBudget(backendRetryRatioShare, backendRetrySlackShare),
		CountServing: func(service string) int { return n.fleet.CountServing(service) },
	})
	n.proof.changed = make(chan struct{}, 1)
	n.member.wakeup, n.member.oddEntries = make(chan struct{}, 1), make(map[string]uint64)
	n.recording.started = make(map[departure]*recordedDeparture)
	n.fleet = toucanfleet.New(toucanfleet.Options{
		Clock: o.Clock, Log: o.Log, Self: n.selfMember(), Hello: n.newHello, Version: n.configVersion,
		Ping:            n.newPing,
		OnNewerDocument: n.fetchConfig, OnLinkUp: n.pushAllMembers, OnReply: n.handlePeerReply, Local: (*peerHandler)(n), Messages: n.messages,
	})
	n.entry = &toucanentry.Entry{
		Names: o.Platform.Headers, Clock: o.Clock, Log: o.Log, Fleet: n.fleet, Runner: n.runner,
		Splitter:    toucanroute.NewSplitter(),
		RetryBudget: n.retryBudget(entryRetryRatioShare, entryRetrySlackShare),
		Service:     func() string { return n.settings.Load().Service },
		Metrics:     n.metrics,
	}
	n.ledger = n.newCallerLedger()
	n.server = &toucanserve.Server{
		Handler: n.entry.Handle, Bounds: n.bounds, RetryAfter: bufferRetryAfter, Logger: o.Log, Ledger: n.ledger,
	}
	n.metrics.addGauges(n)
	return n, nil
}

// retryBudget returns a budget of the given shares of the retry ratio and the
// retry slack that all nodes have together.
func (n *Node) retryBudget(ratioShare, slackShare float64) *toucanretry.Budget {
	s := n.settings.Load()
	return toucanretry.NewBudget(n.clock, s.RetryWindow.Duration, ratioShare*s.RetryRatio, slackShare*s.RetrySlack)
}

// Start listens on all addresses and serves them in the background. It returns
// an error if it cannot listen on an address.
func (n *Node) Start() (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start the node: %w", err)
		}
	}()
	s := n.settings.Load()
	n.log.Info("start", "node", s.Node, "service", s.Service, "data_centre", s.DataCentre, "incarnation", n.incarnation)
	peers, err := n.listen(s.PeerAddress, peerBufferBytes)
	if err != nil {
		return err
	}
	callers, err := n.listen(s.CallerAddress, n.limits.BufferBytes)
	if err != nil {
		return err
	}
	if err := n.serveHTTP("control", s.ControlAddress, n.platform.ControlHandler(n, n.log)); err != nil {
		return err
	}
	if err := n.serveHTTP("ready", s.ReadyAddress, n.platform.ReadyHandler(n.Ready)); err != nil {
		return err
	}
	if s.MetricsAddress != "" {
		if err := n.serveHTTP("metrics", s.MetricsAddress, n.metrics); err != nil {
			return err
		}
	}
	go func() {
		n.logListenerError(toucanpeer.Serve(newLimitedListener(peers, n.limits.PeerConns), (*peerHandler)(n), n.messages, n.log))
	}()
	go func() { n.logListenerError(n.server.Serve(callers)) }()
	go n.fleet.Run(n.stop)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-n.stop; cancel() }()
	go func() { n.recoverState(ctx); n.register(ctx) }()
	go n.proveServers(ctx)
	go n.followConfig(ctx)
	go n.followMembers(ctx)
	go n.pollSettings()
	return nil
}

func (n *Node) logListenerError(err error) {
	if err != nil {
		n.log.Error("listener failed", "err", err)
	}
}

// listen listens on an address for connections with kernel buffers of a size.
func (n *Node) listen(address string, bufferBytes int) (net.Listener, error) {
	lc := toucanledger.ListenConfig(bufferBytes)
	lc.KeepAlive = -1 // the idle timeout closes the connections of unreachable callers
	l, err := lc.Listen(context.Background(), "tcp", address)
	if err == nil {
		n.listeners = append(n.listeners, l)
	}
	return l, err
}

// Ready reports whether the platform may send callers to this node.
func (n *Node) Ready() bool { return !n.stopping.Load() && n.entry.Table.Load() != nil }

func (n *Node) bounds() toucanserve.Bounds {
	limits := toucanroute.DefaultLimits()
	if t := n.entry.Table.Load(); t != nil {
		limits = t.Limits
	}
	return toucanserve.Bounds{HeaderBytes: limits.HeaderBytes, BodyBytes: limits.BodyBytes, HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}
}

// pollSettings reloads the settings file at the first check, because it may have changed
// since the node read it, and then when its modification time has changed. It also calls
// the Tick method of the runner periodically.
func (n *Node) pollSettings() {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	var last time.Time
	for {
		select {
		case <-t.C:
		case <-n.stop:
			return
		}
		n.runner.Tick()
		info, err := os.Stat(n.settingsFile)
		if n.settingsFile == "" || err != nil || info.ModTime().Equal(last) {
			continue
		}
		n.Reload()
		last = info.ModTime()
	}
}

// reloadState is the state of Reload.
type reloadState struct {
	mu     sync.Mutex // held during a reload, so that an older file does not replace a newer one
	newest Settings   // newest settings that were read
}

// Reload reads the settings file again. Fields that hold until the node restarts keep the
// values that it started with.
func (n *Node) Reload() {
	n.reload.mu.Lock()
	defer n.reload.mu.Unlock()
	next, err := LoadSettings(n.settingsFile)
	if err != nil {
		n.log.Error("reload failed; the settings stay as they are", "err", err)
		return
	}
	if next == n.reload.newest {
		return
	}
	n.reload.newest = next
	old := *n.settings.Load()
	s := old.withReload(next)
	n.log.Info("reload", "service", s.Service, "data_centre", s.DataCentre)
	if fields := s.differingFields(next); len(fields) > 0 {
		n.log.Warn("settings need a restart", "fields", strings.Join(fields, ","))
	}
	if s != old {
		n.settings.Store(&s)
		n.publishSelf()
	}
}
