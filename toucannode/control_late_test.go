package toucannode

import (
	"context"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucanclock"
)

// lateReply answers after the time that a call waits for, as often as before it.
type lateReply struct{}

const lateAfter = 300 * time.Microsecond

// Numbers is the method of lateReply.
func (lateReply) Numbers(_ int, answer *[]uint64) error {
	time.Sleep(lateAfter)
	*answer = make([]uint64, 4096)
	for i := range *answer {
		(*answer)[i] = 1
	}
	return nil
}

// Guards against an answer that arrives after its call has timed out and is
// decoded into a value that the caller already uses.
func TestLateAnswerLeavesTheValueAlone(t *testing.T) {
	is := is.New(t)
	server := rpc.NewServer()
	is.NoErr(server.RegisterName("Late", lateReply{}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go server.Accept(l)
	clients := &controlClients{clock: toucanclock.System{}}
	defer clients.close()
	late := 0
	for i := range 400 {
		ctx, cancel := context.WithTimeout(t.Context(), lateAfter+time.Duration(i)*5*time.Microsecond)
		var answer []uint64
		err := clients.call(ctx, l.Addr().String(), "Late.Numbers", i, &answer)
		if err != nil {
			late++
			is.Equal(len(answer), 0)
		}
		cancel()
	}
	is.True(late > 0)
}
