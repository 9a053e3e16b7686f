package toucanpeer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"
	"sync"
	"sync/atomic"
)

// maxIdleReaders bounds the workers of a connection that wait for the next call.
const maxIdleReaders = 2

// serverCodec is the net/rpc codec of one incoming connection, with the gob encoding of
// net/rpc. Its workers take turns: the one that has read a call also runs it, while
// another one reads the next. net/rpc itself starts a goroutine for each call, whose
// stack grows several times during a call.
type serverCodec struct {
	server *rpc.Server
	conn   io.ReadWriteCloser
	dec    *gob.Decoder
	enc    *gob.Encoder
	buf    *bufio.Writer

	readMu  sync.Mutex // held from the header of a call to the end of its body
	writeMu sync.Mutex
	readers atomic.Int32 // workers that wait for a call or read one
	broken  atomic.Bool  // no further call can be read
	onEnd   func()       // called when broken is set
	workers sync.WaitGroup
}

// newServerCodec returns a codec that serves no call yet. It calls onEnd as soon as the
// connection ends.
func newServerCodec(s *rpc.Server, conn io.ReadWriteCloser, onEnd func()) *serverCodec {
	buf := bufio.NewWriter(conn)
	return &serverCodec{server: s, conn: conn, dec: gob.NewDecoder(conn), enc: gob.NewEncoder(buf), buf: buf, onEnd: onEnd}
}

// serve runs calls until the connection ends and all calls have been answered.
func (c *serverCodec) serve() {
	c.startReader()
	c.workers.Wait()
	c.Close()
}

func (c *serverCodec) startReader() {
	c.readers.Add(1)
	c.workers.Add(1)
	go func() {
		defer c.workers.Done()
		for {
			c.server.ServeRequest(c) // the response carries the error of a call
			if c.broken.Load() {
				return
			}
			if c.readers.Add(1) > maxIdleReaders {
				c.readers.Add(-1)
				return
			}
		}
	}()
}

// ReadRequestHeader reads the header of the next call. It implements rpc.ServerCodec, as
// do the methods below.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.readMu.Lock()
	err := c.dec.Decode(r)
	if err != nil {
		if !c.broken.Swap(true) {
			c.onEnd()
		}
		c.readMu.Unlock()
	}
	return err
}

// ReadRequestBody reads the arguments of the call, or skips them if body is nil. Then
// another worker may read the next call.
func (c *serverCodec) ReadRequestBody(body any) error {
	err := c.dec.Decode(body)
	c.readMu.Unlock()
	if c.readers.Add(-1) == 0 {
		c.startReader()
	}
	return err
}

// WriteResponse writes a response, and then releases the memory that it holds. Calls end in any
// order.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	if result, ok := body.(*Result); ok {
		defer result.Release()
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	err := c.enc.Encode(r)
	if err == nil {
		err = c.enc.Encode(body)
	}
	if err == nil {
		err = c.buf.Flush()
	}
	if err != nil {
		c.conn.Close() // the sender must not take what follows for a response
	}
	return err
}

// Close closes the connection.
func (c *serverCodec) Close() error { return c.conn.Close() }
