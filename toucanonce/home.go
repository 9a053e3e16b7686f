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
	// DefaultMaxKeys bounds the keys whose state a home holds. It allows 3,495 keys
	// a second over KeyTTL. The states take 512 KiB at two bits a key, and a seal
	// takes 256 KiB, which fits a KV value.
	DefaultMaxKeys = 1 << 21
	// DefaultAnswerBytes bounds the answers that a home stores.
	DefaultAnswerBytes = 32 << 20
	// MaxKeysPerIssue bounds the keys returned by one call of Issue, so that a
	// single request for keys cannot use up the keys of a home.
	MaxKeysPerIssue = 1000

	minSecretBytes = 16
	// answerOverhead is the size charged for the map entry and the list entry of a
	// stored answer, so that many empty answers stay within the budget too.
	answerOverhead = 256
	// headerOverhead and fieldOverhead are the sizes charged for the map and the
	// slices of an answer's header. Without them the answers took 1.6 times the
	// budget: an answer with four fields took 909 B and was charged 554 B.
	headerOverhead = 384
	fieldOverhead  = 64
	// maxAnswerDivisor limits the size of a stored answer to the budget divided by it,
	// so that one large answer does not evict all others.
	maxAnswerDivisor = 8
)

// Answer is the result of a run. It holds the whole response of the backend server
// if Outcome is answered, and only the outcome and its reason otherwise.
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

// Run tells the node to run the request. The node calls Confirm immediately before
// it writes the first byte to the backend server and ends the run with Finish.
type Run struct{}

// Replay returns the stored answer of a run that has ended.
type Replay struct{ Answer Answer }

// Join tells the node to wait for the end of the run in progress.
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

// WithMaxKeys bounds the keys whose state the home holds at a time.
func WithMaxKeys(n int) HomeOption {
	return func(h *Home) { h.maxKeys = uint64(max(1, min(n, DefaultMaxKeys))) }
}

// WithAnswerBytes bounds the stored answers in bytes.
func WithAnswerBytes(n int) HomeOption {
	return func(h *Home) { h.answers.budgetBytes = max(0, n) }
}

// Home issues keys and decides on requests with them. It is not safe for
// concurrent use.
type Home struct {
	identity    Identity
	clock       toucanclock.Clock
	lastReading time.Time // last reading of clock
	expiryTime  time.Time // time that expiry is checked against; never decreases
	mac         hash.Hash
	scratch     [MaxKeyBytes]byte
	sum         [sha256.Size]byte
	maxKeys     uint64
	states      window
	answers     answerCache
	sealed      bool
}

// NewHome returns the home of one service in one incarnation of its node. The
// secret must be random and new for each incarnation.
func NewHome(id Identity, secret []byte, clock toucanclock.Clock, options ...HomeOption) (*Home, error) {
	if err := checkIdentity(id.Service, id.Node, id.Incarnation); err != nil {
		return nil, err
	}
	if len(secret) < minSecretBytes {
		return nil, errors.New("secret: want at least 16 bytes")
	}
	now := clock.Now()
	h := &Home{identity: id, clock: clock, lastReading: now, expiryTime: now.Round(0), mac: hmac.New(sha256.New, secret),
		maxKeys: DefaultMaxKeys, states: window{first: 1, next: 1}}
	h.answers.budgetBytes = DefaultAnswerBytes
	for _, option := range options {
		option(h)
	}
	return h, nil
}

// Issue returns up to n new keys. It returns fewer if the home reaches its maximum
// number of keys and none once the home is sealed.
func (h *Home) Issue(n int) []Key {
	now := h.advanceTime()
	if h.sealed {
		return nil
	}
	n = min(n, MaxKeysPerIssue, int(h.maxKeys-h.states.size()))
	if n <= 0 {
		return nil
	}
	keys := make([]Key, n)
	for i := range keys {
		k := Key{Service: h.identity.Service, Node: h.identity.Node, Incarnation: h.identity.Incarnation,
			Expiry: time.UnixMilli(now.Add(KeyTTL).UnixMilli())}
		k.Sequence = h.states.add(k.Expiry)
		k.tag = h.computeTag(k)
		keys[i] = k
	}
	return keys
}

// Remembered returns the number of issued keys whose state the home still holds.
func (h *Home) Remembered() int { return int(h.states.size()) }

// Begin decides what to do with a request. If it returns Run, the caller must end
// the run with Finish.
func (h *Home) Begin(k Key) Decision {
	if end := h.decideWithoutState(k); end != nil {
		return end
	}
	switch h.states.get(k.Sequence) {
	case keyRunning:
		return Join{}
	case keyDone:
		if a, found := h.answers.get(k.Sequence); found {
			return Replay{Answer: a}
		}
		return Unknown{Reason: toucancall.ReasonAnswerForgotten}
	case keyRefused:
		return Refused{Reason: toucancall.ReasonKeyRefused}
	}
	if h.sealed {
		h.states.set(k.Sequence, keyRefused)
		return Refused{Reason: toucancall.ReasonLeaving}
	}
	h.states.set(k.Sequence, keyRunning)
	return Run{}
}

// Confirm reports whether a run that Begin allowed may still start. It guards
// against a run that starts after the process was paused for longer than the time
// to live of the key. If it returns false, the node calls Finish with outcome
// not_run.
func (h *Home) Confirm(k Key) bool {
	return h.decideWithoutState(k) == nil && h.states.get(k.Sequence) == keyRunning
}

// Finish ends a run. An answer with outcome not_run refuses the key permanently.
func (h *Home) Finish(k Key, a Answer) {
	h.advanceTime()
	if !h.tagValid(k) || !h.states.contains(k.Sequence) || h.states.get(k.Sequence) != keyRunning {
		return
	}
	if a.Outcome == toucancall.NotRun {
		h.states.set(k.Sequence, keyRefused)
		return
	}
	h.states.set(k.Sequence, keyDone)
	h.answers.put(k, a)
}

// Refuse marks an unused key as refused permanently. It returns Refused if the key
// did not run, otherwise what Begin would return.
func (h *Home) Refuse(k Key) Decision {
	if end := h.decideWithoutState(k); end != nil {
		return end
	}
	if h.states.get(k.Sequence) == keyUnused {
		h.states.set(k.Sequence, keyRefused)
	}
	return h.Begin(k)
}

// Seal stops the home from running further keys and returns the seal, which records
// the keys that started. Keys that are still running count as started.
func (h *Home) Seal() Seal {
	h.advanceTime()
	h.sealed = true
	s := Seal{Identity: h.identity, First: h.states.first, Next: h.states.next}
	for seq := s.First; seq < s.Next; seq++ {
		if state := h.states.get(seq); state == keyRunning || state == keyDone {
			s.add(seq)
		}
	}
	return s
}

// decideWithoutState decides on keys of another home, forged keys, keys whose state
// was dropped and expired keys. It returns nil for other keys. An expired key is
// unknown whatever its state: the claim of a caller-made key may have expired
// since, and the caller's key may run under a new claim.
func (h *Home) decideWithoutState(k Key) Decision {
	now := h.advanceTime()
	switch {
	case k.Service != h.identity.Service || k.Node != h.identity.Node || k.Incarnation != h.identity.Incarnation:
		return Unknown{Reason: toucancall.ReasonKeyUnknown}
	case !h.tagValid(k):
		return Refused{Reason: toucancall.ReasonBadRequest}
	case !h.states.contains(k.Sequence) || !now.Before(k.Expiry):
		return Unknown{Reason: toucancall.ReasonKeyUnknown}
	}
	return nil
}

// tagValid reports whether the tag shows that this incarnation issued the key.
func (h *Home) tagValid(k Key) bool {
	tag := h.computeTag(k)
	return hmac.Equal(tag[:], k.tag[:])
}

func (h *Home) computeTag(k Key) (tag [tagBytes]byte) {
	h.mac.Reset()
	h.mac.Write(k.appendSigned(h.scratch[:0]))
	copy(tag[:], h.mac.Sum(h.sum[:0]))
	return tag
}

// advanceTime updates and returns expiryTime, and drops expired keys and answers.
// Between two readings expiryTime advances by the larger of the steps of the wall
// clock and the monotonic clock. Neither a wall clock that is set back nor a
// monotonic clock that stops while its VM is suspended extends the time to live of
// a key.
func (h *Home) advanceTime() time.Time {
	reading := h.clock.Now()
	monotonic := reading.Sub(h.lastReading)
	wall := reading.Round(0).Sub(h.lastReading.Round(0))
	h.lastReading = reading
	h.expiryTime = h.expiryTime.Add(max(0, monotonic, wall))
	h.states.dropExpired(h.expiryTime)
	h.answers.evictExpired(h.expiryTime)
	return h.expiryTime
}
