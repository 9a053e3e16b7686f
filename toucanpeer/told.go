package toucanpeer

import (
	"sync"
	"time"
)

// retellTime is the time after which a member is sent again although it has not
// changed, because messages of one connection may overtake each other.
const retellTime = 5 * time.Second

// told is the description of a member that was last sent on a connection, so
// that it is not sent again with each probe. Its zero value has sent nothing.
type told struct {
	mu     sync.Mutex
	member Member
	at     time.Time
}

// news returns the member if it must be sent, and nil if it was sent before.
func (t *told) news(m Member, now time.Time) *Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m == t.member && now.Sub(t.at) < retellTime {
		return nil
	}
	t.member, t.at = m, now
	return &m
}
