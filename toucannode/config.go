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
	// controlCallTimeout bounds a control call that is not a probe.
	controlCallTimeout = time.Second
	// configTickInterval is the interval of ticks that toucanconfig.Replicator
	// expects.
	configTickInterval = time.Second
	// firstClassFileWait bounds how long the first calls to a service wait for
	// its class file. Without the class file, at-most-once requests cannot be
	// told from others.
	firstClassFileWait = 5 * time.Second
	// configReadTimeout bounds a read of a class file from the KV.
	configReadTimeout = 3 * time.Second
	// firstAckWait bounds the wait for the first member to acknowledge an
	// accepted class file.
	firstAckWait = time.Second
)

// errClassFileUnknown is returned while neither a peer nor the KV has supplied
// the class file of a service.
var errClassFileUnknown = errors.New("the class file of the service is not known yet")

// configuration keeps the class files of the services that this node serves or
// calls. It implements ClassFiles.
type configuration struct {
	clock       toucanclock.Clock
	log         *slog.Logger
	kv          toucankv.Store
	clients     *controlClients
	self        string
	onInstalled func(service string, revision uint64)
	background  *sync.WaitGroup
	ctx         context.Context // ends with the node

	mu       sync.Mutex
	store    toucanconfig.Store
	services map[string]*serviceConfig
}

// serviceConfig is the state of the class file of one service.
type serviceConfig struct {
	replicator  *toucanconfig.Replicator
	ready       chan struct{} // closed once replicator is ready, so that the node may serve the service
	isReady     bool
	isStarted   bool
	acked       chan struct{} // receives a value when a peer acknowledges a push
	cancelWatch context.CancelFunc
}

// ClassFile returns the class file in force for a service. The first calls to a
// service wait until a peer or the KV has supplied it.
func (c *configuration) ClassFile(ctx context.Context, service string) (toucanclass.File, uint64, error) {
	c.mu.Lock()
	s := c.serviceState(service)
	if !s.isReady {
		c.mu.Unlock()
		if !awaitReady(ctx, s.ready, firstClassFileWait) {
			return toucanclass.File{}, 0, errClassFileUnknown
		}
		c.mu.Lock()
	}
	defer c.mu.Unlock()
	d, _ := c.store.Get(service)
	return d.File(), d.Revision(), nil
}

// awaitReady waits until ready is closed and reports whether that happened
// before limit passed and before ctx ended.
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

// ObserveRevision records the revision that an answer, a probe or a poll of a
// node carried.
func (c *configuration) ObserveRevision(service, nodeID string, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.services[service]; s != nil && revision > s.replicator.Revision() {
		c.step(service, s, toucanconfig.PeerRevisionEvent{From: nodeID, Revision: revision})
	}
}

// followService starts to follow a service, or replaces its live members.
func (c *configuration) followService(service string, members []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.serviceState(service)
	if s.isStarted {
		c.step(service, s, toucanconfig.MembersEvent{Members: members})
		return
	}
	s.isStarted = true
	c.executeEffects(service, s, s.replicator.Start(members))
}

// serviceState returns the state of a service and creates it if necessary. The
// caller must hold the mutex.
func (c *configuration) serviceState(service string) *serviceConfig {
	s := c.services[service]
	if s == nil {
		s = &serviceConfig{
			replicator: toucanconfig.NewReplicator(service, c.self, c.clock, newRandom(), &c.store),
			ready:      make(chan struct{}), acked: make(chan struct{}, 1),
		}
		c.services[service] = s
	}
	return s
}

// status returns the followed services sorted by name, each with its known
// servers.
func (c *configuration) status(known func(service string) []memberStatus) []followedStatus {
	c.mu.Lock()
	list := make([]followedStatus, 0, len(c.services))
	for service, s := range c.services {
		list = append(list, followedStatus{Service: service, ClassFileKnown: s.isReady, Revision: s.replicator.Revision()})
	}
	c.mu.Unlock()
	for i := range list {
		list[i].ChosenFrom = known(list[i].Service)
	}
	slices.SortFunc(list, func(a, b followedStatus) int { return strings.Compare(a.Service, b.Service) })
	return list
}

// dropService stops following a service that this node no longer calls.
func (c *configuration) dropService(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.services[service]; s != nil {
		s.stopWatch()
		delete(c.services, service)
		c.store.Remove(service)
	}
}

func (s *serviceConfig) stopWatch() {
	if s.cancelWatch != nil {
		s.cancelWatch()
		s.cancelWatch = nil
	}
}

func (c *configuration) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, s := range c.services {
		c.step(service, s, toucanconfig.TickEvent{})
	}
}

// step passes an event to the state machine of a service and executes the
// effects. The caller must hold the mutex.
func (c *configuration) step(service string, s *serviceConfig, event toucanconfig.Event) {
	c.executeEffects(service, s, s.replicator.Step(event))
}

func (c *configuration) executeEffects(service string, s *serviceConfig, effects []toucanconfig.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case toucanconfig.PushEffect:
			c.background.Go(func() { c.push(service, s, e) })
		case toucanconfig.FetchEffect:
			c.background.Go(func() { c.fetch(service, s, e) })
		case toucanconfig.WatchEffect:
			s.stopWatch()
			ctx, cancel := context.WithCancel(c.ctx)
			s.cancelWatch = cancel
			c.background.Go(func() { c.watch(ctx, service, s, e) })
		case toucanconfig.StopWatchEffect:
			s.stopWatch()
		case toucanconfig.ReadEffect:
			c.background.Go(func() { c.read(service, s, e) })
		case toucanconfig.InstalledEffect:
			d := e.Document
			c.log.Info("config_installed", slog.String("service", service), slog.Uint64("revision", d.Revision()),
				slog.String("author", d.Author()), slog.Time("applied", d.Time()))
			c.background.Go(func() { c.onInstalled(service, d.Revision()) })
		case toucanconfig.RejectedEffect:
			c.log.Error("config_rejected", slog.String("service", service), slog.Any("error", e.Err))
		}
	}
	if s.isStarted && !s.isReady && s.replicator.Ready() {
		s.isReady = true
		close(s.ready)
	}
}

// stepWithResult passes the result of an effect to the state machine of the
// service, unless the service was dropped.
func (c *configuration) stepWithResult(service string, s *serviceConfig, event toucanconfig.Event) {
	if c.ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.services[service] == s {
		c.step(service, s, event)
	}
}

// PushRequest sends a class-file document to a member.
type PushRequest struct {
	From     string
	Service  string
	Document []byte
}

// FetchRequest asks a member for a document with a revision above Newer.
type FetchRequest struct {
	From    string
	Service string
	Newer   uint64
}

// ConfigAnswer carries the revision in force. It also carries the document if
// the request asked for a newer one and there is one.
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
	ctx, cancel := context.WithTimeout(c.ctx, controlCallTimeout)
	defer cancel()
	var answer ConfigAnswer
	request := PushRequest{From: c.self, Service: service, Document: document}
	if err := c.clients.call(ctx, e.To, "Config.Push", request, &answer); err != nil {
		return // the member learns of the revision from a later probe
	}
	if answer.Revision >= e.Document.Revision() {
		select {
		case s.acked <- struct{}{}:
		default:
		}
	}
	c.stepWithResult(service, s, toucanconfig.PeerRevisionEvent{From: e.To, Revision: answer.Revision})
}

func (c *configuration) fetch(service string, s *serviceConfig, e toucanconfig.FetchEffect) {
	ctx, cancel := context.WithTimeout(c.ctx, controlCallTimeout)
	defer cancel()
	var answer ConfigAnswer
	err := c.clients.call(ctx, e.From, "Config.Fetch", FetchRequest{From: c.self, Service: service, Newer: e.Newer}, &answer)
	if err != nil {
		c.stepWithResult(service, s, toucanconfig.FetchFailedEvent{From: e.From})
		return
	}
	if len(answer.Document) == 0 {
		c.stepWithResult(service, s, toucanconfig.PeerRevisionEvent{From: e.From, Revision: answer.Revision})
		return
	}
	d, err := toucanconfig.Decode(answer.Document)
	if err != nil {
		c.log.Error("config_rejected", slog.String("service", service), slog.String("from", e.From), slog.Any("error", err))
		c.stepWithResult(service, s, toucanconfig.FetchFailedEvent{From: e.From})
		return
	}
	c.stepWithResult(service, s, toucanconfig.DocumentEvent{From: e.From, Document: d})
}

func (c *configuration) watch(ctx context.Context, service string, s *serviceConfig, e toucanconfig.WatchEffect) {
	if !sleep(ctx, e.Delay) {
		return
	}
	snapshot, err := c.kv.Watch(ctx, e.Key, e.Index, e.Wait)
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() == nil && c.services[service] == s {
		c.step(service, s, toucanconfig.WatchEvent{Snapshot: snapshot, Err: err})
	}
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
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
	c.stepWithResult(service, s, toucanconfig.ReadEvent{Pair: pair, Err: err})
}

// newAdmin returns the configuration handlers of the admin listener. They call
// prepare to follow the service, so that its members are known before the KV is
// written.
func (c *configuration) newAdmin(prepare func(ctx context.Context, service string)) *toucanconfig.Admin {
	return &toucanconfig.Admin{
		KV: c.kv, Clock: c.clock, InForce: c.documentInForce, Prepare: prepare, Distribute: c.installAccepted, Log: c.log,
	}
}

func (c *configuration) documentInForce(service string) (toucanconfig.Document, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.Get(service)
}

// installAccepted installs a document that was applied at this node and sends
// it to the members. It waits for the first acknowledgement, so that a KV
// outage right after the write does not delay the change.
func (c *configuration) installAccepted(ctx context.Context, d toucanconfig.Document) {
	c.mu.Lock()
	s := c.serviceState(d.Service())
	select {
	case <-s.acked: // acknowledgement of an earlier document
	default:
	}
	c.step(d.Service(), s, toucanconfig.DocumentEvent{Document: d})
	c.mu.Unlock()
	timer := time.NewTimer(firstAckWait)
	defer timer.Stop()
	select {
	case <-s.acked:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// configService is the net/rpc receiver of the Config messages of other nodes.
type configService struct{ c *configuration }

// Push installs a document that another member sent if it is newer than the one
// in force, and replies with the revision then in force.
func (s configService) Push(request PushRequest, answer *ConfigAnswer) error {
	d, err := toucanconfig.Decode(request.Document)
	if err != nil {
		return fmt.Errorf("document of service %.64q: %w", request.Service, err)
	}
	c := s.c
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.services[request.Service]
	if state == nil || d.Service() != request.Service {
		return fmt.Errorf("service %.64q is not followed here", request.Service)
	}
	c.step(request.Service, state, toucanconfig.DocumentEvent{From: request.From, Document: d})
	answer.Revision = state.replicator.Revision()
	return nil
}

// Fetch replies with the document in force if it is newer than requested.
func (s configService) Fetch(request FetchRequest, answer *ConfigAnswer) (err error) {
	c := s.c
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.store.Get(request.Service)
	if state := c.services[request.Service]; state == nil || !state.isReady {
		return fmt.Errorf("service %.64q is not followed here", request.Service)
	}
	answer.Revision = d.Revision()
	if ok && d.Revision() > request.Newer {
		answer.Document, err = d.Encode()
	}
	return err
}
