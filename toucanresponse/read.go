// Package toucanresponse reads HTTP/1 responses by the grammar of RFC 9110 and RFC 9112.
// Nothing in a response that violates it can be trusted: not its status, nor its length,
// nor that a request was not run.
package toucanresponse

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	// maxHeadBytes limits the status line and the header of a response: 64 KiB of a backend
	// server, and the fields that nodes add.
	maxHeadBytes = 80 << 10
	// expectedHeadBytes is the size up to which a head is read without an allocation.
	expectedHeadBytes = 1 << 10
)

// statusLine matches the start of a status line.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

var (
	errStatusLineInHead = errors.New("status line within the head")
	errEncodingInHTTP10 = errors.New("field Transfer-Encoding in HTTP/1.0")
	errTwoFramings      = errors.New("both fields Content-Length and Transfer-Encoding")
)

// Read reads the head of the next response to a request with the given method, which may be
// an interim response with a 1xx status. The result is that of http.ReadResponse, except that
// Header keeps Connection and has no field that was not received. Reading Body to io.EOF
// checks the rest of the response and sets Trailer.
func Read(r *bufio.Reader, method string) (resp *http.Response, err error) {
	defer func() {
		if err != nil {
			resp, err = nil, fmt.Errorf("read response: %w", err)
		}
	}()
	var buf [expectedHeadBytes]byte
	head, err := readSection(r, buf[:0], maxHeadBytes, "\n")
	if err != nil {
		return nil, err
	}
	line, fields := cutLine(head)
	resp = &http.Response{}
	if err := parseStatusLine(resp, line); err != nil {
		return nil, err
	}
	if resp.Header, err = parseFields(fields); err != nil {
		return nil, err
	}
	if err := setFraming(resp, r, method); err != nil {
		return nil, err
	}
	return resp, nil
}

// cutLine returns the first line of a section without its end, and the lines behind it.
func cutLine(section string) (line, rest string) {
	line, rest, _ = strings.Cut(section, "\n")
	return strings.TrimSuffix(line, "\r"), rest
}

// parseStatusLine parses a status line (RFC 9112 section 4). The space before an empty
// reason phrase may be missing, as many servers leave it out.
func parseStatusLine(resp *http.Response, line string) error {
	version, rest, _ := strings.Cut(line, " ")
	if len(version) != len("HTTP/1.1") || !strings.HasPrefix(version, "HTTP/1.") || !isDigit(version[7]) {
		return fmt.Errorf("status line %.40q does not start with a version of HTTP/1", line)
	}
	code, reason, _ := strings.Cut(rest, " ")
	// RFC 9110 section 15: values outside of the range 100 to 599 are invalid.
	if len(code) != 3 || code[0] < '1' || code[0] > '5' || !isDigit(code[1]) || !isDigit(code[2]) {
		return fmt.Errorf("status line %.40q does not have a status from 100 to 599", line)
	}
	if err := checkText(reason); err != nil {
		return fmt.Errorf("reason phrase: %w", err)
	}
	resp.Proto, resp.ProtoMajor, resp.ProtoMinor = version, 1, int(version[7]-'0')
	resp.Status, resp.StatusCode = rest, 100*int(code[0]-'0')+10*int(code[1]-'0')+int(code[2]-'0')
	return nil
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// checkText checks a field value or a reason phrase. A status line within it shows that the
// head is the start of a response that was cut off, with the rest of the next one.
func checkText(s string) error {
	if !httpguts.ValidHeaderFieldValue(s) {
		return fmt.Errorf("control character in %.40q", s)
	}
	if strings.Contains(s, "HTTP/1.") && statusLine.MatchString(s) {
		return errStatusLineInHead
	}
	return nil
}

// setFraming sets the body and its length (RFC 9112 section 6.3).
func setFraming(resp *http.Response, r *bufio.Reader, method string) error {
	if err := setEncoding(resp); err != nil {
		return err
	}
	length, err := contentLength(resp.Header)
	if err != nil {
		return err
	}
	chunked := len(resp.TransferEncoding) > 0
	if chunked && length >= 0 {
		return errTwoFramings
	}
	connection := resp.Header["Connection"]
	resp.Close = httpguts.HeaderValuesContainsToken(connection, "close") ||
		resp.ProtoMinor == 0 && !httpguts.HeaderValuesContainsToken(connection, "keep-alive")
	if resp.Trailer, err = announcedTrailer(resp.Header, chunked); err != nil {
		return err
	}
	resp.ContentLength, resp.Body = length, http.NoBody
	switch {
	case method == http.MethodHead:
	case resp.StatusCode < 200, resp.StatusCode == http.StatusNoContent, resp.StatusCode == http.StatusNotModified:
		resp.ContentLength = 0
	case chunked:
		resp.Body = &chunkedBody{r: r, resp: resp}
	case length > 0:
		resp.Body = &lengthBody{r: r, left: length}
	case length < 0:
		resp.Close, resp.Body = true, untilClose{r}
	}
	return nil
}

// setEncoding moves Transfer-Encoding from the header to its own field. chunked is the only
// encoding that may be sent to a client that asks for none.
func setEncoding(resp *http.Response) error {
	values, present := resp.Header["Transfer-Encoding"]
	switch {
	case !present:
		return nil
	case resp.ProtoMinor == 0:
		return errEncodingInHTTP10
	case len(values) > 1 || !strings.EqualFold(values[0], "chunked"):
		return fmt.Errorf("field Transfer-Encoding is %.40q, want chunked", values)
	}
	delete(resp.Header, "Transfer-Encoding")
	resp.TransferEncoding = []string{"chunked"}
	return nil
}

// contentLength returns the value of Content-Length, or -1 if there is none. A repeated
// field must have the same value each time, of which one is kept.
func contentLength(h http.Header) (int64, error) {
	values := h["Content-Length"]
	if len(values) == 0 {
		return -1, nil
	}
	for _, v := range values[1:] {
		if v != values[0] {
			return 0, fmt.Errorf("field Content-Length has the values %.40q", values)
		}
	}
	length, err := strconv.ParseUint(values[0], 10, 63)
	if err != nil {
		return 0, fmt.Errorf("field Content-Length is %.40q, want a number", values[0])
	}
	if len(values) > 1 {
		h["Content-Length"] = values[:1]
	}
	return int64(length), nil
}

// announcedTrailer moves the Trailer field of a chunked response from the header to a header
// with the names of the trailer fields, and without their values.
func announcedTrailer(h http.Header, chunked bool) (http.Header, error) {
	values := h["Trailer"]
	if !chunked || len(values) == 0 {
		return nil, nil
	}
	delete(h, "Trailer")
	trailer := make(http.Header)
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			name = strings.Trim(name, " \t")
			if name == "" {
				continue
			}
			key, err := fieldKey(name)
			if err != nil {
				return nil, err
			}
			switch key {
			case "Content-Length", "Trailer", "Transfer-Encoding":
				return nil, fmt.Errorf("field Trailer announces %s", key)
			}
			trailer[key] = nil
		}
	}
	return trailer, nil
}
