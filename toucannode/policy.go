package toucannode

import (
	"context"
	"net/http"
	"time"

	"toucanhaven/toucanadmission"
	"toucanhaven/toucanbalance"
	"toucanhaven/toucancall"
	"toucanhaven/toucanclass"
	"toucanhaven/toucanonce"
)

// Directory knows the backend servers of services and spreads the word about
// the one beside this node.
type Directory interface {
	// BackendServers returns those known now, the same slice until something
	// changes. The caller does not change the slice.
	BackendServers(ctx context.Context, service string) []toucanbalance.Server
	// MarkLeaving notes that a backend server refused a call because it is leaving.
	MarkLeaving(service, nodeID string)
	// MarkUnreachable notes that no connection to the node was made.
	MarkUnreachable(service, nodeID string)
	// Announce says that the backend server beside this node takes calls.
	Announce(service string, self toucanbalance.Server)
	// Leave says that it takes no new calls.
	Leave(service string, self toucanbalance.Server)
}

// ClassFiles gives the class file in force for a service.
type ClassFiles interface {
	// ClassFile fails when the class file of the service is not known yet.
	ClassFile(ctx context.Context, service string) (file toucanclass.File, revision uint64, err error)
	// Observe notes a revision that an answer of a node carried.
	Observe(service, nodeID string, revision uint64)
}

// Admission decides when a call starts at the local backend server.
type Admission interface {
	// Admit waits until the call may start. A refused call has a nil slot and a
	// reason. Admit returns when ctx ends or the deadline of the call passes.
	Admit(ctx context.Context, c toucancall.Call) (Slot, toucancall.Reason)
	// Threshold is what answers to calls of a rank carry.
	Threshold(r toucanclass.Rank) toucanadmission.Threshold
	Load() toucanadmission.Load
	Status() AdmissionStatus
}

// AdmissionStatus describes admission control at one backend server.
type AdmissionStatus struct {
	Limit   int // learned concurrency limit; 0 means none
	Running int
	Queued  int
}

// Slot is the right to run one call.
type Slot interface {
	// Level is the tenant-fair level that child calls carry.
	Level() int
	Release(RunResult)
}

// RunResult is what a run tells admission control.
type RunResult struct {
	Latency   time.Duration
	ChildTime time.Duration // part of Latency during which a child call was running
	Outcome   toucancall.Outcome
	Reason    toucancall.Reason
}

// Gate refuses calls at the entry that would be refused deeper in the graph.
type Gate interface {
	// Check returns the tenant-fair level of a call, or a reason to refuse it.
	Check(c toucancall.Call, child bool) (level int, reason toucancall.Reason)
	Observe(c toucancall.Call, child bool, t toucanadmission.Threshold)
}

// Attempt is the end of one attempt as the choice of backend servers sees it.
type Attempt struct {
	Latency   time.Duration
	Target    time.Duration // latency target of the class
	Outcome   toucancall.Outcome
	Reason    toucancall.Reason
	Status    int
	Load      toucanadmission.Load // reported on the answer
	LoadKnown bool
}

// Chooser picks the backend server of an attempt.
type Chooser interface {
	// Choose returns false when no server is left. Servers in tried failed
	// earlier attempts of the same call.
	Choose(service string, servers []toucanbalance.Server, tried []string) (toucanbalance.Server, bool)
	// Start begins an attempt at a server that the key of the call named.
	Start(service, nodeID string)
	// Done ends an attempt that Choose or Start began.
	Done(service, nodeID string, a Attempt)
}

// Retries gives calls their retry allowance.
type Retries interface {
	// Root starts the allowance of a request at its entry. It returns false when
	// a repeat of the request has used the allowance up.
	Root(c toucancall.Call) (Allowance, bool)
	// Child starts the allowance of a child call from what its parent lent.
	Child(c toucancall.Call) Allowance
	// RetryAfter is the time that a refused caller is advised to wait.
	RetryAfter() time.Duration
}

// Allowance is the retry allowance of one call at its entry.
type Allowance interface {
	// Lend takes the part that goes with an attempt.
	Lend() int
	// Return gives back the unused part of what was lent. A lost answer
	// returns 0.
	Return(lent, left int)
	// Retry takes one retry after an attempt that ended with r, and returns the
	// delay before the next one.
	Retry(r Refusal, safeToRepeat bool) (delay time.Duration, ok bool)
	// Left is what the call still holds.
	Left() int
	// End says that the call leaves its entry.
	End()
}

// Once keeps requests of at-most-once classes from running twice.
type Once interface {
	// Enter takes a keyed call through its entry. It calls forward at most once,
	// with the issued key under which the call goes to its home. A nil refusal
	// means that the reply that forward received is the answer.
	Enter(ctx context.Context, c toucancall.Call, forward Forward) *Refusal
	// Refuse ends a keyed call that its entry refuses for the given reason. The
	// key is first marked refused at its home, so that "not run" stays true.
	Refuse(ctx context.Context, c toucancall.Call, reason toucancall.Reason) *Refusal
	// Begin decides at the home whether the call runs. At most one of the
	// results is set; none is for a call without a key.
	Begin(ctx context.Context, c toucancall.Call) (run OnceRun, repeat *StoredAnswer, r *Refusal)
	// Issue returns new keys for a service, at most count.
	Issue(ctx context.Context, service string, count int) ([]string, error)
	// Seal records at a planned stop which keys ran.
	Seal(ctx context.Context) error
}

// Forward sends a call under an issued key to the home of the key. The reason is
// empty unless the entry refuses the call instead.
type Forward func(k toucanonce.Key) (toucanonce.Delivery, toucancall.Reason)

// OnceRun is a run of an at-most-once request at its home.
type OnceRun interface {
	// Confirm reports whether the run may still start. It is called directly
	// before the first byte goes to the backend server.
	Confirm() bool
	// Finish ends the run. The answer is nil when there is none to remember.
	Finish(o toucancall.Outcome, r toucancall.Reason, a *StoredAnswer)
	// Withdraw ends a run of which nothing reached the backend server. The key
	// is refused from then on.
	Withdraw()
}

// StoredAnswer is a whole answer that a repeat of its key receives.
type StoredAnswer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Trailer http.Header
}

// Refusal ends a call without an answer.
type Refusal struct {
	Outcome toucancall.Outcome
	Reason  toucancall.Reason
	Detail  string // one line for the caller
}
