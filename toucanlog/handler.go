package toucanlog

import (
	"context"
	"encoding"
	"fmt"
	"io"
	"log/slog"
	"strconv"
	"sync"
	"time"
	"unicode"
	"unicode/utf8"
)

// handler formats records as lines of key=value pairs. It writes the same lines as
// slog.TextHandler with the message under the key event, in less time: each request and
// each call has a line, and slog.TextHandler can rename the key only by calling a function
// for each attribute.
type handler struct {
	out    io.Writer
	level  slog.Leveler
	prefix string // of keys, from WithGroup
	attrs  []byte // from WithAttrs, each with a leading space
}

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// lineCapacity is enough for most lines.
const lineCapacity = 1 << 10

// linePool holds buffers for lines.
var linePool = sync.Pool{New: func() any { b := make([]byte, 0, lineCapacity); return &b }}

// Enabled reports whether records of a level are written.
func (h *handler) Enabled(_ context.Context, l slog.Level) bool { return l >= h.level.Level() }

// Handle writes a record as one line.
func (h *handler) Handle(_ context.Context, r slog.Record) error {
	buf := linePool.Get().(*[]byte)
	defer linePool.Put(buf)
	b := (*buf)[:0]
	if !r.Time.IsZero() {
		b = append(b, "time="...)
		b = r.Time.AppendFormat(b, timeFormat)
		b = append(b, ' ')
	}
	b = append(b, "level="...)
	b = append(b, r.Level.String()...)
	b = append(b, " event="...)
	b = appendText(b, r.Message)
	b = append(b, h.attrs...)
	r.Attrs(func(a slog.Attr) bool {
		b = appendAttr(b, h.prefix, a)
		return true
	})
	b = append(b, '\n')
	*buf = b
	_, err := h.out.Write(b)
	return err
}

// WithAttrs returns a handler that adds attrs to each line.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	derived := *h
	derived.attrs = append([]byte(nil), h.attrs...)
	for _, a := range attrs {
		derived.attrs = appendAttr(derived.attrs, h.prefix, a)
	}
	return &derived
}

// WithGroup returns a handler that puts the group name and a dot before keys.
func (h *handler) WithGroup(name string) slog.Handler {
	if name == "" {
		return h
	}
	derived := *h
	derived.prefix += name + "."
	return &derived
}

func appendAttr(b []byte, prefix string, a slog.Attr) []byte {
	v := a.Value.Resolve()
	if v.Kind() == slog.KindGroup {
		if a.Key != "" {
			prefix += a.Key + "."
		}
		for _, member := range v.Group() {
			b = appendAttr(b, prefix, member)
		}
		return b
	}
	if a.Equal(slog.Attr{}) {
		return b
	}
	b = append(b, ' ')
	if prefix == "" {
		b = appendText(b, a.Key)
	} else {
		b = appendText(b, prefix+a.Key)
	}
	b = append(b, '=')
	return appendValue(b, v)
}

func appendValue(b []byte, v slog.Value) []byte {
	switch v.Kind() {
	case slog.KindString:
		return appendText(b, v.String())
	case slog.KindInt64:
		return strconv.AppendInt(b, v.Int64(), 10)
	case slog.KindUint64:
		return strconv.AppendUint(b, v.Uint64(), 10)
	case slog.KindFloat64:
		return strconv.AppendFloat(b, v.Float64(), 'g', -1, 64)
	case slog.KindBool:
		return strconv.AppendBool(b, v.Bool())
	case slog.KindDuration:
		return append(b, v.Duration().String()...)
	case slog.KindTime:
		return v.Time().AppendFormat(b, time.RFC3339Nano)
	}
	switch x := v.Any().(type) {
	case encoding.TextMarshaler:
		text, err := x.MarshalText()
		if err != nil {
			return appendText(b, "!ERROR:"+err.Error())
		}
		return appendText(b, string(text))
	case []byte:
		return appendText(b, string(x))
	}
	return appendText(b, fmt.Sprintf("%+v", v.Any()))
}

// appendText appends a string, quoted if a reader could not tell where it ends.
func appendText(b []byte, s string) []byte {
	if needsQuotes(s) {
		return strconv.AppendQuote(b, s)
	}
	return append(b, s...)
}

func needsQuotes(s string) bool {
	if s == "" {
		return true
	}
	for i := 0; i < len(s); {
		c := s[i]
		if c < utf8.RuneSelf {
			if c <= ' ' || c == '=' || c == '"' {
				return true
			}
			i++
			continue
		}
		r, size := utf8.DecodeRuneInString(s[i:])
		if r == utf8.RuneError || unicode.IsSpace(r) || !unicode.IsPrint(r) {
			return true
		}
		i += size
	}
	return false
}
