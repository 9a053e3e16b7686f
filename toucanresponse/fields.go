package toucanresponse

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// maxExpectedFields limits the number of fields that memory is taken for before they are
// parsed.
const maxExpectedFields = 100

var (
	errTooLong     = errors.New("head or trailer section is too long")
	errLineEnd     = errors.New("line does not end with CRLF")
	errBlankLine   = errors.New("line of blanks within the fields")
	errFoldedField = errors.New("folded line that may be a field")
)

// readSection reads lines up to the first empty one, which it drops, appends them to buf and
// returns the text, of at most limit bytes. Each line must end with lineEnd: "\n" in a head,
// where CR may be missing (RFC 9112 section 2.2), and "\r\n" in a trailer section.
func readSection(r *bufio.Reader, buf []byte, limit int, lineEnd string) (string, error) {
	for {
		start := len(buf)
		for more := true; more; {
			part, err := r.ReadSlice('\n')
			if len(buf)+len(part) > limit {
				return "", errTooLong
			}
			buf = append(buf, part...)
			if more = err == bufio.ErrBufferFull; err != nil && !more {
				return "", unexpectedEOF(err)
			}
		}
		switch line := buf[start:]; {
		case !bytes.HasSuffix(line, []byte(lineEnd)):
			return "", errLineEnd
		case line[0] == '\n', string(line) == "\r\n":
			return string(buf[:start]), nil
		}
	}
}

// unexpectedEOF returns io.ErrUnexpectedEOF for io.EOF, and other errors as they are.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// parseFields parses the field lines of a section (RFC 9112 section 5).
func parseFields(section string) (http.Header, error) {
	expected := min(strings.Count(section, "\n"), maxExpectedFields)
	h, values := make(http.Header, expected), make([]string, expected)
	for section != "" {
		line, rest := cutLine(section)
		name, value, found := strings.Cut(line, ":")
		if !found {
			return nil, fmt.Errorf("field line %.40q has no colon", line)
		}
		key, err := fieldKey(name)
		if err != nil {
			return nil, err
		}
		if value, section, err = unfold(value, rest); err == nil {
			err = checkText(value)
		}
		if err != nil {
			return nil, fmt.Errorf("field %s: %w", key, err)
		}
		if old := h[key]; old != nil || len(values) == 0 {
			h[key] = append(old, value)
			continue
		}
		values[0] = value
		h[key], values = values[:1:1], values[1:] // a further value does not overwrite the next one
	}
	return h, nil
}

// fieldKey returns the canonical form of a field name, which is a token.
func fieldKey(name string) (string, error) {
	if !httpguts.ValidHeaderFieldName(name) {
		return "", fmt.Errorf("field name %.40q is not a token", name)
	}
	return http.CanonicalHeaderKey(name), nil
}

// unfold returns a value without the blanks around it, and the lines behind it. Folded lines
// are appended to the value behind a space each (RFC 9112 section 5.2).
func unfold(value, section string) (unfolded, rest string, err error) {
	value = strings.Trim(value, " \t")
	if !startsWithBlank(section) {
		return value, section, nil
	}
	parts := []string{value}
	for startsWithBlank(section) {
		var line string
		line, section = cutLine(section)
		text := strings.Trim(line, " \t")
		if text == "" {
			return "", "", errBlankLine
		}
		// The name of a field may have been damaged to begin with a blank.
		if name, _, found := strings.Cut(text, ":"); found && httpguts.ValidHeaderFieldName(strings.TrimRight(name, " \t")) {
			return "", "", errFoldedField
		}
		parts = append(parts, text)
	}
	return strings.TrimLeft(strings.Join(parts, " "), " "), section, nil
}

func startsWithBlank(s string) bool { return s != "" && (s[0] == ' ' || s[0] == '\t') }
