package toucannode

import (
	"context"
	"errors"
	"io"
	"net/rpc"
	"time"

	"toucanhaven/toucanbalance"
	"toucanhaven/toucancall"
	"toucanhaven/toucanonce"
)

// onceTimeout bounds the wait for a control message to a home. A frozen home
// answers nothing, and the caller is waiting.
const onceTimeout = 250 * time.Millisecond

// onceMessages receives the control messages Once.Issue and Once.Refuse.
type onceMessages struct{ o *keyedOnce }

// The wire types are aliases of unnamed types, because net/rpc accepts no named
// type that is not exported.
type (
	issueMessage = struct {
		Service string
		Count   int
	}
	issueAnswer   = struct{ Keys []string }
	refuseMessage = struct{ Key string }
	refuseAnswer  = struct {
		Refused bool
		Reason  string
	}
)

// Issue answers with new keys of the home, none if this node is not a home of
// the service.
func (m *onceMessages) Issue(message issueMessage, answer *issueAnswer) error {
	keys, err := m.o.issueHere(message.Service, message.Count)
	answer.Keys = keyTexts(keys)
	return err
}

// Refuse refuses a key for good and answers what is known about it.
func (m *onceMessages) Refuse(message refuseMessage, answer *refuseAnswer) error {
	k, err := toucanonce.ParseKey(message.Key)
	if err != nil {
		return err
	}
	if d, ok := m.o.refuseHere(k).(toucanonce.Refused); ok {
		answer.Refused, answer.Reason = true, string(d.Reason)
	}
	return nil
}

func keyTexts(keys []toucanonce.Key) []string {
	texts := make([]string, len(keys))
	for i, k := range keys {
		texts[i] = k.String()
	}
	return texts
}

// send sends a control message to a home. A connection that was kept from before
// the home was replaced fails at once, so the message is sent once more; both
// messages may arrive twice without harm.
func (o *keyedOnce) send(ctx context.Context, nodeID, method string, message, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, onceTimeout)
	defer cancel()
	err := o.n.controlClients.call(ctx, nodeID, method, message, answer)
	if errors.Is(err, rpc.ErrShutdown) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = o.n.controlClients.call(ctx, nodeID, method, message, answer)
	}
	return err
}

// issueAt gets keys from the home beside one backend server.
func (o *keyedOnce) issueAt(ctx context.Context, server toucanbalance.Server, service string, count int) ([]string, error) {
	if server.ID == o.n.id {
		keys, err := o.issueHere(service, count)
		return keyTexts(keys), err
	}
	var answer issueAnswer
	err := o.send(ctx, server.ID, "Once.Issue", issueMessage{Service: service, Count: count}, &answer)
	return answer.Keys, err
}

// refuseAt asks the home of the key to refuse it. It returns nil if the home is
// not known or gave no answer. The key may be forged, so no address is taken
// from it.
func (o *keyedOnce) refuseAt(ctx context.Context, k toucanonce.Key) toucanonce.Decision {
	if k.Node == o.n.id {
		return o.refuseHere(k)
	}
	if _, known := o.n.findServer(ctx, k.Service, k.Node); !known {
		return nil
	}
	// The key is refused even when the caller has left or its deadline has
	// passed, because the caller may be told "not run" on a repeat.
	var answer refuseAnswer
	if err := o.send(context.WithoutCancel(ctx), k.Node, "Once.Refuse", refuseMessage{Key: k.String()}, &answer); err != nil {
		return nil
	}
	if answer.Refused {
		return toucanonce.Refused{Reason: toucancall.Reason(answer.Reason)}
	}
	return toucanonce.Unknown{Reason: toucancall.ReasonKeyUnknown}
}

const (
	// maxIssueTries bounds the homes that are asked when one does not answer.
	maxIssueTries = 3
	// issueHomes is the number of homes that share one request for keys, so that
	// the calls of one caller do not all go to one backend server.
	issueHomes = 3
)

var errNoKeys = errors.New("no home of the service issued a key")

// IssueKeys gets keys from up to issueHomes homes and mixes them.
func (o *keyedOnce) IssueKeys(ctx context.Context, service string, count int) ([]string, error) {
	homes := 0
	for _, s := range o.n.directory.BackendServers(ctx, service) {
		if s.State == toucanbalance.Alive {
			homes++
		}
	}
	homes = max(1, min(homes, issueHomes, count))
	var batches [][]string
	var tried []string
	var failure error
	got := 0
	for got < count && len(tried) < maxIssueTries {
		left := max(1, homes-len(tried))
		share := (count - got + left - 1) / left
		keys, nodeID, err := o.issueNext(ctx, service, share, tried)
		if nodeID == "" {
			break
		}
		if err != nil {
			failure = err
		}
		tried, batches, got = append(tried, nodeID), append(batches, keys), got+len(keys)
	}
	if got == 0 {
		return nil, errors.Join(errNoKeys, failure)
	}
	return mix(batches), nil
}

// issueNext gets keys from a home that the balancer chooses.
func (o *keyedOnce) issueNext(ctx context.Context, service string, count int, tried []string) (keys []string, nodeID string, err error) {
	n := o.n
	server, ok := n.chooser.Choose(service, n.directory.BackendServers(ctx, service), tried)
	if !ok {
		return nil, "", errNoKeys
	}
	start := n.clock.Now()
	keys, err = o.issueAt(ctx, server, service, count)
	// An issue says nothing about the backend server, a node that gives no
	// answer does.
	end := Attempt{Outcome: toucancall.NotRun, Reason: toucancall.ReasonCancelled}
	if err != nil && ctx.Err() == nil {
		end.Outcome, end.Reason = toucancall.Unknown, toucancall.ReasonConnectionLost
	}
	end.Latency = n.clock.Now().Sub(start)
	n.chooser.EndAttempt(service, server.ID, end)
	return keys, server.ID, err
}

// mix takes one key of each batch in turn.
func mix(batches [][]string) (mixed []string) {
	for i := 0; ; i++ {
		before := len(mixed)
		for _, batch := range batches {
			if i < len(batch) {
				mixed = append(mixed, batch[i])
			}
		}
		if len(mixed) == before {
			return mixed
		}
	}
}
