package toucansettings

import (
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// field is one key of a settings file. Its set function stores the value, or
// says what is allowed when the value is not.
type field struct {
	name     string
	required bool
	set      func(value any) (want string)
}

func topFields(s *Settings) []field {
	return []field{
		{"caller_address", true, address(&s.CallerAddress)},
		{"peer_address", true, address(&s.PeerAddress)},
		{"control_address", true, address(&s.ControlAddress)},
		{"admin_address", true, address(&s.AdminAddress)},
		{"data_centre", true, word(&s.DataCentre)},
		{"region", true, word(&s.Region)},
		{"kv_address", true, address(&s.KVAddress)},
		{"stop_timeout", false, duration(&s.StopTimeout, time.Second, 10*time.Minute)},
		{"pprof", false, boolean(&s.Pprof)},
		{"log_level", false, level(&s.LogLevel)},
	}
}

func limitFields(l *Limits) []field {
	return []field{
		{"max_body_bytes", false, integer(&l.MaxBodyBytes, 1, 1<<30)},
		{"max_header_bytes", false, integer(&l.MaxHeaderBytes, 4<<10, 1<<20)},
		{"header_timeout", false, duration(&l.HeaderTimeout, 100*time.Millisecond, time.Minute)},
		{"body_idle_timeout", false, duration(&l.BodyIdleTimeout, 100*time.Millisecond, time.Minute)},
	}
}

type checker struct {
	file     string
	lines    map[string]int
	problems []error
}

func (c *checker) add(key, format string, args ...any) {
	c.problems = append(c.problems, &Problem{File: c.file, Line: c.lines[key], Text: fmt.Sprintf(format, args...)})
}

// fields checks one table against its fields. Problems come in the order of
// the file.
func (c *checker) fields(table map[string]any, prefix string, fields []field) {
	for _, key := range c.inFileOrder(table, prefix) {
		i := slices.IndexFunc(fields, func(f field) bool { return f.name == key })
		if i < 0 {
			c.add(prefix+key, "unknown key %s%s: want one of %s", prefix, key, names(fields))
			continue
		}
		if want := fields[i].set(table[key]); want != "" {
			c.add(prefix+key, "%s%s = %s: want %s", prefix, key, quote(table[key]), want)
		}
	}
	for _, f := range fields {
		if _, ok := table[f.name]; f.required && !ok {
			c.add("", "missing key %s%s: want %s", prefix, f.name, f.set(nil))
		}
	}
}

// limits returns the set function of the nested table.
func (c *checker) limits(into *Limits) func(any) string {
	return func(value any) (want string) {
		table, ok := value.(map[string]any)
		if !ok {
			return "a table [limits]"
		}
		c.fields(table, "limits.", limitFields(into))
		return ""
	}
}

func (c *checker) inFileOrder(table map[string]any, prefix string) []string {
	keys := make([]string, 0, len(table))
	for key := range table {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b string) int {
		if d := c.lines[prefix+a] - c.lines[prefix+b]; d != 0 {
			return d
		}
		return strings.Compare(a, b)
	})
	return keys
}

// addresses checks what single addresses cannot show: listeners that clash and
// addresses that other nodes could not reach.
func (c *checker) addresses(s Settings) {
	listeners := []struct {
		key  string
		addr netip.AddrPort
	}{
		{"caller_address", s.CallerAddress}, {"peer_address", s.PeerAddress},
		{"control_address", s.ControlAddress}, {"admin_address", s.AdminAddress},
	}
	for i, l := range listeners {
		if !l.addr.IsValid() {
			continue
		}
		for _, earlier := range listeners[:i] {
			if clash(l.addr, earlier.addr) {
				c.add(l.key, "%s = %q: want an address other than that of %s", l.key, l.addr, earlier.key)
			}
		}
		if l.addr.Addr().IsUnspecified() && (l.key == "peer_address" || l.key == "control_address") {
			c.add(l.key, "%s = %q: want the address at which other nodes reach this one", l.key, l.addr)
		}
	}
	if a := s.AdminAddress; a.IsValid() && !a.Addr().IsLoopback() {
		c.add("admin_address", "admin_address = %q: want a loopback address such as 127.0.0.1:7400", a)
	}
	if a := s.KVAddress; a.IsValid() && (a.Port() == 0 || a.Addr().IsUnspecified()) {
		c.add("kv_address", "kv_address = %q: want the address and port of the key-value service", a)
	}
}

func clash(a, b netip.AddrPort) bool {
	if !a.IsValid() || !b.IsValid() || a.Port() == 0 || a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

func address(into *netip.AddrPort) func(any) string {
	return func(value any) (want string) {
		text, ok := value.(string)
		addr, err := netip.ParseAddrPort(text)
		if !ok || err != nil {
			return `an IP address and port such as "10.0.0.7:7400"`
		}
		*into = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
		return ""
	}
}

const maxWordBytes = 64

func word(into *string) func(any) string {
	return func(value any) (want string) {
		text, ok := value.(string)
		bad := strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r >= 0x7f })
		if !ok || text == "" || len(text) > maxWordBytes || bad {
			return fmt.Sprintf("a string of 1 to %d printable ASCII characters without spaces", maxWordBytes)
		}
		*into = text
		return ""
	}
}

func duration(into *time.Duration, low, high time.Duration) func(any) string {
	return func(value any) (want string) {
		text, ok := value.(string)
		d, err := time.ParseDuration(text)
		if !ok || err != nil || d < low || d > high {
			return fmt.Sprintf("a duration between %q and %q", low, high)
		}
		*into = d
		return ""
	}
}

func integer[T int | int64](into *T, low, high T) func(any) string {
	return func(value any) (want string) {
		n, ok := value.(int64)
		if !ok || n < int64(low) || n > int64(high) {
			return fmt.Sprintf("a whole number between %d and %d", low, high)
		}
		*into = T(n)
		return ""
	}
}

func boolean(into *bool) func(any) string {
	return func(value any) (want string) {
		b, ok := value.(bool)
		if !ok {
			return "true or false"
		}
		*into = b
		return ""
	}
}

func level(into *slog.Level) func(any) string {
	return func(value any) (want string) {
		text, _ := value.(string)
		switch text {
		case "debug", "info", "warn", "error":
			_ = into.UnmarshalText([]byte(text)) // the four names are always valid
			return ""
		}
		return `"debug", "info", "warn" or "error"`
	}
}

const maxQuotedBytes = 60

func quote(value any) string {
	text := fmt.Sprint(value)
	if s, ok := value.(string); ok {
		text = fmt.Sprintf("%q", s)
	}
	if len(text) > maxQuotedBytes {
		text = text[:maxQuotedBytes] + "..."
	}
	return text
}

func names(fields []field) string {
	all := make([]string, len(fields))
	for i, f := range fields {
		all[i] = f.name
	}
	return strings.Join(all, ", ")
}

// keyLines maps each key, with its table as a prefix, to the line it stands
// on. The TOML library reports lines for syntax errors only.
func keyLines(text string) map[string]int {
	lines, prefix := map[string]int{}, ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if table, ok := strings.CutPrefix(line, "["); ok {
			table = strings.Trim(strings.SplitN(table, "]", 2)[0], "[ \t\"'")
			setOnce(lines, table, i+1)
			prefix = table + "."
			continue
		}
		key, _, ok := strings.Cut(line, "=")
		if key = strings.Trim(key, " \t\"'"); ok && !strings.HasPrefix(key, "#") {
			setOnce(lines, prefix+key, i+1)
		}
	}
	return lines
}

func setOnce(lines map[string]int, key string, line int) {
	if _, ok := lines[key]; !ok {
		lines[key] = line
	}
}
