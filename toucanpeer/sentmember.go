package toucanpeer

import (
	"sync"
	"time"
)

// resendInterval is the interval at which an unchanged member record is sent
// again. Messages of one connection may overtake each other, so that the receiver
// may have applied an older record last.
const resendInterval = 5 * time.Second

// sentMember is the member record that was last sent on a connection. It keeps
// probes from carrying the same record each time. The zero value means that none
// was sent.
type sentMember struct {
	mu     sync.Mutex
	member Member
	sentAt time.Time
}

// nextUpdate returns m if it differs from the record that was last sent or if
// resendInterval has passed since then, and nil otherwise.
func (s *sentMember) nextUpdate(m Member, now time.Time) *Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m == s.member && now.Sub(s.sentAt) < resendInterval {
		return nil
	}
	s.member, s.sentAt = m, now
	return &m
}
