package toucannode

import (
	"context"
	"errors"
	"time"

	"toucanhaven/toucankv"
)

// countedStore counts the calls of the key-value service and those that it did
// not answer.
type countedStore struct {
	toucankv.Store
	metrics *nodeMetrics
}

// count counts one call. A call that this node cancelled is no failure.
func (s countedStore) count(ctx context.Context, op string, err error) {
	s.metrics.count("toucan_kv_calls_total", "op", op)
	var unavailable *toucankv.UnavailableError
	var unknown *toucankv.UnknownResultError
	if errors.Is(ctx.Err(), context.Canceled) || !errors.As(err, &unavailable) && !errors.As(err, &unknown) {
		return
	}
	s.metrics.count("toucan_kv_failures_total", "op", op)
}

func (s countedStore) Get(ctx context.Context, key string) (pair toucankv.Pair, err error) {
	defer func() { s.count(ctx, "get", err) }()
	return s.Store.Get(ctx, key)
}

func (s countedStore) List(ctx context.Context, prefix string) (pairs []toucankv.Pair, err error) {
	defer func() { s.count(ctx, "list", err) }()
	return s.Store.List(ctx, prefix)
}

func (s countedStore) Keys(ctx context.Context, prefix string) (keys []string, err error) {
	defer func() { s.count(ctx, "keys", err) }()
	return s.Store.Keys(ctx, prefix)
}

func (s countedStore) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (err error) {
	defer func() { s.count(ctx, "compare_and_swap", err) }()
	return s.Store.CompareAndSwap(ctx, key, value, index)
}

func (s countedStore) Create(ctx context.Context, key string, value []byte) (err error) {
	defer func() { s.count(ctx, "create", err) }()
	return s.Store.Create(ctx, key, value)
}

func (s countedStore) Watch(ctx context.Context, key string, index uint64, wait time.Duration) (snapshot toucankv.Snapshot, err error) {
	defer func() { s.count(ctx, "watch", err) }()
	return s.Store.Watch(ctx, key, index, wait)
}

func (s countedStore) CreateSession(ctx context.Context, ttl time.Duration, end toucankv.Behaviour) (session string, err error) {
	defer func() { s.count(ctx, "create_session", err) }()
	return s.Store.CreateSession(ctx, ttl, end)
}

func (s countedStore) RenewSession(ctx context.Context, session string) (err error) {
	defer func() { s.count(ctx, "renew_session", err) }()
	return s.Store.RenewSession(ctx, session)
}

func (s countedStore) Acquire(ctx context.Context, key string, value []byte, session string) (err error) {
	defer func() { s.count(ctx, "acquire", err) }()
	return s.Store.Acquire(ctx, key, value, session)
}
