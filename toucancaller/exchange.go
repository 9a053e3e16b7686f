package toucancaller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanmemory"
)

// maxBackoffDoublings bounds the exponential backoff so that the delay does not
// overflow.
const maxBackoffDoublings = 10

// freeAnswerBytes is the part of the body of each response that does not count in the memory of
// the client.
const freeAnswerBytes = 64 << 10

// exchange is one request with all its attempts.
type exchange struct {
	client   *Client
	request  Request
	key      string
	keyIsNew bool // no other request used key before
	// mayHaveRun says that an earlier attempt with the current key, or without a
	// key, may have run.
	mayHaveRun bool
	// keyed says that the last response holds for all attempts with the key.
	keyed bool
}

// run sends the request until an answer must not be retried, the maximum number of
// retries is reached or the deadline leaves no time for another retry.
func (e *exchange) run(ctx context.Context) Answer {
	e.setKey(ctx)
	for retries := 0; ; retries++ {
		if ctx.Err() != nil && retries == 0 {
			return Refused{Reason: contextReason(ctx)}
		}
		a := e.combineAttempts(e.attempt(ctx))
		if retries == e.client.maxRetries || !e.retryable(a) || !e.client.waitBeforeRetry(ctx, retries, a) {
			return a
		}
		if _, refused := a.(Refused); refused {
			e.setKey(ctx) // no request can run with the refused key
		}
	}
}

// setKey sets the key for the next attempts.
func (e *exchange) setKey(ctx context.Context) {
	r := e.request
	switch {
	case r.IdempotencyKey != "":
		e.key, e.keyIsNew = r.IdempotencyKey, r.NewKey
	case r.AtMostOnce:
		e.key, e.keyIsNew = e.client.takeOrFetchKey(ctx, r.Service), true
	}
}

// combineAttempts returns the answer that holds for all attempts so far, given the
// answer of the last attempt.
func (e *exchange) combineAttempts(a Answer) Answer {
	switch result := a.(type) {
	case Refused:
		if e.mayHaveRun && !(e.keyBinds() && refusedAtHome(result.Reason)) {
			return Unknown{Reason: result.Reason}
		}
		e.mayHaveRun = false
	case Unknown:
		if result.Reason != toucancall.ReasonNotForwarded {
			e.mayHaveRun = true
		} else if !e.mayHaveRun && (e.keyIsNew || e.key == "") {
			// No attempt with this key was forwarded and no other request used the
			// key.
			return Refused{Reason: toucancall.ReasonNotForwarded}
		}
	case Failed:
		e.mayHaveRun = true
	}
	return a
}

// keyBinds reports whether the last refusal speaks of all attempts with the key. An
// issued key always binds them, one of the caller only if the class is at-most-once,
// which the node tells.
func (e *exchange) keyBinds() bool {
	return e.key != "" && (e.request.IdempotencyKey == "" || e.keyed)
}

// refusedAtHome reports whether a refusal of a request with a key also holds for
// earlier attempts with the same key. Other refusals hold for one attempt only.
func refusedAtHome(reason toucancall.Reason) bool {
	return reason != toucancall.ReasonBadRequest && reason != toucancall.ReasonTooLarge
}

// retryable reports whether a retry may succeed and cannot run the request twice.
func (e *exchange) retryable(a Answer) bool {
	switch a := a.(type) {
	case Refused:
		// No request can run with a key of the caller that its home refused.
		keyRefused := e.request.IdempotencyKey != "" && a.Reason != toucancall.ReasonNotForwarded
		return !keyRefused && refusedAtHome(a.Reason)
	case Failed, Unknown:
		return e.key != "" || e.request.idempotentWithoutKey()
	}
	return false
}

// attempt sends the request once, through the first entry that accepts a connection,
// in round robin order from the current one.
func (e *exchange) attempt(ctx context.Context) Answer {
	c := e.client
	first := c.currentEntryIndex()
	for i := range c.entries {
		n := (first + i) % len(c.entries)
		request, err := e.newRequest(ctx, c.entries[n])
		if err != nil {
			return Unknown{Reason: toucancall.ReasonNotForwarded}
		}
		response, err := c.http.Do(request)
		if isDialError(err) && ctx.Err() == nil {
			continue // nothing was sent
		}
		if isDialError(err) {
			return Unknown{Reason: toucancall.ReasonNotForwarded}
		}
		if err != nil {
			c.setEntryIndex(n + 1)
			if ctx.Err() != nil {
				return Unknown{Reason: contextReason(ctx)}
			}
			return Unknown{Reason: toucancall.ReasonConnectionLost}
		}
		c.setEntryIndex(n)
		e.keyed = response.Header.Get(toucancall.HeaderKeyed) == "true"
		a := c.readAnswer(response, e.request.Method)
		if _, ok := a.(Answered); !ok {
			c.setEntryIndex(n + 1) // send the next attempt through another entry
		}
		return a
	}
	return Unknown{Reason: toucancall.ReasonNotForwarded}
}

func (e *exchange) newRequest(ctx context.Context, entry string) (*http.Request, error) {
	r := e.request
	// Hide the type of the body from net/http. If the transport can rewind the body
	// of a request with an idempotency key, it may send the request again by itself,
	// so that one attempt would send the request twice.
	body := struct{ io.Reader }{bytes.NewReader(r.Body)}
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+entry+r.Path, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(r.Body))
	if r.Header != nil {
		request.Header = r.Header.Clone()
	}
	deadline, _ := ctx.Deadline()
	setMetadata(request.Header, r, e.key, time.Until(deadline))
	return request, nil
}

func setMetadata(h http.Header, r Request, key string, remaining time.Duration) {
	h.Set(toucancall.HeaderService, r.Service)
	h.Set(toucancall.HeaderRequestID, r.RequestID)
	h.Set(toucancall.HeaderTimeout, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	for field, value := range map[string]string{toucancall.HeaderTenant: r.Tenant, toucancall.HeaderIdempotencyKey: key} {
		h.Del(field)
		if value != "" {
			h.Set(field, value)
		}
	}
}

// readAnswer reads a response and returns the answer. The answer is Answered only if
// the outcome of the response is answered and its body is known to be complete.
func (c *Client) readAnswer(response *http.Response, method string) Answer {
	defer response.Body.Close()
	body, err := c.readBody(response)
	tooLarge := errors.Is(err, toucanmemory.ErrTooLarge) || errors.Is(err, toucanmemory.ErrExhausted)
	reason := toucancall.Reason(response.Header.Get(toucancall.HeaderReason))
	switch toucancall.Outcome(response.Header.Get(toucancall.HeaderOutcome)) {
	case toucancall.Answered:
	case toucancall.NotRun:
		if err != nil && !tooLarge {
			return Unknown{Reason: toucancall.ReasonConnectionLost} // the refusal broke off
		}
		return Refused{Reason: reason, RetryAfter: parseRetryAfter(response.Header)}
	case toucancall.Failed:
		return Failed{Reason: reason}
	case toucancall.Unknown:
		return Unknown{Reason: reason}
	default:
		// The response is not from a node or is incomplete, so the request may have
		// run.
		return Unknown{Reason: toucancall.ReasonConnectionLost}
	}
	switch {
	case tooLarge:
		return Failed{Reason: toucancall.ReasonTooLarge}
	case err != nil || !bodyEndKnown(response, method):
		return Failed{Reason: toucancall.ReasonConnectionLost}
	}
	header := response.Header.Clone()
	header.Del(toucancall.HeaderOutcome)
	return Answered{Status: response.StatusCode, Header: header, Body: body}
}

func (c *Client) readBody(response *http.Response) ([]byte, error) {
	if response.Body == http.NoBody { // also after HEAD, whatever its Content-Length
		return nil, nil
	}
	body, held, err := toucanmemory.Reader{Budget: c.answers, Limit: c.maxAnswerBytes, Free: freeAnswerBytes}.ReadAll(response.Body, response.ContentLength)
	c.answers.Release(held)
	return body, err
}

// bodyEndKnown reports whether the response says where its body ends. If only the
// close of the connection marks the end, a truncated body looks like a complete one.
func bodyEndKnown(response *http.Response, method string) bool {
	if method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified {
		return true
	}
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// parseRetryAfter returns the delay in the Retry-After field, at most
// toucancall.MaxTimeout, or 0 if the field is missing or malformed.
func parseRetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(min(seconds, int(toucancall.MaxTimeout/time.Second))) * time.Second
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func contextReason(ctx context.Context) toucancall.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return toucancall.ReasonDeadline
	}
	return toucancall.ReasonCancelled
}

// waitBeforeRetry waits before the next retry, given the number of retries so far. The
// delay is exponential backoff with jitter plus the delay that the entry requested. It
// returns false if the deadline is not after the end of the delay or ctx is done.
func (c *Client) waitBeforeRetry(ctx context.Context, retries int, a Answer) bool {
	mean := min(c.meanBackoff<<min(retries, maxBackoffDoublings), maxMeanBackoff)
	c.mu.Lock()
	delay := time.Duration(c.rand.Int64N(int64(2*mean) + 1))
	c.mu.Unlock()
	if refused, ok := a.(Refused); ok {
		delay += refused.RetryAfter
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= delay {
		return false
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *Client) currentEntryIndex() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entryIndex
}

func (c *Client) setEntryIndex(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entryIndex = n % len(c.entries)
}
