package toucanconfig

import (
	"context"
	"errors"
	"fmt"
	"time"

	"toucanhaven/toucanclock"
	"toucanhaven/toucankv"
)

const (
	// applyTimeout is the timeout of an apply. It is long enough for retries with a
	// slow key-value service, and short enough for an operator to wait for.
	applyTimeout = 10 * time.Second
	// applyRetryDelay is the delay between attempts while the key-value service
	// fails.
	applyRetryDelay = 250 * time.Millisecond
)

// Request is a request to change a class file.
type Request struct {
	Service  string
	Replaces uint64 // revision that the author has seen; 0 for the first one
	Author   string
	// Nonce identifies this change. A retry with the same nonce never applies the
	// change twice, and succeeds if the change took effect before.
	Nonce  string
	Source string
}

// InvalidError reports that a request can never be applied.
type InvalidError struct{ Err error }

func (e *InvalidError) Error() string { return e.Err.Error() }

// Unwrap returns the cause, such as a *toucanclass.FileError.
func (e *InvalidError) Unwrap() error { return e.Err }

// ConflictError reports that the request was not applied because the revision it
// replaces is not the current one. Winner is the current change; its Revision is 0
// if there is none or it could not be read.
type ConflictError struct {
	Service  string
	Replaces uint64
	Winner   Change
}

func (e *ConflictError) Error() string {
	if e.Winner.Revision == 0 {
		return fmt.Sprintf("service %q: revision %d is not the current one", e.Service, e.Replaces)
	}
	return fmt.Sprintf("service %q: revision %d is not the current one; revision %d by %s is",
		e.Service, e.Replaces, e.Winner.Revision, e.Winner.Author)
}

// UnavailableError reports that the key-value service was unreachable or failed.
// The change did not take effect and will not.
type UnavailableError struct {
	Service string
	Err     error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("service %q: not applied: %v", e.Service, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// UnknownError reports that the change was sent but could not be confirmed. It may
// be in force now or later, or never. Retrying the request with the same nonce is
// safe.
type UnknownError struct {
	Service string
	Nonce   string
	Err     error
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("service %q: result unknown, nonce %s: %v", e.Service, e.Nonce, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// ApplyState is the state machine that applies one request. It does no I/O itself:
// Next returns the next step, and the caller passes the step's result to ReadDone
// or WriteDone.
type ApplyState struct {
	request         Request
	clock           toucanclock.Clock
	start           time.Time
	deadline        time.Time
	inForceRevision uint64 // revision in force at the node
	nextStep        Step
	unknownResult   error // result of a write that may still take effect, or nil
	conflicted      bool  // the compare-and-swap of a write failed
	writeCount      int
}

// Step is the next step of an ApplyState: ReadStep, WriteStep or DoneStep.
type Step interface{ step() }

// ReadStep reads the key of the document after a delay.
type ReadStep struct {
	Key   string
	Delay time.Duration
}

// WriteStep writes the value by compare-and-swap.
type WriteStep struct {
	Key   string
	Value []byte
	Index uint64

	document Document
}

// DoneStep ends the apply. If the change was accepted, Err is nil and Document is
// the accepted revision or a later one that includes it. Otherwise Err is an
// *InvalidError, *ConflictError, *UnavailableError or *UnknownError.
type DoneStep struct {
	Document Document
	Err      error
}

func (ReadStep) step()  {}
func (WriteStep) step() {}
func (DoneStep) step()  {}

// NewApplyState returns the state machine that applies a request at a node where
// revision inForce is in force.
func NewApplyState(clock toucanclock.Clock, request Request, inForce uint64) *ApplyState {
	now := clock.Now()
	a := &ApplyState{request: request, clock: clock, start: now, deadline: now.Add(applyTimeout), inForceRevision: inForce}
	if _, err := (Document{}).WithChange(request.Service, request.Author, request.Nonce, request.Source, now); err != nil {
		a.finish(Document{}, &InvalidError{Err: err})
		return a
	}
	a.nextStep = ReadStep{Key: Key(request.Service)}
	return a
}

// Next returns the next step.
func (a *ApplyState) Next() Step { return a.nextStep }

// ReadDone handles the result of a ReadStep.
func (a *ApplyState) ReadDone(pair toucankv.Pair, err error) {
	if err != nil && !isNotFound(err) {
		a.retryRead(err)
		return
	}
	var current Document
	if err == nil {
		if current, err = Decode(pair.Value); err != nil {
			a.fail(err)
			return
		}
	}
	a.decideNextStep(current, pair.Index)
}

func isNotFound(err error) bool {
	var missing *toucankv.NotFoundError
	return errors.As(err, &missing)
}

// decideNextStep determines the next step from the current document.
func (a *ApplyState) decideNextStep(current Document, index uint64) {
	r := a.request
	if applied, ok := current.changeWithNonce(r.Nonce); ok {
		if applied.Revision != r.Replaces+1 {
			a.finish(Document{}, &InvalidError{Err: fmt.Errorf("nonce %q was used for revision %d", r.Nonce, applied.Revision)})
			return
		}
		a.finish(current, nil)
		return
	}
	switch {
	case current.Revision() < a.inForceRevision:
		// The key-value service lost changes that are in force. A write to it would
		// be accepted but never installed, because its revision is too low.
		a.fail(fmt.Errorf("key-value service holds revision %d, older than revision %d in force", current.Revision(), a.inForceRevision))
	case current.Revision() == r.Replaces && a.clock.Now().After(a.deadline):
		a.fail(fmt.Errorf("no reply within %s", applyTimeout))
	case current.Revision() == r.Replaces:
		a.prepareWrite(current, index)
	case a.unknownResult != nil && !current.historyIncludes(r.Replaces+1):
		a.fail(fmt.Errorf("history begins after revision %d", r.Replaces+1))
	default:
		a.finish(Document{}, &ConflictError{Service: r.Service, Replaces: r.Replaces, Winner: current.lastChange()})
	}
}

func (a *ApplyState) prepareWrite(current Document, index uint64) {
	r := a.request
	next, err := current.WithChange(r.Service, r.Author, r.Nonce, r.Source, a.start)
	if err != nil {
		a.finish(Document{}, &InvalidError{Err: err})
		return
	}
	value, err := next.Encode()
	if err != nil {
		a.finish(Document{}, &InvalidError{Err: err})
		return
	}
	// Encode may have dropped old changes, and every node must have the same document.
	if next, err = Decode(value); err != nil {
		a.finish(Document{}, &InvalidError{Err: err})
		return
	}
	a.writeCount++
	a.nextStep = WriteStep{Key: Key(r.Service), Value: value, Index: index, document: next}
}

// WriteDone handles the result of a WriteStep. If the result is unknown, it reads
// the document back. Writing the same change again at the same index is safe,
// because at most one of the two writes finds that index.
func (a *ApplyState) WriteDone(err error) {
	write, ok := a.nextStep.(WriteStep)
	if !ok {
		return
	}
	var conflict *toucankv.ConflictError
	var unknown *toucankv.UnknownResultError
	var rejected *toucankv.RejectedError
	switch {
	case err == nil:
		a.finish(write.document, nil)
	case errors.As(err, &conflict):
		a.conflicted = true
		a.readBack()
	case errors.As(err, &rejected):
		a.fail(err)
	case errors.As(err, &unknown):
		a.unknownResult = err
		a.readBack()
	default:
		a.retryRead(err)
	}
}

// readBack reads the document after a write. There is no delay after the first
// write.
func (a *ApplyState) readBack() {
	a.nextStep = ReadStep{Key: Key(a.request.Service)}
	if a.writeCount > 1 {
		a.nextStep = ReadStep{Key: Key(a.request.Service), Delay: applyRetryDelay}
	}
}

// retryRead reads again after a delay, or fails if the deadline would be exceeded.
func (a *ApplyState) retryRead(err error) {
	if a.clock.Now().Add(applyRetryDelay).After(a.deadline) {
		a.fail(err)
		return
	}
	a.nextStep = ReadStep{Key: Key(a.request.Service), Delay: applyRetryDelay}
}

// fail ends the apply because the key-value service failed. The result is unknown
// if a write may have taken effect.
func (a *ApplyState) fail(err error) {
	r := a.request
	switch {
	case a.unknownResult != nil:
		a.finish(Document{}, &UnknownError{Service: r.Service, Nonce: r.Nonce, Err: errors.Join(a.unknownResult, err)})
	case a.conflicted:
		a.finish(Document{}, &ConflictError{Service: r.Service, Replaces: r.Replaces})
	default:
		a.finish(Document{}, &UnavailableError{Service: r.Service, Err: err})
	}
}

func (a *ApplyState) finish(d Document, err error) { a.nextStep = DoneStep{Document: d, Err: err} }

// Apply carries out the steps of a on a key-value service until it is done.
func Apply(ctx context.Context, kv toucankv.Store, a *ApplyState) (Document, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	for {
		switch step := a.Next().(type) {
		case ReadStep:
			if err := sleep(ctx, step.Delay); err != nil {
				a.fail(err)
				continue
			}
			a.ReadDone(kv.Get(ctx, step.Key))
		case WriteStep:
			a.WriteDone(kv.CompareAndSwap(ctx, step.Key, step.Value, step.Index))
		case DoneStep:
			return step.Document, step.Err
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
