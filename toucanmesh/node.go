package toucanmesh

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"toucanhaven/toucanbackend"
	"toucanhaven/toucanclock"
	"toucanhaven/toucanentry"
	"toucanhaven/toucanfleet"
	"toucanhaven/toucanpeer"
	"toucanhaven/toucanretry"
	"toucanhaven/toucanroute"
	"toucanhaven/toucanserve"
	"toucanhaven/toucanstore"
)

const (
	// bufferShare is the part of the memory that request bodies may take.
	bufferShare = 0.25
	// bufferRetryAfter is when a request that found no room may come back.
	bufferRetryAfter = time.Second
	// Parts of the shared retry budget: the node beside a backend server sees all
	// requests for it and grants most repeats; an entry whose node was lost has
	// to decide alone. The rest covers the calls of repeated runs.
	backendRatioShare = 0.65
	backendSlackShare = 0.4
	entryRatioShare   = 0.15
	entrySlackShare   = 0.2
	// settingsPoll is the time between looks at the settings file, which may
	// change without a signal.
	settingsPoll = time.Second
	// defaultHeaderTimeout and defaultIdle hold until a configuration is known.
	defaultHeaderTimeout = 3 * time.Second
	defaultIdle          = 15 * time.Second
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 1 << 20
)

// Platform is how the deployment's platform is spoken to.
type Platform struct {
	Headers   toucanbackend.HeaderNames
	ConfigKey string
	// DecodeConfig reads a configuration as the operator wrote it.
	DecodeConfig func(data []byte) (*toucanroute.Table, error)
	// ControlHandler serves the heartbeats of the backend server, Ready the readiness
	// checks.
	ControlHandler func(n *Node, log *slog.Logger) http.Handler
	ReadyHandler   func(ready func() bool) http.Handler
}

// Options are the parts of a node.
type Options struct {
	Settings     Settings
	SettingsFile string // read again when it changes; empty for never
	Platform     Platform
	Store        toucanstore.Store
	Clock        toucanclock.Clock
	Log          *slog.Logger
	// Dropped returns the number of log lines that were dropped; nil for none.
	Dropped func() uint64
}

// Node is the daemon beside one backend server.
type Node struct {
	platform    Platform
	file        string
	clock       toucanclock.Clock
	log         *slog.Logger
	store       storeLink
	incarnation uint64
	settings    atomic.Pointer[Settings]

	runner  *toucanbackend.Runner
	fleet   *toucanfleet.Fleet
	entry   *toucanentry.Entry
	server  *toucanserve.Server
	config  config
	member  registration
	startup startup
	metrics *meter
	dropped func() uint64

	stopping  atomic.Bool // callers are sent elsewhere
	leaving   atomic.Bool // other nodes are sent elsewhere too
	stop      chan struct{}
	listeners []net.Listener
	servers   []*http.Server
}

// New returns a node that listens on its addresses. Start must be called.
func New(o Options) (n *Node, err error) {
	n = &Node{
		platform: o.Platform, file: o.SettingsFile, clock: o.Clock, log: o.Log, store: storeLink{Store: o.Store},
		incarnation: rand.Uint64(), stop: make(chan struct{}), metrics: newMeter(),
	}
	n.dropped = o.Dropped
	if n.dropped == nil {
		n.dropped = func() uint64 { return 0 }
	}
	n.settings.Store(&o.Settings)
	n.runner = toucanbackend.NewRunner(toucanbackend.Options{
		Names: o.Platform.Headers, Clock: o.Clock, Log: o.Log, OnChange: n.backendChanged,
		Repeats:  n.repeatBudget(backendRatioShare, backendSlackShare),
		Siblings: func(service string) int { return n.fleet.Serving(service) },
	})
	n.member.kick = make(chan struct{}, 1)
	n.fleet = toucanfleet.New(toucanfleet.Options{
		Clock: o.Clock, Log: o.Log, Self: n.self(), Hello: n.hello, Version: n.version,
		Ping:  n.ping,
		Newer: n.fetchConfig, Told: n.told, Local: (*host)(n),
	})
	n.entry = &toucanentry.Entry{
		Names: o.Platform.Headers, Clock: o.Clock, Log: o.Log, Fleet: n.fleet, Runner: n.runner,
		Splitter: toucanroute.NewSplitter(),
		Budget:   n.repeatBudget(entryRatioShare, entrySlackShare),
		Service:  func() string { return n.settings.Load().Service },
		Metrics:  n.metrics,
	}
	n.server = &toucanserve.Server{
		Handler: n.entry.Handle, Bounds: n.bounds, RetryAfter: bufferRetryAfter, Logger: o.Log,
		BufferBytes: int64(bufferShare * float64(o.Settings.MemoryMB<<20)),
	}
	n.metrics.watch(n)
	return n, nil
}

// repeatBudget returns parts of the budget that all nodes share.
func (n *Node) repeatBudget(ratioShare, slackShare float64) *toucanretry.Budget {
	s := n.settings.Load()
	return toucanretry.NewBudget(n.clock, s.RetryWindow.Duration, ratioShare*s.RetryRatio, slackShare*s.RetrySlack)
}

// Start listens and serves. It fails when an address cannot be listened on.
func (n *Node) Start() (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start the node: %w", err)
		}
	}()
	s := n.settings.Load()
	n.log.Info("start", "node", s.Node, "service", s.Service, "data_centre", s.DataCentre, "incarnation", n.incarnation)
	peers, err := n.listen(s.PeerAddress)
	if err != nil {
		return err
	}
	callers, err := n.listen(s.CallerAddress)
	if err != nil {
		return err
	}
	if err := n.serveHTTP(s.ControlAddress, n.platform.ControlHandler(n, n.log)); err != nil {
		return err
	}
	if err := n.serveHTTP(s.ReadyAddress, n.platform.ReadyHandler(n.Ready)); err != nil {
		return err
	}
	if s.MetricsAddress != "" {
		if err := n.serveHTTP(s.MetricsAddress, n.metrics); err != nil {
			return err
		}
	}
	go func() { n.logError(toucanpeer.Serve(peers, (*host)(n), n.log)) }()
	go func() { n.logError(n.server.Serve(callers)) }()
	go n.fleet.Run(n.stop)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-n.stop; cancel() }()
	go func() { n.recoverDeparture(ctx); n.register(ctx) }()
	go n.followConfig(ctx)
	go n.followMembers(ctx)
	go n.pollSettings()
	return nil
}

func (n *Node) logError(err error) {
	if err != nil {
		n.log.Error("listener failed", "err", err)
	}
}

func (n *Node) listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAlive: -1} // dead callers are found by their idle time
	l, err := lc.Listen(context.Background(), "tcp", address)
	if err == nil {
		n.listeners = append(n.listeners, l)
	}
	return l, err
}

func (n *Node) serveHTTP(address string, h http.Handler) error {
	l, err := n.listen(address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: time.Minute}
	n.servers = append(n.servers, srv)
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			n.logError(err)
		}
	}()
	return nil
}

// Ready reports whether callers may be sent to this node.
func (n *Node) Ready() bool { return !n.stopping.Load() && n.entry.Table.Load() != nil }

func (n *Node) bounds() toucanserve.Bounds {
	t := n.entry.Table.Load()
	if t == nil {
		return toucanserve.Bounds{HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdle}
	}
	return toucanserve.Bounds{HeaderBytes: t.Limits.HeaderBytes, BodyBytes: t.Limits.BodyBytes, HeaderTimeout: t.Limits.HeaderTimeout, IdleTimeout: t.Limits.IdleTimeout}
}

// pollSettings reads the settings file again when it has changed.
func (n *Node) pollSettings() {
	t := time.NewTicker(settingsPoll)
	defer t.Stop()
	var last time.Time
	for {
		select {
		case <-t.C:
		case <-n.stop:
			return
		}
		n.runner.Tick()
		info, err := os.Stat(n.file)
		if n.file == "" || err != nil || info.ModTime().Equal(last) {
			continue
		}
		if !last.IsZero() {
			n.Reload()
		}
		last = info.ModTime()
	}
}

// Reload reads the settings file again. Addresses that the node listens on stay
// as they are.
func (n *Node) Reload() {
	s, err := LoadSettings(n.file)
	if err != nil {
		n.log.Error("reload failed; the settings stay as they are", "err", err)
		return
	}
	if old := n.settings.Swap(&s); *old != s {
		n.log.Info("reload", "service", s.Service, "data_centre", s.DataCentre)
		n.changed()
	}
}
