// Package toucanpeer carries calls, load reports and documents between nodes
// over net/rpc.
package toucanpeer

import (
	"time"

	"toucanhaven/toucancall"
)

// Call is one request on its way to a backend server.
type Call struct {
	ID         string
	Service    string // service that must run it
	Caller     string // service of the VM where the request originated
	Method     string
	URI        string
	Host       string
	Header     []string // pairs of key and value, end-to-end fields
	Body       []byte
	Left       time.Duration // until the deadline
	Target     time.Duration // latency objective
	Priority   int           // 0 is served first
	Repeatable bool
	Repeat     bool // an earlier attempt has reached a backend server
	Route      string
}

// Result is the outcome of a call at a node.
type Result struct {
	Outcome toucancall.Outcome
	Reason  toucancall.Reason
	Status  int
	Header  []string // pairs of key and value, end-to-end fields
	Body    []byte
	// MayRepeat says that a call which reached the backend server without an
	// answer may be sent to a backend server once more.
	MayRepeat bool
	// Child says that the route of the call carries the calls of backend servers.
	Child  bool
	Report Report
}

// Report is the state of a node and of the backend server beside it.
type Report struct {
	Serving  bool
	Running  int
	Queued   int
	Limit    int           // concurrent calls that the backend server takes
	Duration time.Duration // moving mean of a run
	Failures float64       // recent share of calls without an answer of the backend server
	Pressure float64       // share of the calls of the backend server that are refused for overload, there or below
	Version  uint64        // version of the document in force at the node
	Store    bool          // the node reaches the store
}

// Member describes a node and the backend server beside it.
type Member struct {
	Node       string `json:"node"`
	Address    string `json:"address"` // peer address
	DataCentre string `json:"data_centre"`
	Service    string `json:"service"`
	Instance   string `json:"instance"` // id of the backend server
	Born       int64  `json:"born"`     // start of the backend server, Unix milliseconds of its own clock
	Slots      int    `json:"slots"`
	Serving    bool   `json:"serving"`
	Left       bool   `json:"left,omitempty"` // the backend server said that it leaves; holds until its next start
}

// Hello opens a connection.
type Hello struct {
	From        Member
	WantMembers bool
}

// HelloReply is the answer to a Hello. Incarnation differs for each start of
// the node.
type HelloReply struct {
	Self        Member
	Incarnation uint64
	Report      Report
	Members     []Member
	You         Member // what the node knows of the sender; empty when nothing
}

// Ping describes the sender.
type Ping struct {
	From   *Member // nil: as the receiver was told before on the connection
	Report Report
	// Unlisted says that the store no longer lists the receiver.
	Unlisted bool
}

// Pong is the answer to a Ping.
type Pong struct {
	Self   *Member // nil: as the receiver was told before on the connection
	Report Report
}

// AwaitRequest asks for the outcome of a call that was sent on a connection
// that broke. A node that does not know the call will not run it later.
type AwaitRequest struct {
	ID          string
	Incarnation uint64 // of the node that the call was sent to
	Left        time.Duration
}

// Document is the configuration as the operator wrote it.
type Document struct {
	Version uint64
	Data    []byte
}
