package toucannode

import (
	"context"
	"errors"
	"time"

	"toucanhaven/toucankv"
)

// countingStore counts the calls of the key-value service and the calls that it
// did not answer.
type countingStore struct {
	toucankv.Store
	metrics *nodeMetrics
}

// countCall counts one call. A call that this node cancelled does not count as
// a failure.
func (s countingStore) countCall(ctx context.Context, op string, err error) {
	s.metrics.increment("toucan_kv_calls_total", "op", op)
	var unavailable *toucankv.UnavailableError
	var unknown *toucankv.UnknownResultError
	if errors.Is(ctx.Err(), context.Canceled) || !errors.As(err, &unavailable) && !errors.As(err, &unknown) {
		return
	}
	s.metrics.increment("toucan_kv_failures_total", "op", op)
}

func (s countingStore) Get(ctx context.Context, key string) (pair toucankv.Pair, err error) {
	defer func() { s.countCall(ctx, "get", err) }()
	return s.Store.Get(ctx, key)
}

func (s countingStore) List(ctx context.Context, prefix string) (pairs []toucankv.Pair, err error) {
	defer func() { s.countCall(ctx, "list", err) }()
	return s.Store.List(ctx, prefix)
}

func (s countingStore) Keys(ctx context.Context, prefix string) (keys []string, err error) {
	defer func() { s.countCall(ctx, "keys", err) }()
	return s.Store.Keys(ctx, prefix)
}

func (s countingStore) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (err error) {
	defer func() { s.countCall(ctx, "compare_and_swap", err) }()
	return s.Store.CompareAndSwap(ctx, key, value, index)
}

func (s countingStore) Create(ctx context.Context, key string, value []byte) (err error) {
	defer func() { s.countCall(ctx, "create", err) }()
	return s.Store.Create(ctx, key, value)
}

func (s countingStore) Watch(ctx context.Context, key string, index uint64, wait time.Duration) (snapshot toucankv.Snapshot, err error) {
	defer func() { s.countCall(ctx, "watch", err) }()
	return s.Store.Watch(ctx, key, index, wait)
}

func (s countingStore) CreateSession(ctx context.Context, ttl time.Duration, end toucankv.Behaviour) (session string, err error) {
	defer func() { s.countCall(ctx, "create_session", err) }()
	return s.Store.CreateSession(ctx, ttl, end)
}

func (s countingStore) RenewSession(ctx context.Context, session string) (err error) {
	defer func() { s.countCall(ctx, "renew_session", err) }()
	return s.Store.RenewSession(ctx, session)
}

func (s countingStore) Acquire(ctx context.Context, key string, value []byte, session string) (err error) {
	defer func() { s.countCall(ctx, "acquire", err) }()
	return s.Store.Acquire(ctx, key, value, session)
}
