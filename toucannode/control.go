package toucannode

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"toucanhaven/toucanclock"
)

const (
	// maxControlClients bounds the open control connections of one node. A node
	// talks to the members of its own service and to about ten others.
	maxControlClients = 64
	// controlIdle is how long an unused control connection stays open.
	controlIdle = time.Minute
)

// controlClients sends control messages to other nodes over reused
// connections. It is safe for concurrent use.
type controlClients struct {
	clock toucanclock.Clock

	mu      sync.Mutex
	clients map[string]*controlClient // by control address
}

type controlClient struct {
	*rpc.Client
	used time.Time
}

// call sends one message and waits for its answer until ctx ends. A connection
// that failed or whose answer did not come in time is closed, because net/rpc
// cannot take a message back. Nothing writes to answer after call has returned.
func (c *controlClients) call(ctx context.Context, address, method string, args, answer any) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%s at %s: %w", method, address, err)
		}
	}()
	client, err := c.client(ctx, address)
	if err != nil {
		return err
	}
	// Closing the connection also ends a write that blocks on a frozen peer.
	stop := context.AfterFunc(ctx, func() { c.drop(address, client) })
	err = client.Call(method, args, answer)
	if !stop() && err != nil {
		err = ctx.Err()
	}
	if _, answered := err.(rpc.ServerError); err != nil && !answered {
		c.drop(address, client)
	}
	return err
}

func (c *controlClients) client(ctx context.Context, address string) (*controlClient, error) {
	if client := c.reuse(address); client != nil {
		return client, nil
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return c.add(address, &controlClient{Client: rpc.NewClient(conn)}), nil
}

func (c *controlClients) reuse(address string) *controlClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.clients[address]
	if client != nil {
		client.used = c.clock.Now()
	}
	return client
}

// add keeps a new client, unless another call connected to the same address in
// the meantime.
func (c *controlClients) add(address string, client *controlClient) *controlClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if earlier := c.clients[address]; earlier != nil {
		client.Close()
		return earlier
	}
	if len(c.clients) >= maxControlClients {
		c.dropOldest()
	}
	client.used = c.clock.Now()
	if c.clients == nil {
		c.clients = map[string]*controlClient{}
	}
	c.clients[address] = client
	return client
}

func (c *controlClients) dropOldest() {
	var oldest string
	for address, client := range c.clients {
		if oldest == "" || client.used.Before(c.clients[oldest].used) {
			oldest = address
		}
	}
	c.clients[oldest].Close()
	delete(c.clients, oldest)
}

func (c *controlClients) drop(address string, client *controlClient) {
	client.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clients[address] == client {
		delete(c.clients, address)
	}
}

// closeIdle closes the connections that were not used for controlIdle.
func (c *controlClients) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, client := range c.clients {
		if c.clock.Now().Sub(client.used) >= controlIdle {
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
