// Package toucanpeer carries calls, load reports and configuration documents
// between nodes over net/rpc.
//
// Gob sends the type names and the exported field names of the messages in this
// file, so they are part of the protocol.
package toucanpeer

import (
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanmemory"
)

// Call is one request to be run by a backend server.
type Call struct {
	ID         string
	Service    string // service that must run the call
	Caller     string // service of the VM where the request originated
	Method     string
	URI        string
	Host       string
	Header     []string // end-to-end fields as alternating keys and values
	Body       []byte
	Left       time.Duration // time until the deadline
	Target     time.Duration // latency objective
	Priority   int           // 0 is served first
	Repeatable bool          // the call may be retried after it reached a backend server
	Repeat     bool          // an earlier attempt may have reached a backend server
	Route      string
	Step       int // 1 plus the number of answered calls of the run that makes this call; 0 if that is unknown
}

// HeaderMemory returns the bytes that a header of a Call or a Result takes of a
// toucanmemory.Budget.
func HeaderMemory(pairs []string) int64 {
	bytes := 0
	for _, s := range pairs {
		bytes += len(s)
	}
	return toucanmemory.HeaderCost(len(pairs)/2, bytes)
}

// Result is the outcome of a call at a node.
type Result struct {
	Outcome toucancall.Outcome
	Reason  toucancall.Reason
	Status  int
	Header  []string // end-to-end fields as alternating keys and values
	Body    []byte
	// MayRepeat reports whether a call that the backend server did not answer may
	// be retried at a backend server.
	MayRepeat bool
	// Child reports whether the route of the call carries calls that backend
	// servers make.
	Child  bool
	Report Report

	holding *toucanmemory.Holding // memory of the header and the body; not sent
}

// WithHolding returns a copy of the result that holds memory for its header and body. Who gets
// the result releases it.
func (r Result) WithHolding(h *toucanmemory.Holding) Result {
	r.holding = h
	return r
}

// Holding returns the memory that the result holds, or nil.
func (r Result) Holding() *toucanmemory.Holding { return r.holding }

// Share returns a copy of the result that holds the same memory.
func (r Result) Share() Result {
	r.holding.Share()
	return r
}

// Release releases the memory that the result holds.
func (r Result) Release() { r.holding.Release() }

// Report is the state and load of a node and of the backend server beside it.
type Report struct {
	Serving  bool
	Running  int
	Queued   int
	Limit    int           // concurrency limit of the backend server
	Duration time.Duration // moving average of the run duration
	Failures float64       // recent share of calls that the backend server did not answer
	Pressure float64       // share of the calls made by the backend server that are refused for overload, by the callee or deeper in the call graph
	Version  uint64        // version of the configuration document in force at the node
	Store    bool          // the node can reach the store
}

// Member describes a node and the backend server beside it.
type Member struct {
	Node       string `json:"node"`
	Address    string `json:"address"` // peer address
	DataCentre string `json:"data_centre"`
	Service    string `json:"service"`
	Instance   string `json:"instance"` // id of the backend server
	Born       int64  `json:"born"`     // start time of the backend server, in Unix milliseconds of its own clock
	Slots      int    `json:"slots"`
	Serving    bool   `json:"serving"`
	Left       bool   `json:"left,omitempty"` // the backend server announced its departure; stays set until its next start
}

// Hello is the first message on a connection.
type Hello struct {
	From        Member
	WantMembers bool
}

// HelloReply is the reply to a Hello. Incarnation differs for each start of
// the node.
type HelloReply struct {
	Self        Member
	Incarnation uint64
	Report      Report
	Members     []Member
	You         Member      // record that the node has of the sender of the hello; zero if it has none
	Departures  []Departure // departures that the sender of the hello asked the node to remember
}

// Ping describes the sender.
type Ping struct {
	From   *Member // nil if unchanged since it was last sent on the connection
	Report Report
}

// MemberUpdate is a change of the members that the store lists, from a node that
// watches the store.
type MemberUpdate struct {
	AsOf    uint64   // revision of the store at which the update was complete
	All     bool     // Members are all that are listed
	Members []Member // added or changed
	Removed []string // names of nodes that are no longer listed
}

// Departure tells that a backend server has left, from the node beside it.
type Departure struct {
	Node     string // name of the node beside the backend server
	Instance string
	Born     int64
}

// Pong is the reply to a Ping.
type Pong struct {
	Self   *Member // nil if unchanged since it was last sent on the connection
	Report Report
}

// AwaitRequest asks for the outcome of a call whose connection broke. A node that
// has not received the call replies that it did not run, and refuses the call if
// it arrives later.
type AwaitRequest struct {
	ID          string
	Incarnation uint64        // incarnation of the node that the call was sent to
	Left        time.Duration // time until the deadline
}

// Document is a configuration document as the operator wrote it.
type Document struct {
	Version uint64
	Data    []byte
}
