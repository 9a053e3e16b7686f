package toucansettings

import (
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// field is one key of a settings file. Its set function stores the value. If the
// value is not allowed, set returns a description of what is allowed.
type field struct {
	name     string
	required bool
	set      func(value any) (want string)
}

func topFields(s *Settings) []field {
	return []field{
		{"caller_address", true, setAddress(&s.CallerAddress)},
		{"peer_address", true, setAddress(&s.PeerAddress)},
		{"control_address", true, setAddress(&s.ControlAddress)},
		{"admin_address", true, setAddress(&s.AdminAddress)},
		{"data_centre", true, setName(&s.DataCentre)},
		{"region", true, setName(&s.Region)},
		{"kv_address", true, setAddress(&s.KVAddress)},
		{"memory_mb", false, setInteger(&s.MemoryMB, 64, 1<<20)},
		{"stop_timeout", false, setDuration(&s.StopTimeout, time.Second, 10*time.Minute)},
		{"pprof", false, setBool(&s.Pprof)},
		{"log_level", false, setLevel(&s.LogLevel)},
	}
}

func limitFields(l *Limits) []field {
	return []field{
		{"max_body_bytes", false, setInteger(&l.MaxBodyBytes, 1, 1<<30)},
		{"max_header_bytes", false, setInteger(&l.MaxHeaderBytes, 4<<10, 1<<20)},
		{"header_timeout", false, setDuration(&l.HeaderTimeout, 100*time.Millisecond, time.Minute)},
		{"body_idle_timeout", false, setDuration(&l.BodyIdleTimeout, 100*time.Millisecond, time.Minute)},
	}
}

type checker struct {
	file     string
	lines    map[string]int
	problems []error
}

func (c *checker) addProblem(key, format string, args ...any) {
	c.problems = append(c.problems, &Problem{File: c.file, Line: c.lines[key], Text: fmt.Sprintf(format, args...)})
}

// checkTable checks the keys of one table and sets the fields. Problems are reported in
// the order of the file, and missing keys last.
func (c *checker) checkTable(table map[string]any, prefix string, fields []field) {
	for _, key := range c.keysInFileOrder(table, prefix) {
		i := slices.IndexFunc(fields, func(f field) bool { return f.name == key })
		if i < 0 {
			c.addProblem(prefix+key, "unknown key %s%s: want one of %s", prefix, key, fieldNames(fields))
			continue
		}
		if want := fields[i].set(table[key]); want != "" {
			c.addProblem(prefix+key, "%s%s = %s: want %s", prefix, key, quoteValue(table[key]), want)
		}
	}
	for _, f := range fields {
		if _, ok := table[f.name]; f.required && !ok {
			c.addProblem("", "missing key %s%s: want %s", prefix, f.name, f.set(nil))
		}
	}
}

// setLimits returns the set function of the nested table limits.
func (c *checker) setLimits(dst *Limits) func(any) string {
	return func(value any) (want string) {
		table, ok := value.(map[string]any)
		if !ok {
			return "a table [limits]"
		}
		c.checkTable(table, "limits.", limitFields(dst))
		return ""
	}
}

// keysInFileOrder returns the keys of a table, sorted by line.
func (c *checker) keysInFileOrder(table map[string]any, prefix string) []string {
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

// checkAddresses checks the valid addresses: listeners must not conflict, other nodes
// must be able to reach the peer and control address, the admin address must be a
// loopback address, and the key-value service needs an address and a port.
func (c *checker) checkAddresses(s Settings) {
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
			if addressesConflict(l.addr, earlier.addr) {
				c.addProblem(l.key, "%s = %q: want an address other than that of %s", l.key, l.addr, earlier.key)
			}
		}
		if l.addr.Addr().IsUnspecified() && (l.key == "peer_address" || l.key == "control_address") {
			c.addProblem(l.key, "%s = %q: want the address at which other nodes reach this one", l.key, l.addr)
		}
	}
	if a := s.AdminAddress; a.IsValid() && !a.Addr().IsLoopback() {
		c.addProblem("admin_address", "admin_address = %q: want a loopback address such as 127.0.0.1:7400", a)
	}
	if a := s.KVAddress; a.IsValid() && (a.Port() == 0 || a.Addr().IsUnspecified()) {
		c.addProblem("kv_address", "kv_address = %q: want the address and port of the key-value service", a)
	}
}

// addressesConflict reports whether two listeners cannot use a and b on one host. Port 0
// conflicts with no other, because the system chooses a free port for it.
func addressesConflict(a, b netip.AddrPort) bool {
	if !a.IsValid() || !b.IsValid() || a.Port() == 0 || a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

func setAddress(dst *netip.AddrPort) func(any) string {
	return func(value any) (want string) {
		text, ok := value.(string)
		addr, err := netip.ParseAddrPort(text)
		if !ok || err != nil {
			return `an IP address and port such as "10.0.0.7:7400"`
		}
		*dst = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
		return ""
	}
}

const maxNameBytes = 64

func setName(dst *string) func(any) string {
	return func(value any) (want string) {
		text, ok := value.(string)
		invalid := strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r >= 0x7f })
		if !ok || text == "" || len(text) > maxNameBytes || invalid {
			return fmt.Sprintf("a string of 1 to %d printable ASCII characters without spaces", maxNameBytes)
		}
		*dst = text
		return ""
	}
}

func setDuration(dst *time.Duration, low, high time.Duration) func(any) string {
	return func(value any) (want string) {
		text, ok := value.(string)
		d, err := time.ParseDuration(text)
		if !ok || err != nil || d < low || d > high {
			return fmt.Sprintf("a duration between %q and %q", low, high)
		}
		*dst = d
		return ""
	}
}

func setInteger[T int | int64](dst *T, low, high T) func(any) string {
	return func(value any) (want string) {
		n, ok := value.(int64)
		if !ok || n < int64(low) || n > int64(high) {
			return fmt.Sprintf("a whole number between %d and %d", low, high)
		}
		*dst = T(n)
		return ""
	}
}

func setBool(dst *bool) func(any) string {
	return func(value any) (want string) {
		b, ok := value.(bool)
		if !ok {
			return "true or false"
		}
		*dst = b
		return ""
	}
}

func setLevel(dst *slog.Level) func(any) string {
	return func(value any) (want string) {
		text, _ := value.(string)
		switch text {
		case "debug", "info", "warn", "error":
			_ = dst.UnmarshalText([]byte(text)) // the four names are always valid
			return ""
		}
		return `"debug", "info", "warn" or "error"`
	}
}

const maxQuotedBytes = 60

func quoteValue(value any) string {
	text := fmt.Sprint(value)
	if s, ok := value.(string); ok {
		text = fmt.Sprintf("%q", s)
	}
	if len(text) > maxQuotedBytes {
		text = text[:maxQuotedBytes] + "..."
	}
	return text
}

func fieldNames(fields []field) string {
	all := make([]string, len(fields))
	for i, f := range fields {
		all[i] = f.name
	}
	return strings.Join(all, ", ")
}

// keyLines returns the line number of each key. A key in a table is prefixed with the
// name of the table and a dot. The TOML library gives lines of syntax errors only.
func keyLines(text string) map[string]int {
	lines, prefix := map[string]int{}, ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if table, ok := strings.CutPrefix(line, "["); ok {
			table = strings.Trim(strings.SplitN(table, "]", 2)[0], "[ \t\"'")
			setIfAbsent(lines, table, i+1)
			prefix = table + "."
			continue
		}
		key, _, ok := strings.Cut(line, "=")
		if key = strings.Trim(key, " \t\"'"); ok && !strings.HasPrefix(key, "#") {
			setIfAbsent(lines, prefix+key, i+1)
		}
	}
	return lines
}

func setIfAbsent(lines map[string]int, key string, line int) {
	if _, ok := lines[key]; !ok {
		lines[key] = line
	}
}
