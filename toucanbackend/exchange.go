package toucanbackend

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanconn"
	"toucanhaven/toucanmemory"
	"toucanhaven/toucanpeer"
	"toucanhaven/toucanresponse"
)

const (
	// maxSkippedResponses is the number of skipped responses, to earlier requests or
	// with an informational status (1xx), after which an exchange fails.
	maxSkippedResponses = 4
	// maxResponseBytes is the limit on the size of a response body, because the body
	// is held in memory. It is also limited to maxResponseShare of the memory for
	// bodies, and its first freeResponseBytes do not count there: responses without
	// end must not keep out those of other calls.
	maxResponseBytes  = 32 << 20
	maxResponseShare  = 0.25
	freeResponseBytes = 64 << 10
	// maxCopiedBody is the size up to which a request body is copied, to send it in
	// one write with the header.
	maxCopiedBody = 16 << 10
	// maxIdleForNonRetryable is the idle time from which a connection is not used
	// for a call that may run only once. The server may be about to close the
	// connection, and the call could not be retried then.
	maxIdleForNonRetryable = time.Second
	// connIdleTimeout is the idle time after which a connection is closed.
	connIdleTimeout = 8 * time.Second
)

// response is a complete response of the backend server.
type response struct {
	status int
	header http.Header
	body   []byte
	held   int64 // bytes of the memory for bodies
}

// exchangeTrace tells how an exchange went, for the log.
type exchangeTrace struct {
	reused  bool // the connection had been used before
	skipped int  // responses to other requests that came first

	room *toucanmemory.Reservation // for the body of the response
}

// exchangeError is the error of a failed exchange.
type exchangeError struct {
	notSent bool // no byte of the request can have reached the server
	err     error
}

func (e *exchangeError) Error() string { return e.err.Error() }
func (e *exchangeError) Unwrap() error { return e.err }

var (
	errEncoded            = errors.New("response has a Content-Encoding header")
	errNoSignature        = errors.New("successful response has no signature header")
	errTooManySkipped     = errors.New("too many responses to other requests")
	errNoRequestID        = errors.New("response has no request id header")
	errSwitchingProtocols = errors.New("response has status 101, but the request did not ask to switch protocols")
)

// exchange sends a call to the server and reads the complete response. Its error
// is an exchangeError.
func (r *Runner) exchange(ctx context.Context, s Server, c *toucanpeer.Call, deadline time.Time, tr *exchangeTrace) (resp *response, err error) {
	conn, reused, err := r.getConn(ctx, s.Address, deadline, c)
	if err != nil {
		return nil, &exchangeError{notSent: true, err: err}
	}
	tr.reused = reused
	reusable := false
	if err := conn.SetDeadline(deadline); err != nil {
		conn.Close()
		return nil, &exchangeError{notSent: true, err: err}
	}
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		if stop() && reusable && conn.SetDeadline(time.Time{}) == nil {
			r.pool.Put(conn)
			return
		}
		conn.Close()
	}()
	conn.RequestBuf = r.appendRequest(conn.RequestBuf[:0], s, c, time.Until(deadline))
	// After a failed write it is unknown whether bytes reached the server.
	if _, err := conn.Write(conn.RequestBuf); err != nil {
		return nil, &exchangeError{err: err}
	}
	if len(c.Body) > maxCopiedBody {
		if _, err := conn.Write(c.Body); err != nil {
			return nil, &exchangeError{err: err}
		}
	}
	resp, reusable, err = r.readResponse(conn, c, tr)
	if err != nil {
		return nil, &exchangeError{err: err}
	}
	return resp, nil
}

// getConn returns a connection to the server and reports whether it was used
// before. A call that may run only once gets none that has been idle for
// maxIdleForNonRetryable, and a new one if an earlier attempt may have reached a server: a
// late second copy of the refusal of that attempt has the same id and would be taken for
// the response.
func (r *Runner) getConn(ctx context.Context, address string, deadline time.Time, c *toucanpeer.Call) (*toucanconn.Conn, bool, error) {
	if c.Repeat && !c.Repeatable {
		conn, err := r.pool.Dial(ctx, address, deadline)
		return conn, false, err
	}
	for {
		conn, reused, err := r.pool.Get(ctx, address, deadline)
		if err != nil || !reused || c.Repeatable || r.clock.Now().Sub(conn.IdleSince()) < maxIdleForNonRetryable {
			return conn, reused, err
		}
		conn.Close()
	}
}

// appendRequest appends the header of a request, and its body up to maxCopiedBody.
func (r *Runner) appendRequest(b []byte, s Server, c *toucanpeer.Call, remaining time.Duration) []byte {
	b = append(b, c.Method...)
	b = append(b, ' ')
	b = append(b, c.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, c.Host...)
	b = append(b, "\r\n"...)
	for i := 0; i+1 < len(c.Header); i += 2 {
		b = appendField(b, c.Header[i], c.Header[i+1])
	}
	b = appendField(b, r.names.RequestID, c.ID)
	b = appendField(b, r.names.DeadlineMillis, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	b = appendField(b, r.names.TargetInstance, s.Instance)
	b = appendField(b, r.names.CallerService, c.Caller)
	if len(c.Body) > 0 || c.Method != http.MethodGet && c.Method != http.MethodHead {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(c.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	if len(c.Body) > maxCopiedBody {
		return b
	}
	return append(b, c.Body...)
}

func appendField(b []byte, key, value string) []byte {
	b = append(b, key...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// readResponse reads the response to the call. It skips informational responses
// and late responses to earlier requests. A refusal without a request id is accepted
// only as the first response on a connection, where it can belong to no other request.
// reusable reports whether the connection can be used again.
func (r *Runner) readResponse(conn *toucanconn.Conn, c *toucanpeer.Call, tr *exchangeTrace) (resp *response, reusable bool, err error) {
	for range maxSkippedResponses {
		hr, resp, err := r.readOneResponse(conn, c.Method, tr.room.Grow)
		if err != nil {
			return nil, false, err
		}
		if hr.StatusCode < 200 {
			continue
		}
		id := resp.header.Get(r.names.RequestID)
		if id != "" && id != c.ID {
			r.bodies.Release(resp.held)
			tr.skipped++
			r.log.Info("skipped a response to another request", "request", c.ID, "other", id)
			continue
		}
		if id == "" && (tr.reused || tr.skipped > 0 || resp.header.Get(r.names.NotRun) == "") {
			err = errNoRequestID
		} else {
			err = r.checkResponse(resp)
		}
		if err != nil {
			r.bodies.Release(resp.held)
			return nil, false, err
		}
		return resp, !hr.Close && conn.R.Buffered() == 0 && hr.ProtoAtLeast(1, 1), nil
	}
	return nil, false, errTooManySkipped
}

// readOneResponse reads one response with its body, for which grow takes memory. resp is nil for
// an informational one.
func (r *Runner) readOneResponse(conn *toucanconn.Conn, method string, grow func(held, n int64) (ok bool)) (hr *http.Response, resp *response, err error) {
	if err := conn.LimitHeader(); err != nil {
		return nil, nil, err
	}
	if hr, err = toucanresponse.Read(conn.R, method); err != nil {
		return nil, nil, err
	}
	held := conn.RemoveHeaderLimit()
	defer func() {
		if resp == nil {
			r.bodies.Release(held)
		}
	}()
	switch {
	case hr.StatusCode == http.StatusSwitchingProtocols:
		return nil, nil, errSwitchingProtocols
	case hr.StatusCode < 200:
		return hr, nil, nil
	}
	body, bodyHeld, err := r.readBody(hr, grow)
	if err != nil {
		return nil, nil, fmt.Errorf("read the response body: %w", err)
	}
	return hr, &response{status: hr.StatusCode, header: hr.Header, body: body, held: held + bodyHeld}, nil
}

// readBody reads a response body and returns the bytes of the memory for bodies that it
// holds.
func (r *Runner) readBody(hr *http.Response, grow func(held, n int64) (ok bool)) (body []byte, held int64, err error) {
	if hr.Body == http.NoBody { // also after HEAD, whatever its Content-Length
		return nil, 0, nil
	}
	return toucanmemory.Reader{
		Budget: r.bodies, Limit: r.maxResponse(), Free: freeResponseBytes, Grow: grow,
	}.ReadAll(hr.Body, hr.ContentLength)
}

// maxResponse returns the size of the largest response body.
func (r *Runner) maxResponse() int64 {
	limit := int64(maxResponseBytes)
	if total := r.bodies.Limit(); total > 0 {
		limit = min(limit, int64(maxResponseShare*float64(total)))
	}
	return limit
}

// checkResponse returns an error for a response that is not the complete response
// of the backend server itself: one with a Content-Encoding header, or a
// successful one without the signature header that backend servers set.
func (r *Runner) checkResponse(resp *response) error {
	if resp.header.Get("Content-Encoding") != "" {
		return errEncoded
	}
	if resp.status < 300 && resp.header.Get(r.names.Signature) == "" {
		return errNoSignature
	}
	return nil
}

// notRun reports whether the response says that the server did not run the
// request.
func (r *Runner) notRun(resp *response) bool {
	return resp.header.Get(r.names.NotRun) != "" || resp.status == http.StatusMisdirectedRequest
}

// endToEndHeader returns the header fields that are forwarded, as alternating keys
// and values.
func endToEndHeader(h http.Header) []string {
	pairs := make([]string, 0, 2*len(h))
	connection := h["Connection"]
	for key, values := range h {
		if toucancall.IsHopByHop(key, connection) && !strings.EqualFold(key, "Content-Length") {
			continue
		}
		for _, v := range values {
			pairs = append(pairs, key, v)
		}
	}
	return pairs
}
