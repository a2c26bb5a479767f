// Package blob reads and writes objects with retries. Every object of a job
// has a name of its own, so that a write asked again is harmless.
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
	// Elapsed bounds one call with its retries.
	Elapsed time.Duration
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

// Page gives up to limit names with the prefix, in order, after the name given.
func (s Store) Page(ctx context.Context, prefix, after string, limit int) (names []string, err error) {
	err = s.retry(ctx, func() error {
		names, err = s.Objects.List(ctx, prefix, after, limit)
		return err
	})
	return names, err
}

// DeletePrefix deletes all objects with a prefix.
func (s Store) DeletePrefix(ctx context.Context, prefix string) error {
	const page = 200
	for {
		names, err := s.Page(ctx, prefix, "", page)
		if err != nil {
			return err
		}
		for _, name := range names {
			if err := s.Delete(ctx, name); err != nil {
				return err
			}
		}
		if len(names) < page {
			return nil
		}
	}
}

// Delete deletes an object; an absent one is no error.
func (s Store) Delete(ctx context.Context, name string) error {
	err := s.retry(ctx, func() error { return s.Objects.Delete(ctx, name) })
	if NotFound(err) {
		return nil
	}
	return err
}

// NotFound says that an error means an absent object.
func NotFound(err error) bool {
	var failure *backend.Error
	return errors.As(err, &failure) && failure.Code == backend.CodeNotFound
}

func (s Store) retry(ctx context.Context, call func() error) error {
	policy := backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(50*time.Millisecond),
		backoff.WithMaxInterval(time.Second),
		backoff.WithMaxElapsedTime(s.Elapsed),
	)
	return backoff.Retry(func() error {
		err := call()
		if err != nil && !store.Retryable(err) {
			return backoff.Permanent(err)
		}
		return err
	}, backoff.WithContext(policy, ctx))
}
