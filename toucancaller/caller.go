// Package toucancaller calls services through toucanhaven nodes. It reports what is
// known about whether each request ran, bounds the retries and sends at-most-once
// requests with an idempotency key issued by a node.
package toucancaller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanmemory"
	"toucanhaven/toucanresponse"
)

// Defaults of a Client.
const (
	// DefaultKeys is how many issued keys a Client requests at a time.
	DefaultKeys = 10
	// DefaultMaxAnswerBytes bounds the body of a response that is read into memory.
	DefaultMaxAnswerBytes = 64 << 20
	// DefaultAnswerMemory bounds the bodies of all responses of a Client that are being read.
	DefaultAnswerMemory = 256 << 20

	// maxAnswerHeaderBytes bounds the header of a response. Nodes pass on as much of a backend
	// server's and add a few fields.
	maxAnswerHeaderBytes = 80 << 10

	defaultMeanBackoff = 20 * time.Millisecond
	maxMeanBackoff     = 2 * time.Second
	// maxIdleConnsPerEntry bounds the idle connections to an entry. It is large enough
	// to keep connections open between bursts, because a new one takes about 1 ms.
	maxIdleConnsPerEntry = 256
)

// Request is one request to a service.
type Request struct {
	Service string
	Method  string // GET if empty
	Path    string // with the query
	Header  http.Header
	Body    []byte
	Tenant  string // the Client's tenant if empty
	// Timeout bounds the whole request including its retries. The deadline of the
	// context applies too. Zero means toucancall.DefaultTimeout.
	Timeout time.Duration
	// RequestID is the same for all attempts of a request. If it is empty, Do
	// generates a random one.
	RequestID string
	// AtMostOnce makes Do send the request with an issued key. If no entry issues
	// one, the request is sent without a key and is retried only when it is known
	// not to have run.
	AtMostOnce bool
	// IdempotencyKey is a key chosen by the caller, which is used instead of an issued
	// one. The nodes can serve a request with such a key only while the KV is
	// reachable. In an at-most-once class, the key prevents a second run for 10 minutes
	// after its first use; in another class it does not.
	IdempotencyKey string
	// NewKey says that IdempotencyKey has not been used before, in this process or
	// another. Only then is a request that no entry forwarded Refused; otherwise it
	// is Unknown.
	NewKey bool
}

// Option changes a default of a Client.
type Option func(*Client)

// WithTenant sets the tenant of requests whose Tenant is empty.
func WithTenant(tenant string) Option { return func(c *Client) { c.tenant = tenant } }

// WithRetries sets the maximum number of retries per request, at most
// toucancall.MaxRetries.
func WithRetries(n int) Option {
	return func(c *Client) { c.maxRetries = max(0, min(n, toucancall.MaxRetries)) }
}

// WithBackoff sets the mean delay before the first retry. The mean delay doubles with
// each further retry.
func WithBackoff(d time.Duration) Option { return func(c *Client) { c.meanBackoff = max(0, d) } }

// WithKeys sets how many issued keys are fetched at a time.
func WithKeys(n int) Option { return func(c *Client) { c.keysPerFetch = max(1, n) } }

// WithMaxAnswerBytes bounds the body of a response in bytes. A request with a larger
// response is Failed.
func WithMaxAnswerBytes(n int64) Option { return func(c *Client) { c.maxAnswerBytes = n } }

// WithAnswerMemory bounds, in bytes, the bodies of all responses that are being read at a
// time; the first 64 KiB of each do not count. A request whose response does not fit is
// Failed.
func WithAnswerMemory(n int64) Option {
	return func(c *Client) { c.answers = toucanmemory.NewBudget(max(1, n)) }
}

// WithRand sets the random source for delays, request ids and the choice of the first
// entry.
func WithRand(r *rand.Rand) Option { return func(c *Client) { c.rand = r } }

// Client calls services through a set of entry nodes. It is safe for concurrent use.
type Client struct {
	entries        []string
	http           *http.Client
	tenant         string
	maxRetries     int
	meanBackoff    time.Duration
	keysPerFetch   int
	maxAnswerBytes int64
	answers        *toucanmemory.Budget // responses that are being read

	mu         sync.Mutex
	rand       *rand.Rand
	entryIndex int // index in entries of the entry to send the next attempt to first
	keyPools   map[string]*keyPool
}

// New returns a client that sends requests to the given entries, which are the caller
// addresses of nodes in the form host:port.
func New(entries []string, options ...Option) (*Client, error) {
	if len(entries) == 0 {
		return nil, errors.New("toucancaller: want at least one entry address")
	}
	for _, entry := range entries {
		if _, _, err := net.SplitHostPort(entry); err != nil {
			return nil, fmt.Errorf("toucancaller: entry address: %w", err)
		}
	}
	c := &Client{
		entries: append([]string(nil), entries...), maxRetries: toucancall.MaxRetries, meanBackoff: defaultMeanBackoff,
		keysPerFetch: DefaultKeys, maxAnswerBytes: DefaultMaxAnswerBytes, answers: toucanmemory.NewBudget(DefaultAnswerMemory), keyPools: make(map[string]*keyPool),
		rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		http: &http.Client{
			// The transport must not decompress responses: the caller gets them
			// unchanged.
			Transport: toucanresponse.Checked(&http.Transport{
				DisableCompression: true, MaxIdleConnsPerHost: maxIdleConnsPerEntry, MaxResponseHeaderBytes: maxAnswerHeaderBytes,
			}),
			// A redirect is a response of the backend server. Following it would
			// send a second request.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	for _, option := range options {
		option(c)
	}
	c.entryIndex = c.rand.IntN(len(c.entries))
	return c, nil
}

// CloseIdle closes the idle connections to the entries.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// Do sends a request and returns its result. It retries the request where that is
// safe, within the maximum number of retries and before the deadline. It returns an
// error only if the request is malformed; the request was not sent then.
func (c *Client) Do(ctx context.Context, r Request) (a Answer, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("toucancaller: request of %q: %w", r.Service, err)
		}
	}()
	if r, err = c.completeRequest(r); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	e := &exchange{client: c, request: r}
	return e.run(ctx), nil
}

// completeRequest sets the defaults and returns an error if the request is one that
// every entry would refuse as malformed.
func (c *Client) completeRequest(r Request) (Request, error) {
	if r.Method == "" {
		r.Method = http.MethodGet
	}
	if r.Tenant == "" {
		r.Tenant = c.tenant
	}
	if r.Timeout <= 0 {
		r.Timeout = toucancall.DefaultTimeout
	}
	if r.RequestID == "" {
		c.mu.Lock()
		r.RequestID = fmt.Sprintf("%016x%016x", c.rand.Uint64(), c.rand.Uint64())
		c.mu.Unlock()
	}
	if r.Path == "" || r.Path[0] != '/' {
		return r, errors.New("path: want a leading slash")
	}
	if _, err := http.NewRequest(r.Method, "http://entry"+r.Path, nil); err != nil {
		return r, err
	}
	h := http.Header{}
	setMetadata(h, r, r.IdempotencyKey, r.Timeout)
	_, err := toucancall.FromCaller(h, time.Now())
	return r, err
}

// idempotentWithoutKey reports whether the request has no key and a method that makes
// it safe to run twice.
func (r Request) idempotentWithoutKey() bool {
	keyed := r.AtMostOnce || r.IdempotencyKey != ""
	return !keyed && (r.Method == http.MethodGet || r.Method == http.MethodHead)
}
