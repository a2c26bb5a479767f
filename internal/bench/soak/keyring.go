package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"ringstream.example/ringstream/platform/platformtest"
)

// The tenants of the soak: one whose keys come and go, and one whose limit is pressed.
const (
	rotatedTenant = "rotated"
	pressedTenant = "pressed"
	pressedKey    = "key-of-pressed"
	// wrongKey is a key that no configuration has ever held.
	wrongKey = "key-of-nobody"
)

// The pressed tenant's limit.
const (
	pressedPerSecond = 20
	pressedBurst     = 10
)

// keysHeld is how many keys the rotated tenant has at a time.
const keysHeld = 2

// keyTimes is when a key came and went.
type keyTimes struct {
	acknowledged time.Time // the configuration that first held it was written; zero: not yet
	withdrawing  time.Time // before the one without it was written; zero: it is held
	withdrawn    time.Time // that one was written; zero: not yet
}

// keyring knows the keys of the rotated tenant, the withdrawn ones too.
type keyring struct {
	mu    sync.Mutex // guards the rest
	keys  []string   // in the order in which they came
	times map[string]keyTimes
}

func newKeyring() *keyring {
	ring := &keyring{times: make(map[string]keyTimes)}
	for range keysHeld {
		ring.add()
	}
	return ring
}

// add adds a key; the caller holds mu, or has the ring alone.
func (k *keyring) add() {
	key := fmt.Sprintf("key-%d", len(k.keys))
	k.keys = append(k.keys, key)
	k.times[key] = keyTimes{}
}

// rotate adds a key and withdraws the oldest one that is held, for the next configuration.
func (k *keyring) rotate(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	oldest := k.keys[len(k.keys)-keysHeld]
	times := k.times[oldest]
	times.withdrawing = now
	k.times[oldest] = times
	k.add()
}

// written notes that a configuration with the ring's keys was written.
func (k *keyring) written(now time.Time) {
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

// tenants gives the tenants of the next configuration.
func (k *keyring) tenants() []platformtest.Tenant {
	k.mu.Lock()
	defer k.mu.Unlock()
	held := append([]string(nil), k.keys[len(k.keys)-keysHeld:]...)
	return []platformtest.Tenant{
		{Name: rotatedTenant, Keys: held},
		{Name: pressedTenant, Keys: []string{pressedKey}, PerSecond: pressedPerSecond, Burst: pressedBurst},
	}
}

// keysDrawn is how many of the newest keys callers use, those that are withdrawn among them.
const keysDrawn = keysHeld + 3

// draw gives a key that a caller may use: most are held, some withdrawn, few nobody's.
func (k *keyring) draw(random *rand.Rand) string {
	const nobodys = 50 // one call of so many
	k.mu.Lock()
	defer k.mu.Unlock()
	back := 1 + random.IntN(keysDrawn)
	if random.IntN(nobodys) == 0 || back > len(k.keys) {
		return wrongKey
	}
	return k.keys[len(k.keys)-back]
}

// timesOf gives when a key came and went; false: no configuration ever held it.
func (k *keyring) timesOf(key string) (keyTimes, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	times, held := k.times[key]
	return times, held
}
