package toucancaller

import (
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
