// Package blob reads and writes objects with retries. Every object of a job has a
// unique name, so that a repeated write is harmless.
package blob

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v4"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/store"
)

// Store is the object store with retries. It is safe for concurrent use.
type Store struct {
	Objects backend.Objects
	// RetryTimeout is the time after which a failed call is not retried any more.
	RetryTimeout time.Duration
}

// Put writes an object.
func (s Store) Put(ctx context.Context, name string, body []byte) error {
	return s.retry(ctx, func() error { return s.Objects.Put(ctx, name, body) })
}

// Get reads a whole object.
func (s Store) Get(ctx context.Context, name string) (body []byte, err error) {
	err = s.retry(ctx, func() error {
		body, err = s.Objects.Get(ctx, name)
		return err
	})
	return body, err
}

// Page returns up to limit names with the prefix that sort after the given name,
// in order.
func (s Store) Page(ctx context.Context, prefix, after string, limit int) (names []string, err error) {
	err = s.retry(ctx, func() error {
		names, err = s.Objects.List(ctx, prefix, after, limit)
		return err
	})
	return names, err
}

// DeletePrefix deletes all objects with a prefix.
func (s Store) DeletePrefix(ctx context.Context, prefix string) error {
	const pageSize = 200
	for {
		names, err := s.Page(ctx, prefix, "", pageSize)
		if err != nil {
			return err
		}
		for _, name := range names {
			if err := s.Delete(ctx, name); err != nil {
				return err
			}
		}
		if len(names) < pageSize {
			return nil
		}
	}
}

// Delete deletes an object. It returns no error when the object does not exist.
func (s Store) Delete(ctx context.Context, name string) error {
	err := s.retry(ctx, func() error { return s.Objects.Delete(ctx, name) })
	if NotFound(err) {
		return nil
	}
	return err
}

// NotFound reports whether an error means that the object does not exist.
func NotFound(err error) bool {
	var failure *backend.Error
	return errors.As(err, &failure) && failure.Code == backend.CodeNotFound
}

func (s Store) retry(ctx context.Context, call func() error) error {
	policy := backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(50*time.Millisecond),
		backoff.WithMaxInterval(time.Second),
		backoff.WithMaxElapsedTime(s.RetryTimeout),
	)
	return backoff.Retry(func() error {
		err := call()
		if err != nil && !store.Retryable(err) {
			return backoff.Permanent(err)
		}
		return err
	}, backoff.WithContext(policy, ctx))
}
