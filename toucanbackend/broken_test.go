package toucanbackend_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"toucanhaven/toucanbackend"
	"toucanhaven/toucancall"
	"toucanhaven/toucanresponse/toucanresponsetest"
)

const (
	callFields    = "X-Request-Id: x\r\nX-Response-Signature: s\r\n"
	refusalFields = "X-Request-Id: x\r\nX-Not-Executed: 1\r\n"
)

// respondingRunner returns a runner whose backend server answers each request with a
// response and closes the connection.
func respondingRunner(t *testing.T, response string) *toucanbackend.Runner {
	r, _ := rawServer(t, func(c *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			io.WriteString(c, response)
		}
	})
	return r
}

// A broken response must not be taken for an answer, nor for the promise that the call did
// not run.
func TestBrokenResponseIsNotAnswered(t *testing.T) {
	for _, c := range toucanresponsetest.Broken() {
		for name, response := range map[string]string{
			"success":     c.Response("200 OK", callFields, "ok"),
			"refusal":     c.Response("503 Busy", refusalFields, "no"),
			"misdirected": c.Response("421 Misdirected Request", callFields, "no"),
		} {
			t.Run(c.Name+"/"+name, func(t *testing.T) {
				is := is.New(t)
				r := respondingRunner(t, response)
				got := freshRun(r, newCall("x"))
				is.Equal(got.Outcome, toucancall.Unknown)
				is.Equal(len(got.Header), 0)
				is.Equal(r.Server().Instance, "i-1") // a broken 421 does not remove the server
			})
		}
	}
}

// A sound response must be passed on whole, in whichever of the allowed forms it comes.
func TestSoundResponseIsAnswered(t *testing.T) {
	for _, c := range toucanresponsetest.Sound() {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			got := freshRun(respondingRunner(t, c.Response("200 OK", callFields, "ok")), newCall("x"))
			is.Equal(got.Outcome, toucancall.Answered)
			is.Equal(string(got.Body), "ok")
			is.True(strings.Contains(strings.Join(got.Header, " ")+" ", "X-Response-Signature s "))
			if c.OwnStatus() {
				return
			}
			refused := freshRun(respondingRunner(t, c.Response("503 Busy", refusalFields, "no")), newCall("x"))
			is.Equal(refused.Outcome, toucancall.NotRun)
		})
	}
}
