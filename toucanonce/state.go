package toucanonce

import "time"

// keyState is the state of one key. It takes two bits.
type keyState uint8

const (
	keyUnused keyState = iota // issued, not yet run or refused
	keyRefused
	keyRunning
	keyDone
)

const (
	keysPerChunk  = 1024
	keysPerWord   = 32 // states in a 64-bit word
	wordsPerChunk = keysPerChunk / keysPerWord
)

// chunk holds the states of consecutive sequences. A window drops it as a whole.
type chunk struct {
	states [wordsPerChunk]uint64
	expiry time.Time // expiry of the last key, which is the latest one
}

// window holds the states of the sequences from first up to but not including
// next. All chunks but the last are full.
type window struct {
	first, next uint64
	chunks      []*chunk
}

func (w *window) size() uint64 { return w.next - w.first }

func (w *window) contains(seq uint64) bool { return seq >= w.first && seq < w.next }

// add appends one unused key and returns its sequence.
func (w *window) add(expiry time.Time) uint64 {
	seq := w.next
	if seq-w.first == uint64(len(w.chunks))*keysPerChunk {
		w.chunks = append(w.chunks, &chunk{})
	}
	w.next++
	w.chunks[len(w.chunks)-1].expiry = expiry
	return seq
}

// word returns the word that holds the state of a sequence and the position of the
// state in it.
func (w *window) word(seq uint64) (word *uint64, shift uint64) {
	i := seq - w.first
	return &w.chunks[i/keysPerChunk].states[i%keysPerChunk/keysPerWord], i % keysPerWord * 2
}

func (w *window) get(seq uint64) keyState {
	word, shift := w.word(seq)
	return keyState(*word >> shift & 3)
}

func (w *window) set(seq uint64, state keyState) {
	word, shift := w.word(seq)
	*word = *word&^(3<<shift) | uint64(state)<<shift
}

// dropExpired drops the leading chunks whose keys have all expired.
func (w *window) dropExpired(now time.Time) {
	n := 0
	for n < len(w.chunks) && !now.Before(w.chunks[n].expiry) {
		w.first = min(w.first+keysPerChunk, w.next)
		w.chunks[n] = nil
		n++
	}
	w.chunks = w.chunks[n:]
}

// answerCache holds answers up to a budget of bytes. It evicts the answer that
// finished first.
type answerCache struct {
	budgetBytes, usedBytes int
	byKey                  map[uint64]Answer
	finishOrder            []cachedAnswer // oldest first
}

type cachedAnswer struct {
	sequence uint64
	size     int
	expiry   time.Time
}

func (s *answerCache) get(seq uint64) (Answer, bool) {
	a, found := s.byKey[seq]
	return a, found
}

func (s *answerCache) put(k Key, a Answer) {
	size := a.size()
	if size > s.budgetBytes/maxAnswerDivisor {
		return
	}
	if s.byKey == nil {
		s.byKey = make(map[uint64]Answer)
	}
	for s.usedBytes+size > s.budgetBytes {
		s.evictOldest()
	}
	s.byKey[k.Sequence] = a
	s.finishOrder = append(s.finishOrder, cachedAnswer{sequence: k.Sequence, size: size, expiry: k.Expiry})
	s.usedBytes += size
}

// evictExpired evicts expired answers from the front of finishOrder. An expired
// answer stays until all answers that finished before it have expired too.
func (s *answerCache) evictExpired(now time.Time) {
	for len(s.finishOrder) > 0 && !now.Before(s.finishOrder[0].expiry) {
		s.evictOldest()
	}
}

func (s *answerCache) evictOldest() {
	oldest := s.finishOrder[0]
	s.finishOrder = s.finishOrder[1:]
	s.usedBytes -= oldest.size
	delete(s.byKey, oldest.sequence)
}
