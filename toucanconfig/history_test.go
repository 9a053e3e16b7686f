package toucanconfig

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// history records what operators and nodes saw of one service.
type history struct {
	operations []porcupine.Operation
	last       []uint64 // revision last read by each reader
	accepted   []acceptance
	late       []string // reads that broke the time bound
	reads      int
}

type acceptance struct {
	revision uint64
	at       time.Duration
}

// registerInput is an apply if the nonce is set, a read of a node otherwise.
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

// registerState is comparable, so that the checker can merge equal states.
type registerState struct {
	nonces string     // of all revisions, each ended by a space
	last   [32]uint16 // revision last read by each reader
}

func (r registerState) revision() uint64 { return uint64(strings.Count(r.nonces, " ")) }

// register is the sequential specification of the configuration of one service:
// an apply succeeds exactly on the revision it names, and the reads of each node
// follow the chain of accepted changes without going back.
var register = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(registerState), input.(registerInput), output.(registerOutput)
		if in.nonce == "" {
			nonces := strings.Fields(s.nonces)
			known := out.revision == 0 || out.revision <= uint64(len(nonces)) && nonces[out.revision-1] == out.nonce
			if !known || out.revision < uint64(s.last[in.reader]) {
				return nil
			}
			s.last[in.reader] = uint16(out.revision)
			return []any{s}
		}
		next := s
		next.nonces += in.nonce + " "
		fits := s.revision() == in.replaces
		switch {
		case out.status == "accepted" && fits:
			return []any{next}
		case out.status == "unknown" && fits:
			return []any{s, next}
		case out.status == "conflict" && !fits, out.status == "not_applied", out.status == "unknown":
			return []any{s}
		}
		return nil
	},
}).ToModel()

func (h *history) newReader() int {
	h.last = append(h.last, math.MaxUint64) // The first read is always recorded.
	return len(h.last) - 1
}

// record notes what the node serves, if it serves, and checks that every change
// accepted more than 8 s before is in force. The time counts from the end of a
// freeze or partition; a node that restarts gets no extra time.
func (n *simNode) record() {
	if !n.spread.Ready() && n.variant != serveAtOnce {
		return
	}
	n.reads++
	d, _ := n.store.Get(simService)
	for _, a := range n.accepted {
		from := max(a.at, n.resumed.Sub(n.start), n.healed.Sub(n.start))
		if d.Revision() < a.revision && !n.split && n.elapsed() > from+bound {
			n.late = append(n.late, fmt.Sprintf("%s serves revision %d at %s, revision %d was accepted at %s",
				n.name(), d.Revision(), n.elapsed(), a.revision, a.at))
		}
	}
	if n.last[n.reader] == d.Revision() {
		return
	}
	n.last[n.reader] = d.Revision()
	at := int64(n.elapsed())
	n.operations = append(n.operations, porcupine.Operation{
		ClientId: n.reader, Input: registerInput{reader: n.reader}, Call: at, Return: at,
		Output: registerOutput{revision: d.Revision(), nonce: d.Nonce()},
	})
}

// applyRecord is an apply whose result is not yet known.
type applyRecord struct {
	*history
	index int
	ended bool
}

func (h *history) beginApply(replaces uint64, nonce string, at time.Duration) *applyRecord {
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: 100 + len(h.operations), Input: registerInput{replaces: replaces, nonce: nonce},
		Call: int64(at), Return: math.MaxInt64, Output: registerOutput{status: "unknown"},
	})
	return &applyRecord{history: h, index: len(h.operations) - 1}
}

func (r *applyRecord) end(err error, at time.Duration) {
	if r.ended {
		return
	}
	r.ended = true
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

// check returns what is wrong with the history; empty if nothing is.
func (h *history) check() string {
	if len(h.late) > 0 {
		return h.late[0]
	}
	switch porcupine.CheckOperationsTimeout(register, h.operations, time.Minute) {
	case porcupine.Illegal:
		return "history is not linearizable"
	case porcupine.Unknown:
		return "history was not checked in time"
	}
	return ""
}
