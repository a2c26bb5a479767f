package soak

import (
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// Three of 71 processes did not start: "listen tcp: address already in use". Two addresses that
// were found free were the same, since nobody listened at the first one yet.
func TestFreeAddressesAreGivenOnce(t *testing.T) {
	const asked = 2000
	free := addresses{given: make(map[string]bool)}
	seen := make(map[string]bool)
	for range asked {
		address, err := free.free()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("%s was given twice", address)
		}
		seen[address] = true
	}
}

// A process that was paused at once after its start, for 3 s, and then told to stop ended by SIGTERM,
// since it had not run yet: five of 21 soaks that replace builds named it a failed stop.
func TestTimeOfAPauseIsNoneInWhichAProcessStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := &nodeProcess{started: time.Now()}
		time.Sleep(time.Millisecond)
		node.notePause(syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		node.notePause(syscall.SIGCONT)
		time.Sleep(time.Millisecond)
		node.stopping = time.Now()
		if ran := node.ranUntilStop(); ran != 2*time.Millisecond {
			t.Errorf("it ran for %v", ran)
		}
	})
}
