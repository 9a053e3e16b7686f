package toucancaller

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"toucanhaven/toucancall"
	"toucanhaven/toucanresponse/toucanresponsetest"
)

// A broken response must be neither an answer nor a refusal.
func TestBrokenResponse(t *testing.T) {
	const refusal = "Toucan-Outcome: not_run\r\nToucan-Reason: overload\r\n"
	for _, c := range toucanresponsetest.Broken() {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			n := startTestNode(nil, respondRaw(c.Response("200 OK", "Toucan-Outcome: answered\r\n", "ok")), respondRaw(c.Response("503 Busy", refusal, "no")))
			defer n.Close()
			for _, status := range []string{"200", "503"} {
				a, err := newTestClient(t, 0, n).Do(t.Context(), unkeyedOrder)
				is.NoErr(err)
				switch a.(type) {
				case Unknown, Failed:
				default:
					t.Errorf("status %s: got %#v", status, a)
				}
			}
		})
	}
}

// A sound response must be answered with its body, in whichever of the allowed forms it comes.
func TestSoundResponse(t *testing.T) {
	for _, c := range toucanresponsetest.Sound() {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			n := startTestNode(nil, respondRaw(c.Response("200 OK", "Toucan-Outcome: answered\r\n", "ok")),
				respondRaw(c.Response("503 Busy", "Toucan-Outcome: not_run\r\nToucan-Reason: overload\r\n", "no")))
			defer n.Close()
			a, err := newTestClient(t, 0, n).Do(t.Context(), unkeyedOrder)
			is.NoErr(err)
			answered, ok := a.(Answered)
			is.True(ok)
			is.Equal(string(answered.Body), "ok")
			a, err = newTestClient(t, 0, n).Do(t.Context(), unkeyedOrder)
			is.NoErr(err)
			is.Equal(a, Refused{Reason: toucancall.ReasonOverload})
		})
	}
}

// No keys must be taken from a response that breaks off behind them.
func TestKeysOfCutResponse(t *testing.T) {
	is := is.New(t)
	body, err := json.Marshal(keysAnswer{Keys: []string{newTestHome().Issue(1)[0].String()}})
	is.NoErr(err)
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	for response, want := range map[string]int{whole: 1, strings.TrimSuffix(whole, "0\r\n\r\n"): 0, strings.Replace(whole, "200 OK", "200 OK\r\nX A: v", 1): 0} {
		server := httptest.NewServer(respondRaw(response))
		defer server.Close()
		client, err := New([]string{server.Listener.Addr().String()})
		is.NoErr(err)
		keys, err := client.fetchKeys(t.Context(), server.Listener.Addr().String(), "ordini")
		is.Equal(len(keys), want)
		is.Equal(err == nil, want > 0)
	}
}
