package toucancaller

import (
	"net/http"
	"time"

	"toucanhaven/toucancall"
)

// Answer is the result of a request. The set is closed: Answered, Refused, Failed,
// Unknown.
type Answer interface{ answer() }

// Answered is the complete response of the backend server, with any status.
type Answered struct {
	Status int
	Header http.Header
	Body   []byte
}

// Refused says that the request did not run and will not run.
type Refused struct {
	Reason     toucancall.Reason
	RetryAfter time.Duration // delay that the entry requested before a retry
}

// Failed says that the request ran but no complete response was received.
type Failed struct{ Reason toucancall.Reason }

// Unknown says that the request may have run.
type Unknown struct{ Reason toucancall.Reason }

func (Answered) answer() {}
func (Refused) answer()  {}
func (Failed) answer()   {}
func (Unknown) answer()  {}
