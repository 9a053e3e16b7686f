package toucanserve

import (
	"net/http"
	"strconv"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanmemory"
)

// Response is a complete response. NewResponse and NewRefusal create it.
type Response struct {
	status int
	header http.Header // end-to-end fields; the server sets Content-Length and Connection
	body   []byte
	// counted is the part of its memory that others count too; nil for none.
	counted *toucanmemory.Holding
}

// WithHolding returns a copy of the response whose memory is counted by h as far as it goes. The
// server releases h once the response has been written.
func (r *Response) WithHolding(h *toucanmemory.Holding) *Response {
	if h == nil {
		return r
	}
	c := *r
	c.counted = h
	return &c
}

// NewResponse returns a response with the end-to-end fields of header. A status that
// promises that the request did not run needs a proof, so NewResponse replaces such a
// response by an empty one with status 502; see NewRefusal.
func NewResponse(status int, header http.Header, body []byte) *Response {
	if toucancall.PromisesNotRun(status) {
		return &Response{status: http.StatusBadGateway}
	}
	return &Response{status: status, header: header, body: body}
}

// NewRefusal returns an empty response that promises that the request did not run and
// will not. Its Retry-After field has a resolution of a millisecond; a retryAfter of 0
// leaves it out. Without a valid proof the status is 502.
func NewRefusal(status int, proof toucancall.NotRunProof, retryAfter time.Duration) *Response {
	if !proof.Valid() {
		return &Response{status: http.StatusBadGateway}
	}
	resp := &Response{status: status}
	if retryAfter > 0 {
		resp.header = http.Header{"Retry-After": {strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)}}
	}
	return resp
}

// Memory returns the bytes of memory that the response counts as.
func (r *Response) Memory() int64 { return int64(len(r.body)) + r.headerCost() }

// headerCost returns the bytes of memory that the header counts as.
func (r *Response) headerCost() int64 {
	fields, bytes := 0, 0
	for key, values := range r.header {
		for _, v := range values {
			fields++
			bytes += len(key) + len(v)
		}
	}
	return toucanmemory.HeaderCost(fields, bytes)
}

// Status returns the HTTP status.
func (r *Response) Status() int { return r.status }
