package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"ringstream.example/ringstream/platform/platformtest"
)

// The tenants of the soak: the keys of one are rotated, and the other sends more than its limit.
const (
	rotatedTenant = "rotated"
	pressedTenant = "pressed"
	pressedKey    = "key-of-pressed"
	// unknownKey is a key that no configuration has ever contained.
	unknownKey = "key-of-nobody"
)

// The limit of pressedTenant.
const (
	pressedPerSecond = 20
	pressedBurst     = 10
)

// validKeys is the number of keys that rotatedTenant has at a time.
const validKeys = 2

// keyTimes records when a key was added and withdrawn.
type keyTimes struct {
	acknowledged time.Time // when the first configuration with the key was written; zero: not yet
	withdrawing  time.Time // before the configuration without the key was written; zero: the key is valid
	withdrawn    time.Time // when the configuration without the key was written; zero: not yet
}

// keyring holds all keys of rotatedTenant, including the withdrawn ones.
type keyring struct {
	mu    sync.Mutex // guards the rest
	keys  []string   // oldest first
	times map[string]keyTimes
}

func newKeyring() *keyring {
	ring := &keyring{times: make(map[string]keyTimes)}
	for range validKeys {
		ring.add()
	}
	return ring
}

// add adds a key. The caller holds mu or has exclusive access to the keyring.
func (k *keyring) add() {
	key := fmt.Sprintf("key-%d", len(k.keys))
	k.keys = append(k.keys, key)
	k.times[key] = keyTimes{}
}

// rotate adds a key and withdraws the oldest valid one, for the next configuration.
func (k *keyring) rotate(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	oldest := k.keys[len(k.keys)-validKeys]
	times := k.times[oldest]
	times.withdrawing = now
	k.times[oldest] = times
	k.add()
}

// recordWritten records that a configuration with the current keys was written.
func (k *keyring) recordWritten(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, key := range k.keys {
		times := k.times[key]
		if times.acknowledged.IsZero() {
			times.acknowledged = now
		}
		if !times.withdrawing.IsZero() && times.withdrawn.IsZero() {
			times.withdrawn = now
		}
		k.times[key] = times
	}
}

// tenants returns the tenants of the next configuration.
func (k *keyring) tenants() []platformtest.Tenant {
	k.mu.Lock()
	defer k.mu.Unlock()
	held := append([]string(nil), k.keys[len(k.keys)-validKeys:]...)
	return []platformtest.Tenant{
		{Name: rotatedTenant, Keys: held},
		{Name: pressedTenant, Keys: []string{pressedKey}, PerSecond: pressedPerSecond, Burst: pressedBurst},
	}
}

// drawnKeys is the number of the newest keys that callers use, including withdrawn ones.
const drawnKeys = validKeys + 3

// draw returns a key for a caller: often a valid one, otherwise a withdrawn one or rarely
// unknownKey.
func (k *keyring) draw(random *rand.Rand) string {
	const unknownKeyInterval = 50 // one call in this many uses unknownKey
	k.mu.Lock()
	defer k.mu.Unlock()
	back := 1 + random.IntN(drawnKeys)
	if random.IntN(unknownKeyInterval) == 0 || back > len(k.keys) {
		return unknownKey
	}
	return k.keys[len(k.keys)-back]
}

// timesOf returns when a key was added and withdrawn. It returns false if the key was never in the
// keyring.
func (k *keyring) timesOf(key string) (keyTimes, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	times, held := k.times[key]
	return times, held
}
