package toucancall

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"toucanhaven/toucanclass"
)

// Names of the header fields that nodes, callers and backend servers send to each
// other.
const (
	HeaderService        = "Toucan-Service"
	HeaderTenant         = "Toucan-Tenant"
	HeaderRequestID      = "Toucan-Request-Id"
	HeaderTimeout        = "Toucan-Timeout"
	HeaderClass          = "Toucan-Class"
	HeaderRank           = "Toucan-Rank"
	HeaderLevel          = "Toucan-Level"
	HeaderRetries        = "Toucan-Retries"
	HeaderDepth          = "Toucan-Depth"
	HeaderParent         = "Toucan-Parent"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderCallerKey      = "Toucan-Caller-Key" // idempotency key of the caller, if the call is sent under a key that a node issued
	HeaderOutcome        = "Toucan-Outcome"
	HeaderReason         = "Toucan-Reason"
	HeaderThreshold      = "Toucan-Threshold"
	HeaderLoad           = "Toucan-Load"
	HeaderRetriesLeft    = "Toucan-Retries-Left"
	HeaderConfigRevision = "Toucan-Config-Revision"
	HeaderNotRun         = "Toucan-Not-Run"
	HeaderKeyed          = "Toucan-Keyed" // set if the outcome holds for all attempts with the idempotency key
)

// Bounds on metadata. A call with a value beyond its bound is refused, or the value
// is capped where the comment says so.
const (
	// MaxNameBytes bounds the name of a service, tenant or class, and a request id.
	MaxNameBytes = 128
	// MaxKeyBytes bounds an idempotency key.
	MaxKeyBytes = 256
	// MaxTimeout caps the remaining time of a call.
	MaxTimeout = 5 * time.Minute
	// DefaultTimeout applies to a call without a timeout.
	DefaultTimeout = 10 * time.Second
	// MaxRetries caps the retry allowance of a request across its whole chain.
	MaxRetries = 3
	// MaxDepth bounds the hops from the entry, which ends a routing loop.
	MaxDepth = 16
	// MaxLevel is the tenant fairness level that is refused first.
	MaxLevel = 127
)

// FieldError reports a malformed header field.
type FieldError struct {
	Field string // header name
	Value string // truncated if it is long
	Want  string // what is allowed
}

// Error returns one line that names the field and what is allowed.
func (e *FieldError) Error() string {
	return fmt.Sprintf("header %s: %q: want %s", e.Field, e.Value, e.Want)
}

const maxQuotedBytes = 40

func newFieldError(field, value, want string) *FieldError {
	if len(value) > maxQuotedBytes {
		value = value[:maxQuotedBytes] + "..."
	}
	return &FieldError{Field: field, Value: value, Want: want}
}

// FromCaller reads the metadata that a caller may set: service, tenant, timeout,
// request id and idempotency key. The other fields are zero. An error is a
// *FieldError.
func FromCaller(h http.Header, now time.Time) (c Call, err error) {
	if c.Service, err = readName(h, HeaderService, true); err != nil {
		return c, err
	}
	if c.Tenant, err = readName(h, HeaderTenant, false); err != nil {
		return c, err
	}
	if c.RequestID, err = readName(h, HeaderRequestID, false); err != nil {
		return c, err
	}
	if c.IdempotencyKey, err = readToken(h, HeaderIdempotencyKey, MaxKeyBytes); err != nil {
		return c, err
	}
	timeout, err := readTimeout(h)
	if err != nil {
		return c, err
	}
	c.Deadline = now.Add(timeout)
	return c, nil
}

// FromNode reads the metadata that another node set. Numbers beyond their bound are
// capped, not refused, because a faulty peer must not prevent calls from running.
// An error is a *FieldError.
func FromNode(h http.Header, now time.Time) (c Call, err error) {
	if c, err = FromCaller(h, now); err != nil {
		return c, err
	}
	if c.Class, err = readName(h, HeaderClass, true); err != nil {
		return c, err
	}
	if c.Rank, err = toucanclass.ParseRank(h.Get(HeaderRank)); err != nil {
		return c, newFieldError(HeaderRank, h.Get(HeaderRank), "a rank")
	}
	if c.Level, err = readNumber(h, HeaderLevel, MaxLevel); err != nil {
		return c, err
	}
	if c.Retries, err = readNumber(h, HeaderRetries, MaxRetries); err != nil {
		return c, err
	}
	c.Depth, err = readNumber(h, HeaderDepth, MaxDepth+1)
	return c, err
}

// SetHeaders sets the header fields that nodes send to each other, and removes those
// without a value.
func (c Call) SetHeaders(h http.Header, now time.Time) {
	c.EachHeader(now, func(field, value string) {
		if value == "" {
			h.Del(field)
			return
		}
		h.Set(field, value)
	})
}

// EachHeader calls set for each header field that nodes send to each other. An empty
// value means that the field is not sent.
func (c Call) EachHeader(now time.Time, set func(field, value string)) {
	set(HeaderService, c.Service)
	set(HeaderRequestID, c.RequestID)
	set(HeaderTimeout, strconv.FormatInt(max(1, c.Remaining(now).Milliseconds()), 10)) // 0 is malformed
	set(HeaderClass, c.Class)
	set(HeaderRank, c.Rank.String())
	set(HeaderLevel, strconv.Itoa(c.Level))
	set(HeaderRetries, strconv.Itoa(c.Retries))
	set(HeaderDepth, strconv.Itoa(c.Depth))
	set(HeaderTenant, c.Tenant)
	set(HeaderIdempotencyKey, c.IdempotencyKey)
}

func readName(h http.Header, field string, required bool) (string, error) {
	value, err := readToken(h, field, MaxNameBytes)
	if err == nil && required && value == "" {
		return "", newFieldError(field, value, "a value")
	}
	return value, err
}

// readToken reads a value of printable ASCII characters. Spaces are not allowed,
// because the value must be one word in a log line.
func readToken(h http.Header, field string, maxBytes int) (string, error) {
	value := h.Get(field)
	if len(value) > maxBytes {
		return "", newFieldError(field, value, fmt.Sprintf("at most %d bytes", maxBytes))
	}
	for _, b := range []byte(value) {
		if b <= ' ' || b >= 0x7f {
			return "", newFieldError(field, value, "printable ASCII without spaces")
		}
	}
	return value, nil
}

func readTimeout(h http.Header) (time.Duration, error) {
	value := h.Get(HeaderTimeout)
	if value == "" {
		return DefaultTimeout, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 {
		return 0, newFieldError(HeaderTimeout, value, "a positive number of milliseconds")
	}
	return time.Duration(min(ms, MaxTimeout.Milliseconds())) * time.Millisecond, nil
}

// readNumber reads a number of at least 0 and caps it at limit.
func readNumber(h http.Header, field string, limit int) (int, error) {
	value := h.Get(field)
	n, err := strconv.Atoi(value)
	if err != nil || n < 0 {
		return 0, newFieldError(field, value, "a number of at least 0")
	}
	return min(n, limit), nil
}
