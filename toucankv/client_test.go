package toucankv

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

type roundTripFunc func(*http.Request) (*http.Response, error)

func (t roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return t(r) }

// Guards against a session that ends before its TTL because the service bound it
// to its default health check, and against keys that stay locked after a session
// ends because of a lock delay.
func TestCreateSessionBindsNoHealthCheck(t *testing.T) {
	is := is.New(t)
	var sentBody string
	c := NewClient("127.0.0.1:1", WithTransport(roundTripFunc(func(r *http.Request) (*http.Response, error) {
		body, err := io.ReadAll(r.Body)
		sentBody = string(body)
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(`{"ID":"s"}`))}, err
	})))
	session, err := c.CreateSession(t.Context(), time.Hour, Delete)
	is.NoErr(err)
	is.Equal(session, "s")
	is.Equal(sentBody, `{"TTL":"1h0m0s","Behavior":"delete","LockDelay":"0s","Checks":[],"NodeChecks":[]}`)
}
