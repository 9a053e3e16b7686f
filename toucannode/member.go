package toucannode

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"toucanhaven/toucanbalance"
	"toucanhaven/toucanclock"
	"toucanhaven/toucankv"
	"toucanhaven/toucanmember"
)

const (
	// maxViews bounds the called services that a node follows, so that invented
	// service names cause bounded memory use and few KV reads.
	maxViews = 256
	// viewIdleTimeout is how long a service is followed after it was last
	// called.
	viewIdleTimeout = 10 * time.Minute
	// emptyViewIdleTimeout is the same for a service without backend servers.
	emptyViewIdleTimeout = 10 * time.Second
	// firstViewWait bounds how long the first calls to a service wait for its
	// view.
	firstViewWait = 2 * time.Second
	// contactsTimeout bounds a read or write of contacts in the KV.
	contactsTimeout = 3 * time.Second
	// maxContactPeers bounds the known nodes that are asked for contacts.
	maxContactPeers = 3
	// requestTimeout bounds how long a request of another node waits for its
	// answer, which may require a probe of a third member.
	requestTimeout = 2 * time.Second
	// maxContactsAnswer bounds the contacts that a node sends to another.
	maxContactsAnswer = 10
)

// membership runs the group of the local backend server's service and the views
// of the services that this node calls. It implements Directory.
type membership struct {
	clock              toucanclock.Clock
	log                *slog.Logger
	kv                 toucankv.Store
	clients            *controlClients
	self               toucanbalance.Server
	onMembersChanged   func(service string, members []string)      // called with the live members of a service
	onRevisionObserved func(service, from string, revision uint64) // called with a class-file revision that a node reported
	onServiceDropped   func(service string)                        // called when a service is no longer followed
	background         *sync.WaitGroup
	ctx                context.Context // ends with the node

	mu             sync.Mutex
	service        string // service of the local backend server
	group          *toucanmember.Group
	localServers   []toucanbalance.Server // the members of group; the slice is replaced on change
	views          map[string]*serviceView
	lastRequestID  uint64
	pendingAnswers map[uint64]chan toucanmember.Message
}

// serviceView is the view of one called service.
type serviceView struct {
	entry    *toucanmember.Entry
	servers  []toucanbalance.Server // replaced on change
	lastUsed time.Time
	ready    chan struct{} // closed once servers are known
}

// stepper is a Group or an Entry.
type stepper interface {
	Step(toucanmember.Event) []toucanmember.Effect
}

// BackendServers returns the backend servers of a service. The first calls to a
// service wait for its view.
func (m *membership) BackendServers(ctx context.Context, service string) []toucanbalance.Server {
	m.mu.Lock()
	if m.group != nil && service == m.service {
		defer m.mu.Unlock()
		return m.localServers
	}
	view := m.followService(service)
	if view == nil {
		m.mu.Unlock()
		return nil
	}
	view.lastUsed = m.clock.Now()
	servers, ready := view.servers, view.ready
	m.mu.Unlock()
	if len(servers) > 0 || !awaitReady(ctx, ready, firstViewWait) {
		return servers
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return view.servers
}

// followService returns the view of a called service and creates it if
// necessary. It returns nil if maxViews services are followed already. The
// caller must hold the mutex.
func (m *membership) followService(service string) *serviceView {
	if view := m.views[service]; view != nil {
		return view
	}
	if len(m.views) >= maxViews {
		return nil
	}
	view := &serviceView{
		entry:    toucanmember.NewEntry(m.clock, newRandom(), service, m.self.ID, m.self.DataCentre),
		lastUsed: m.clock.Now(), ready: make(chan struct{}),
	}
	m.views[service] = view
	m.step(service, view.entry, toucanmember.Tick{})
	return view
}

// MarkLeaving records that a backend server refused a call because it is
// leaving.
func (m *membership) MarkLeaving(service, nodeID string) {
	m.stepView(service, toucanmember.ServerRefused{ID: nodeID})
}

// MarkUnreachable records that no connection could be made to the node beside a
// backend server.
func (m *membership) MarkUnreachable(service, nodeID string) {
	m.stepView(service, toucanmember.ServerUnreachable{ID: nodeID})
}

func (m *membership) stepView(service string, event toucanmember.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if view := m.views[service]; view != nil {
		m.step(service, view.entry, event)
	}
}

// Announce announces that the backend server beside this node accepts calls.
func (m *membership) Announce(service string, self toucanbalance.Server) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.group == nil || m.service != service {
		m.service, m.group = service, toucanmember.NewGroup(m.clock, newRandom(), service, m.self)
		delete(m.views, service)
	}
	m.step(service, m.group, toucanmember.Announce{PeerAddress: self.PeerAddress})
	m.refreshLocalServers()
}

// Leave announces that the backend server beside this node accepts no new
// calls.
func (m *membership) Leave(service string, _ toucanbalance.Server) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.group != nil && m.service == service {
		m.step(service, m.group, toucanmember.Leave{})
		m.refreshLocalServers()
	}
}

// setRevision records the revision of the class file in force at this node.
func (m *membership) setRevision(service string, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	event := toucanmember.Revision{Number: revision}
	if m.group != nil && m.service == service {
		m.step(service, m.group, event)
	}
	if view := m.views[service]; view != nil {
		m.step(service, view.entry, event)
	}
}

// status returns the members of the local backend server's service.
func (m *membership) status() []memberStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	return memberStatuses(m.localServers)
}

// knownServers returns the backend servers over which calls to a service are
// spread.
func (m *membership) knownServers(service string) []memberStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.group != nil && m.service == service {
		return memberStatuses(m.localServers)
	}
	if view := m.views[service]; view != nil {
		return memberStatuses(view.servers)
	}
	return []memberStatus{}
}

func memberStatuses(servers []toucanbalance.Server) []memberStatus {
	list := make([]memberStatus, len(servers))
	for i, s := range servers {
		list[i] = memberStatus{ID: s.ID, State: s.State}
	}
	return list
}

func (m *membership) tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.group != nil {
		m.step(m.service, m.group, toucanmember.Tick{})
	}
	now := m.clock.Now()
	for service, view := range m.views {
		idle := viewIdleTimeout
		if len(view.servers) == 0 {
			idle = emptyViewIdleTimeout
		}
		if now.Sub(view.lastUsed) > idle {
			delete(m.views, service)
			m.background.Go(func() { m.onServiceDropped(service) })
			continue
		}
		m.step(service, view.entry, toucanmember.Tick{})
	}
}

// step passes an event to a state machine and executes the effects. The caller
// must hold the mutex, so that the effects of one state machine are executed in
// order. I/O runs in goroutines.
func (m *membership) step(service string, s stepper, event toucanmember.Event) {
	for _, effect := range s.Step(event) {
		switch e := effect.(type) {
		case toucanmember.Send:
			m.background.Go(func() { m.sendAndStep(service, s, e) })
		case toucanmember.Answer:
			m.deliverAnswer(e)
		case toucanmember.ReadContacts:
			m.background.Go(func() { m.stepWithResult(service, s, m.readContacts(service)) })
		case toucanmember.WriteContacts:
			m.background.Go(func() { m.stepWithResult(service, s, m.writeContacts(service, e)) })
		case toucanmember.AskPeersForContacts:
			peers := m.knownPeers()
			m.background.Go(func() { m.stepWithResult(service, s, m.askPeersForContacts(service, peers)) })
		case toucanmember.StateChanged:
			m.log.Info("member_changed", slog.String("service", service), slog.String("member", e.Member.ID),
				slog.String("state", string(e.Member.State)), slog.Int64("incarnation", e.Member.Incarnation))
			m.refreshLocalServers()
		case toucanmember.ViewChanged:
			m.updateView(service, e.Servers)
		case toucanmember.FetchConfiguration:
			m.background.Go(func() { m.onRevisionObserved(service, e.From, e.Revision) })
		case toucanmember.WatchConfiguration:
			// Nothing to do: toucanconfig.Replicator chooses the watchers from the members.
		}
	}
}

// stepWithResult passes the result of an effect to a state machine, unless the
// state machine was replaced.
func (m *membership) stepWithResult(service string, s stepper, event toucanmember.Event) {
	if m.ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isCurrent(service, s) {
		m.step(service, s, event)
	}
}

func (m *membership) isCurrent(service string, s stepper) bool {
	if s == stepper(m.group) {
		return true
	}
	view := m.views[service]
	return view != nil && s == stepper(view.entry)
}

// refreshLocalServers replaces localServers with the current members of the
// group. The caller must hold the mutex.
func (m *membership) refreshLocalServers() {
	if m.group == nil {
		return
	}
	members := m.group.View().Members
	servers := make([]toucanbalance.Server, len(members))
	ids := make([]string, len(members))
	for i, member := range members {
		servers[i], ids[i] = member.Server, member.ID
	}
	m.localServers = servers
	service := m.service
	m.background.Go(func() { m.onMembersChanged(service, ids) })
}

func (m *membership) updateView(service string, list []toucanbalance.Server) {
	view := m.views[service]
	if view == nil {
		return
	}
	ids := make([]string, len(list))
	for i, s := range list {
		ids[i] = s.ID
	}
	if len(view.servers) == 0 && len(list) > 0 {
		close(view.ready)
	}
	if len(view.servers) > 0 && len(list) == 0 {
		view.ready = make(chan struct{})
	}
	view.servers = list
	m.background.Go(func() { m.onMembersChanged(service, ids) })
}

// sendAndStep sends one message and passes its reply to the state machine.
func (m *membership) sendAndStep(service string, s stepper, e toucanmember.Send) {
	ctx, cancel := context.WithTimeout(m.ctx, e.Timeout)
	defer cancel()
	answer, err := m.callMember(ctx, e.To, e.Message)
	if err != nil {
		m.stepWithResult(service, s, toucanmember.Failure{Seq: e.Seq})
		return
	}
	m.stepWithResult(service, s, toucanmember.Reply{Seq: e.Seq, Message: answer})
}

func (m *membership) callMember(ctx context.Context, to string, message toucanmember.Message) (toucanmember.Message, error) {
	switch message := message.(type) {
	case toucanmember.Probe:
		return callMethod[toucanmember.Probe](ctx, m.clients, to, "Member.Probe", message)
	case toucanmember.ProbeFor:
		return callMethod[toucanmember.ProbeForAnswer](ctx, m.clients, to, "Member.ProbeFor", message)
	case toucanmember.Sync:
		return callMethod[toucanmember.SyncAnswer](ctx, m.clients, to, "Member.Sync", message)
	case toucanmember.ViewRequest:
		return callMethod[toucanmember.ViewAnswer](ctx, m.clients, to, "Member.View", message)
	}
	return nil, fmt.Errorf("message %T has no control method", message)
}

func callMethod[A toucanmember.Message](ctx context.Context, clients *controlClients, to, method string, message toucanmember.Message) (answer A, err error) {
	err = clients.call(ctx, to, method, message, &answer)
	return answer, err
}

// contactsValue is the JSON form of contacts/<service> in the KV.
type contactsValue struct {
	Contacts []string `json:"contacts"` // control addresses
}

func contactsKey(service string) string { return "contacts/" + service }

func (m *membership) readContacts(service string) toucanmember.Contacts {
	ctx, cancel := context.WithTimeout(m.ctx, contactsTimeout)
	defer cancel()
	pair, err := m.kv.Get(ctx, contactsKey(service))
	var missing *toucankv.NotFoundError
	if errors.As(err, &missing) {
		return toucanmember.Contacts{Known: true}
	}
	if err != nil {
		m.log.Warn("contacts_unread", slog.String("service", service), slog.Any("error", err))
		return toucanmember.Contacts{}
	}
	var value contactsValue
	if err := json.Unmarshal(pair.Value, &value); err != nil {
		m.log.Error("contacts_malformed", slog.String("service", service), slog.Any("error", err))
	}
	return toucanmember.Contacts{Known: true, Addresses: value.Contacts, Index: pair.Index}
}

// writeContacts replaces the contacts and then reads them, because the reply of
// the write may be lost or another member may have written first.
func (m *membership) writeContacts(service string, e toucanmember.WriteContacts) toucanmember.Contacts {
	ctx, cancel := context.WithTimeout(m.ctx, contactsTimeout)
	defer cancel()
	value, err := json.Marshal(contactsValue{Contacts: e.Addresses})
	if err == nil {
		err = m.kv.CompareAndSwap(ctx, contactsKey(service), value, e.Index)
	}
	if err != nil {
		m.log.Warn("contacts_unwritten", slog.String("service", service), slog.Any("error", err))
	} else {
		m.log.Info("contacts_written", slog.String("service", service), slog.Any("contacts", e.Addresses))
	}
	return m.readContacts(service)
}

// ContactsRequest asks a node for contacts of a service.
type ContactsRequest struct{ Service string }

// ContactsAnswer carries the control addresses of some members of the service.
type ContactsAnswer struct{ Contacts []string }

// knownPeers returns up to maxContactPeers other nodes that may know contacts.
// The caller must hold the mutex.
func (m *membership) knownPeers() []string {
	peers := map[string]bool{}
	for _, s := range m.localServers {
		peers[s.ID] = true
	}
	for _, view := range m.views {
		for _, s := range view.servers {
			peers[s.ID] = true
		}
	}
	delete(peers, m.self.ID)
	list := slices.Collect(maps.Keys(peers)) // the order of map iteration makes the choice random enough
	return list[:min(maxContactPeers, len(list))]
}

func (m *membership) askPeersForContacts(service string, peers []string) toucanmember.Contacts {
	var found []string
	for _, peer := range peers {
		ctx, cancel := context.WithTimeout(m.ctx, controlCallTimeout)
		var answer ContactsAnswer
		err := m.clients.call(ctx, peer, "Member.Contacts", ContactsRequest{Service: service}, &answer)
		cancel()
		if err == nil {
			found = append(found, answer.Contacts...)
		}
	}
	slices.Sort(found)
	found = slices.Compact(found)
	return toucanmember.Contacts{Known: len(found) > 0, FromPeers: true, Addresses: found[:min(len(found), maxContactsAnswer)]}
}

// deliverAnswer passes an answer to the handler that waits for it. The caller
// must hold the mutex.
func (m *membership) deliverAnswer(e toucanmember.Answer) {
	if waiting := m.pendingAnswers[e.Call]; waiting != nil {
		waiting <- e.Message
		delete(m.pendingAnswers, e.Call)
	}
}

// handleRequest passes a message of another node to the group and waits for the
// answer.
func (m *membership) handleRequest(service string, message toucanmember.Message) (toucanmember.Message, error) {
	m.mu.Lock()
	if m.group == nil || m.service != service {
		m.mu.Unlock()
		return nil, fmt.Errorf("this node is no member of service %.64q", service)
	}
	m.lastRequestID++
	id, answered := m.lastRequestID, make(chan toucanmember.Message, 1)
	m.pendingAnswers[id] = answered
	m.step(service, m.group, toucanmember.Request{Call: id, Message: message})
	m.mu.Unlock()
	timer := time.NewTimer(requestTimeout)
	defer timer.Stop()
	select {
	case answer := <-answered:
		return answer, nil
	case <-timer.C:
	case <-m.ctx.Done():
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pendingAnswers, id)
	return nil, errors.New("no answer in time")
}

// memberService is the net/rpc receiver of the Member messages of other nodes.
type memberService struct{ m *membership }

// Probe answers a probe.
func (s memberService) Probe(message toucanmember.Probe, answer *toucanmember.Probe) error {
	return answerRequest(s.m, message.Service, message, answer)
}

// ProbeFor probes a third member on behalf of another node.
func (s memberService) ProbeFor(message toucanmember.ProbeFor, answer *toucanmember.ProbeForAnswer) error {
	return answerRequest(s.m, message.Service, message, answer)
}

// Sync answers with the differing parts of the view.
func (s memberService) Sync(message toucanmember.Sync, answer *toucanmember.SyncAnswer) error {
	return answerRequest(s.m, message.Service, message, answer)
}

// View answers the poll of an entry.
func (s memberService) View(message toucanmember.ViewRequest, answer *toucanmember.ViewAnswer) error {
	return answerRequest(s.m, message.Service, message, answer)
}

// Contacts replies with members that this node knows. A node asks for them if
// the KV does not answer.
func (s memberService) Contacts(request ContactsRequest, answer *ContactsAnswer) error {
	m := s.m
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.group != nil && m.service == request.Service {
		for _, server := range m.localServers {
			answer.Contacts = append(answer.Contacts, server.ID)
		}
	} else if view := m.views[request.Service]; view != nil {
		answer.Contacts = view.entry.ContactIDs()
	}
	answer.Contacts = answer.Contacts[:min(len(answer.Contacts), maxContactsAnswer)]
	return nil
}

func answerRequest[A toucanmember.Message](m *membership, service string, message toucanmember.Message, answer *A) error {
	got, err := m.handleRequest(service, message)
	if err != nil {
		return err
	}
	typed, ok := got.(A)
	if !ok {
		return fmt.Errorf("answer of type %T to %T", got, message)
	}
	*answer = typed
	return nil
}
