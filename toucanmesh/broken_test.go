package toucanmesh_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"toucanhaven/toucanresponse/toucanresponsetest"
)

// A broken response of a backend server must end in status 502 at the caller, with none of its
// fields and none of its body, whether its node is the caller's own or another one. The request
// must not run again on the word of a broken refusal.
func TestBrokenResponse(t *testing.T) {
	s := newDeployment(t, unsafeRoute())
	home := s.startNode("a", "orders")
	entry := s.startNode("b", "stock")
	home.awaitServed("/order/")
	entry.awaitServed("/order/")
	for _, node := range []*testNode{home, entry} {
		for _, tt := range []struct{ status, field string }{{"200 OK", ""}, {"503 Busy", "X-Not-Executed: 1\r\n"}} {
			for _, c := range toucanresponsetest.Broken() {
				id := strings.Join([]string{c.Name, tt.status[:3], node.settings.Node}, "/")
				t.Run(id, func(t *testing.T) {
					is := is.New(t)
					home.backend.SetAnswer(func(w io.Writer, r *http.Request) {
						io.WriteString(w, c.Response(tt.status, responseFields(r)+tt.field+"Connection: close\r\n", "ok"))
					})
					got := node.send("POST", "/order/1", id)
					is.NoErr(got.err)
					is.Equal(got.status, 502)
					is.Equal(got.body, "")
					is.Equal(got.header.Get("X-Response-Signature"), "")
					is.Equal(home.backend.Runs(id), 1)
				})
			}
		}
	}
}

// responseFields returns the fields of a successful response to a request.
func responseFields(r *http.Request) string {
	return "X-Request-Id: " + r.Header.Get("X-Request-Id") + "\r\nX-Response-Signature: s\r\n"
}

// A sound response must reach the caller, in whichever of the allowed forms it comes.
func TestSoundResponse(t *testing.T) {
	s := newDeployment(t, unsafeRoute())
	home := s.startNode("a", "orders")
	home.awaitServed("/order/")
	for _, c := range toucanresponsetest.Sound() {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			home.backend.SetAnswer(func(w io.Writer, r *http.Request) {
				io.WriteString(w, c.Response("200 OK", responseFields(r), "ok"))
			})
			got := home.send("POST", "/order/1", c.Name)
			is.NoErr(got.err)
			is.True(got.status != 502 && got.status != 504)
			is.Equal(got.body, "ok")
			is.Equal(got.header.Get("X-Response-Signature"), "s")
		})
	}
}
