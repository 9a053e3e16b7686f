package toucancaller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanmemory"
	"toucanhaven/toucanonce"
)

const (
	// maxPooledKeyAge is the age up to which an issued key is used for a new request.
	// It leaves half of the key's time to live for the request and its retries.
	maxPooledKeyAge = toucanonce.KeyTTL / 2
	// maxKeysAnswerBytes bounds the response to a request for keys.
	maxKeysAnswerBytes = 1 << 20
	// keyFetchTimeout bounds the wait for keys, so that a request that gets no key
	// still has time to be sent without one.
	keyFetchTimeout = time.Second
)

// keyPool holds unused issued keys of one service.
type keyPool struct {
	fetchToken chan struct{} // holds one token while no request fetches keys
	keys       []issuedKey   // guarded by Client.mu
}

type issuedKey struct {
	text     string
	received time.Time
}

// keysAnswer is the body of the response to POST /keys.
type keysAnswer struct {
	Keys []string `json:"keys"`
}

// takeOrFetchKey returns an unused issued key of the service, or "" if no entry
// issues one within keyFetchTimeout. One request at a time fetches keys for all
// requests of the service.
func (c *Client) takeOrFetchKey(ctx context.Context, service string) string {
	ctx, cancel := context.WithTimeout(ctx, keyFetchTimeout)
	defer cancel()
	pool := c.keyPoolOf(service)
	if key := c.takeKey(pool); key != "" {
		return key
	}
	select {
	case <-pool.fetchToken:
	case <-ctx.Done():
		return ""
	}
	defer func() { pool.fetchToken <- struct{}{} }()
	if key := c.takeKey(pool); key != "" {
		return key
	}
	first := c.currentEntryIndex()
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

// keyPoolOf returns the key pool of the service. It creates the pool if there is none.
func (c *Client) keyPoolOf(service string) *keyPool {
	c.mu.Lock()
	defer c.mu.Unlock()
	pool := c.keyPools[service]
	if pool == nil {
		pool = &keyPool{fetchToken: make(chan struct{}, 1)}
		pool.fetchToken <- struct{}{}
		c.keyPools[service] = pool
	}
	return pool
}

// takeKey removes and returns a key younger than maxPooledKeyAge, or returns "". It
// discards older keys.
func (c *Client) takeKey(pool *keyPool) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(pool.keys) > 0 {
		key := pool.keys[0]
		pool.keys = pool.keys[1:]
		if time.Since(key.received) < maxPooledKeyAge {
			return key.text
		}
	}
	return ""
}

// fetchKeys requests new issued keys of the service from one entry.
func (c *Client) fetchKeys(ctx context.Context, entry, service string) (keys []issuedKey, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("fetch keys of %q from %s: %w", service, entry, err)
		}
	}()
	query := url.Values{"service": {service}, "count": {strconv.Itoa(c.keysPerFetch)}}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/keys?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	received := time.Now() // read before the keys are issued, so that their age is never underestimated
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.New(response.Status)
	}
	var answer keysAnswer
	data, err := toucanmemory.ReadLimited(response.Body, maxKeysAnswerBytes)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return nil, err
	}
	for _, text := range answer.Keys {
		k, err := toucanonce.ParseKey(text)
		if err != nil || k.Service != service || len(text) > toucancall.MaxKeyBytes {
			return nil, errors.New("response contains a key that is malformed or of another service")
		}
		keys = append(keys, issuedKey{text: text, received: received})
	}
	return keys, nil
}
