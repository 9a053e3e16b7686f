package toucanmember

import (
	"time"

	"toucanhaven/toucanbalance"
)

// Event is an input of a Group or an Entry. The set is sealed.
type Event interface{ event() }

// Tick lets time pass. It is due every TickPeriod.
type Tick struct{}

// Request is an incoming message. Its answer is an Answer effect with the same
// Call, which may come in a later step; the caller gives up by itself.
type Request struct {
	Call    uint64
	Message Message
}

// Reply is the answer to a Send effect.
type Reply struct {
	Seq     uint64
	Message Message
}

// Failure ends a Send effect whose peer refused, broke off or did not answer.
type Failure struct{ Seq uint64 }

// Announce says that the local backend server is ready for calls.
type Announce struct{ PeerAddress string }

// Leave says that the local backend server takes no new calls.
type Leave struct{}

// Revision tells which revision of the class file the node has installed.
type Revision struct{ Number uint64 }

// Contacts is the result of a ReadContacts or WriteContacts effect, or of the
// question to known peers. Index is the compare-and-swap index; 0 means that the
// key does not exist. A write that lost its race has OK false and the list that
// won, or Known false when nothing could be read.
type Contacts struct {
	Known     bool
	FromPeers bool // the answer of known peers, not of the KV
	Addresses []string
	Index     uint64
}

// ServerRefused says that a backend server refused a call because it is leaving.
type ServerRefused struct{ ID string }

// ServerUnreachable says that no connection to a backend server's node was made.
type ServerUnreachable struct{ ID string }

func (Tick) event()              {}
func (Request) event()           {}
func (Reply) event()             {}
func (Failure) event()           {}
func (Announce) event()          {}
func (Leave) event()             {}
func (Revision) event()          {}
func (Contacts) event()          {}
func (ServerRefused) event()     {}
func (ServerUnreachable) event() {}

// Effect is an output of a Group or an Entry. The set is sealed.
type Effect interface{ effect() }

// Send sends a message to the node with the given id. The outcome comes back as
// a Reply or a Failure with the same Seq, at the latest after Timeout.
type Send struct {
	Seq     uint64
	To      string
	Message Message
	Timeout time.Duration
}

// Answer answers the Request with the same Call.
type Answer struct {
	Call    uint64
	Message Message
}

// ReadContacts reads the contacts of the service from the KV. The result is a
// Contacts event.
type ReadContacts struct{}

// WriteContacts replaces the contacts in the KV if they still have Index. The
// result is a Contacts event with what the KV holds afterwards.
type WriteContacts struct {
	Addresses []string
	Index     uint64
}

// AskPeersForContacts asks a few known nodes for contacts of the service,
// because the KV does not answer. The result is a Contacts event.
type AskPeersForContacts struct{}

// WatchConfiguration tells whether this member watches the class file in the KV.
type WatchConfiguration struct{ On bool }

// FetchConfiguration says that a node has a newer class file.
type FetchConfiguration struct {
	From     string
	Revision uint64
}

// StateChanged reports a change of one member, for logs and metrics.
type StateChanged struct{ Member Member }

// ViewChanged hands an entry's new view to its picker.
type ViewChanged struct{ Servers []toucanbalance.Server }

func (Send) effect()                {}
func (Answer) effect()              {}
func (ReadContacts) effect()        {}
func (WriteContacts) effect()       {}
func (AskPeersForContacts) effect() {}
func (WatchConfiguration) effect()  {}
func (FetchConfiguration) effect()  {}
func (StateChanged) effect()        {}
func (ViewChanged) effect()         {}
