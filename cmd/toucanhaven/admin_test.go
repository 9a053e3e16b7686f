package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"toucanhaven/toucanresponse/toucanresponsetest"
)

// callRespondingNode makes a change at a node that answers with a response and closes the
// connection, and returns the exit status.
func callRespondingNode(t *testing.T, response string) int {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		io.WriteString(conn, response)
		conn.Close()
	}))
	defer server.Close()
	a := &adminFlags{address: server.Listener.Addr().String()}
	var reply documentReply
	return a.callNode(http.MethodPost, "/config/ordini", struct{}{}, &reply)
}

// A broken response must leave the result of a change unknown.
func TestBrokenAdminResponse(t *testing.T) {
	for _, c := range toucanresponsetest.Broken() {
		for _, status := range []string{"200 OK", "400 Bad Request"} {
			if got := callRespondingNode(t, c.Response(status, "", "{}")); got != exitUnknown {
				t.Errorf("%s/%s: exit status %d, want %d", c.Name, status, got, exitUnknown)
			}
		}
	}
}

// A sound response must be taken, in whichever of the allowed forms it comes.
func TestSoundAdminResponse(t *testing.T) {
	for _, c := range toucanresponsetest.Sound() {
		if c.OwnStatus() {
			continue
		}
		for status, want := range map[string]int{"200 OK": exitOK, "400 Bad Request": exitFailure} {
			if got := callRespondingNode(t, c.Response(status, "", "{}")); got != want {
				t.Errorf("%s/%s: exit status %d, want %d", c.Name, status, got, want)
			}
		}
	}
}
