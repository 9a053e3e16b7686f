package toucannode

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"toucanhaven/toucancall"
)

// bufferedBodyBytes is the longest request body that is read whole before the
// request goes on.
const bufferedBodyBytes = 16 << 10

var (
	errBodyTooLarge = errors.New("request body is over the size limit")
	errStopped      = errors.New("reading the request body was stopped")
)

// senderReader reads a request body, bounded in size and in the time between
// two reads.
type senderReader struct {
	r       io.Reader
	control *http.ResponseController
	idle    time.Duration
	left    int64
	ended   atomic.Bool // the body was read to its end

	stopping atomic.Bool
}

func (s *senderReader) Read(p []byte) (int, error) {
	deadline := time.Now().Add(s.idle)
	if err := s.control.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	if s.stopping.Load() {
		return 0, errStopped
	}
	n, err := s.r.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(deadline) {
		return n, errStopped
	}
	if s.left -= int64(n); s.left < 0 {
		return 0, errBodyTooLarge
	}
	if err == io.EOF {
		s.ended.Store(true)
		s.done()
	}
	return n, err
}

// done lifts the deadline. The server keeps reading the connection to notice
// that the caller left, and would take an expired deadline for that.
func (s *senderReader) done() { _ = s.control.SetReadDeadline(time.Time{}) }

// stop makes a pending read return. After the end of the body the server reads
// the connection itself, and a deadline would end it.
func (s *senderReader) stop() {
	s.stopping.Store(true)
	if !s.ended.Load() {
		_ = s.control.SetReadDeadline(time.Unix(1, 0))
	}
}

// readBody reads a short body whole and prepares a longer one for streaming. It
// returns nil for a request without a body.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request) (*inboundBody, *Refusal) {
	limit := n.settings.Limits.MaxBodyBytes
	if r.ContentLength > limit {
		return nil, n.tooLarge(toucancall.NotRun)
	}
	if r.Body == nil || r.Body == http.NoBody {
		if r.Header["Content-Length"] == nil {
			return nil, nil
		}
		return &inboundBody{}, nil
	}
	sender := &senderReader{
		r: r.Body, control: http.NewResponseController(w),
		idle: n.settings.Limits.BodyIdleTimeout, left: limit,
	}
	b := &inboundBody{length: r.ContentLength, trailer: r.Trailer, sender: sender}
	size := int64(bufferedBodyBytes)
	if b.length >= 0 {
		size = min(size, b.length)
	}
	b.prefix = make([]byte, size)
	read, err := io.ReadFull(sender, b.prefix)
	b.prefix = b.prefix[:read]
	switch {
	case sender.ended.Load() && b.length < 0: // a body that breaks off also ends with io.ErrUnexpectedEOF
		b.length = int64(read)
	case err != nil:
		return nil, n.senderRefusal(toucancall.NotRun, err)
	case b.length < 0 || b.length > int64(read):
		b.r = sender
		// Without this the server would read the body itself when an answer
		// starts before the request ends.
		if err := sender.control.EnableFullDuplex(); err != nil {
			return nil, n.senderRefusal(toucancall.NotRun, err)
		}
	default:
		sender.done()
	}
	return b, nil
}

func (n *Node) tooLarge(o toucancall.Outcome) *Refusal {
	detail := fmt.Sprintf("the request body is over the limit of %d bytes", n.settings.Limits.MaxBodyBytes)
	return &Refusal{Outcome: o, Reason: toucancall.ReasonTooLarge, Detail: detail}
}

// senderRefusal says why the body of a request could not be read.
func (n *Node) senderRefusal(o toucancall.Outcome, err error) *Refusal {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return n.tooLarge(o)
	case errors.Is(err, os.ErrDeadlineExceeded):
		detail := fmt.Sprintf("no byte of the request body arrived within %v", n.settings.Limits.BodyIdleTimeout)
		return &Refusal{Outcome: o, Reason: toucancall.ReasonSlowSender, Detail: detail}
	}
	return &Refusal{Outcome: o, Reason: toucancall.ReasonCancelled, Detail: "the request body broke off"}
}
