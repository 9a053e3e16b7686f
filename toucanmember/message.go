package toucanmember

// Message is a control message of the membership protocol or its answer. The
// set is sealed: Probe, ProbeFor, ProbeForAnswer, Sync and SyncAnswer. The
// fields suit encoding/gob.
type Message interface{ message() }

// Probe asks a member whether it is alive, and is also the answer to a Probe.
// Both carry changes of the membership.
type Probe struct {
	Service  string
	From     Member
	Changes  []Member
	Revision uint64 // of the class file of the service
	Digest   uint64 // of the sender's whole view
}

// ProbeFor asks a member to probe Target on the sender's behalf.
type ProbeFor struct {
	Service string
	From    string
	Target  Member
}

// ProbeForAnswer says whether the target of a ProbeFor answered.
type ProbeForAnswer struct{ Reached bool }

// Sync asks a member for the parts of its view that differ from the sender's.
type Sync struct {
	Service string
	From    Member
	Buckets []uint64 // digests of the sender's view by bucket
}

// SyncAnswer holds the members in the buckets that differ.
type SyncAnswer struct {
	From    Member
	Differs []bool // by bucket
	Members []Member
}

// ViewRequest is an entry's poll of a member.
type ViewRequest struct {
	Service    string
	Entry      string // node id of the entry
	DataCentre string
	Subset     int    // servers wanted of a large service
	Version    uint64 // last version this member answered; 0 when it was another
	Digest     uint64 // of the view the entry has
}

// ViewAnswer brings an entry's view up to date.
type ViewAnswer struct {
	Version  uint64
	Full     bool     // Members is the whole view, not a delta
	Members  []Member // in a delta, removed members have state Removed
	Revision uint64
	// Doubt is set by a member that suspects more members than it knows alive. It
	// may itself be cut off, so the entry asks another one before it believes it.
	Doubt bool
}

func (Probe) message()          {}
func (ProbeFor) message()       {}
func (ProbeForAnswer) message() {}
func (Sync) message()           {}
func (SyncAnswer) message()     {}
func (ViewRequest) message()    {}
func (ViewAnswer) message()     {}
