package toucanbackend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanconn"
	"toucanhaven/toucanpeer"
)

const (
	// maxStray bounds the responses of earlier requests that are skipped on one
	// connection.
	maxStray = 4
	// maxResponseBytes bounds a response that is held in memory.
	maxResponseBytes = 32 << 20
	// freshIdle is the longest idle time after which a connection carries a call
	// that must not be repeated: the server may be about to close it.
	freshIdle = time.Second
	// maxIdle closes connections that have been idle for so long.
	maxIdle = 8 * time.Second
)

// response is a whole response of the backend server.
type response struct {
	status int
	header http.Header
	body   []byte
}

// exchangeError says how far a request came that has no whole response.
type exchangeError struct {
	sent bool // at least one byte may have reached the server
	err  error
}

func (e *exchangeError) Error() string { return e.err.Error() }
func (e *exchangeError) Unwrap() error { return e.err }

var (
	errEncoded   = errors.New("response is encoded")
	errUnsigned  = errors.New("response has no signature")
	errStray     = errors.New("too many responses of other requests")
	errTooLarge  = errors.New("response is too large")
	errNoID      = errors.New("response names no request")
	errSwitching = errors.New("response switches protocols, which the request did not ask for")
)

// exchange sends a call to the server and reads its whole response.
func (r *Runner) exchange(ctx context.Context, s Server, c *toucanpeer.Call, deadline time.Time) (resp *response, err error) {
	conn, reused, err := r.connection(ctx, s.Address, deadline, c.Repeatable)
	if err != nil {
		return nil, &exchangeError{err: err}
	}
	clean := false
	if err := conn.SetDeadline(deadline); err != nil {
		conn.Close()
		return nil, &exchangeError{err: err}
	}
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		if stop() && clean && conn.SetDeadline(time.Time{}) == nil {
			r.pool.Put(conn)
			return
		}
		conn.Close()
	}()
	conn.Head = r.appendRequest(conn.Head[:0], s, c, time.Until(deadline))
	// Whether a broken connection passed bytes on to the server is not known.
	if _, err := conn.Write(conn.Head); err != nil {
		return nil, &exchangeError{sent: true, err: err}
	}
	resp, clean, err = r.readResponse(conn, c, reused)
	if err != nil {
		return nil, &exchangeError{sent: true, err: err}
	}
	return resp, nil
}

// connection returns a connection to the server. A call that must not be
// repeated avoids one that has been idle for long.
func (r *Runner) connection(ctx context.Context, address string, deadline time.Time, repeatable bool) (*toucanconn.Conn, bool, error) {
	for {
		conn, reused, err := r.pool.Get(ctx, address, deadline)
		if err != nil || !reused || repeatable || r.clock.Now().Sub(conn.IdleSince()) < freshIdle {
			return conn, reused, err
		}
		conn.Close()
	}
}

func (r *Runner) appendRequest(b []byte, s Server, c *toucanpeer.Call, left time.Duration) []byte {
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
	b = appendField(b, r.names.DeadlineMillis, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	b = appendField(b, r.names.TargetInstance, s.Instance)
	b = appendField(b, r.names.CallerService, c.Caller)
	if len(c.Body) > 0 || c.Method != http.MethodGet && c.Method != http.MethodHead {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(c.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, c.Body...)
}

func appendField(b []byte, key, value string) []byte {
	b = append(b, key...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// readResponse reads the response to the call, past late responses to earlier
// requests. clean says that the connection can be used again.
func (r *Runner) readResponse(conn *toucanconn.Conn, c *toucanpeer.Call, reused bool) (resp *response, clean bool, err error) {
	for range maxStray {
		conn.LimitHeader()
		hr, err := http.ReadResponse(conn.R, &http.Request{Method: c.Method})
		if err != nil {
			return nil, false, err
		}
		conn.LimitNone()
		if hr.StatusCode == http.StatusSwitchingProtocols {
			return nil, false, errSwitching
		}
		if hr.StatusCode < 200 {
			continue
		}
		body, err := readBody(hr)
		if err != nil {
			return nil, false, fmt.Errorf("read the response body: %w", err)
		}
		if id := hr.Header.Get(r.names.RequestID); id != c.ID {
			if id == "" && (reused || hr.Header.Get(r.names.NotRun) == "") {
				return nil, false, errNoID
			}
			if id != "" {
				r.log.Info("skipped a response to another request", "request", c.ID, "other", id)
				continue
			}
		}
		resp = &response{status: hr.StatusCode, header: hr.Header, body: body}
		clean = !hr.Close && conn.R.Buffered() == 0 && hr.ProtoAtLeast(1, 1)
		return resp, clean, r.checkResponse(resp)
	}
	return nil, false, errStray
}

func readBody(hr *http.Response) ([]byte, error) {
	if hr.Body == http.NoBody { // also after HEAD, whatever length it states
		return nil, nil
	}
	if hr.ContentLength > maxResponseBytes {
		return nil, errTooLarge
	}
	if hr.ContentLength >= 0 {
		body := make([]byte, hr.ContentLength)
		_, err := io.ReadFull(hr.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(hr.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errTooLarge
	}
	return body, err
}

// checkResponse refuses successes that are not the server's own whole response.
func (r *Runner) checkResponse(resp *response) error {
	if resp.header.Get("Content-Encoding") != "" {
		return errEncoded
	}
	if resp.status < 300 && resp.header.Get(r.names.Signature) == "" {
		return errUnsigned
	}
	return nil
}

// notRun reports whether the server says that it did not run the request.
func (r *Runner) notRun(resp *response) bool {
	return resp.header.Get(r.names.NotRun) != "" || resp.status == http.StatusMisdirectedRequest
}

// endToEnd returns the header fields that travel on, as pairs.
func endToEnd(h http.Header) []string {
	pairs := make([]string, 0, 2*len(h))
	connection := h["Connection"]
	for key, values := range h {
		if toucancall.HopByHop(key, connection) && !strings.EqualFold(key, "Content-Length") {
			continue
		}
		for _, v := range values {
			pairs = append(pairs, key, v)
		}
	}
	return pairs
}
