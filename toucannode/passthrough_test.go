package toucannode

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclass"
)

// TestHeadersPassThrough checks that hop-by-hop fields are removed at each hop,
// that all other fields arrive unchanged, and that a caller cannot set fields
// that only nodes may set.
func TestHeadersPassThrough(t *testing.T) {
	for _, hops := range []int{1, 2} {
		t.Run(fmt.Sprint(hops), func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(t)
			var got *http.Request
			node := f.startNode("ordini", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				got = r
				h := w.Header()
				h["X-Brand"] = []string{"Porte 1", "Porte 2"}
				h["Connection"] = []string{"X-Own"}
				h["X-Own"] = []string{"1"}
				h["Keep-Alive"] = []string{"timeout=5"}
				h["Toucan-Reason"] = []string{"overload"}
				h["Content-Type"] = nil
				io.WriteString(w, "<html>")
			}))
			entry := node
			if hops == 2 {
				entry = f.startNode("", nil)
			}
			c, err := net.Dial("tcp", entry.Addresses().Caller)
			is.NoErr(err)
			defer c.Close()
			io.WriteString(c, "POST /a%2Fb//c/../d?x=%20;y HTTP/1.1\r\nHost: shop.example\r\nToucan-Service: ordini\r\n"+
				"X-Old-Brand: M\xf6bel\r\nX-Twice: 1\r\nX-Twice: 2\r\nCookie: a=b\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n"+
				"Keep-Alive: 1\r\nProxy-Authorization: x\r\nUpgrade: h2c\r\nToucan-Rank: 0\r\nToucan-Level: 0\r\n"+
				"Toucan-Class: top\r\nToucan-Retries: 99\r\nToucan-Depth: 3\r\nContent-Length: 3\r\n\r\ncup")
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(body), "<html>")
			is.Equal(got.RequestURI, "/a%2Fb//c/../d?x=%20;y")
			is.Equal(got.Host, "shop.example")
			is.Equal(got.Header["X-Twice"], []string{"1", "2"})
			is.Equal(got.Header.Get("X-Old-Brand"), "M\xf6bel")
			is.Equal(got.Header.Get("Cookie"), "a=b")
			is.Equal(got.Header.Get("Te"), "trailers")
			is.Equal(got.ContentLength, int64(3))
			for _, field := range []string{"X-Hop", "Keep-Alive", "Proxy-Authorization", "Upgrade", "Toucan-Rank",
				"Toucan-Level", "Toucan-Class", "Toucan-Retries", "Toucan-Depth", "Accept-Encoding", "User-Agent"} {
				is.Equal(got.Header.Values(field), nil) // field that must end at the hop
			}
			is.True(got.Header.Get(toucancall.HeaderParent) != "")
			is.True(got.Header.Get(toucancall.HeaderRequestID) != "")
			is.True(got.Header.Get(toucancall.HeaderTimeout) != "")

			is.Equal(resp.Header["X-Brand"], []string{"Porte 1", "Porte 2"})
			is.Equal(resp.Header.Get(toucancall.HeaderReason), "")
			for _, field := range []string{"X-Own", "Keep-Alive", "Content-Type", toucancall.HeaderThreshold, toucancall.HeaderRetriesLeft} {
				is.Equal(resp.Header.Values(field), nil) // field that must not reach the caller
			}
		})
	}
}

// TestBodiesPassThrough checks that bodies of every size and framing arrive
// complete in both directions, with their trailers.
func TestBodiesPassThrough(t *testing.T) {
	f := newTestFleet(t)
	f.classFiles.Set(toucanclass.File{Service: "ordini"})
	f.startNode("ordini", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Trailer", "X-Sum")
		if r.URL.Path == "/plain" {
			w.Header().Del("Trailer")
		}
		sum := sha256.New()
		http.NewResponseController(w).EnableFullDuplex()
		io.Copy(w, io.TeeReader(r.Body, sum))
		if r.URL.Path != "/plain" {
			w.Header().Set("X-Sum", fmt.Sprintf("%x", sum.Sum(nil)))
			w.Header().Set("X-Request-Trailer", r.Trailer.Get("X-End"))
		}
	}))
	entry := f.startNode("", nil)
	random := rand.New(rand.NewPCG(1, 2))
	for _, size := range []int{0, 1, maxBufferedBodyBytes - 1, maxBufferedBodyBytes, maxBufferedBodyBytes + 1, maxBufferedAnswerBytes, maxBufferedAnswerBytes + 1, 3 << 20} {
		for _, path := range []string{"/plain", "/trailer"} {
			for _, framing := range []string{"length", "chunked"} {
				t.Run(fmt.Sprintf("%d%s/%s", size, path, framing), func(t *testing.T) {
					is := is.New(t)
					body := make([]byte, size)
					for i := range body {
						body[i] = byte(random.Uint32())
					}
					req, err := http.NewRequest("POST", "http://"+entry.Addresses().Caller+path, bytes.NewReader(body))
					is.NoErr(err)
					req.Header.Set(toucancall.HeaderService, "ordini")
					if framing == "chunked" {
						req.Body, req.ContentLength = io.NopCloser(io.MultiReader(bytes.NewReader(body))), -1
						req.Trailer = http.Header{"X-End": {"end"}}
					}
					resp, err := http.DefaultTransport.RoundTrip(req)
					is.NoErr(err)
					defer resp.Body.Close()
					got, err := io.ReadAll(resp.Body)
					is.NoErr(err)
					is.Equal(outcome(resp), "answered")
					is.True(bytes.Equal(got, body))
					if path == "/trailer" {
						is.Equal(resp.Trailer.Get("X-Sum"), fmt.Sprintf("%x", sha256.Sum256(body)))
					}
				})
			}
		}
	}
	is := is.New(t)
	is.Equal(len(f.log.lines("request_run")), 32)
}

// TestSpecialAnswers checks answers without a body, interim answers and request
// trailers, each of which has a framing of its own.
func TestSpecialAnswers(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	trailer := ""
	f.startNode("ordini", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		trailer = r.Trailer.Get("X-End")
		switch r.URL.Path {
		case "/head":
			w.Header().Set("Content-Length", "5000")
		case "/204", "/304":
			var status int
			fmt.Sscanf(r.URL.Path, "/%d", &status)
			w.Header().Set("Etag", `"1"`)
			w.WriteHeader(status)
		case "/hints":
			w.Header().Set("Link", "</a.css>")
			w.WriteHeader(http.StatusEarlyHints)
			w.Header().Del("Link")
		case "/early":
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	}))
	entry := f.startNode("", nil)
	resp, body := f.do(entry, "HEAD", "/head", nil)
	is.Equal(resp.ContentLength, int64(5000))
	is.Equal(body, "")
	for _, status := range []int{204, 304} {
		resp, body = f.do(entry, "GET", fmt.Sprintf("/%d", status), nil)
		is.Equal(resp.StatusCode, status)
		is.Equal(resp.Header.Get("Etag"), `"1"`)
		is.Equal(body, "")
	}

	hints := 0
	trace := &httptrace.ClientTrace{Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
		if code == http.StatusEarlyHints && h.Get("Link") == "</a.css>" {
			hints++
		}
		return nil
	}}
	req := httptest.NewRequest("GET", "http://"+entry.Addresses().Caller+"/hints", nil)
	req.RequestURI = ""
	req.Header.Set(toucancall.HeaderService, "ordini")
	resp, err := http.DefaultTransport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(hints, 1)
	is.Equal(resp.Header.Get("Link"), "")

	req = httptest.NewRequest("POST", "http://"+entry.Addresses().Caller+"/x", strings.NewReader("cup"))
	req.RequestURI, req.ContentLength = "", -1
	req.Trailer = http.Header{"X-End": {"end"}}
	req.Header.Set(toucancall.HeaderService, "ordini")
	resp, err = http.DefaultTransport.RoundTrip(req)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(trailer, "end")
}

// TestAnswerBeforeEndOfBody checks that an answer which comes before the end of
// the request body reaches the caller, and that the first piece of a slow
// answer is forwarded without waiting for the second.
func TestAnswerBeforeEndOfBody(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	next := make(chan struct{})
	f.startNode("ordini", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/early" {
			http.NewResponseController(w).EnableFullDuplex()
			w.WriteHeader(http.StatusForbidden)
			io.WriteString(w, "no")
			return
		}
		io.WriteString(w, "first")
		http.NewResponseController(w).Flush()
		<-next
		io.WriteString(w, "second")
	}))
	entry := f.startNode("", nil)

	endless, stop := io.Pipe()
	go func() {
		for {
			if _, err := stop.Write(make([]byte, 4096)); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	req, err := http.NewRequest("POST", "http://"+entry.Addresses().Caller+"/early", endless)
	is.NoErr(err)
	req.Header.Set(toucancall.HeaderService, "ordini")
	resp, err := http.DefaultTransport.RoundTrip(req)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusForbidden)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "no")
	endless.Close()

	req, err = http.NewRequest("GET", "http://"+entry.Addresses().Caller+"/slow", nil)
	is.NoErr(err)
	req.Header.Set(toucancall.HeaderService, "ordini")
	resp, err = http.DefaultTransport.RoundTrip(req)
	is.NoErr(err)
	defer resp.Body.Close()
	first := make([]byte, 5)
	_, err = io.ReadFull(resp.Body, first)
	is.NoErr(err)
	is.Equal(string(first), "first")
	close(next)
	rest, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(rest), "second")
}
