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

// maxBufferedBodyBytes is the length of the longest request body that is read
// completely before the request is forwarded.
const maxBufferedBodyBytes = 16 << 10

var (
	errBodyTooLarge = errors.New("request body is over the size limit")
	errReadStopped  = errors.New("reading the request body was stopped")
)

// senderReader reads a request body from its sender. It limits the size of the
// body and the time that a read may wait.
type senderReader struct {
	r           io.Reader
	conn        *meteredConn // nil if the sender is not on one
	control     *http.ResponseController
	idleTimeout time.Duration
	bytesLeft   int64
	reachedEnd  atomic.Bool // the whole body was read

	stopping atomic.Bool
}

func (s *senderReader) Read(p []byte) (int, error) {
	deadline := time.Now().Add(s.idleTimeout)
	if err := s.control.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	if s.stopping.Load() {
		return 0, errReadStopped
	}
	n, err := s.readAwaited(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(deadline) {
		return n, errReadStopped
	}
	if s.bytesLeft -= int64(n); s.bytesLeft < 0 {
		return 0, errBodyTooLarge
	}
	if err == io.EOF {
		s.reachedEnd.Store(true)
		s.clearDeadline()
	}
	return n, err
}

// readAwaited reads, and marks that the process waits for the sender meanwhile.
func (s *senderReader) readAwaited(p []byte) (int, error) {
	if s.conn == nil {
		return s.r.Read(p)
	}
	s.conn.AwaitInput()
	defer s.conn.EndInput()
	return s.r.Read(p)
}

// clearDeadline removes the read deadline. After the body, http.Server keeps
// reading the connection to notice that the caller disconnected, and would take
// an expired deadline for a disconnect.
func (s *senderReader) clearDeadline() { _ = s.control.SetReadDeadline(time.Time{}) }

// stop makes a pending read return. After the end of the body it sets no
// deadline, because the server then reads the connection itself and an expired
// deadline would end it.
func (s *senderReader) stop() {
	s.stopping.Store(true)
	if !s.reachedEnd.Load() {
		_ = s.control.SetReadDeadline(time.Unix(1, 0))
	}
}

// readBody reads a short body completely and prepares a longer one for
// streaming. It returns nil for a request without a body.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request) (*inboundBody, *Refusal) {
	limit := n.settings.Limits.MaxBodyBytes
	if r.ContentLength > limit {
		return nil, n.bodyTooLarge(toucancall.NotRun)
	}
	if r.Body == nil || r.Body == http.NoBody {
		if r.Header["Content-Length"] == nil {
			return nil, nil
		}
		return &inboundBody{}, nil
	}
	sender := &senderReader{
		r: r.Body, control: http.NewResponseController(w),
		idleTimeout: n.settings.Limits.BodyIdleTimeout, bytesLeft: limit,
	}
	sender.conn, _ = connOf(r)
	b := &inboundBody{length: r.ContentLength, trailer: r.Trailer, sender: sender}
	size := int64(maxBufferedBodyBytes)
	if b.length >= 0 {
		size = min(size, b.length)
	}
	b.prefix = make([]byte, size)
	read, err := io.ReadFull(sender, b.prefix)
	b.prefix = b.prefix[:read]
	switch {
	case sender.reachedEnd.Load() && b.length < 0: // a body that breaks off also ends with io.ErrUnexpectedEOF
		b.length = int64(read)
	case err != nil:
		return nil, n.bodyRefusal(toucancall.NotRun, err)
	case b.length < 0 || b.length > int64(read):
		b.rest = sender
		// Without full duplex, http.Server reads the body itself if an answer
		// starts before the request ends.
		if err := sender.control.EnableFullDuplex(); err != nil {
			return nil, n.bodyRefusal(toucancall.NotRun, err)
		}
	default:
		sender.clearDeadline()
	}
	return b, nil
}

func (n *Node) bodyTooLarge(o toucancall.Outcome) *Refusal {
	detail := fmt.Sprintf("the request body is over the limit of %d bytes", n.settings.Limits.MaxBodyBytes)
	return &Refusal{Outcome: o, Reason: toucancall.ReasonTooLarge, Detail: detail}
}

// bodyRefusal returns the refusal for a request whose body could not be read
// because of err.
func (n *Node) bodyRefusal(o toucancall.Outcome, err error) *Refusal {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return n.bodyTooLarge(o)
	case errors.Is(err, os.ErrDeadlineExceeded):
		detail := fmt.Sprintf("no byte of the request body arrived within %v", n.settings.Limits.BodyIdleTimeout)
		return &Refusal{Outcome: o, Reason: toucancall.ReasonSlowSender, Detail: detail}
	}
	return &Refusal{Outcome: o, Reason: toucancall.ReasonCancelled, Detail: "the request body broke off"}
}
