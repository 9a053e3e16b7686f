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

// homeCallTimeout bounds the wait for the reply of a home to a control message.
// A frozen home does not reply, and the caller is waiting.
const homeCallTimeout = 250 * time.Millisecond

// onceMessages is the net/rpc receiver of the control messages Once.Issue and
// Once.Refuse.
type onceMessages struct{ deduplicator *keyDeduplicator }

// The message types are aliases of unnamed types, because net/rpc does not
// accept an unexported named type.
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

// Issue replies with new keys of the home. It replies with none if this node is
// not a home of the service.
func (m *onceMessages) Issue(message issueMessage, answer *issueAnswer) error {
	keys, err := m.deduplicator.issueLocalKeys(message.Service, message.Count)
	answer.Keys = keyStrings(keys)
	return err
}

// Refuse refuses a key for good and replies with the decision of the home.
func (m *onceMessages) Refuse(message refuseMessage, answer *refuseAnswer) error {
	k, err := toucanonce.ParseKey(message.Key)
	if err != nil {
		return err
	}
	if d, ok := m.deduplicator.refuseLocalKey(k).(toucanonce.Refused); ok {
		answer.Refused, answer.Reason = true, string(d.Reason)
	}
	return nil
}

func keyStrings(keys []toucanonce.Key) []string {
	list := make([]string, len(keys))
	for i, k := range keys {
		list[i] = k.String()
	}
	return list
}

// callHome sends a control message to a home and waits for its reply. A reused
// connection fails at once if the home was replaced in the meantime, so the
// message is then sent a second time. An Issue or Refuse message may arrive
// twice without harm.
func (o *keyDeduplicator) callHome(ctx context.Context, nodeID, method string, message, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, homeCallTimeout)
	defer cancel()
	err := o.n.controlClients.call(ctx, nodeID, method, message, answer)
	if errors.Is(err, rpc.ErrShutdown) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = o.n.controlClients.call(ctx, nodeID, method, message, answer)
	}
	return err
}

// issueKeysAt gets keys from the home beside one backend server.
func (o *keyDeduplicator) issueKeysAt(ctx context.Context, server toucanbalance.Server, service string, count int) ([]string, error) {
	if server.ID == o.n.id {
		keys, err := o.issueLocalKeys(service, count)
		return keyStrings(keys), err
	}
	var answer issueAnswer
	err := o.callHome(ctx, server.ID, "Once.Issue", issueMessage{Service: service, Count: count}, &answer)
	return answer.Keys, err
}

// refuseKeyAt asks the home of the key to refuse it. It returns nil if the home
// is not in the directory or did not reply. It does not use the address in the
// key, because the key may be forged.
func (o *keyDeduplicator) refuseKeyAt(ctx context.Context, k toucanonce.Key) toucanonce.Decision {
	if k.Node == o.n.id {
		return o.refuseLocalKey(k)
	}
	if _, known := o.n.findServer(ctx, k.Service, k.Node); !known {
		return nil
	}
	// The key is refused even if the caller has disconnected or its deadline has
	// passed, because a retry of the caller may be answered with "not run".
	var answer refuseAnswer
	if err := o.callHome(context.WithoutCancel(ctx), k.Node, "Once.Refuse", refuseMessage{Key: k.String()}, &answer); err != nil {
		return nil
	}
	if answer.Refused {
		return toucanonce.Refused{Reason: toucancall.Reason(answer.Reason)}
	}
	return toucanonce.Unknown{Reason: toucancall.ReasonKeyUnknown}
}

const (
	// maxIssueAttempts bounds the homes that are asked for keys if some do not
	// reply.
	maxIssueAttempts = 3
	// maxIssueHomes is the number of homes that share one request for keys, so
	// that the calls of one caller are spread over several backend servers.
	maxIssueHomes = 3
)

var errNoKeys = errors.New("no home of the service issued a key")

// IssueKeys gets keys from up to maxIssueHomes homes and interleaves them.
func (o *keyDeduplicator) IssueKeys(ctx context.Context, service string, count int) ([]string, error) {
	homes := 0
	for _, s := range o.n.directory.BackendServers(ctx, service) {
		if s.State == toucanbalance.Alive {
			homes++
		}
	}
	homes = max(1, min(homes, maxIssueHomes, count))
	var batches [][]string
	var excluded []string
	var failure error
	received := 0
	for received < count && len(excluded) < maxIssueAttempts {
		homesLeft := max(1, homes-len(excluded))
		share := (count - received + homesLeft - 1) / homesLeft
		keys, nodeID, err := o.issueAtNextHome(ctx, service, share, excluded)
		if nodeID == "" {
			break
		}
		if err != nil {
			failure = err
		}
		excluded, batches, received = append(excluded, nodeID), append(batches, keys), received+len(keys)
	}
	if received == 0 {
		return nil, errors.Join(errNoKeys, failure)
	}
	return interleave(batches), nil
}

// issueAtNextHome gets keys from a home that the chooser picks.
func (o *keyDeduplicator) issueAtNextHome(ctx context.Context, service string, count int, excluded []string) (keys []string, nodeID string, err error) {
	n := o.n
	server, ok := n.chooser.Choose(service, n.directory.BackendServers(ctx, service), excluded)
	if !ok {
		return nil, "", errNoKeys
	}
	start := n.clock.Now()
	keys, err = o.issueKeysAt(ctx, server, service, count)
	// Issuing keys says nothing about the backend server, but a node
	// that does not reply counts as a failure.
	result := Attempt{Outcome: toucancall.NotRun, Reason: toucancall.ReasonCancelled}
	if err != nil && ctx.Err() == nil {
		result.Outcome, result.Reason = toucancall.Unknown, toucancall.ReasonConnectionLost
	}
	result.Latency = n.clock.Now().Sub(start)
	n.chooser.EndAttempt(service, server.ID, result)
	return keys, server.ID, err
}

// interleave takes one key of each batch in turn.
func interleave(batches [][]string) (mixed []string) {
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
