package toucanmember

import (
	"time"

	"toucanhaven/toucanbalance"
)

// Event is an input of a Group or an Entry. Only the types of this file
// implement it.
type Event interface{ event() }

// Tick triggers the timed actions. It is due every TickPeriod.
type Tick struct{}

// Request is an incoming message. It is answered by an Answer effect with the
// same Call, possibly in a later step or never: the sender has its own timeout.
type Request struct {
	Call    uint64
	Message Message
}

// Reply is the reply to the message of a Send effect.
type Reply struct {
	Seq     uint64
	Message Message
}

// Failure reports that a Send effect got no reply: the peer refused the message,
// closed the connection or did not answer in time.
type Failure struct{ Seq uint64 }

// Announce reports that the local backend server is ready for calls.
type Announce struct{ PeerAddress string }

// Leave reports that the local backend server takes no new calls.
type Leave struct{}

// Revision reports which revision of the class file the node has installed.
type Revision struct{ Number uint64 }

// Contacts is the result of a ReadContacts, WriteContacts or AskPeersForContacts
// effect. Index is the compare-and-swap index; 0 means that the key does not
// exist. A write that lost the compare-and-swap returns the list and index that
// the KV holds. Known is false when nothing could be read.
type Contacts struct {
	Known     bool
	FromPeers bool // answered by known peers, not by the KV
	Addresses []string
	Index     uint64
}

// ServerRefused reports that a backend server refused a call because it is
// leaving.
type ServerRefused struct{ ID string }

// ServerUnreachable reports that connecting to a backend server's node failed.
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

// Effect is an output of a Group or an Entry. Only the types of this file
// implement it.
type Effect interface{ effect() }

// Send sends a message to the node with id To. The result is a Reply or Failure
// event with the same Seq, at the latest after Timeout.
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

// AskPeersForContacts asks a few known nodes for contacts of the service when
// the KV is unreachable. The result is a Contacts event.
type AskPeersForContacts struct{}

// WatchConfiguration tells the node that it is now a coordinator, or no longer one,
// for watching the class file in the KV. The node does nothing on it, because
// toucanconfig.Replicator chooses the watchers.
type WatchConfiguration struct{ On bool }

// FetchConfiguration fetches a newer class file from the node From.
type FetchConfiguration struct {
	From     string
	Revision uint64
}

// StateChanged reports a change of one member, for logs and metrics.
type StateChanged struct{ Member Member }

// ViewChanged passes an entry's new view to its picker.
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
