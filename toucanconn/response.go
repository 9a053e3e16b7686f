package toucanconn

import (
	"errors"
	"net/http"
	"regexp"
	"slices"
)

// ErrStatusLineInHeader is the error for a response of which ContainsStatusLine is true.
var ErrStatusLineInHeader = errors.New("status line within a response header")

// statusLine matches the start of a status line.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

// ContainsStatusLine reports whether a status line follows within the reason phrase or
// the header. The response is then the start of one that was cut off, with the rest of
// the next one.
func ContainsStatusLine(resp *http.Response) bool {
	if statusLine.MatchString(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}
