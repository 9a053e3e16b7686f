package toucankv

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"toucanhaven/toucanmemory"
	"toucanhaven/toucanresponse"
)

const (
	// defaultTimeout is the timeout of one request; a watch adds its wait. A
	// healthy service answers in milliseconds; callers that need a shorter timeout
	// pass a context.
	defaultTimeout = 5 * time.Second
	// maxListBytes and maxListEntries limit a list, maxPairBytes the response to a read of one
	// key, whose value is encoded in base64, and maxReplyBytes the response to a write.
	// maxHeaderBytes limits each header.
	maxListBytes   = 16 << 20
	maxListEntries = 100_000
	maxPairBytes   = 2 << 20
	maxReplyBytes  = 64 << 10
	maxHeaderBytes = 64 << 10
	// watchJitterDivisor gives the longest extension of a blocking query: the protocol
	// lets the server add up to wait/watchJitterDivisor to the wait.
	watchJitterDivisor = 16
)

// Client is a Store that uses Consul's KV HTTP protocol.
type Client struct {
	baseURL    string
	httpClient *http.Client
	timeout    time.Duration
}

var _ Store = (*Client)(nil)

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the timeout of each request; a watch adds its wait.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithTransport replaces the HTTP transport, for tests.
func WithTransport(t http.RoundTripper) Option { return func(c *Client) { c.httpClient.Transport = t } }

// NewClient returns a client of the key-value service at address, which is
// host:port.
func NewClient(address string, options ...Option) *Client {
	c := &Client{
		baseURL: "http://" + address,
		timeout: defaultTimeout,
		httpClient: &http.Client{
			Transport: toucanresponse.Checked(&http.Transport{
				MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeaderBytes,
			}),
			// Do not follow redirects: the result of a redirected write would be unknown.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Get implements Store. It requests a consistent read, which returns every write
// acknowledged before.
func (c *Client) Get(ctx context.Context, key string) (Pair, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	pairs, _, err := c.readPairs(ctx, "get", key, "consistent", 1, maxPairBytes)
	if err != nil {
		return Pair{}, err
	}
	if len(pairs) == 0 {
		return Pair{}, &NotFoundError{Key: key}
	}
	return pairs[0], nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Pair, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	pairs, _, err := c.readPairs(ctx, "list", prefix, "recurse&consistent", maxListEntries, maxListBytes)
	return pairs, err
}

// Keys implements Store.
func (c *Client) Keys(ctx context.Context, prefix string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	keys, _, err := readList[string](ctx, c, "keys", prefix, "keys&consistent", maxListEntries, maxListBytes)
	return keys, err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait+wait/watchJitterDivisor)
	defer cancel()
	query := fmt.Sprintf("index=%d&wait=%dms", index, wait.Milliseconds())
	pairs, nextIndex, err := c.readPairs(ctx, "watch", key, query, 1, maxPairBytes)
	if err != nil {
		return Snapshot{}, err
	}
	// The index may decrease when the service is restored from a backup. A watch at
	// the old index would then miss changes, so start over from index 0.
	if nextIndex < index {
		nextIndex = 0
	}
	if len(pairs) == 0 {
		return Snapshot{Index: nextIndex}, nil
	}
	return Snapshot{Pair: pairs[0], Exists: true, Index: nextIndex}, nil
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) error {
	return c.putKey(ctx, "compare-and-swap", key, "cas="+strconv.FormatUint(index, 10), value, "")
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, key string, value []byte) error {
	return c.putKey(ctx, "create", key, "cas=0", value, "")
}

// Acquire implements Store.
func (c *Client) Acquire(ctx context.Context, key string, value []byte, session string) error {
	return c.putKey(ctx, "acquire", key, "acquire="+url.QueryEscape(session), value, session)
}

// CreateSession implements Store.
func (c *Client) CreateSession(ctx context.Context, ttl time.Duration, behaviour Behaviour) (session string, err error) {
	// Empty lists of checks prevent the service from binding the session to its
	// default health check, which could end the session before its TTL.
	noChecks := []string{}
	body, err := json.Marshal(sessionRequest{
		TTL: ttl.String(), Behavior: string(behaviour), LockDelay: "0s", Checks: noChecks, NodeChecks: noChecks,
	})
	if err != nil {
		return "", err
	}
	reply, err := c.put(ctx, "create session", "", "/v1/session/create", body, "")
	if err != nil {
		return "", err
	}
	var created sessionReply
	if err := json.Unmarshal(reply, &created); err != nil || created.ID == "" {
		return "", &UnknownResultError{Op: "create session", Err: fmt.Errorf("unreadable reply %.64q", reply)}
	}
	return created.ID, nil
}

// RenewSession implements Store.
func (c *Client) RenewSession(ctx context.Context, session string) error {
	_, err := c.put(ctx, "renew session", "", "/v1/session/renew/"+url.PathEscape(session), nil, session)
	return err
}

// putKey sends a conditional write. If the service refuses it, putKey reads the
// key to report the current pair.
func (c *Client) putKey(ctx context.Context, op, key, query string, value []byte, session string) error {
	if len(value) > MaxValueBytes {
		return &RejectedError{Op: op, Key: key, Reason: fmt.Sprintf("%d bytes, at most %d allowed", len(value), MaxValueBytes)}
	}
	reply, err := c.put(ctx, op, key, "/v1/kv/"+escapeKey(key)+"?"+query, value, session)
	if err != nil {
		return err
	}
	switch strings.TrimSpace(string(reply)) {
	case "true":
		return nil
	case "false":
		current, _ := c.Get(ctx, key) // the index is 0 when the read fails
		return &ConflictError{Key: key, Current: current}
	}
	return &UnknownResultError{Op: op, Key: key, Err: fmt.Errorf("unreadable reply %.64q", reply)}
}

// put sends a PUT request and returns the response body. Only a status that the
// service sends before it processes a request means that the write was refused.
// After any other failure the result is unknown if a connection was obtained.
func (c *Client) put(ctx context.Context, op, key, path string, body []byte, session string) (reply []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var gotConnection atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConnection.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, &RejectedError{Op: op, Key: key, Reason: err.Error()}
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		if gotConnection.Load() {
			return nil, &UnknownResultError{Op: op, Key: key, Err: err}
		}
		return nil, &UnavailableError{Op: op, Key: key, Err: err}
	}
	defer response.Body.Close()
	reply, err = toucanmemory.ReadLimited(response.Body, maxReplyBytes)
	if err != nil {
		return nil, &UnknownResultError{Op: op, Key: key, Err: err}
	}
	return reply, putError(op, key, session, response.StatusCode, reply)
}

// putError returns the error for the status of the response to a PUT request, or
// nil for status 200. session is empty for requests that use none.
func putError(op, key, session string, status int, reply []byte) error {
	statusErr := fmt.Errorf("status %d: %.128s", status, bytes.TrimSpace(reply))
	switch {
	case status == http.StatusOK:
		return nil
	case session != "" && (status == http.StatusNotFound || bytes.Contains(reply, []byte("invalid session"))):
		return &SessionError{Session: session}
	case status == http.StatusTooManyRequests:
		return &UnavailableError{Op: op, Key: key, Err: statusErr}
	case status >= 400 && status < 500:
		return &RejectedError{Op: op, Key: key, Reason: statusErr.Error()}
	}
	return &UnknownResultError{Op: op, Key: key, Err: statusErr}
}

// readPairs reads pairs and the index of the response.
func (c *Client) readPairs(ctx context.Context, op, key, query string, maxEntries int, maxBytes int64) ([]Pair, uint64, error) {
	wire, index, err := readList[wirePair](ctx, c, op, key, query, maxEntries, maxBytes)
	pairs := make([]Pair, len(wire))
	for i, w := range wire {
		pairs[i] = Pair{Key: w.Key, Value: w.Value, Index: w.ModifyIndex, Session: w.Session}
	}
	return pairs, index, err
}

// readList decodes the JSON array that answers a GET request, and returns the index of the
// response. The list is empty when the key or prefix does not exist.
func readList[T any](ctx context.Context, c *Client, op, key, query string, maxEntries int, maxBytes int64) (list []T, index uint64, err error) {
	defer func() {
		if err != nil {
			err = &UnavailableError{Op: op, Key: key, Err: err}
		}
	}()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+"/v1/kv/"+escapeKey(key)+"?"+query, nil)
	if err != nil {
		return nil, 0, err
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	body, err := toucanmemory.ReadLimited(response.Body, maxBytes)
	if err != nil {
		return nil, 0, err
	}
	index, _ = strconv.ParseUint(response.Header.Get("X-Consul-Index"), 10, 64)
	switch response.StatusCode {
	case http.StatusNotFound:
		// For a missing key the service sends an empty body and an index. Any other
		// 404 comes from something that is not the key-value service.
		if len(bytes.TrimSpace(body)) != 0 || index == 0 {
			return nil, 0, errors.New("status 404 that is not of the KV protocol")
		}
		return nil, index, nil
	case http.StatusOK:
		list, err := toucanmemory.DecodeList[T](body, maxEntries)
		return list, index, err
	}
	return nil, 0, fmt.Errorf("status %d: %.128s", response.StatusCode, bytes.TrimSpace(body))
}

// escapeKey escapes each segment of a key for a URL path and keeps the slashes
// between them.
func escapeKey(key string) string {
	segments := strings.Split(key, "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}
	return strings.Join(segments, "/")
}

// The field names of the types below are those of the protocol.
type wirePair struct {
	Key         string
	Value       []byte
	Session     string
	ModifyIndex uint64
}

type sessionRequest struct {
	TTL        string
	Behavior   string
	LockDelay  string
	Checks     []string
	NodeChecks []string
}

type sessionReply struct{ ID string }
