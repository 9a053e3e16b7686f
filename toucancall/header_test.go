package toucancall

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var testNow = time.Unix(1_800_000_000, 0)

func TestFromCallerRefusesMalformedMetadata(t *testing.T) {
	tests := []struct{ name, field, value, want string }{
		{"deadline_past", HeaderTimeout, "0", "positive number of milliseconds"},
		{"deadline_negative", HeaderTimeout, "-5", "positive number of milliseconds"},
		{"deadline_word", HeaderTimeout, "soon", "positive number of milliseconds"},
		{"deadline_overflow", HeaderTimeout, "99999999999999999999", "positive number of milliseconds"},
		{"tenant_megabyte", HeaderTenant, strings.Repeat("a", 1<<20), "at most 128 bytes"},
		{"tenant_newline", HeaderTenant, "a b", "printable ASCII"},
		{"service_missing", HeaderService, "", "want a value"},
		{"key_long", HeaderIdempotencyKey, strings.Repeat("k", 257), "at most 256 bytes"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := http.Header{}
			h.Set(HeaderService, "ordini")
			h.Set(tt.field, tt.value)
			_, err := FromCaller(h, testNow)
			var fieldErr *FieldError
			is.True(errors.As(err, &fieldErr))
			is.Equal(fieldErr.Field, tt.field)
			is.True(strings.Contains(err.Error(), tt.want))
			is.True(len(err.Error()) < 200)
		})
	}
}

// A caller must not be able to set its own rank, level or retry allowance.
func TestFromCallerIgnoresNodeFields(t *testing.T) {
	is := is.New(t)
	h := http.Header{}
	Call{Service: "ordini", Class: "c", Rank: 1, Level: 2, Retries: 3, Depth: 4}.SetHeaders(h, testNow)
	h.Set(HeaderTimeout, "100")
	c, err := FromCaller(h, testNow)
	is.NoErr(err)
	is.Equal(c, Call{Service: "ordini", Deadline: testNow.Add(100 * time.Millisecond)})
}

func TestFromNodeCapsNumbers(t *testing.T) {
	is := is.New(t)
	h := http.Header{}
	call := Call{Service: "s", Class: "c", Deadline: testNow.Add(time.Hour), Level: 1000, Retries: 1000, Depth: 1000}
	call.SetHeaders(h, testNow)
	c, err := FromNode(h, testNow)
	is.NoErr(err)
	is.Equal(c.Level, MaxLevel)
	is.Equal(c.Retries, MaxRetries)
	is.Equal(c.Depth, MaxDepth+1)
	is.Equal(c.Deadline, testNow.Add(MaxTimeout))
}

func FuzzFromNode(f *testing.F) {
	f.Add("ordini", "t", "100", "1", "2", "3", "key")
	f.Add("", "\x00", "-1", "x", "", "99999999999999999999", " ")
	f.Fuzz(func(t *testing.T, service, tenant, timeout, rank, level, retries, key string) {
		h := http.Header{
			HeaderService: {service}, HeaderTenant: {tenant}, HeaderTimeout: {timeout},
			HeaderClass: {"c"}, HeaderRank: {rank}, HeaderLevel: {level},
			HeaderRetries: {retries}, HeaderDepth: {"1"}, HeaderIdempotencyKey: {key},
		}
		c, err := FromNode(h, testNow)
		if err != nil {
			return
		}
		if c.Retries < 0 || c.Retries > MaxRetries || c.Level < 0 || c.Level > MaxLevel {
			t.Errorf("retries or level out of bounds: %+v", c)
		}
		out := http.Header{}
		c.SetHeaders(out, testNow)
		if reparsed, err := FromNode(out, testNow); err != nil || reparsed != c {
			t.Errorf("round trip changed %+v to %+v: %v", c, reparsed, err)
		}
	})
}

// Guards against a node that refuses a call as malformed because less than a millisecond
// was left when it was sent.
func TestFromNodeAtTheDeadline(t *testing.T) {
	for _, left := range []time.Duration{time.Microsecond, 0, -time.Second} {
		t.Run(left.String(), func(t *testing.T) {
			is := is.New(t)
			h := http.Header{}
			Call{Service: "s", Class: "c", Deadline: testNow.Add(left)}.SetHeaders(h, testNow)
			c, err := FromNode(h, testNow)
			is.NoErr(err)
			is.Equal(c.Deadline, testNow.Add(time.Millisecond))
		})
	}
}
