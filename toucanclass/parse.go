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
	// MaxClasses bounds the classes of a service, because each has its own metrics.
	MaxClasses = 200
	// MaxFileBytes bounds a class file, because its document must fit into one value
	// of the key-value service.
	MaxFileBytes = 512 << 10

	minLatency   = time.Millisecond
	maxLatency   = 10 * time.Minute
	maxPathBytes = 1024
)

var (
	namePattern = regexp.MustCompile(`^[a-z][a-z0-9_-]{0,63}$`)
	// classHeaderPattern matches the header line of a class table, and keyPattern
	// matches a line with a key. They give problems their line numbers.
	classHeaderPattern = regexp.MustCompile(`^\s*\[\[\s*class\s*\]\]`)
	keyPattern         = regexp.MustCompile(`^\s*["']?([A-Za-z0-9_-]+)["']?\s*[.=]`)
)

const nameRule = "a lower-case letter and up to 63 lower-case letters, digits, '_' or '-'"

// methods holds the methods that a class may have. The value reports whether
// at_most_once is allowed with the method.
var methods = map[string]bool{
	"GET": false, "HEAD": false, "OPTIONS": false,
	"DELETE": true, "PATCH": true, "POST": true, "PUT": true,
}

// Problem is one reason why a class file was rejected.
type Problem struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Reason string `json:"reason"` // includes what is allowed
}

func (p Problem) String() string { return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Reason) }

// FileError holds all problems of a class file, sorted by line.
type FileError struct{ Problems []Problem }

// Error returns one line for each problem.
func (e *FileError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// ParseFile parses and checks a class file. It reports all problems at once: an error
// is always a *FileError. The name is the file name in the problems.
func ParseFile(name string, source []byte) (File, error) {
	p := parser{fileName: name, lines: scanLines(source)}
	file := p.parse(source)
	if len(p.problems) > 0 {
		slices.SortStableFunc(p.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
		return File{}, &FileError{Problems: p.problems}
	}
	return file, nil
}

// Canonical returns the canonical form of the file: classes are sorted by rank and
// then by name, and optional values that equal their defaults are omitted.
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

// formatLatency formats whole seconds in seconds and other values in milliseconds,
// the unit of latency in ranks.
func formatLatency(d time.Duration) string {
	if d%time.Second == 0 {
		return strconv.FormatInt(int64(d/time.Second), 10) + "s"
	}
	return strconv.FormatInt(d.Milliseconds(), 10) + "ms"
}

// formatSuccess formats a number with a decimal point, because TOML reads a number
// without one as an integer.
func formatSuccess(success float64) string {
	s := strconv.FormatFloat(success, 'f', -1, 64)
	if !strings.Contains(s, ".") {
		s += ".0"
	}
	return s
}

type parser struct {
	fileName string
	lines    lineIndex
	problems []Problem
}

func (p *parser) report(line int, format string, args ...any) {
	p.problems = append(p.problems, Problem{File: p.fileName, Line: max(line, 1), Reason: fmt.Sprintf(format, args...)})
}

func (p *parser) parse(source []byte) (f File) {
	if len(source) > MaxFileBytes {
		p.report(1, "file has %d bytes, at most %d are allowed", len(source), MaxFileBytes)
		return f
	}
	var tree map[string]any
	if _, err := toml.Decode(string(source), &tree); err != nil {
		p.reportSyntaxError(source, err)
		return f
	}
	top := table{parser: p, values: tree, headerLine: 1, keyLines: p.lines.top}
	top.checkKeys("service", "class")
	f.Service = top.readName("service")
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
		t := table{parser: p, values: values, headerLine: at.header, keyLines: at.keys}
		f.Classes = append(f.Classes, t.readClass())
	}
	p.checkDuplicates(f.Classes)
	return f
}

// reportSyntaxError reports a syntax error. It computes the line from the offset of
// the error, because the line that the library reports can be one too high: it counts an
// unexpected line break as part of the text before the error.
func (p *parser) reportSyntaxError(source []byte, err error) {
	var syntax toml.ParseError
	if !errors.As(err, &syntax) {
		p.report(1, "not TOML: %s", oneLine(err.Error()))
		return
	}
	before := source[:min(max(syntax.Position.Start, 0), len(source))]
	p.report(bytes.Count(before, []byte("\n"))+1, "not TOML: %s", oneLine(syntax.Message))
}

func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

// checkDuplicates reports classes with the same name, or with the same method and
// path.
func (p *parser) checkDuplicates(classes []Class) {
	indexByName, indexByMatch := map[string]int{}, map[string]int{}
	for i, c := range classes {
		at := p.lines.classes[i]
		if first, ok := indexByName[c.Name]; ok && c.Name != "" {
			p.report(at.lineOf("name"), "class name %q is already used in line %d, each name may occur once",
				c.Name, p.lines.classes[first].lineOf("name"))
		} else {
			indexByName[c.Name] = i
		}
		matchKey := c.Method + " " + strings.TrimSuffix(c.Path, "/")
		if first, ok := indexByMatch[matchKey]; ok {
			p.report(at.header, "class matches the same requests as the class in line %d, each pair of method and path may occur once",
				p.lines.classes[first].header)
		} else {
			indexByMatch[matchKey] = i
		}
	}
}

// table reads and checks the values of one TOML table.
type table struct {
	*parser
	values     map[string]any
	headerLine int
	keyLines   map[string]int
}

// lineOf returns the line of a key, or the header line if the key has none.
func (t table) lineOf(key string) int { return cmp.Or(t.keyLines[key], t.headerLine) }

func (t table) checkKeys(allowed ...string) {
	for _, key := range slices.Sorted(maps.Keys(t.values)) {
		if !slices.Contains(allowed, key) {
			t.report(t.lineOf(key), "unknown key %q, allowed are %s", key, strings.Join(allowed, ", "))
		}
	}
}

func (t table) readClass() Class {
	t.checkKeys("name", "method", "path", "latency", "success", "at_most_once")
	c := Class{Name: t.readName("name"), Method: t.readMethod(), Path: t.readPath(), Latency: t.readLatency(), Success: t.readSuccess()}
	if c.Name == Default.Name {
		t.report(t.lineOf("name"), "class name %q is reserved for unmatched requests, any other name is allowed", c.Name)
	}
	c.AtMostOnce, _ = lookup[bool](t, "at_most_once", "true or false", false)
	if c.AtMostOnce && !methods[c.Method] {
		t.report(t.lineOf("at_most_once"), "at_most_once on method %q, it is allowed on DELETE, PATCH, POST and PUT", c.Method)
	}
	return c
}

func (t table) readName(key string) string {
	name, ok := lookup[string](t, key, nameRule, true)
	if ok && !namePattern.MatchString(name) {
		t.report(t.lineOf(key), "%s is %q, allowed is %s", key, name, nameRule)
	}
	return name
}

func (t table) readMethod() string {
	allowed := strings.Join(slices.Sorted(maps.Keys(methods)), ", ")
	method, ok := lookup[string](t, "method", "one of "+allowed, false)
	if _, known := methods[method]; ok && !known {
		t.report(t.lineOf("method"), "method is %q, allowed are %s", method, allowed)
	}
	return method
}

func (t table) readPath() string {
	const rule = "a path of at most 1024 bytes that starts with '/' and has no '//', '?', '#', space or control character"
	path, ok := lookup[string](t, "path", rule, false)
	invalid := !strings.HasPrefix(path, "/") || strings.Contains(path, "//") || len(path) > maxPathBytes ||
		strings.ContainsFunc(path, func(r rune) bool { return r <= ' ' || r == 0x7f || r == '?' || r == '#' })
	if ok && invalid {
		t.report(t.lineOf("path"), "path is %.64q, allowed is %s", path, rule)
	}
	return path
}

func (t table) readLatency() time.Duration {
	rule := fmt.Sprintf("whole milliseconds from %s to %s, such as \"800ms\"", minLatency, maxLatency)
	text, ok := lookup[string](t, "latency", rule, true)
	if !ok {
		return 0
	}
	latency, err := time.ParseDuration(text)
	if err != nil || latency < minLatency || latency > maxLatency || latency%time.Millisecond != 0 {
		t.report(t.lineOf("latency"), "latency is %.64q, allowed are %s", text, rule)
	}
	return latency
}

func (t table) readSuccess() float64 {
	const rule = "a number above 0 and at most 1, such as 0.999"
	if whole, ok := t.values["success"].(int64); ok {
		t.values["success"] = float64(whole)
	}
	success, ok := lookup[float64](t, "success", rule, true)
	if ok && !(success > 0 && success <= 1) {
		t.report(t.lineOf("success"), "success is %v, allowed is %s", success, rule)
	}
	return success
}

// lookup returns the value of a key and whether it exists with type T. A wrong type
// and a missing required key are reported as problems.
func lookup[T any](t table, key, rule string, required bool) (value T, ok bool) {
	found, exists := t.values[key]
	if !exists {
		if required {
			t.report(t.headerLine, "%s is missing, required is %s", key, rule)
		}
		return value, false
	}
	value, ok = found.(T)
	if !ok {
		t.report(t.lineOf(key), "%s has the wrong type, allowed is %s", key, rule)
	}
	return value, ok
}

// lineIndex holds the line numbers of the keys in a class file. The TOML library
// gives positions of syntax errors only.
type lineIndex struct {
	top     map[string]int // keys before the first class
	classes []classLines
}

type classLines struct {
	header int
	keys   map[string]int
}

// lineOf returns the line of a key, or the header line if the key has none.
func (c classLines) lineOf(key string) int { return cmp.Or(c.keys[key], c.header) }

// scanLines finds the lines of the top-level keys and of each class table.
func scanLines(source []byte) lineIndex {
	index := lineIndex{top: map[string]int{}}
	keys := index.top
	for i, line := range strings.Split(string(source), "\n") {
		if classHeaderPattern.MatchString(line) {
			keys = map[string]int{}
			index.classes = append(index.classes, classLines{header: i + 1, keys: keys})
		} else if m := keyPattern.FindStringSubmatch(line); m != nil && keys[m[1]] == 0 {
			keys[m[1]] = i + 1
		}
	}
	return index
}
