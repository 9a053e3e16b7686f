package toucanmemory

import (
	"fmt"
	"io"
	"time"
)

const (
	// messageStep is the size up to which a message takes nothing of the budget, and the
	// number of bytes that are read at a time.
	messageStep = 64 << 10
	// messageWait is the longest wait for room in the budget, and messagePoll the interval at
	// which it is looked for. Other messages are decoded within milliseconds.
	messageWait = time.Second
	messagePoll = 5 * time.Millisecond
	// messageTime is the time in which a message that takes memory must arrive.
	messageTime = 5 * time.Second
)

// Messages reads a stream of gob messages, as net/rpc sends them, and bounds their memory
// until they are decoded: that of each by a limit, and that of all by a budget. gob
// itself takes up to 1 GiB for a message.
type Messages struct {
	r      io.Reader
	budget *Budget
	limit  uint64

	length     uint64 // of the current message, as far as it has been read
	lengthLeft int    // bytes of the length that are still to come, without the first one
	left       uint64 // bytes of the current message that are still to come
	held       int64  // bytes of the budget that the current message holds
	deadline   time.Time
	err        error // ends the stream
}

// NewMessages returns a reader of the messages in r. A message has at most limit bytes.
func NewMessages(r io.Reader, b *Budget, limit int64) *Messages {
	return &Messages{r: r, budget: b, limit: uint64(limit)}
}

// Read reads from the stream. It returns ErrTooLarge for a message above the limit and
// ErrExhausted if the budget has no room for one within a second.
func (m *Messages) Read(p []byte) (n int, err error) {
	if m.err != nil {
		return 0, m.err
	}
	n, err = m.r.Read(p[:min(len(p), messageStep)])
	if countErr := m.count(p[:n]); countErr != nil {
		err = countErr
	}
	if err != nil {
		m.release()
		m.err = err
	}
	return n, err
}

// Deadline returns the time at which the current message must have arrived. It is zero for
// a small message and between messages.
func (m *Messages) Deadline() time.Time { return m.deadline }

// count follows the messages in the bytes that have been read. Each begins with its length:
// one byte below 128, or the negated number of bytes of a big-endian number that follows.
func (m *Messages) count(p []byte) error {
	for len(p) > 0 {
		switch {
		case m.left > 0:
			n := min(m.left, uint64(len(p)))
			m.left -= n
			p = p[n:]
			if m.left == 0 {
				m.release() // the message is decoded at once
			}
			continue
		case m.lengthLeft > 0:
			m.length = m.length<<8 | uint64(p[0])
			m.lengthLeft--
		case p[0] < 128:
			m.length = uint64(p[0])
		default:
			m.length, m.lengthLeft = 0, 256-int(p[0])
			if m.lengthLeft > 8 {
				return fmt.Errorf("gob message has a length of %d bytes", m.lengthLeft)
			}
		}
		p = p[1:]
		if m.lengthLeft == 0 {
			if m.length > m.limit {
				return fmt.Errorf("%w: message of %d bytes, want at most %d", ErrTooLarge, m.length, m.limit)
			}
			m.left = m.length
			if err := m.reserve(); err != nil {
				return err
			}
		}
	}
	return nil
}

// reserve takes the bytes of a message that begins of the budget, and waits for room. gob
// allocates them at once.
func (m *Messages) reserve() error {
	need := int64(m.length) - messageStep
	if need <= 0 {
		return nil
	}
	m.deadline = time.Now().Add(messageTime)
	for end := time.Now().Add(messageWait); !m.budget.Reserve(need); time.Sleep(messagePoll) {
		if time.Now().After(end) {
			return ErrExhausted
		}
	}
	m.held = need
	return nil
}

func (m *Messages) release() {
	m.budget.Release(m.held)
	m.held, m.deadline = 0, time.Time{}
}
