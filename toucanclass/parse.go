package toucanclass

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

const (
	// MaxClasses bounds the classes of a service; each has its own metrics.
	MaxClasses = 200
	// MaxFileBytes bounds a class file, so that its document fits into one value
	// of the key-value service.
	MaxFileBytes = 512 << 10

	minLatency   = time.Millisecond
	maxLatency   = 10 * time.Minute
	maxPathBytes = 1024
)

var (
	namePattern = regexp.MustCompile(`^[a-z][a-z0-9_-]{0,63}$`)
	// headerPattern and keyPattern find the lines that problems point to.
	headerPattern = regexp.MustCompile(`^\s*\[\[\s*class\s*\]\]`)
	keyPattern    = regexp.MustCompile(`^\s*["']?([A-Za-z0-9_-]+)["']?\s*[.=]`)
)

const nameRule = "a lower-case letter and up to 63 lower-case letters, digits, '_' or '-'"

// methods are the methods a class may name; the value says whether at_most_once
// makes sense for it.
var methods = map[string]bool{
	"GET": false, "HEAD": false, "OPTIONS": false,
	"DELETE": true, "PATCH": true, "POST": true, "PUT": true,
}

// Problem is one reason why a class file was rejected.
type Problem struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Reason string `json:"reason"` // with what is allowed
}

func (p Problem) String() string { return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Reason) }

// FileError holds all problems of a class file in the order of their lines.
type FileError struct{ Problems []Problem }

// Error returns one line for each problem.
func (e *FileError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// ParseFile reads a class file and checks it in full. The name appears in the
// problems; an error is always a *FileError.
func ParseFile(name string, source []byte) (File, error) {
	p := parser{name: name, lines: scanLines(source)}
	file := p.parse(source)
	if len(p.problems) > 0 {
		slices.SortStableFunc(p.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
		return File{}, &FileError{Problems: p.problems}
	}
	return file, nil
}

// Canonical returns the file in its canonical form: classes in the order of
// their ranks, then names, and only values that differ from their defaults.
func (f File) Canonical() []byte {
	classes := slices.SortedFunc(slices.Values(f.Classes), func(a, b Class) int {
		return cmp.Or(cmp.Compare(a.Rank(), b.Rank()), cmp.Compare(a.Name, b.Name))
	})
	var b bytes.Buffer
	fmt.Fprintf(&b, "service = %q\n", f.Service)
	for _, c := range classes {
		fmt.Fprintf(&b, "\n[[class]]\nname = %q\n", c.Name)
		if c.Method != "" {
			fmt.Fprintf(&b, "method = %q\n", c.Method)
		}
		if path := strings.TrimSuffix(c.Path, "/"); path != "" {
			fmt.Fprintf(&b, "path = %q\n", path)
		}
		fmt.Fprintf(&b, "latency = %q\n", formatLatency(c.Latency))
		fmt.Fprintf(&b, "success = %s\n", formatSuccess(c.Success))
		if c.AtMostOnce {
			fmt.Fprintf(&b, "at_most_once = true\n")
		}
	}
	return b.Bytes()
}

// formatLatency writes whole seconds as seconds and everything else in
// milliseconds, the unit of ranks.
func formatLatency(d time.Duration) string {
	if d%time.Second == 0 {
		return strconv.FormatInt(int64(d/time.Second), 10) + "s"
	}
	return strconv.FormatInt(d.Milliseconds(), 10) + "ms"
}

// formatSuccess writes a float that TOML does not take for an integer.
func formatSuccess(success float64) string {
	s := strconv.FormatFloat(success, 'f', -1, 64)
	if !strings.Contains(s, ".") {
		s += ".0"
	}
	return s
}

type parser struct {
	name     string
	lines    lines
	problems []Problem
}

func (p *parser) report(line int, format string, args ...any) {
	p.problems = append(p.problems, Problem{File: p.name, Line: max(line, 1), Reason: fmt.Sprintf(format, args...)})
}

func (p *parser) parse(source []byte) (f File) {
	if len(source) > MaxFileBytes {
		p.report(1, "file has %d bytes, at most %d are allowed", len(source), MaxFileBytes)
		return f
	}
	var tree map[string]any
	if _, err := toml.Decode(string(source), &tree); err != nil {
		p.reportSyntax(source, err)
		return f
	}
	top := table{parser: p, values: tree, line: 1, lines: p.lines.top}
	top.checkKeys("service", "class")
	f.Service = top.name("service")
	tables, ok := tree["class"].([]map[string]any)
	if _, exists := tree["class"]; exists && (!ok || len(tables) != len(p.lines.classes)) {
		p.report(p.lines.top["class"], "class is written in another form, each class must be a [[class]] table")
		return f
	}
	if len(tables) > MaxClasses {
		p.report(p.lines.classes[MaxClasses].header, "file has %d classes, at most %d are allowed", len(tables), MaxClasses)
		return f
	}
	for i, values := range tables {
		at := p.lines.classes[i]
		t := table{parser: p, values: values, line: at.header, lines: at.keys}
		f.Classes = append(f.Classes, t.class())
	}
	p.checkPairs(f.Classes)
	return f
}

// reportSyntax derives the line from the offset, because the library counts a
// line break that it did not expect as part of the line before the error.
func (p *parser) reportSyntax(source []byte, err error) {
	var syntax toml.ParseError
	if !errors.As(err, &syntax) {
		p.report(1, "not TOML: %s", oneLine(err.Error()))
		return
	}
	before := source[:min(max(syntax.Position.Start, 0), len(source))]
	p.report(bytes.Count(before, []byte("\n"))+1, "not TOML: %s", oneLine(syntax.Message))
}

func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

// checkPairs rejects classes that contradict each other.
func (p *parser) checkPairs(classes []Class) {
	names, matches := map[string]int{}, map[string]int{}
	for i, c := range classes {
		at := p.lines.classes[i]
		if first, ok := names[c.Name]; ok && c.Name != "" {
			p.report(at.of("name"), "class name %q is already used in line %d, each name may occur once",
				c.Name, p.lines.classes[first].of("name"))
		} else {
			names[c.Name] = i
		}
		match := c.Method + " " + strings.TrimSuffix(c.Path, "/")
		if first, ok := matches[match]; ok {
			p.report(at.header, "class matches the same requests as the class in line %d, each pair of method and path may occur once",
				p.lines.classes[first].header)
		} else {
			matches[match] = i
		}
	}
}

// table checks the values of one table.
type table struct {
	*parser
	values map[string]any
	line   int // of the header
	lines  map[string]int
}

func (t table) at(key string) int { return cmp.Or(t.lines[key], t.line) }

func (t table) checkKeys(allowed ...string) {
	for _, key := range slices.Sorted(maps.Keys(t.values)) {
		if !slices.Contains(allowed, key) {
			t.report(t.at(key), "unknown key %q, allowed are %s", key, strings.Join(allowed, ", "))
		}
	}
}

func (t table) class() Class {
	t.checkKeys("name", "method", "path", "latency", "success", "at_most_once")
	c := Class{Name: t.name("name"), Method: t.method(), Path: t.path(), Latency: t.latency(), Success: t.success()}
	if c.Name == Default.Name {
		t.report(t.at("name"), "class name %q is reserved for unmatched requests, any other name is allowed", c.Name)
	}
	c.AtMostOnce, _ = lookup[bool](t, "at_most_once", "true or false", false)
	if c.AtMostOnce && !methods[c.Method] {
		t.report(t.at("at_most_once"), "at_most_once on method %q, it is allowed on DELETE, PATCH, POST and PUT", c.Method)
	}
	return c
}

func (t table) name(key string) string {
	name, ok := lookup[string](t, key, nameRule, true)
	if ok && !namePattern.MatchString(name) {
		t.report(t.at(key), "%s is %q, allowed is %s", key, name, nameRule)
	}
	return name
}

func (t table) method() string {
	allowed := strings.Join(slices.Sorted(maps.Keys(methods)), ", ")
	method, ok := lookup[string](t, "method", "one of "+allowed, false)
	if _, known := methods[method]; ok && !known {
		t.report(t.at("method"), "method is %q, allowed are %s", method, allowed)
	}
	return method
}

func (t table) path() string {
	const rule = "a path of at most 1024 bytes that starts with '/' and has no '//', '?', '#', space or control character"
	path, ok := lookup[string](t, "path", rule, false)
	bad := !strings.HasPrefix(path, "/") || strings.Contains(path, "//") || len(path) > maxPathBytes ||
		strings.ContainsFunc(path, func(r rune) bool { return r <= ' ' || r == 0x7f || r == '?' || r == '#' })
	if ok && bad {
		t.report(t.at("path"), "path is %.64q, allowed is %s", path, rule)
	}
	return path
}

func (t table) latency() time.Duration {
	rule := fmt.Sprintf("whole milliseconds from %s to %s, such as \"800ms\"", minLatency, maxLatency)
	text, ok := lookup[string](t, "latency", rule, true)
	if !ok {
		return 0
	}
	latency, err := time.ParseDuration(text)
	if err != nil || latency < minLatency || latency > maxLatency || latency%time.Millisecond != 0 {
		t.report(t.at("latency"), "latency is %.64q, allowed are %s", text, rule)
	}
	return latency
}

func (t table) success() float64 {
	const rule = "a number above 0 and at most 1, such as 0.999"
	if whole, ok := t.values["success"].(int64); ok {
		t.values["success"] = float64(whole)
	}
	success, ok := lookup[float64](t, "success", rule, true)
	if ok && !(success > 0 && success <= 1) {
		t.report(t.at("success"), "success is %v, allowed is %s", success, rule)
	}
	return success
}

// lookup returns the value of a key, and reports a wrong type or a missing value.
func lookup[T any](t table, key, rule string, required bool) (value T, ok bool) {
	found, exists := t.values[key]
	if !exists {
		if required {
			t.report(t.line, "%s is missing, required is %s", key, rule)
		}
		return value, false
	}
	value, ok = found.(T)
	if !ok {
		t.report(t.at(key), "%s has the wrong type, allowed is %s", key, rule)
	}
	return value, ok
}

// lines holds where keys stand in a class file. The TOML library gives the
// positions of syntax errors only.
type lines struct {
	top     map[string]int
	classes []classLines
}

type classLines struct {
	header int
	keys   map[string]int
}

func (c classLines) of(key string) int { return cmp.Or(c.keys[key], c.header) }

func scanLines(source []byte) lines {
	found := lines{top: map[string]int{}}
	keys := found.top
	for i, line := range strings.Split(string(source), "\n") {
		if headerPattern.MatchString(line) {
			keys = map[string]int{}
			found.classes = append(found.classes, classLines{header: i + 1, keys: keys})
		} else if m := keyPattern.FindStringSubmatch(line); m != nil && keys[m[1]] == 0 {
			keys[m[1]] = i + 1
		}
	}
	return found
}
