package toucanmember

// Message is a request or reply of the membership protocol. Only the types of
// this file implement it. Their fields can be encoded with encoding/gob.
type Message interface{ message() }

// Probe asks a member whether it is alive. The reply to a Probe is also a Probe.
// Both carry recent changes of the membership.
type Probe struct {
	Service  string
	From     Member
	Changes  []Member
	Revision uint64 // of the class file of the service
	Digest   uint64 // of all members in the sender's view
}

// ProbeFor asks a member to probe Target on the sender's behalf.
type ProbeFor struct {
	Service string
	From    string
	Target  Member
}

// ProbeForAnswer reports whether the target of a ProbeFor answered.
type ProbeForAnswer struct{ Reached bool }

// Sync asks a member for the buckets of its view that differ from the sender's.
type Sync struct {
	Service string
	From    Member
	Buckets []uint64 // digest of each bucket of the sender's view
}

// SyncAnswer holds the members in the buckets that differ.
type SyncAnswer struct {
	From    Member
	Differs []bool // for each bucket
	Members []Member
}

// ViewRequest is an entry's request for a member's view.
type ViewRequest struct {
	Service    string
	Entry      string // node id of the entry
	DataCentre string
	Subset     int    // maximum number of servers to return
	Version    uint64 // version in the last reply, 0 if that came from another member
	Digest     uint64 // of the entry's current view
}

// ViewAnswer brings an entry's view up to date.
type ViewAnswer struct {
	Version  uint64
	Full     bool     // Members is the whole view, not a delta
	Members  []Member // in a delta, removed members are included with state Removed
	Revision uint64
	// Doubt is set by a member that suspects more members than it sees alive. That
	// member may itself be cut off, so the entry asks another member before it
	// accepts the view.
	Doubt bool
}

func (Probe) message()          {}
func (ProbeFor) message()       {}
func (ProbeForAnswer) message() {}
func (Sync) message()           {}
func (SyncAnswer) message()     {}
func (ViewRequest) message()    {}
func (ViewAnswer) message()     {}
