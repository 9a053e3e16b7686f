package toucanconfig

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// history records the operations of operators and nodes on the configuration of one
// service.
type history struct {
	operations []porcupine.Operation
	lastRead   []uint64 // revision last read by each reader
	accepted   []acceptance
	lateReads  []string // reads of an old revision after maxTimeInForce
	reads      int
}

type acceptance struct {
	revision uint64
	at       time.Duration
}

// registerInput is an apply if the nonce is set, and a read by a node otherwise.
type registerInput struct {
	replaces uint64
	nonce    string
	reader   int
}

type registerOutput struct {
	status   string // accepted, conflict, not_applied, unknown; empty for a read
	revision uint64
	nonce    string
}

// registerState is the state of the specification. It is comparable, so that the
// checker can merge equal states.
type registerState struct {
	nonces   string     // of all revisions, each followed by a space
	lastRead [32]uint16 // revision last read by each reader
}

func (r registerState) revision() uint64 { return uint64(strings.Count(r.nonces, " ")) }

// register is the sequential specification of the configuration of one service. An
// apply succeeds if and only if it replaces the current revision. The reads of each
// node return accepted revisions in increasing order.
var register = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(registerState), input.(registerInput), output.(registerOutput)
		if in.nonce == "" {
			nonces := strings.Fields(s.nonces)
			onChain := out.revision == 0 || out.revision <= uint64(len(nonces)) && nonces[out.revision-1] == out.nonce
			if !onChain || out.revision < uint64(s.lastRead[in.reader]) {
				return nil
			}
			s.lastRead[in.reader] = uint16(out.revision)
			return []any{s}
		}
		next := s
		next.nonces += in.nonce + " "
		matchesRevision := s.revision() == in.replaces
		switch {
		case out.status == "accepted" && matchesRevision:
			return []any{next}
		case out.status == "unknown" && matchesRevision:
			return []any{s, next}
		case out.status == "conflict" && !matchesRevision, out.status == "not_applied", out.status == "unknown":
			return []any{s}
		}
		return nil
	},
}).ToModel()

func (h *history) newReader() int {
	h.lastRead = append(h.lastRead, math.MaxUint64) // The first read is always recorded.
	return len(h.lastRead) - 1
}

// recordRead records the revision that the node serves, if it is ready. It also
// checks that every change accepted more than maxTimeInForce ago is in force. After
// a pause or partition the time counts from its end; a node that restarts gets no
// extra time.
func (n *simNode) recordRead() {
	if !n.replicator.Ready() && n.variant != serveBeforeAnswers {
		return
	}
	n.reads++
	d, _ := n.store.Get(simService)
	for _, a := range n.accepted {
		boundStart := max(a.at, n.resumedAt.Sub(n.start), n.healedAt.Sub(n.start))
		if d.Revision() < a.revision && !n.partitioned && n.elapsed() > boundStart+maxTimeInForce {
			n.lateReads = append(n.lateReads, fmt.Sprintf("%s serves revision %d at %s, revision %d was accepted at %s",
				n.name(), d.Revision(), n.elapsed(), a.revision, a.at))
		}
	}
	if n.lastRead[n.reader] == d.Revision() {
		return
	}
	n.lastRead[n.reader] = d.Revision()
	at := int64(n.elapsed())
	n.operations = append(n.operations, porcupine.Operation{
		ClientId: n.reader, Input: registerInput{reader: n.reader}, Call: at, Return: at,
		Output: registerOutput{revision: d.Revision(), nonce: d.Nonce()},
	})
}

// applyRecord is an apply in the history whose result can be recorded later.
type applyRecord struct {
	*history
	index int
	done  bool
}

func (h *history) recordApply(replaces uint64, nonce string, at time.Duration) *applyRecord {
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: 100 + len(h.operations), Input: registerInput{replaces: replaces, nonce: nonce},
		Call: int64(at), Return: math.MaxInt64, Output: registerOutput{status: "unknown"},
	})
	return &applyRecord{history: h, index: len(h.operations) - 1}
}

func (r *applyRecord) recordResult(err error, at time.Duration) {
	if r.done {
		return
	}
	r.done = true
	op := &r.operations[r.index]
	status := statusOf(err)
	op.Output = registerOutput{status: status}
	if status == "unknown" {
		return // It may take effect at any later time.
	}
	op.Return = int64(at)
	if status == "accepted" {
		r.accepted = append(r.accepted, acceptance{revision: op.Input.(registerInput).replaces + 1, at: at})
	}
}

func statusOf(err error) string {
	var conflict *ConflictError
	var unavailable *UnavailableError
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &unavailable):
		return "not_applied"
	}
	return "unknown"
}

// check returns the problem with the history, or "" if there is none.
func (h *history) check() string {
	if len(h.lateReads) > 0 {
		return h.lateReads[0]
	}
	switch porcupine.CheckOperationsTimeout(register, h.operations, time.Minute) {
	case porcupine.Illegal:
		return "history is not linearizable"
	case porcupine.Unknown:
		return "history was not checked in time"
	}
	return ""
}
