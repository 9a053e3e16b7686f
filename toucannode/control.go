package toucannode

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"toucanhaven/toucanclock"
	"toucanhaven/toucanmemory"
)

const (
	// maxControlClients bounds the open control connections of one node. A node
	// exchanges messages with the members of its own service and with about ten
	// other nodes.
	maxControlClients = 64
	// controlIdleTimeout is how long an unused control connection stays open.
	controlIdleTimeout = time.Minute
)

// controlClients sends control messages to other nodes over reused
// connections. It is safe for concurrent use.
type controlClients struct {
	clock    toucanclock.Clock
	messages *toucanmemory.Budget // of messages that are being read

	mu      sync.Mutex
	clients map[string]*controlClient // by control address
}

type controlClient struct {
	*rpc.Client
	lastUsed time.Time
}

// call sends one message and waits for its reply until ctx ends. If the call
// fails or its reply does not arrive in time, the connection is closed, because
// net/rpc cannot cancel a call. Nothing writes to answer after call has
// returned.
func (c *controlClients) call(ctx context.Context, address, method string, args, answer any) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%s at %s: %w", method, address, err)
		}
	}()
	client, err := c.clientFor(ctx, address)
	if err != nil {
		return err
	}
	// Closing the connection also ends a write that is blocked by a frozen peer.
	stop := context.AfterFunc(ctx, func() { c.closeClient(address, client) })
	err = client.Call(method, args, answer)
	if !stop() && err != nil {
		err = ctx.Err()
	}
	if _, answered := err.(rpc.ServerError); err != nil && !answered {
		c.closeClient(address, client)
	}
	return err
}

// clientFor returns an open connection to the address, or connects to it.
func (c *controlClients) clientFor(ctx context.Context, address string) (*controlClient, error) {
	if client := c.reuseClient(address); client != nil {
		return client, nil
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return c.addClient(address, &controlClient{Client: rpc.NewClient(limitMessages(conn, c.messages))}), nil
}

func (c *controlClients) reuseClient(address string) *controlClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.clients[address]
	if client != nil {
		client.lastUsed = c.clock.Now()
	}
	return client
}

// addClient keeps a new client. If another call has connected to the same
// address in the meantime, it closes the new client and returns the other one.
func (c *controlClients) addClient(address string, client *controlClient) *controlClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if earlier := c.clients[address]; earlier != nil {
		client.Close()
		return earlier
	}
	if len(c.clients) >= maxControlClients {
		c.evictLeastRecentlyUsed()
	}
	client.lastUsed = c.clock.Now()
	if c.clients == nil {
		c.clients = map[string]*controlClient{}
	}
	c.clients[address] = client
	return client
}

func (c *controlClients) evictLeastRecentlyUsed() {
	var leastRecent string
	for address, client := range c.clients {
		if leastRecent == "" || client.lastUsed.Before(c.clients[leastRecent].lastUsed) {
			leastRecent = address
		}
	}
	c.clients[leastRecent].Close()
	delete(c.clients, leastRecent)
}

func (c *controlClients) closeClient(address string, client *controlClient) {
	client.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clients[address] == client {
		delete(c.clients, address)
	}
}

// closeIdle closes the connections that were not used for controlIdleTimeout.
func (c *controlClients) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, client := range c.clients {
		if c.clock.Now().Sub(client.lastUsed) >= controlIdleTimeout {
			client.Close()
			delete(c.clients, address)
		}
	}
}

// close closes every connection.
func (c *controlClients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, client := range c.clients {
		client.Close()
		delete(c.clients, address)
	}
}
