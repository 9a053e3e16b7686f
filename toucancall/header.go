package toucancall

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"toucanhaven/toucanclass"
)

// Header names of the protocol between nodes and towards callers.
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
	HeaderCallerKey      = "Toucan-Caller-Key" // key of the caller when the call travels under an issued key
	HeaderOutcome        = "Toucan-Outcome"
	HeaderReason         = "Toucan-Reason"
	HeaderThreshold      = "Toucan-Threshold"
	HeaderLoad           = "Toucan-Load"
	HeaderRetriesLeft    = "Toucan-Retries-Left"
	HeaderConfigRevision = "Toucan-Config-Revision"
	HeaderNotRun         = "Toucan-Not-Run"
)

// Bounds on metadata. A value beyond its bound is refused, or capped where the
// comment says so.
const (
	// MaxNameBytes bounds a service, tenant, class and request id.
	MaxNameBytes = 128
	// MaxKeyBytes bounds an idempotency key.
	MaxKeyBytes = 256
	// MaxTimeout caps the remaining time of a call.
	MaxTimeout = 5 * time.Minute
	// DefaultTimeout applies to a call that states none.
	DefaultTimeout = 10 * time.Second
	// MaxRetries caps the retry allowance of a request across its whole chain.
	MaxRetries = 3
	// MaxDepth bounds the hops from the entry, so that a routing loop ends.
	MaxDepth = 16
	// MaxLevel is the tenant-fair level that is refused first.
	MaxLevel = 127
)

// FieldError reports malformed metadata.
type FieldError struct {
	Field string // header name
	Value string // value, cut to a readable length
	Want  string // what is allowed
}

// Error returns one line that names the field and what is allowed.
func (e *FieldError) Error() string {
	return fmt.Sprintf("header %s: %q: want %s", e.Field, e.Value, e.Want)
}

const maxQuotedBytes = 40

func fieldError(field, value, want string) *FieldError {
	if len(value) > maxQuotedBytes {
		value = value[:maxQuotedBytes] + "..."
	}
	return &FieldError{Field: field, Value: value, Want: want}
}

// FromCaller reads the metadata that a plain caller may set: service, tenant,
// timeout, request id and idempotency key. Every other field is left zero.
func FromCaller(h http.Header, now time.Time) (c Call, err error) {
	if c.Service, err = name(h, HeaderService, true); err != nil {
		return c, err
	}
	if c.Tenant, err = name(h, HeaderTenant, false); err != nil {
		return c, err
	}
	if c.RequestID, err = name(h, HeaderRequestID, false); err != nil {
		return c, err
	}
	if c.IdempotencyKey, err = token(h, HeaderIdempotencyKey, MaxKeyBytes); err != nil {
		return c, err
	}
	timeout, err := timeout(h)
	if err != nil {
		return c, err
	}
	c.Deadline = now.Add(timeout)
	return c, nil
}

// FromNode reads the metadata that another node set. Numbers beyond their
// bound are capped, because a faulty peer must not stop calls from running.
func FromNode(h http.Header, now time.Time) (c Call, err error) {
	if c, err = FromCaller(h, now); err != nil {
		return c, err
	}
	if c.Class, err = name(h, HeaderClass, true); err != nil {
		return c, err
	}
	if c.Rank, err = toucanclass.ParseRank(h.Get(HeaderRank)); err != nil {
		return c, fieldError(HeaderRank, h.Get(HeaderRank), "a rank")
	}
	if c.Level, err = number(h, HeaderLevel, MaxLevel); err != nil {
		return c, err
	}
	if c.Retries, err = number(h, HeaderRetries, MaxRetries); err != nil {
		return c, err
	}
	c.Depth, err = number(h, HeaderDepth, MaxDepth+1)
	return c, err
}

// SetHeaders writes the metadata that travels between nodes.
func (c Call) SetHeaders(h http.Header, now time.Time) {
	c.EachHeader(now, func(field, value string) {
		if value == "" {
			h.Del(field)
			return
		}
		h.Set(field, value)
	})
}

// EachHeader passes each header field that travels between nodes to set. The
// value of a field that is left out is empty.
func (c Call) EachHeader(now time.Time, set func(field, value string)) {
	set(HeaderService, c.Service)
	set(HeaderRequestID, c.RequestID)
	set(HeaderTimeout, strconv.FormatInt(c.Remaining(now).Milliseconds(), 10))
	set(HeaderClass, c.Class)
	set(HeaderRank, c.Rank.String())
	set(HeaderLevel, strconv.Itoa(c.Level))
	set(HeaderRetries, strconv.Itoa(c.Retries))
	set(HeaderDepth, strconv.Itoa(c.Depth))
	set(HeaderTenant, c.Tenant)
	set(HeaderIdempotencyKey, c.IdempotencyKey)
}

func name(h http.Header, field string, required bool) (string, error) {
	value, err := token(h, field, MaxNameBytes)
	if err == nil && required && value == "" {
		return "", fieldError(field, value, "a value")
	}
	return value, err
}

// token reads a value of printable ASCII characters without spaces, so that it
// stays one word in logs.
func token(h http.Header, field string, maxBytes int) (string, error) {
	value := h.Get(field)
	if len(value) > maxBytes {
		return "", fieldError(field, value, fmt.Sprintf("at most %d bytes", maxBytes))
	}
	for _, b := range []byte(value) {
		if b <= ' ' || b >= 0x7f {
			return "", fieldError(field, value, "printable ASCII without spaces")
		}
	}
	return value, nil
}

func timeout(h http.Header) (time.Duration, error) {
	value := h.Get(HeaderTimeout)
	if value == "" {
		return DefaultTimeout, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 {
		return 0, fieldError(HeaderTimeout, value, "a positive number of milliseconds")
	}
	return time.Duration(min(ms, MaxTimeout.Milliseconds())) * time.Millisecond, nil
}

func number(h http.Header, field string, limit int) (int, error) {
	value := h.Get(field)
	n, err := strconv.Atoi(value)
	if err != nil || n < 0 {
		return 0, fieldError(field, value, "a number of at least 0")
	}
	return min(n, limit), nil
}
