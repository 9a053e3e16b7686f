package toucanbackend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"toucanhaven/toucanbackend"
	"toucanhaven/toucancall"
	"toucanhaven/toucanpeer"
)

// copyID says which id the copies of a refusal bear.
type copyID string

const (
	earlierID copyID = "earlier_id" // of the call that was refused
	otherID   copyID = "other_id"   // of no call; the refusal itself bears that of its call
	noID      copyID = "no_id"      // also of the refusal itself
	sameID    copyID = "same"       // of the call that was refused, which the later calls have too
)

// repeatingServer refuses the first call with a header field X-Refuse on a connection and
// writes the refusal again later.
type repeatingServer struct {
	status                                int
	id                                    copyID
	atOnce, whileIdle, afterRead, afterOK int // copies at each moment of the next call
	runTime                               time.Duration

	idleWritten chan struct{} // receives a value when the copies while idle are written
	mu          sync.Mutex
	runs        map[string]int // by header field X-Number
}

func (s *repeatingServer) serve(c *net.TCPConn) {
	in, refused := bufio.NewReader(c), ""
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		id := req.Header.Get("X-Request-Id")
		if refused == "" && req.Header.Get("X-Refuse") != "" {
			refused = id
			s.refuse(c, id)
			continue
		}
		copies := ""
		if refused != "" {
			copies = s.copy(refused)
		}
		s.mu.Lock()
		s.runs[req.Header.Get("X-Number")]++
		s.mu.Unlock()
		io.WriteString(c, strings.Repeat(copies, s.afterRead))
		time.Sleep(s.runTime)
		io.WriteString(c, strings.ReplaceAll(responseHead, ": x", ": "+id)+"Content-Length: 2\r\n\r\nok")
		io.WriteString(c, strings.Repeat(copies, s.afterOK))
	}
}

// refuse writes the refusal of the call id and the copies that come before the next call.
func (s *repeatingServer) refuse(c net.Conn, id string) {
	refusal := s.copy(id)
	if s.id == otherID {
		refusal = s.refusal(id)
	}
	io.WriteString(c, refusal+strings.Repeat(s.copy(id), s.atOnce))
	if s.whileIdle > 0 {
		time.Sleep(2 * time.Millisecond)
		io.WriteString(c, strings.Repeat(s.copy(id), s.whileIdle))
	}
	s.idleWritten <- struct{}{}
}

// copy returns a copy of the refusal of the call id.
func (s *repeatingServer) copy(id string) string {
	switch s.id {
	case otherID:
		return s.refusal("other")
	case noID:
		return s.refusal("")
	}
	return s.refusal(id)
}

// refusal returns a refusal with an id, or without one if it is empty.
func (s *repeatingServer) refusal(id string) string {
	field := ""
	if id != "" {
		field = "X-Request-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d Refused\r\n%sX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", s.status, field)
}

// newCall returns the call with a number from 0. The first one is refused.
func (s *repeatingServer) newCall(number int) *toucanpeer.Call {
	c := newCall(fmt.Sprint("x", number))
	c.Header = []string{"X-Number", fmt.Sprint(number)}
	if number == 0 {
		c.Header = append(c.Header, "X-Refuse", "1")
	}
	if s.id == sameID {
		c.ID, c.Repeat = "x", number > 0
	}
	return c
}

// check checks the result of a call against what the server ran.
func (s *repeatingServer) check(t *testing.T, number int, got toucanpeer.Result) {
	s.mu.Lock()
	runs := s.runs[fmt.Sprint(number)]
	s.mu.Unlock()
	if runs > 0 && got.Outcome == toucancall.NotRun {
		t.Errorf("call %d is not run with reason %s, but it ran", number, got.Reason)
	}
	if runs > 1 {
		t.Errorf("call %d ran %d times", number, runs)
	}
	if got.Outcome == toucancall.Answered && string(got.Body) != "ok" {
		t.Errorf("call %d has status %d and body %q", number, got.Status, got.Body)
	}
	if number == 0 && got.Outcome != toucancall.NotRun {
		t.Errorf("the refused call has outcome %s", got.Outcome)
	}
}

// sendCalls sends calls one after the other and checks their results.
func (s *repeatingServer) sendCalls(t *testing.T, r *toucanbackend.Runner) {
	for number := range 5 {
		c := s.newCall(number)
		s.check(t, number, freshRun(r, c))
		if number == 0 {
			<-s.idleWritten
		}
		if s.whileIdle+s.afterOK > 0 {
			time.Sleep(2 * time.Millisecond) // lets the copies arrive
		}
	}
}

// A refusal that the server writes again must not make a later call "not run" that the
// server ran, wherever the copies come on a kept connection and whatever id they bear.
func TestRepeatedRefusalOnKeptConnection(t *testing.T) {
	for _, tt := range []struct {
		name                                  string
		atOnce, whileIdle, afterRead, afterOK int
		runTime                               time.Duration
	}{
		{name: "at_once", atOnce: 1},
		{name: "at_once_several", atOnce: 3},
		{name: "while_idle", whileIdle: 1},
		{name: "while_idle_several", whileIdle: 6},
		{name: "after_next_request", afterRead: 1},
		{name: "after_next_request_long_run", afterRead: 1, runTime: 20 * time.Millisecond},
		{name: "after_next_request_several", afterRead: 3},
		{name: "after_next_request_many", afterRead: 6},
		{name: "after_next_response", afterOK: 1},
		{name: "after_next_response_several", afterOK: 6},
		{name: "always", atOnce: 1, whileIdle: 1, afterRead: 1, afterOK: 1},
	} {
		for _, status := range []int{503, 429, 421, 408, 400} {
			for _, id := range []copyID{earlierID, otherID, noID, sameID} {
				t.Run(fmt.Sprintf("%s/%d/%s", tt.name, status, id), func(t *testing.T) {
					s := &repeatingServer{
						status: status, id: id, atOnce: tt.atOnce, whileIdle: tt.whileIdle, afterRead: tt.afterRead, afterOK: tt.afterOK,
						runTime: tt.runTime, idleWritten: make(chan struct{}, 100), runs: make(map[string]int),
					}
					r, _ := rawServer(t, s.serve)
					s.sendCalls(t, r)
				})
			}
		}
	}
}
