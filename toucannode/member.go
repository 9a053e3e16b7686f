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
	// maxViews bounds the called services that a node follows, so that made-up
	// service names take bounded memory and few reads of the KV.
	maxViews = 256
	// viewIdle is how long a service that is no longer called is followed.
	viewIdle = 10 * time.Minute
	// emptyViewIdle is the same for a service without any backend server.
	emptyViewIdle = 10 * time.Second
	// firstViewWait bounds the wait of the first calls to a service for its view.
	firstViewWait = 2 * time.Second
	// contactsTimeout bounds a read or write of contacts in the KV.
	contactsTimeout = 3 * time.Second
	// contactPeers is how many known nodes are asked for contacts.
	contactPeers = 3
	// requestWait bounds the wait of a peer for an answer that takes a probe of a
	// third member.
	requestWait = 2 * time.Second
	// maxContactsAnswer bounds the contacts that a node hands to another.
	maxContactsAnswer = 10
)

// membership runs the group of the local backend server's service and the views
// of the services that this node calls. It is the Directory of a node.
type membership struct {
	clock      toucanclock.Clock
	log        *slog.Logger
	kv         toucankv.Store
	clients    *controlClients
	self       toucanbalance.Server
	membersOf  func(service string, members []string)      // told of live members
	revisionOf func(service, from string, revision uint64) // told of class-file revisions
	forget     func(service string)                        // told of services no longer followed
	background *sync.WaitGroup
	ctx        context.Context // ends with the node

	mu       sync.Mutex
	service  string // of the local backend server
	group    *toucanmember.Group
	local    []toucanbalance.Server // the group's view, replaced on change
	views    map[string]*serviceView
	lastCall uint64
	answers  map[uint64]chan toucanmember.Message
}

// serviceView is the view of one called service.
type serviceView struct {
	entry   *toucanmember.Entry
	servers []toucanbalance.Server // replaced on change
	used    time.Time
	ready   chan struct{} // closed when the first servers are known
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
		return m.local
	}
	view := m.follow(service)
	if view == nil {
		m.mu.Unlock()
		return nil
	}
	view.used = m.clock.Now()
	servers, ready := view.servers, view.ready
	m.mu.Unlock()
	if len(servers) > 0 || !awaitReady(ctx, ready, firstViewWait) {
		return servers
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return view.servers
}

// follow returns the view of a called service, or nil when too many services are
// followed already. The mutex is held.
func (m *membership) follow(service string) *serviceView {
	if view := m.views[service]; view != nil {
		return view
	}
	if len(m.views) >= maxViews {
		return nil
	}
	view := &serviceView{
		entry: toucanmember.NewEntry(m.clock, newRandom(), service, m.self.ID, m.self.DataCentre),
		used:  m.clock.Now(), ready: make(chan struct{}),
	}
	m.views[service] = view
	m.step(service, view.entry, toucanmember.Tick{})
	return view
}

// MarkLeaving notes that a backend server refused a call because it is leaving.
func (m *membership) MarkLeaving(service, nodeID string) {
	m.mark(service, toucanmember.ServerRefused{ID: nodeID})
}

// MarkUnreachable notes that no connection to the node beside a backend server
// was made.
func (m *membership) MarkUnreachable(service, nodeID string) {
	m.mark(service, toucanmember.ServerUnreachable{ID: nodeID})
}

func (m *membership) mark(service string, event toucanmember.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if view := m.views[service]; view != nil {
		m.step(service, view.entry, event)
	}
}

// Announce says that the backend server beside this node takes calls.
func (m *membership) Announce(service string, self toucanbalance.Server) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.group == nil || m.service != service {
		m.service, m.group = service, toucanmember.NewGroup(m.clock, newRandom(), service, m.self)
		delete(m.views, service)
	}
	m.step(service, m.group, toucanmember.Announce{PeerAddress: self.PeerAddress})
	m.refreshLocal()
}

// Leave says that the backend server beside this node takes no new calls.
func (m *membership) Leave(service string, _ toucanbalance.Server) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.group != nil && m.service == service {
		m.step(service, m.group, toucanmember.Leave{})
		m.refreshLocal()
	}
}

// setRevision notes the revision of the class file that is in force here.
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
	return memberStatuses(m.local)
}

// known returns the backend servers of a service that calls are spread over.
func (m *membership) known(service string) []memberStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.group != nil && m.service == service {
		return memberStatuses(m.local)
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
		idle := viewIdle
		if len(view.servers) == 0 {
			idle = emptyViewIdle
		}
		if now.Sub(view.used) > idle {
			delete(m.views, service)
			m.background.Go(func() { m.forget(service) })
			continue
		}
		m.step(service, view.entry, toucanmember.Tick{})
	}
}

// step passes an event on and carries out the effects. The mutex is held, so
// that effects of one machine are handled in order; I/O runs in goroutines.
func (m *membership) step(service string, s stepper, event toucanmember.Event) {
	for _, effect := range s.Step(event) {
		switch e := effect.(type) {
		case toucanmember.Send:
			m.background.Go(func() { m.send(service, s, e) })
		case toucanmember.Answer:
			m.answer(e)
		case toucanmember.ReadContacts:
			m.background.Go(func() { m.feed(service, s, m.readContacts(service)) })
		case toucanmember.WriteContacts:
			m.background.Go(func() { m.feed(service, s, m.writeContacts(service, e)) })
		case toucanmember.AskPeersForContacts:
			peers := m.knownPeers()
			m.background.Go(func() { m.feed(service, s, m.askPeers(service, peers)) })
		case toucanmember.StateChanged:
			m.log.Info("member_changed", slog.String("service", service), slog.String("member", e.Member.ID),
				slog.String("state", string(e.Member.State)), slog.Int64("incarnation", e.Member.Incarnation))
			m.refreshLocal()
		case toucanmember.ViewChanged:
			m.viewChanged(service, e.Servers)
		case toucanmember.FetchConfiguration:
			m.background.Go(func() { m.revisionOf(service, e.From, e.Revision) })
		case toucanmember.WatchConfiguration:
			// toucanconfig.Replicator chooses the watchers from the members it is told of.
		}
	}
}

// feed passes the result of an effect back, unless the machine was replaced.
func (m *membership) feed(service string, s stepper, event toucanmember.Event) {
	if m.ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current(service, s) {
		m.step(service, s, event)
	}
}

func (m *membership) current(service string, s stepper) bool {
	if s == stepper(m.group) {
		return true
	}
	view := m.views[service]
	return view != nil && s == stepper(view.entry)
}

// refreshLocal replaces the view of the local service. The mutex is held.
func (m *membership) refreshLocal() {
	if m.group == nil {
		return
	}
	members := m.group.View().Members
	servers := make([]toucanbalance.Server, len(members))
	ids := make([]string, len(members))
	for i, member := range members {
		servers[i], ids[i] = member.Server, member.ID
	}
	m.local = servers
	service := m.service
	m.background.Go(func() { m.membersOf(service, ids) })
}

func (m *membership) viewChanged(service string, list []toucanbalance.Server) {
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
	m.background.Go(func() { m.membersOf(service, ids) })
}

// send carries out one message and feeds its answer back.
func (m *membership) send(service string, s stepper, e toucanmember.Send) {
	ctx, cancel := context.WithTimeout(m.ctx, e.Timeout)
	defer cancel()
	answer, err := m.exchange(ctx, e.To, e.Message)
	if err != nil {
		m.feed(service, s, toucanmember.Failure{Seq: e.Seq})
		return
	}
	m.feed(service, s, toucanmember.Reply{Seq: e.Seq, Message: answer})
}

func (m *membership) exchange(ctx context.Context, to string, message toucanmember.Message) (toucanmember.Message, error) {
	switch message := message.(type) {
	case toucanmember.Probe:
		return ask[toucanmember.Probe](ctx, m.clients, to, "Member.Probe", message)
	case toucanmember.ProbeFor:
		return ask[toucanmember.ProbeForAnswer](ctx, m.clients, to, "Member.ProbeFor", message)
	case toucanmember.Sync:
		return ask[toucanmember.SyncAnswer](ctx, m.clients, to, "Member.Sync", message)
	case toucanmember.ViewRequest:
		return ask[toucanmember.ViewAnswer](ctx, m.clients, to, "Member.View", message)
	}
	return nil, fmt.Errorf("message %T has no control method", message)
}

func ask[A toucanmember.Message](ctx context.Context, clients *controlClients, to, method string, message toucanmember.Message) (answer A, err error) {
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

// writeContacts replaces the contacts and reads back what stands, because the
// reply may be lost or another member may have written first.
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

// ContactsAnswer holds the control addresses of some members of the service.
type ContactsAnswer struct{ Contacts []string }

// knownPeers returns other nodes that may know contacts. The mutex is held.
func (m *membership) knownPeers() []string {
	peers := map[string]bool{}
	for _, s := range m.local {
		peers[s.ID] = true
	}
	for _, view := range m.views {
		for _, s := range view.servers {
			peers[s.ID] = true
		}
	}
	delete(peers, m.self.ID)
	list := slices.Collect(maps.Keys(peers)) // map order is random enough here
	return list[:min(contactPeers, len(list))]
}

func (m *membership) askPeers(service string, peers []string) toucanmember.Contacts {
	var found []string
	for _, peer := range peers {
		ctx, cancel := context.WithTimeout(m.ctx, controlTimeout)
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

// answer hands an answer to the handler that waits for it. The mutex is held.
func (m *membership) answer(e toucanmember.Answer) {
	if waiting := m.answers[e.Call]; waiting != nil {
		waiting <- e.Message
		delete(m.answers, e.Call)
	}
}

// serve passes a message of another node to the group and waits for the answer.
func (m *membership) serve(service string, message toucanmember.Message) (toucanmember.Message, error) {
	m.mu.Lock()
	if m.group == nil || m.service != service {
		m.mu.Unlock()
		return nil, fmt.Errorf("this node is no member of service %.64q", service)
	}
	m.lastCall++
	call, answered := m.lastCall, make(chan toucanmember.Message, 1)
	m.answers[call] = answered
	m.step(service, m.group, toucanmember.Request{Call: call, Message: message})
	m.mu.Unlock()
	timer := time.NewTimer(requestWait)
	defer timer.Stop()
	select {
	case answer := <-answered:
		return answer, nil
	case <-timer.C:
	case <-m.ctx.Done():
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.answers, call)
	return nil, errors.New("no answer in time")
}

// memberService receives the control messages of other nodes.
type memberService struct{ m *membership }

// Probe answers a probe.
func (s memberService) Probe(message toucanmember.Probe, answer *toucanmember.Probe) error {
	return serveMember(s.m, message.Service, message, answer)
}

// ProbeFor probes a third member.
func (s memberService) ProbeFor(message toucanmember.ProbeFor, answer *toucanmember.ProbeForAnswer) error {
	return serveMember(s.m, message.Service, message, answer)
}

// Sync answers with the differing parts of the view.
func (s memberService) Sync(message toucanmember.Sync, answer *toucanmember.SyncAnswer) error {
	return serveMember(s.m, message.Service, message, answer)
}

// View answers an entry's poll.
func (s memberService) View(message toucanmember.ViewRequest, answer *toucanmember.ViewAnswer) error {
	return serveMember(s.m, message.Service, message, answer)
}

// Contacts answers with members that this node knows, for a node whose KV does
// not answer.
func (s memberService) Contacts(request ContactsRequest, answer *ContactsAnswer) error {
	m := s.m
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.group != nil && m.service == request.Service {
		for _, server := range m.local {
			answer.Contacts = append(answer.Contacts, server.ID)
		}
	} else if view := m.views[request.Service]; view != nil {
		answer.Contacts = view.entry.ContactIDs()
	}
	answer.Contacts = answer.Contacts[:min(len(answer.Contacts), maxContactsAnswer)]
	return nil
}

func serveMember[A toucanmember.Message](m *membership, service string, message toucanmember.Message, answer *A) error {
	got, err := m.serve(service, message)
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
