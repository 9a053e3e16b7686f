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

// Directory lists the backend servers of services and announces the one beside
// this node to other nodes.
type Directory interface {
	// BackendServers returns the servers known now. It returns the same slice
	// until something changes. The caller must not modify the slice.
	BackendServers(ctx context.Context, service string) []toucanbalance.Server
	// MarkLeaving records that a backend server refused a call because it is
	// leaving.
	MarkLeaving(service, nodeID string)
	// MarkUnreachable records that no connection to the node could be made.
	MarkUnreachable(service, nodeID string)
	// Announce announces that the backend server beside this node accepts
	// calls.
	Announce(service string, self toucanbalance.Server)
	// Leave announces that the backend server beside this node accepts no new
	// calls.
	Leave(service string, self toucanbalance.Server)
}

// ClassFiles returns the class files in force.
type ClassFiles interface {
	// ClassFile returns the class file of a service and its revision. It
	// returns an error if the class file is not known yet.
	ClassFile(ctx context.Context, service string) (file toucanclass.File, revision uint64, err error)
	// ObserveRevision records the revision that an answer of a node carried.
	ObserveRevision(service, nodeID string, revision uint64)
}

// Admission decides when a call starts at the local backend server.
type Admission interface {
	// Admit waits until the call may start. If the call is refused, the slot is
	// nil and the reason is set. Admit returns when ctx ends or the deadline of
	// the call passes.
	Admit(ctx context.Context, c toucancall.Call) (Slot, toucancall.Reason)
	// Threshold returns the threshold that answers to calls of rank r carry.
	Threshold(r toucanclass.Rank) toucanadmission.Threshold
	Load() toucanadmission.Load
	Status() AdmissionStatus
}

// AdmissionStatus describes admission control at one backend server.
type AdmissionStatus struct {
	Limit   int // adaptive concurrency limit; 0 means none
	Running int
	Queued  int
}

// Slot is the right to run one call.
type Slot interface {
	// Level returns the tenant-fair level that child calls carry.
	Level() int
	Release(RunResult)
}

// RunResult is the result of a run, reported to admission control.
type RunResult struct {
	Latency   time.Duration
	ChildTime time.Duration // part of Latency during which a child call was running
	Outcome   toucancall.Outcome
	Reason    toucancall.Reason
}

// Gate refuses at the entry the calls that would be refused deeper in the call
// graph.
type Gate interface {
	// Check returns the tenant-fair level of a call, or a reason to refuse it.
	Check(c toucancall.Call, child bool) (level int, reason toucancall.Reason)
	ObserveThreshold(c toucancall.Call, child bool, t toucanadmission.Threshold)
}

// Attempt is the result of one attempt, reported to the chooser.
type Attempt struct {
	Latency   time.Duration
	Target    time.Duration // latency objective of the class
	Outcome   toucancall.Outcome
	Reason    toucancall.Reason
	Status    int
	Load      toucanadmission.Load // reported on the answer
	LoadKnown bool
}

// Chooser picks the backend server of an attempt.
type Chooser interface {
	// Choose picks a server and counts the start of an attempt. It skips the
	// servers whose node IDs are in excluded, because earlier attempts of the
	// same call were made there. It returns false if no server is left.
	Choose(service string, servers []toucanbalance.Server, excluded []string) (toucanbalance.Server, bool)
	// StartAttempt counts the start of an attempt at the server that the key of
	// the call names.
	StartAttempt(service, nodeID string)
	// EndAttempt records the end of an attempt that Choose or StartAttempt
	// counted.
	EndAttempt(service, nodeID string, a Attempt)
}

// Retries gives each call its retry allowance.
type Retries interface {
	// StartRequest starts the retry allowance of a request at its entry. It
	// returns false if the caller sent the request again while it is running or
	// after its allowance was used up.
	StartRequest(c toucancall.Call) (Allowance, bool)
	// StartChild starts the retry allowance of a child call with what its
	// parent lent.
	StartChild(c toucancall.Call) Allowance
	// RetryAfter returns the delay after which a refused caller is advised to
	// retry.
	RetryAfter() time.Duration
}

// Allowance is the retry allowance of one call at its entry.
type Allowance interface {
	// Lend takes the part of the allowance that is sent with an attempt.
	Lend() int
	// Return gives back the unused part of what Lend took. If no answer was
	// received, nothing is left to give back and left is 0.
	Return(lent, left int)
	// TakeRetry takes one retry for a call whose attempt ended with r. It
	// returns the delay before the next attempt.
	TakeRetry(r Refusal, safeToRetry bool) (delay time.Duration, ok bool)
	// RetriesLeft returns the number of retries that the call still holds.
	RetriesLeft() int
	// End ends the allowance when the call leaves its entry.
	End()
}

// Deduplicator prevents requests of at-most-once classes from running twice.
type Deduplicator interface {
	// ForwardKeyed handles a call with a key at its entry. It calls forward at
	// most once, with the issued key under which the call is sent to its home.
	// A nil refusal means that the reply which forward received is the answer.
	ForwardKeyed(ctx context.Context, c toucancall.Call, forward Forward) *Refusal
	// RefuseKeyed ends a call with a key that its entry refuses for the given
	// reason. It first has the home mark the key as refused, so that the
	// outcome "not run" stays true.
	RefuseKeyed(ctx context.Context, c toucancall.Call, reason toucancall.Reason) *Refusal
	// BeginRun decides at the home whether the call runs. At most one of the
	// results is non-nil; all are nil for a call without a key.
	BeginRun(ctx context.Context, c toucancall.Call) (run KeyedRun, stored *StoredAnswer, r *Refusal)
	// IssueKeys returns at most count new keys for a service.
	IssueKeys(ctx context.Context, service string, count int) ([]string, error)
	// WriteSeals records at a graceful shutdown which keys ran.
	WriteSeals(ctx context.Context) error
}

// Forward sends a call under an issued key to the home of the key. The reason
// is non-empty if the entry refuses the call instead.
type Forward func(k toucanonce.Key) (toucanonce.Delivery, toucancall.Reason)

// KeyedRun is the run of an at-most-once request at its home.
type KeyedRun interface {
	// ConfirmStart reports whether the run may still start. It is called
	// directly before the first byte is sent to the backend server.
	ConfirmStart() bool
	// Finish ends the run. a is nil if there is no answer to store.
	Finish(o toucancall.Outcome, r toucancall.Reason, a *StoredAnswer)
	// Withdraw ends a run of which no byte reached the backend server. Its key
	// is refused from then on.
	Withdraw()
}

// StoredAnswer is a complete answer that is returned again to a retry with the
// same key.
type StoredAnswer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Trailer http.Header
}

// Refusal is the result of a call that ended without an answer.
type Refusal struct {
	Outcome toucancall.Outcome
	Reason  toucancall.Reason
	Detail  string // one line for the caller
}
