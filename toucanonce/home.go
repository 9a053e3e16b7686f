package toucanonce

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"hash"
	"net/http"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclock"
)

// Defaults of a Home.
const (
	// DefaultMaxKeys bounds the keys that a home remembers: 3,495 keys a second
	// over KeyTTL. At two bits a key this is 512 KiB, and a seal of 256 KiB fits
	// a KV value.
	DefaultMaxKeys = 1 << 21
	// DefaultAnswerBytes bounds the remembered answers of a home.
	DefaultAnswerBytes = 32 << 20
	// MaxIssue bounds the keys of one Issue, so that one request for keys cannot
	// use up the keys of a home.
	MaxIssue = 1000

	minSecretBytes = 16
	// answerOverhead is charged for the map entry and bookkeeping of a remembered
	// answer, so that many empty answers stay inside the budget too.
	answerOverhead = 256
	// headerOverhead and fieldOverhead cover the map and the slices of an answer's
	// header. Without them a budget held 1.6 times its bytes (909 B measured for
	// 554 B charged, four fields).
	headerOverhead = 384
	fieldOverhead  = 64
	// maxAnswerShare keeps one large answer from evicting all others.
	maxAnswerShare = 8
)

// Answer is the end of a run: the whole answer of the backend server if Outcome
// is answered, otherwise only the outcome and its reason.
type Answer struct {
	Outcome toucancall.Outcome
	Reason  toucancall.Reason
	Status  int
	Header  http.Header
	Body    []byte
	Trailer http.Header
}

func (a Answer) size() int {
	size := answerOverhead + len(a.Body)
	if len(a.Header) > 0 {
		size += headerOverhead + fieldBytes(a.Header)
	}
	if len(a.Trailer) > 0 {
		size += headerOverhead + fieldBytes(a.Trailer)
	}
	return size
}

func fieldBytes(h http.Header) (size int) {
	for name, values := range h {
		size += fieldOverhead + len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}

// Decision is what a home does with a keyed request. The set is closed: Run,
// Replay, Join, Refused, Unknown.
type Decision interface{ decision() }

// Run tells the node to run the request. It calls Confirm directly before it
// writes the first byte to the backend server and ends the run with Finish.
type Run struct{}

// Replay gives the remembered end of the run.
type Replay struct{ Answer Answer }

// Join tells the home to wait for the end of the run in progress.
type Join struct{}

// Refused says that the key did not run and never will.
type Refused struct{ Reason toucancall.Reason }

// Unknown says that the key may have run.
type Unknown struct{ Reason toucancall.Reason }

func (Run) decision()     {}
func (Replay) decision()  {}
func (Join) decision()    {}
func (Refused) decision() {}
func (Unknown) decision() {}

// Identity names one incarnation of the home of one service.
type Identity struct {
	Service     string
	Node        string
	Incarnation int64
}

// HomeOption changes a default of a Home.
type HomeOption func(*Home)

// WithMaxKeys bounds the keys remembered at a time.
func WithMaxKeys(n int) HomeOption {
	return func(h *Home) { h.maxKeys = uint64(max(1, min(n, DefaultMaxKeys))) }
}

// WithAnswerBytes bounds the remembered answers in bytes.
func WithAnswerBytes(n int) HomeOption {
	return func(h *Home) { h.answers.budget = max(0, n) }
}

// Home decides the fate of the keys that it issued. It is not safe for
// concurrent use.
type Home struct {
	identity Identity
	clock    toucanclock.Clock
	reading  time.Time // last reading of clock
	time     time.Time // time for expiry; it never runs backwards
	mac      hash.Hash
	scratch  [MaxKeyBytes]byte
	sum      [sha256.Size]byte
	maxKeys  uint64
	states   window
	answers  answers
	sealed   bool
}

// NewHome returns the home of one service in one incarnation of its node. The
// secret must be random and new for each incarnation.
func NewHome(id Identity, secret []byte, clock toucanclock.Clock, options ...HomeOption) (*Home, error) {
	if err := checkHome(id.Service, id.Node, id.Incarnation); err != nil {
		return nil, err
	}
	if len(secret) < minSecretBytes {
		return nil, errors.New("secret: want at least 16 bytes")
	}
	now := clock.Now()
	h := &Home{identity: id, clock: clock, reading: now, time: now.Round(0), mac: hmac.New(sha256.New, secret),
		maxKeys: DefaultMaxKeys, states: window{first: 1, next: 1}}
	h.answers.budget = DefaultAnswerBytes
	for _, option := range options {
		option(h)
	}
	return h, nil
}

// Issue returns up to n new keys, fewer when the home remembers its maximum of
// keys and none once it is sealed.
func (h *Home) Issue(n int) []Key {
	now := h.now()
	if h.sealed {
		return nil
	}
	n = min(n, MaxIssue, int(h.maxKeys-h.states.size()))
	if n <= 0 {
		return nil
	}
	keys := make([]Key, n)
	for i := range keys {
		k := Key{Service: h.identity.Service, Node: h.identity.Node, Incarnation: h.identity.Incarnation,
			Expiry: time.UnixMilli(now.Add(KeyTTL).UnixMilli())}
		k.Sequence = h.states.add(k.Expiry)
		k.tag = h.tag(k)
		keys[i] = k
	}
	return keys
}

// Remembered returns the number of keys that were issued and not yet forgotten.
func (h *Home) Remembered() int { return int(h.states.size()) }

// Begin decides what to do with a request. After Run the caller must end the
// run with Finish.
func (h *Home) Begin(k Key) Decision {
	if end := h.lookup(k); end != nil {
		return end
	}
	switch h.states.get(k.Sequence) {
	case running:
		return Join{}
	case done:
		if a, found := h.answers.get(k.Sequence); found {
			return Replay{Answer: a}
		}
		return Unknown{Reason: toucancall.ReasonAnswerForgotten}
	case refused:
		return Refused{Reason: toucancall.ReasonKeyRefused}
	}
	if h.sealed {
		h.states.set(k.Sequence, refused)
		return Refused{Reason: toucancall.ReasonLeaving}
	}
	h.states.set(k.Sequence, running)
	return Run{}
}

// Confirm reports whether a run that Begin decided may still start. It guards
// against a home that was frozen after Begin for longer than the key lives. If
// it returns false, the node calls Finish with outcome not_run.
func (h *Home) Confirm(k Key) bool {
	return h.lookup(k) == nil && h.states.get(k.Sequence) == running
}

// Finish ends a run. An answer with outcome not_run refuses the key for good.
func (h *Home) Finish(k Key, a Answer) {
	h.now()
	if !h.own(k) || !h.states.holds(k.Sequence) || h.states.get(k.Sequence) != running {
		return
	}
	if a.Outcome == toucancall.NotRun {
		h.states.set(k.Sequence, refused)
		return
	}
	h.states.set(k.Sequence, done)
	h.answers.put(k, a)
}

// Refuse marks an unseen key refused for good. It answers Refused if the key
// did not run, otherwise what Begin would answer.
func (h *Home) Refuse(k Key) Decision {
	if end := h.lookup(k); end != nil {
		return end
	}
	if h.states.get(k.Sequence) == unseen {
		h.states.set(k.Sequence, refused)
	}
	return h.Begin(k)
}

// Seal stops the home from running further keys and returns the record of the
// keys that started. Keys still running count as started.
func (h *Home) Seal() Seal {
	h.now()
	h.sealed = true
	s := Seal{Identity: h.identity, First: h.states.first, Next: h.states.next}
	for seq := s.First; seq < s.Next; seq++ {
		if state := h.states.get(seq); state == running || state == done {
			s.add(seq)
		}
	}
	return s
}

// lookup decides about keys of which the home has no state. It returns nil for
// the others. An expired key is unknown whatever its state: the claim of a
// caller-made key may have lapsed since, and the key may run under a new one.
func (h *Home) lookup(k Key) Decision {
	now := h.now()
	switch {
	case k.Service != h.identity.Service || k.Node != h.identity.Node || k.Incarnation != h.identity.Incarnation:
		return Unknown{Reason: toucancall.ReasonKeyUnknown}
	case !h.own(k):
		return Refused{Reason: toucancall.ReasonBadRequest}
	case !h.states.holds(k.Sequence) || !now.Before(k.Expiry):
		return Unknown{Reason: toucancall.ReasonKeyUnknown}
	}
	return nil
}

// own reports whether this incarnation issued the key.
func (h *Home) own(k Key) bool {
	tag := h.tag(k)
	return hmac.Equal(tag[:], k.tag[:])
}

func (h *Home) tag(k Key) (tag [tagBytes]byte) {
	h.mac.Reset()
	h.mac.Write(k.appendSigned(h.scratch[:0]))
	copy(tag[:], h.mac.Sum(h.sum[:0]))
	return tag
}

// now returns the time for expiry and forgets expired keys. Between two readings
// it moves by the larger of the steps of the wall clock and the monotonic clock,
// so that neither a wall clock set back nor a monotonic clock that stopped with
// its VM extends the life of a key.
func (h *Home) now() time.Time {
	reading := h.clock.Now()
	monotonic := reading.Sub(h.reading)
	wall := reading.Round(0).Sub(h.reading.Round(0))
	h.reading = reading
	h.time = h.time.Add(max(0, monotonic, wall))
	h.states.forget(h.time)
	h.answers.forget(h.time)
	return h.time
}
