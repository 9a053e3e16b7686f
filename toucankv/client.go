package toucankv

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// defaultTimeout bounds one request, watches excepted. The service answers in
	// milliseconds when it is healthy; callers that can wait less pass a context.
	defaultTimeout = 5 * time.Second
	// maxReplyBytes bounds a reply: the values of a list, base64-encoded.
	maxReplyBytes = 64 << 20
	// watchJitterShare is the share of the wait that the protocol lets the server
	// add to a blocking query.
	watchJitterShare = 16
)

// Client is a Store that speaks Consul's KV HTTP protocol.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

var _ Store = (*Client)(nil)

// Option changes a new Client.
type Option func(*Client)

// WithTimeout bounds each request; a watch may take its wait in addition.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithTransport replaces the transport, for tests.
func WithTransport(t http.RoundTripper) Option { return func(c *Client) { c.http.Transport = t } }

// NewClient returns a client of the service at the address, a host and port.
func NewClient(address string, options ...Option) *Client {
	c := &Client{
		base:    "http://" + address,
		timeout: defaultTimeout,
		http: &http.Client{
			Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute},
			// A redirected write would leave its result open.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Get implements Store. It asks for a consistent read, so that it sees every
// write that was acknowledged before.
func (c *Client) Get(ctx context.Context, key string) (Pair, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	pairs, _, err := c.read(ctx, "get", key, "consistent")
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
	pairs, _, err := c.read(ctx, "list", prefix, "recurse&consistent")
	return pairs, err
}

// Keys implements Store.
func (c *Client) Keys(ctx context.Context, prefix string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var keys []string
	_, err := c.fetch(ctx, "keys", prefix, "keys&consistent", &keys)
	return keys, err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait+wait/watchJitterShare)
	defer cancel()
	query := fmt.Sprintf("index=%d&wait=%dms", index, wait.Milliseconds())
	pairs, next, err := c.read(ctx, "watch", key, query)
	if err != nil {
		return Snapshot{}, err
	}
	// The protocol lets the index go back, when the service was restored from a
	// backup; a watch at the old index would then miss changes.
	if next < index {
		next = 0
	}
	if len(pairs) == 0 {
		return Snapshot{Index: next}, nil
	}
	return Snapshot{Pair: pairs[0], Exists: true, Index: next}, nil
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) error {
	return c.writeKey(ctx, "compare-and-swap", key, "cas="+strconv.FormatUint(index, 10), value, "")
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, key string, value []byte) error {
	return c.writeKey(ctx, "create", key, "cas=0", value, "")
}

// Acquire implements Store.
func (c *Client) Acquire(ctx context.Context, key string, value []byte, session string) error {
	return c.writeKey(ctx, "acquire", key, "acquire="+url.QueryEscape(session), value, session)
}

// CreateSession implements Store.
func (c *Client) CreateSession(ctx context.Context, ttl time.Duration, end Behaviour) (session string, err error) {
	// Sent empty, the lists of checks keep the service from binding the session to
	// its default check, which could end the session before its TTL.
	none := []string{}
	body, err := json.Marshal(sessionRequest{
		TTL: ttl.String(), Behavior: string(end), LockDelay: "0s", Checks: none, NodeChecks: none,
	})
	if err != nil {
		return "", err
	}
	reply, err := c.write(ctx, "create session", "", "/v1/session/create", body, "")
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
	_, err := c.write(ctx, "renew session", "", "/v1/session/renew/"+url.PathEscape(session), nil, session)
	return err
}

// writeKey sends a conditional write and reads the key again when it is refused,
// to name the current index.
func (c *Client) writeKey(ctx context.Context, op, key, query string, value []byte, session string) error {
	if len(value) > MaxValueBytes {
		return &RejectedError{Op: op, Key: key, Reason: fmt.Sprintf("%d bytes, at most %d allowed", len(value), MaxValueBytes)}
	}
	reply, err := c.write(ctx, op, key, "/v1/kv/"+escapeKey(key)+"?"+query, value, session)
	if err != nil {
		return err
	}
	switch strings.TrimSpace(string(reply)) {
	case "true":
		return nil
	case "false":
		current, _ := c.Get(ctx, key) // A failed read leaves the index 0.
		return &ConflictError{Key: key, Current: current}
	}
	return &UnknownResultError{Op: op, Key: key, Err: fmt.Errorf("unreadable reply %.64q", reply)}
}

// write sends a PUT request. Only a status that the protocol gives before it
// processes a request counts as a refusal; every other failure after a
// connection was obtained leaves the result open.
func (c *Client) write(ctx context.Context, op, key, path string, body []byte, session string) (reply []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, &RejectedError{Op: op, Key: key, Reason: err.Error()}
	}
	response, err := c.http.Do(request)
	if err != nil {
		if sent.Load() {
			return nil, &UnknownResultError{Op: op, Key: key, Err: err}
		}
		return nil, &UnavailableError{Op: op, Key: key, Err: err}
	}
	defer response.Body.Close()
	reply, err = io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return nil, &UnknownResultError{Op: op, Key: key, Err: err}
	}
	return reply, writeStatus(op, key, session, response.StatusCode, reply)
}

func writeStatus(op, key, session string, status int, reply []byte) error {
	cause := fmt.Errorf("status %d: %.128s", status, bytes.TrimSpace(reply))
	switch {
	case status == http.StatusOK:
		return nil
	case session != "" && (status == http.StatusNotFound || bytes.Contains(reply, []byte("invalid session"))):
		return &SessionError{Session: session}
	case status == http.StatusTooManyRequests:
		return &UnavailableError{Op: op, Key: key, Err: cause}
	case status >= 400 && status < 500:
		return &RejectedError{Op: op, Key: key, Reason: cause.Error()}
	}
	return &UnknownResultError{Op: op, Key: key, Err: cause}
}

func (c *Client) read(ctx context.Context, op, key, query string) ([]Pair, uint64, error) {
	var wire []wirePair
	index, err := c.fetch(ctx, op, key, query, &wire)
	pairs := make([]Pair, len(wire))
	for i, w := range wire {
		pairs[i] = Pair{Key: w.Key, Value: w.Value, Index: w.ModifyIndex, Session: w.Session}
	}
	return pairs, index, err
}

// fetch reads JSON into v, which stays empty when nothing exists there.
func (c *Client) fetch(ctx context.Context, op, key, query string, v any) (index uint64, err error) {
	defer func() {
		if err != nil {
			err = &UnavailableError{Op: op, Key: key, Err: err}
		}
	}()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/kv/"+escapeKey(key)+"?"+query, nil)
	if err != nil {
		return 0, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return 0, err
	}
	index, _ = strconv.ParseUint(response.Header.Get("X-Consul-Index"), 10, 64)
	switch response.StatusCode {
	case http.StatusNotFound:
		// A missing key has an empty reply; any other 404 comes from something
		// that is not the key-value service.
		if len(bytes.TrimSpace(body)) != 0 || index == 0 {
			return 0, errors.New("status 404 that is not of the KV protocol")
		}
		return index, nil
	case http.StatusOK:
		return index, json.Unmarshal(body, v)
	}
	return 0, fmt.Errorf("status %d: %.128s", response.StatusCode, bytes.TrimSpace(body))
}

// escapeKey escapes each segment of a key and keeps the slashes between them.
func escapeKey(key string) string {
	segments := strings.Split(key, "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}
	return strings.Join(segments, "/")
}

// The field names of these types are those of the protocol.
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
