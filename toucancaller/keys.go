package toucancaller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanonce"
)

const (
	// keyUse is how long after its receipt an issued key is still given to a new
	// request. It leaves half of the key's life for the request and its retries.
	keyUse = toucanonce.KeyTTL / 2
	// maxKeysBytes bounds the answer to a request for keys.
	maxKeysBytes = 1 << 20
	// keyFetchTimeout bounds the wait for keys, so that a request whose keys do
	// not come still has time to be sent without one.
	keyFetchTimeout = time.Second
)

// keyPool holds unused issued keys of one service.
type keyPool struct {
	fetching chan struct{} // holds one token while nobody fetches
	keys     []issuedKey   // guarded by Client.mu
}

type issuedKey struct {
	text     string
	received time.Time
}

// keysAnswer is the answer to POST /keys.
type keysAnswer struct {
	Keys []string `json:"keys"`
}

// issuedKey returns an unused issued key of the service, or "" if no entry
// issues one. One request at a time fetches keys for all.
func (c *Client) issuedKey(ctx context.Context, service string) string {
	ctx, cancel := context.WithTimeout(ctx, keyFetchTimeout)
	defer cancel()
	pool := c.pool(service)
	if key := c.takeKey(pool); key != "" {
		return key
	}
	select {
	case <-pool.fetching:
	case <-ctx.Done():
		return ""
	}
	defer func() { pool.fetching <- struct{}{} }()
	if key := c.takeKey(pool); key != "" {
		return key
	}
	first := c.currentEntry()
	for i := range c.entries {
		keys, err := c.fetchKeys(ctx, c.entries[(first+i)%len(c.entries)], service)
		if err != nil || len(keys) == 0 {
			continue
		}
		c.mu.Lock()
		pool.keys = append(pool.keys, keys...)
		c.mu.Unlock()
		return c.takeKey(pool)
	}
	return ""
}

func (c *Client) pool(service string) *keyPool {
	c.mu.Lock()
	defer c.mu.Unlock()
	pool := c.keys[service]
	if pool == nil {
		pool = &keyPool{fetching: make(chan struct{}, 1)}
		pool.fetching <- struct{}{}
		c.keys[service] = pool
	}
	return pool
}

// takeKey removes and returns a key that is not too old, or "".
func (c *Client) takeKey(pool *keyPool) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(pool.keys) > 0 {
		key := pool.keys[0]
		pool.keys = pool.keys[1:]
		if time.Since(key.received) < keyUse {
			return key.text
		}
	}
	return ""
}

func (c *Client) fetchKeys(ctx context.Context, entry, service string) (keys []issuedKey, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("fetch keys of %q from %s: %w", service, entry, err)
		}
	}()
	query := url.Values{"service": {service}, "count": {strconv.Itoa(c.keyCount)}}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/keys?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	received := time.Now() // before the keys are issued, so that their age is never underrated
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.New(response.Status)
	}
	var answer keysAnswer
	if err := json.NewDecoder(io.LimitReader(response.Body, maxKeysBytes)).Decode(&answer); err != nil {
		return nil, err
	}
	for _, text := range answer.Keys {
		k, err := toucanonce.ParseKey(text)
		if err != nil || k.Service != service || len(text) > toucancall.MaxKeyBytes {
			return nil, errors.New("answer holds a malformed key")
		}
		keys = append(keys, issuedKey{text: text, received: received})
	}
	return keys, nil
}
