package toucannode

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"toucanhaven/toucanclass"
	"toucanhaven/toucanclock"
	"toucanhaven/toucanconfig"
	"toucanhaven/toucankv"
)

const (
	// controlTimeout bounds a control message that is not a probe.
	controlTimeout = time.Second
	// configTick is the period of ticks that toucanconfig.Replicator expects.
	configTick = time.Second
	// configWait bounds the wait of the first calls to a service for its class
	// file. Without it an at-most-once request could not be told from others.
	configWait = 5 * time.Second
	// configReadTimeout bounds a read of a class file in the KV.
	configReadTimeout = 3 * time.Second
	// acceptedWait bounds the wait for the first member that acknowledges an
	// accepted class file.
	acceptedWait = time.Second
)

// errNoConfiguration says that neither a peer nor the KV has told the class file
// of a service yet.
var errNoConfiguration = errors.New("the class file of the service is not known yet")

// configuration keeps the class files of the services that this node serves or
// calls. It is the ClassFiles of a node.
type configuration struct {
	clock      toucanclock.Clock
	log        *slog.Logger
	kv         toucankv.Store
	clients    *controlClients
	self       string
	installed  func(service string, revision uint64)
	background *sync.WaitGroup
	ctx        context.Context // ends with the node

	mu       sync.Mutex
	store    toucanconfig.Store
	services map[string]*serviceConfig
}

// serviceConfig is the class file of one service.
type serviceConfig struct {
	spread   *toucanconfig.Replicator
	ready    chan struct{} // closed once the node may serve the service
	isReady  bool
	started  bool
	acked    chan struct{} // receives when a peer has acknowledged a push
	endWatch context.CancelFunc
}

// ClassFile returns the class file in force for a service. The first calls to a
// service wait until a peer or the KV has told it.
func (c *configuration) ClassFile(ctx context.Context, service string) (toucanclass.File, uint64, error) {
	c.mu.Lock()
	s := c.service(service)
	if !s.isReady {
		c.mu.Unlock()
		if !awaitReady(ctx, s.ready, configWait) {
			return toucanclass.File{}, 0, errNoConfiguration
		}
		c.mu.Lock()
	}
	defer c.mu.Unlock()
	d, _ := c.store.Get(service)
	return d.File(), d.Revision(), nil
}

// awaitReady waits for ready to be closed and reports whether it was within limit.
func awaitReady(ctx context.Context, ready <-chan struct{}, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ready:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// Observe notes the revision that an answer, a probe or a poll of a node carried.
func (c *configuration) Observe(service, nodeID string, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.services[service]; s != nil && revision > s.spread.Revision() {
		c.step(service, s, toucanconfig.PeerRevisionEvent{From: nodeID, Revision: revision})
	}
}

// follow takes up a service, or replaces its live members.
func (c *configuration) follow(service string, members []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(service)
	if s.started {
		c.step(service, s, toucanconfig.MembersEvent{Members: members})
		return
	}
	s.started = true
	c.carryOut(service, s, s.spread.Start(members))
}

// service returns the state of a service. The mutex is held.
func (c *configuration) service(service string) *serviceConfig {
	s := c.services[service]
	if s == nil {
		s = &serviceConfig{
			spread: toucanconfig.NewReplicator(service, c.self, c.clock, newRandom(), &c.store),
			ready:  make(chan struct{}), acked: make(chan struct{}, 1),
		}
		c.services[service] = s
	}
	return s
}

// status returns the followed services by name, each with its known servers.
func (c *configuration) status(known func(service string) []memberStatus) []followedStatus {
	c.mu.Lock()
	list := make([]followedStatus, 0, len(c.services))
	for service, s := range c.services {
		list = append(list, followedStatus{Service: service, ClassFileKnown: s.isReady, Revision: s.spread.Revision()})
	}
	c.mu.Unlock()
	for i := range list {
		list[i].ChosenFrom = known(list[i].Service)
	}
	slices.SortFunc(list, func(a, b followedStatus) int { return strings.Compare(a.Service, b.Service) })
	return list
}

// forget drops a service that this node no longer calls.
func (c *configuration) forget(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.services[service]; s != nil {
		s.stopWatch()
		delete(c.services, service)
		c.store.Remove(service)
	}
}

func (s *serviceConfig) stopWatch() {
	if s.endWatch != nil {
		s.endWatch()
		s.endWatch = nil
	}
}

func (c *configuration) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, s := range c.services {
		c.step(service, s, toucanconfig.TickEvent{})
	}
}

// step passes an event on and carries out the effects. The mutex is held.
func (c *configuration) step(service string, s *serviceConfig, event toucanconfig.Event) {
	c.carryOut(service, s, s.spread.Step(event))
}

func (c *configuration) carryOut(service string, s *serviceConfig, effects []toucanconfig.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case toucanconfig.PushEffect:
			c.background.Go(func() { c.push(service, s, e) })
		case toucanconfig.FetchEffect:
			c.background.Go(func() { c.fetch(service, s, e) })
		case toucanconfig.WatchEffect:
			s.stopWatch()
			ctx, cancel := context.WithCancel(c.ctx)
			s.endWatch = cancel
			c.background.Go(func() { c.watch(ctx, service, s, e) })
		case toucanconfig.StopWatchEffect:
			s.stopWatch()
		case toucanconfig.ReadEffect:
			c.background.Go(func() { c.read(service, s, e) })
		case toucanconfig.InstalledEffect:
			d := e.Document
			c.log.Info("config_installed", slog.String("service", service), slog.Uint64("revision", d.Revision()),
				slog.String("author", d.Author()), slog.Time("applied", d.Time()))
			c.background.Go(func() { c.installed(service, d.Revision()) })
		case toucanconfig.RejectedEffect:
			c.log.Error("config_rejected", slog.String("service", service), slog.Any("error", e.Err))
		}
	}
	if s.started && !s.isReady && s.spread.Ready() {
		s.isReady = true
		close(s.ready)
	}
}

// feed passes the result of an effect back, unless the service was dropped.
func (c *configuration) feed(service string, s *serviceConfig, event toucanconfig.Event) {
	if c.ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.services[service] == s {
		c.step(service, s, event)
	}
}

// PushRequest carries a class-file document to a member.
type PushRequest struct {
	From     string
	Service  string
	Document []byte
}

// FetchRequest asks a member for a document newer than a revision.
type FetchRequest struct {
	From    string
	Service string
	Newer   uint64
}

// ConfigAnswer tells the revision in force, with the document when it was asked
// for and is newer.
type ConfigAnswer struct {
	Revision uint64
	Document []byte
}

func (c *configuration) push(service string, s *serviceConfig, e toucanconfig.PushEffect) {
	document, err := e.Document.Encode()
	if err != nil {
		c.log.Error("config_unencodable", slog.String("service", service), slog.Any("error", err))
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, controlTimeout)
	defer cancel()
	var answer ConfigAnswer
	request := PushRequest{From: c.self, Service: service, Document: document}
	if err := c.clients.call(ctx, e.To, "Config.Push", request, &answer); err != nil {
		return // probes tell the member of the revision later
	}
	if answer.Revision >= e.Document.Revision() {
		select {
		case s.acked <- struct{}{}:
		default:
		}
	}
	c.feed(service, s, toucanconfig.PeerRevisionEvent{From: e.To, Revision: answer.Revision})
}

func (c *configuration) fetch(service string, s *serviceConfig, e toucanconfig.FetchEffect) {
	ctx, cancel := context.WithTimeout(c.ctx, controlTimeout)
	defer cancel()
	var answer ConfigAnswer
	err := c.clients.call(ctx, e.From, "Config.Fetch", FetchRequest{From: c.self, Service: service, Newer: e.Newer}, &answer)
	if err != nil {
		c.feed(service, s, toucanconfig.FetchFailedEvent{From: e.From})
		return
	}
	if len(answer.Document) == 0 {
		c.feed(service, s, toucanconfig.PeerRevisionEvent{From: e.From, Revision: answer.Revision})
		return
	}
	d, err := toucanconfig.Decode(answer.Document)
	if err != nil {
		c.log.Error("config_rejected", slog.String("service", service), slog.String("from", e.From), slog.Any("error", err))
		c.feed(service, s, toucanconfig.FetchFailedEvent{From: e.From})
		return
	}
	c.feed(service, s, toucanconfig.DocumentEvent{From: e.From, Document: d})
}

func (c *configuration) watch(ctx context.Context, service string, s *serviceConfig, e toucanconfig.WatchEffect) {
	if !pause(ctx, e.Delay) {
		return
	}
	snapshot, err := c.kv.Watch(ctx, e.Key, e.Index, e.Wait)
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() == nil && c.services[service] == s {
		c.step(service, s, toucanconfig.WatchEvent{Snapshot: snapshot, Err: err})
	}
}

// pause waits for d and reports whether ctx is still running.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *configuration) read(service string, s *serviceConfig, e toucanconfig.ReadEffect) {
	ctx, cancel := context.WithTimeout(c.ctx, configReadTimeout)
	defer cancel()
	pair, err := c.kv.Get(ctx, e.Key)
	c.feed(service, s, toucanconfig.ReadEvent{Pair: pair, Err: err})
}

// admin returns the configuration part of the admin listener. Prepare follows
// the service, so that its members are known before the KV is written.
func (c *configuration) admin(prepare func(ctx context.Context, service string)) *toucanconfig.Admin {
	return &toucanconfig.Admin{
		KV: c.kv, Clock: c.clock, InForce: c.inForce, Prepare: prepare, Distribute: c.accepted, Log: c.log,
	}
}

func (c *configuration) inForce(service string) (toucanconfig.Document, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.Get(service)
}

// accepted installs and spreads a document that was applied at this node. It
// waits for the first acknowledgement, so that a KV outage right after the write
// does not hold the change back.
func (c *configuration) accepted(ctx context.Context, d toucanconfig.Document) {
	c.mu.Lock()
	s := c.service(d.Service())
	select {
	case <-s.acked: // of an earlier document
	default:
	}
	c.step(d.Service(), s, toucanconfig.DocumentEvent{Document: d})
	c.mu.Unlock()
	timer := time.NewTimer(acceptedWait)
	defer timer.Stop()
	select {
	case <-s.acked:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// configService receives the control messages of other nodes.
type configService struct{ c *configuration }

// Push takes a document from another member.
func (s configService) Push(request PushRequest, answer *ConfigAnswer) error {
	d, err := toucanconfig.Decode(request.Document)
	if err != nil {
		return fmt.Errorf("document of service %.64q: %w", request.Service, err)
	}
	c := s.c
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.services[request.Service]
	if known == nil || d.Service() != request.Service {
		return fmt.Errorf("service %.64q is not followed here", request.Service)
	}
	c.step(request.Service, known, toucanconfig.DocumentEvent{From: request.From, Document: d})
	answer.Revision = known.spread.Revision()
	return nil
}

// Fetch answers with the document in force when it is newer.
func (s configService) Fetch(request FetchRequest, answer *ConfigAnswer) (err error) {
	c := s.c
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.store.Get(request.Service)
	if known := c.services[request.Service]; known == nil || !known.isReady {
		return fmt.Errorf("service %.64q is not followed here", request.Service)
	}
	answer.Revision = d.Revision()
	if ok && d.Revision() > request.Newer {
		answer.Document, err = d.Encode()
	}
	return err
}
