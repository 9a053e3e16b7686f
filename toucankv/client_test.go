package toucankv

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

type transport func(*http.Request) (*http.Response, error)

func (t transport) RoundTrip(r *http.Request) (*http.Response, error) { return t(r) }

// Guards against a session that ends before its TTL, because the service bound
// it to its default health check or kept its keys locked after it ended.
func TestSessionIsBoundToNoCheck(t *testing.T) {
	is := is.New(t)
	var sent string
	c := NewClient("127.0.0.1:1", WithTransport(transport(func(r *http.Request) (*http.Response, error) {
		body, err := io.ReadAll(r.Body)
		sent = string(body)
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(`{"ID":"s"}`))}, err
	})))
	session, err := c.CreateSession(t.Context(), time.Hour, Delete)
	is.NoErr(err)
	is.Equal(session, "s")
	is.Equal(sent, `{"TTL":"1h0m0s","Behavior":"delete","LockDelay":"0s","Checks":[],"NodeChecks":[]}`)
}
