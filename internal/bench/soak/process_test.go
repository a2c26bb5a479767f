package soak

import (
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// Three of 71 processes failed to start with "listen tcp: address already in use". The same free
// address was found twice, because nothing listened on it yet.
func TestFreeAddressesAreGivenOnce(t *testing.T) {
	const asked = 2000
	free := addresses{used: make(map[string]bool)}
	seen := make(map[string]bool)
	for range asked {
		address, err := free.free()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("address %s was returned twice", address)
		}
		seen[address] = true
	}
}

// A process that was paused for 3 s right after its start and then sent SIGTERM ended by the
// signal, because it had not run yet. Five of 21 soaks that replace builds reported this as a
// failed planned stop.
func TestRunTimeBeforeStopExcludesPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := &nodeProcess{started: time.Now()}
		time.Sleep(time.Millisecond)
		node.recordPause(syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		node.recordPause(syscall.SIGCONT)
		time.Sleep(time.Millisecond)
		node.stopSentAt = time.Now()
		if ran := node.runTimeBeforeStop(); ran != 2*time.Millisecond {
			t.Errorf("run time before the stop: %v, want 2ms", ran)
		}
	})
}
