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
	// applyTimeout bounds an apply. It leaves time for the retries of a slow
	// key-value service and ends before an operator gives up.
	applyTimeout = 10 * time.Second
	// applyRetryDelay separates tries while the key-value service fails.
	applyRetryDelay = 250 * time.Millisecond
)

// Request asks for a change of a class file.
type Request struct {
	Service  string
	Replaces uint64 // revision that the author has seen; 0 for the first one
	Author   string
	// Nonce names this change. Repeating a request with the same nonce never
	// applies it twice, and confirms it if it took effect before.
	Nonce  string
	Source string
}

// InvalidError says that a request can never be applied.
type InvalidError struct{ Err error }

func (e *InvalidError) Error() string { return e.Err.Error() }

// Unwrap returns the cause, such as a *toucanclass.FileError.
func (e *InvalidError) Unwrap() error { return e.Err }

// ConflictError says that another change won. Nothing took effect. Winner is the
// change that stands at present; its Revision is 0 when there is none or it
// could not be read.
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

// UnavailableError says that the key-value service did not answer. Nothing took
// effect and nothing will.
type UnavailableError struct {
	Service string
	Err     error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("service %q: not applied: %v", e.Service, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// UnknownError says that the change was sent and could not be confirmed. It may
// be in force now or later, or never. Repeating the request with the same nonce
// is safe.
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

// Application is the state of one request while it is applied. It does no input
// or output itself: Next names the step to do, and its result is handed to
// ReadDone or WriteDone.
type Application struct {
	request  Request
	clock    toucanclock.Clock
	start    time.Time
	deadline time.Time
	minimum  uint64 // revision in force at the node
	next     Step
	unknown  error // why a write may still take effect; nil when none may
	refused  bool  // a write was refused because another one came first
	writes   int
}

// Step is what an Application needs next: ReadStep, WriteStep or DoneStep.
type Step interface{ step() }

// ReadStep reads the key of the document, after a delay.
type ReadStep struct {
	Key   string
	Delay time.Duration
}

// WriteStep writes by compare-and-swap.
type WriteStep struct {
	Key   string
	Value []byte
	Index uint64

	document Document
}

// DoneStep ends the application. Err is nil if the document was accepted, and
// otherwise *InvalidError, *ConflictError, *UnavailableError or *UnknownError.
// Document is then the accepted revision, or a later one that includes it.
type DoneStep struct {
	Document Document
	Err      error
}

func (ReadStep) step()  {}
func (WriteStep) step() {}
func (DoneStep) step()  {}

// NewApplication starts to apply a request at a node where the given revision
// is in force.
func NewApplication(clock toucanclock.Clock, request Request, inForce uint64) *Application {
	now := clock.Now()
	a := &Application{request: request, clock: clock, start: now, deadline: now.Add(applyTimeout), minimum: inForce}
	if _, err := (Document{}).WithChange(request.Service, request.Author, request.Nonce, request.Source, now); err != nil {
		a.finish(Document{}, &InvalidError{Err: err})
		return a
	}
	a.next = ReadStep{Key: Key(request.Service)}
	return a
}

// Next returns the step to do.
func (a *Application) Next() Step { return a.next }

// ReadDone takes the result of a ReadStep.
func (a *Application) ReadDone(pair toucankv.Pair, err error) {
	if err != nil && !isMissing(err) {
		a.retry(err)
		return
	}
	var current Document
	if err == nil {
		if current, err = Decode(pair.Value); err != nil {
			a.fail(err)
			return
		}
	}
	a.decide(current, pair.Index)
}

func isMissing(err error) bool {
	var missing *toucankv.NotFoundError
	return errors.As(err, &missing)
}

// decide chooses what follows from the document that stands at present.
func (a *Application) decide(current Document, index uint64) {
	r := a.request
	if mine, ok := current.change(r.Nonce); ok {
		if mine.Revision != r.Replaces+1 {
			a.finish(Document{}, &InvalidError{Err: fmt.Errorf("nonce %q was used for revision %d", r.Nonce, mine.Revision)})
			return
		}
		a.finish(current, nil)
		return
	}
	switch {
	case current.Revision() < a.minimum:
		// The key-value service lost changes that are in force. A write on top of
		// it would be accepted and never installed.
		a.fail(fmt.Errorf("key-value service holds revision %d, older than revision %d in force", current.Revision(), a.minimum))
	case current.Revision() == r.Replaces && a.clock.Now().After(a.deadline):
		a.fail(fmt.Errorf("no reply within %s", applyTimeout))
	case current.Revision() == r.Replaces:
		a.write(current, index)
	case a.unknown != nil && !current.remembers(r.Replaces+1):
		a.fail(fmt.Errorf("history begins after revision %d", r.Replaces+1))
	default:
		a.finish(Document{}, &ConflictError{Service: r.Service, Replaces: r.Replaces, Winner: current.last()})
	}
}

func (a *Application) write(current Document, index uint64) {
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
	// Encode may have dropped old changes; every node must hold the same document.
	if next, err = Decode(value); err != nil {
		a.finish(Document{}, &InvalidError{Err: err})
		return
	}
	a.writes++
	a.next = WriteStep{Key: Key(r.Service), Value: value, Index: index, document: next}
}

// WriteDone takes the result of a WriteStep. After a lost reply it reads back.
// Sending the same change again at the same index is safe, as at most one of the
// two writes finds that index.
func (a *Application) WriteDone(err error) {
	write, ok := a.next.(WriteStep)
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
		a.refused = true
		a.readBack()
	case errors.As(err, &rejected):
		a.fail(err)
	case errors.As(err, &unknown):
		a.unknown = err
		a.readBack()
	default:
		a.retry(err)
	}
}

// readBack reads the document after a write, at once after the first one.
func (a *Application) readBack() {
	a.next = ReadStep{Key: Key(a.request.Service)}
	if a.writes > 1 {
		a.next = ReadStep{Key: Key(a.request.Service), Delay: applyRetryDelay}
	}
}

// retry reads again after a delay, and gives up at the deadline.
func (a *Application) retry(err error) {
	if a.clock.Now().Add(applyRetryDelay).After(a.deadline) {
		a.fail(err)
		return
	}
	a.next = ReadStep{Key: Key(a.request.Service), Delay: applyRetryDelay}
}

// fail ends the application without an answer of the key-value service. The
// result is unknown if a write may have taken effect.
func (a *Application) fail(err error) {
	r := a.request
	switch {
	case a.unknown != nil:
		a.finish(Document{}, &UnknownError{Service: r.Service, Nonce: r.Nonce, Err: errors.Join(a.unknown, err)})
	case a.refused:
		a.finish(Document{}, &ConflictError{Service: r.Service, Replaces: r.Replaces})
	default:
		a.finish(Document{}, &UnavailableError{Service: r.Service, Err: err})
	}
}

func (a *Application) finish(d Document, err error) { a.next = DoneStep{Document: d, Err: err} }

// Apply runs an application on a key-value service until it is done.
func Apply(ctx context.Context, kv toucankv.Store, a *Application) (Document, error) {
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
